// Package openloop plays load against a fleet that runs: requests leave at their times,
// whether former ones have been answered or not, and nothing slows them down. Times are
// counted from when a request was due, so that a fleet that stalls shows in them.
//
// Package benchtool calls it. At most Options.Open requests are open at a time; those
// that would be more are counted as not sent.
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
)

// Options is the load.
type Options struct {
	URL       string        `long:"url" value-name:"URL" required:"yes" description:"Where requests are sent"`
	Method    string        `long:"method" default:"POST" description:"Method of the requests"`
	Host      string        `long:"host" description:"Host header; empty: that of the URL"`
	Header    []string      `long:"header" value-name:"NAME:VALUE" description:"Header of each request; may be repeated. {session} stands for the session's name"`
	Body      string        `long:"body" description:"Body of each request. {session} stands for the session's name"`
	PerSecond float64       `long:"per-second" default:"10" description:"Requests a second, on average; they come by chance"`
	For       time.Duration `long:"for" default:"10s" description:"For how long requests are sent"`
	Sessions  int           `long:"sessions" default:"100" description:"Number of sessions, each as likely as the others"`
	Timeout   time.Duration `long:"timeout" default:"15s" description:"How long a request is waited for"`
	Open      int           `long:"open" default:"1000" description:"Requests that may be open at a time"`
	Seed      uint64        `long:"seed" default:"1" description:"Decides times and sessions"`
}

// Check returns what is wrong with the options.
func (o Options) Check() error {
	switch {
	case o.PerSecond <= 0 || o.PerSecond > mostPerSecond:
		return errors.Errorf("--per-second: write more than 0 and at most %d", mostPerSecond)
	case o.For <= 0 || o.Timeout <= 0:
		return errors.New("--for and --timeout: write a time above 0")
	case o.Sessions < 1 || o.Open < 1:
		return errors.New("--sessions and --open: write 1 at least")
	}
	for _, h := range o.Header {
		if !strings.Contains(h, ":") {
			return errors.Errorf("--header: %q has no colon", h)
		}
	}
	_, err := http.NewRequest(o.Method, o.URL, nil)
	return errors.Wrap(err, "--url")
}

const (
	// mostPerSecond bounds what one process sends.
	mostPerSecond = 20000
	// longest is the longest time that the histograms tell from longer ones, and digits
	// how exactly they do.
	longest = 10 * time.Minute
	digits  = 3
)

// player is a run under way.
type player struct {
	options Options
	client  *http.Client
	open    chan struct{}

	mu       sync.Mutex
	statuses map[int]int // 0: no answer
	notSent  int
	first    *hdrhistogram.Histogram // until the first byte of the body, in microseconds
	whole    *hdrhistogram.Histogram
}

// Play sends the load and writes what became of it.
func Play(ctx context.Context, o Options, out io.Writer) error {
	if err := o.Check(); err != nil {
		return err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = o.Open
	p := &player{
		options:  o,
		client:   &http.Client{Transport: transport, Timeout: o.Timeout},
		open:     make(chan struct{}, o.Open),
		statuses: make(map[int]int),
		first:    hdrhistogram.New(1, longest.Microseconds(), digits),
		whole:    hdrhistogram.New(1, longest.Microseconds(), digits),
	}
	defer transport.CloseIdleConnections()
	p.send(ctx)
	return p.report(out)
}

// send sends the requests at their times and waits for their ends.
func (p *player) send(ctx context.Context) {
	random := rand.New(rand.NewPCG(p.options.Seed, 0))
	due := time.Now()
	end := due.Add(p.options.For)
	var all sync.WaitGroup
	defer all.Wait()
	for {
		due = due.Add(time.Duration(random.ExpFloat64() / p.options.PerSecond * float64(time.Second)))
		at, session := due, "session-"+strconv.Itoa(random.IntN(p.options.Sessions))
		if at.After(end) {
			return
		}
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return
		}
		select {
		case p.open <- struct{}{}:
			all.Go(func() {
				p.request(ctx, at, session)
				<-p.open
			})
		default:
			p.mu.Lock()
			p.notSent++
			p.mu.Unlock()
		}
	}
}

// request sends one request that was due at a time.
func (p *player) request(ctx context.Context, due time.Time, session string) {
	named := strings.NewReplacer("{session}", session)
	// The method and the URL have been checked.
	r, _ := http.NewRequestWithContext(ctx, p.options.Method, p.options.URL, strings.NewReader(named.Replace(p.options.Body)))
	if p.options.Host != "" {
		r.Host = p.options.Host
	}
	for _, h := range p.options.Header {
		name, value, _ := strings.Cut(h, ":")
		r.Header.Add(strings.TrimSpace(name), named.Replace(strings.TrimSpace(value)))
	}
	resp, err := p.client.Do(r)
	if err != nil {
		p.count(0, 0, 0)
		return
	}
	defer resp.Body.Close() // its end has been read, or it is given up
	var b [1]byte
	_, err = io.ReadFull(resp.Body, b[:])
	first := time.Since(due)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		p.count(0, first, 0)
		return
	}
	p.count(resp.StatusCode, first, time.Since(due))
}

// count takes in how a request ended. Times of answers other than 2xx are left out.
func (p *player) count(status int, first, whole time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses[status]++
	if status/100 == 2 {
		// Longer times than the histograms hold do not occur: the timeout is shorter.
		_ = p.first.RecordValue(max(1, first.Microseconds()))
		_ = p.whole.RecordValue(max(1, whole.Microseconds()))
	}
}

// Report is what became of the load.
type Report struct {
	Statuses map[string]int `json:"statuses"` // "none": no whole answer
	NotSent  int            `json:"not_sent"`
	First    Times          `json:"first_byte_ms"`
	Whole    Times          `json:"whole_ms"`
}

// Times are quantiles, in milliseconds.
type Times struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func (p *player) report(out io.Writer) error {
	r := Report{Statuses: make(map[string]int), NotSent: p.notSent, First: timesOf(p.first), Whole: timesOf(p.whole)}
	for status, n := range p.statuses {
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

func timesOf(h *hdrhistogram.Histogram) Times {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Times{P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max())}
}
