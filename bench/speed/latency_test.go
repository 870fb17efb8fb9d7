package speed

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}

func call(b *testing.B, url string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(make([]byte, unarySize)))
	if err != nil {
		b.Error(err)
		return nil
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return nil
	}
	if resp.StatusCode != http.StatusOK {
		b.Errorf("%s: %s", url, resp.Status)
	}
	return resp
}

// unary makes one 1 KB call and returns how long it took.
func unary(b *testing.B, url string) time.Duration {
	began := time.Now()
	resp := call(b, url)
	if resp == nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return time.Since(began)
}

// samples is measured durations, from many goroutines.
type samples struct {
	mu sync.Mutex
	d  []time.Duration
}

func (s *samples) add(d ...time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d = append(s.d, d...)
}

func (s *samples) quantile(q float64) time.Duration {
	slices.Sort(s.d)
	return s.d[int(q*float64(len(s.d)-1))]
}

func report(b *testing.B, direct, through *samples, what string) {
	for _, q := range []float64{0.5, 0.99} {
		d, t := direct.quantile(q), through.quantile(q)
		name := fmt.Sprintf("%s-p%g", what, 100*q)
		b.ReportMetric(float64(d.Microseconds()), "direct-"+name+"-us")
		b.ReportMetric(float64((t - d).Microseconds()), "added-"+name+"-us")
	}
}

// capacity returns how many unary calls a second go through with as many
// callers as it takes, and per second of the router's and the sidecar's
// processor time.
func capacity(b *testing.B, f *fleet) (rate float64) {
	const callers, lasts = 64, 3 * time.Second
	routerCPU, sidecarCPU := cpu(b, f.routerPID), cpu(b, f.sidecarPID)
	began := time.Now()
	var done samples
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for time.Since(began) < lasts {
				done.add(unary(b, f.url(true, "/unary")))
			}
		})
	}
	wg.Wait()
	n := float64(len(done.d))
	b.ReportMetric(n/(cpu(b, f.routerPID)-routerCPU).Seconds(), "req/s/router-core")
	b.ReportMetric(n/(cpu(b, f.sidecarPID)-sidecarCPU).Seconds(), "req/s/sidecar-core")
	return n / time.Since(began).Seconds()
}

// BenchmarkUnary compares 1 KB calls through the fleet with calls of the stub,
// both at half of the rate at which the fleet is saturated, in turns.
func BenchmarkUnary(b *testing.B) {
	f := newFleet(b)
	for range 100 { // warm up
		unary(b, f.url(true, "/unary"))
		unary(b, f.url(false, "/unary"))
	}
	rate := capacity(b, f) / 2
	b.ReportMetric(rate, "half-load-req/s")
	var results [2]samples
	for range b.N {
		for turn := range 10 {
			through := turn % 2
			atRate(rate, time.Second, func() {
				results[through].add(unary(b, f.url(through == 1, "/unary")))
			})
		}
	}
	report(b, &results[0], &results[1], "call")
}

// atRate runs f at a steady rate for a while, each on its own goroutine, and
// waits for all of them.
func atRate(rate float64, lasts time.Duration, f func()) {
	var wg sync.WaitGroup
	began := time.Now()
	for i := 0; ; i++ {
		due := time.Duration(float64(i) / rate * float64(time.Second))
		if due > lasts {
			break
		}
		time.Sleep(due - time.Since(began))
		wg.Go(f)
	}
	wg.Wait()
}

// stream reads one stream and returns the time to its first event, the times
// between events, and how old each event was when it came.
func stream(b *testing.B, url string) (first time.Duration, gaps, ages []time.Duration) {
	began := time.Now()
	resp := call(b, url)
	if resp == nil {
		return 0, nil, nil
	}
	defer resp.Body.Close()
	last := began
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		stamp, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		now := time.Now()
		written, _ := strconv.ParseInt(strings.TrimSpace(stamp), 10, 64)
		ages = append(ages, time.Duration(now.UnixNano()-written))
		if first == 0 {
			first = now.Sub(began)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	}
	return first, gaps, ages
}

// BenchmarkStream compares streams through the fleet with streams from the
// stub, in turns: the time to the first token, the time between tokens, and the
// age of a token on arrival.
func BenchmarkStream(b *testing.B) {
	const streams = 50
	f := newFleet(b)
	unary(b, f.url(true, "/unary"))
	var first, gaps, ages [2]samples
	for range b.N {
		for turn := range 8 {
			through := turn % 2
			var wg sync.WaitGroup
			for range streams {
				wg.Go(func() {
					one, between, old := stream(b, f.url(through == 1, "/stream?n=100&gap=10ms"))
					first[through].add(one)
					gaps[through].add(between...)
					ages[through].add(old...)
				})
			}
			wg.Wait()
		}
	}
	report(b, &first[0], &first[1], "first")
	report(b, &gaps[0], &gaps[1], "gap")
	report(b, &ages[0], &ages[1], "age")
}
