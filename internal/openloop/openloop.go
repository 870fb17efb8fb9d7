// Package openloop sends open-loop load to a running fleet: requests are sent at their scheduled
// times, whether earlier ones have been answered or not. Latencies are measured from the
// scheduled time of a request, so that they include the delay when a fleet stalls.
//
// Package benchtool uses it. At most Options.MaxOpen requests are open at a time; further ones are
// counted as not sent.
package openloop

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/eventstream"
	"github.com/parsleyfront/parsleyfront/internal/http1"
)

// Options describes the load.
type Options struct {
	URL       string        `long:"url" value-name:"URL" required:"yes" description:"Where requests are sent"`
	Method    string        `long:"method" default:"POST" description:"Method of the requests"`
	Host      string        `long:"host" description:"Host header; empty: that of the URL"`
	Headers   []string      `long:"header" value-name:"NAME:VALUE" description:"Header of each request; may be repeated. {session} stands for the session's name"`
	Body      string        `long:"body" description:"Body of each request. {session} stands for the session's name"`
	PerSecond float64       `long:"per-second" default:"10" description:"Requests a second, on average; they come by chance"`
	Duration  time.Duration `long:"for" default:"10s" description:"For how long requests are sent"`
	Sessions  int           `long:"sessions" default:"100" description:"Number of sessions, each as likely as the others"`
	Timeout   time.Duration `long:"timeout" default:"15s" description:"How long a request is waited for"`
	MaxOpen   int           `long:"open" default:"1000" description:"Requests that may be open at a time"`
	Seed      uint64        `long:"seed" default:"1" description:"Decides times and sessions"`
}

// Validate returns an error that names the first invalid option, or nil.
func (o Options) Validate() error {
	switch {
	case o.PerSecond <= 0 || o.PerSecond > maxPerSecond:
		return errors.Errorf("--per-second: write more than 0 and at most %d", maxPerSecond)
	case o.Duration <= 0 || o.Timeout <= 0:
		return errors.New("--for and --timeout: write a time above 0")
	case o.Sessions < 1 || o.MaxOpen < 1:
		return errors.New("--sessions and --open: write 1 at least")
	}
	for _, h := range o.Headers {
		if !strings.Contains(h, ":") {
			return errors.Errorf("--header: %q has no colon", h)
		}
	}
	_, err := http.NewRequest(o.Method, o.URL, nil)
	return errors.Wrap(err, "--url")
}

const (
	// maxPerSecond limits the request rate of one process.
	maxPerSecond = 20000
	// maxLatency and significantDigits are the range and the precision of the histograms.
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// generator is the state of one load run.
type generator struct {
	options      Options
	client       *http.Client
	openRequests chan struct{}

	mu            sync.Mutex
	statuses      map[int]int // requests by status; 0: no complete response
	notSent       int
	firstByte     *hdrhistogram.Histogram // time to the first byte of the body, in microseconds
	wholeResponse *hdrhistogram.Histogram // time to the end of the body, in microseconds
}

// Run sends the load until it is complete or ctx is done, and writes a Report as JSON to out.
func Run(ctx context.Context, o Options, out io.Writer) error {
	if err := o.Validate(); err != nil {
		return err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = o.MaxOpen
	g := &generator{
		options:       o,
		client:        &http.Client{Transport: http1.NewTransport(transport), Timeout: o.Timeout},
		openRequests:  make(chan struct{}, o.MaxOpen),
		statuses:      make(map[int]int),
		firstByte:     hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		wholeResponse: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
	}
	defer transport.CloseIdleConnections()
	g.send(ctx)
	return g.report(out)
}

// send sends the requests at their scheduled times and waits until all have ended.
func (g *generator) send(ctx context.Context) {
	random := rand.New(rand.NewPCG(g.options.Seed, 0))
	due := time.Now()
	end := due.Add(g.options.Duration)
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		due = due.Add(time.Duration(random.ExpFloat64() / g.options.PerSecond * float64(time.Second)))
		at, session := due, "session-"+strconv.Itoa(random.IntN(g.options.Sessions))
		if at.After(end) {
			return
		}
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return
		}
		select {
		case g.openRequests <- struct{}{}:
			requests.Go(func() {
				g.request(ctx, at, session)
				<-g.openRequests
			})
		default:
			g.mu.Lock()
			g.notSent++
			g.mu.Unlock()
		}
	}
}

// request sends one request and records its outcome. Latencies are measured from due.
func (g *generator) request(ctx context.Context, due time.Time, session string) {
	sessionReplacer := strings.NewReplacer("{session}", session)
	// Validate has checked the method and the URL, so that this cannot fail.
	r, _ := http.NewRequestWithContext(ctx, g.options.Method, g.options.URL, strings.NewReader(sessionReplacer.Replace(g.options.Body)))
	if g.options.Host != "" {
		r.Host = g.options.Host
	}
	for _, h := range g.options.Headers {
		name, value, _ := strings.Cut(h, ":")
		r.Header.Add(strings.TrimSpace(name), sessionReplacer.Replace(strings.TrimSpace(value)))
	}
	resp, err := g.client.Do(r)
	if err != nil {
		g.record(0, 0, 0)
		return
	}
	body := eventstream.Body(resp)
	defer body.Close() // an error does not matter: the body was read to its end or abandoned
	var firstByte [1]byte
	_, err = io.ReadFull(body, firstByte[:])
	firstByteTime := time.Since(due)
	if err == nil {
		_, err = io.Copy(io.Discard, body)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		g.record(0, firstByteTime, 0)
		return
	}
	g.record(resp.StatusCode, firstByteTime, time.Since(due))
}

// record records the outcome of a request. Latencies count only for 2xx responses.
func (g *generator) record(status int, firstByte, wholeResponse time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.statuses[status]++
	if status/100 == 2 {
		// Times beyond the range of the histograms do not occur, because the timeout is shorter.
		_ = g.firstByte.RecordValue(max(1, firstByte.Microseconds()))
		_ = g.wholeResponse.RecordValue(max(1, wholeResponse.Microseconds()))
	}
}

// Report is the outcome of a load run.
type Report struct {
	Statuses      map[string]int `json:"statuses"` // requests by status; "none": no complete response
	NotSent       int            `json:"not_sent"` // requests beyond Options.MaxOpen
	FirstByte     Quantiles      `json:"first_byte_ms"`
	WholeResponse Quantiles      `json:"whole_ms"`
}

// Quantiles are quantiles and the maximum of a latency, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func (g *generator) report(out io.Writer) error {
	r := Report{Statuses: make(map[string]int), NotSent: g.notSent, FirstByte: quantilesOf(g.firstByte), WholeResponse: quantilesOf(g.wholeResponse)}
	for status, n := range g.statuses {
		name := fmt.Sprint(status)
		if status == 0 {
			name = "none"
		}
		r.Statuses[name] = n
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(r), "write the report")
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max())}
}
