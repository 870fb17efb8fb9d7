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
	"sync/atomic"
	"testing"
	"time"
)

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}

var sessions atomic.Int64

// call sends a POST request with a body of 1 KB. It returns nil if the request fails.
func call(b *testing.B, url string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(make([]byte, unarySize)))
	if err != nil {
		b.Error(err)
		return nil
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Parsley-Session", strconv.FormatInt(sessions.Add(1), 10)) // a new session per call spreads the calls over the sidecars
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

// unary makes one call with a body of 1 KB and returns its duration.
func unary(b *testing.B, p path) time.Duration {
	start := time.Now()
	resp := call(b, p.url+"/unary")
	if resp == nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return time.Since(start)
}

// samples collects measured durations. It is safe for concurrent use by add.
type samples struct {
	mu        sync.Mutex
	durations []time.Duration
}

func (s *samples) add(d ...time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durations = append(s.durations, d...)
}

func (s *samples) quantile(q float64) time.Duration {
	slices.Sort(s.durations)
	return s.durations[int(q*float64(len(s.durations)-1))]
}

// report reports the quantiles on the direct path, and by how much those on other paths
// exceed them.
func report(b *testing.B, paths []path, results []samples, what string) {
	for _, q := range []float64{0.5, 0.99} {
		direct := results[0].quantile(q)
		name := fmt.Sprintf("%s-p%g-us", what, 100*q)
		b.ReportMetric(float64(direct.Microseconds()), "direct-"+name)
		for i := range paths[1:] {
			added := results[i+1].quantile(q) - direct
			b.ReportMetric(float64(added.Microseconds()), paths[i+1].name+"-adds-"+name)
		}
	}
}

// usage is the number of calls made on a path and the CPU time that they took.
type usage struct {
	calls           int
	router, sidecar time.Duration
}

// saturate makes unary calls from many concurrent callers for a second.
func (w *usage) saturate(b *testing.B, p path) {
	const callers = 64
	router, sidecar := cpuTime(b, p.routerPID), cpuTime(b, p.sidecarPIDs...)
	start := time.Now()
	var latencies samples
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for time.Since(start) < time.Second {
				latencies.add(unary(b, p))
			}
		})
	}
	wg.Wait()
	w.calls += len(latencies.durations)
	w.router += cpuTime(b, p.routerPID) - router
	w.sidecar += cpuTime(b, p.sidecarPIDs...) - sidecar
}

// BenchmarkUnary compares calls of 1 KB on all paths, alternating between them: first with
// enough callers to saturate the fleet, then at half the resulting rate.
func BenchmarkUnary(b *testing.B) {
	const turns = 5
	paths := newPaths(b)
	rate := 0.0
	usages := make([]usage, len(paths))
	for range turns {
		for i, p := range paths {
			if p.routerPID != 0 {
				usages[i].saturate(b, p)
			}
		}
	}
	for i, w := range usages {
		if w.calls > 0 {
			b.ReportMetric(float64(w.calls)/w.router.Seconds(), paths[i].name+"-req/s/router-core")
			b.ReportMetric(float64(w.calls)/w.sidecar.Seconds(), paths[i].name+"-req/s/sidecar-core")
			rate = float64(w.calls) / turns / 2
		}
	}
	if *fixedRate > 0 {
		rate = *fixedRate
	}
	b.ReportMetric(rate, "load-req/s")
	results := make([]samples, len(paths))
	for range turns {
		for i, p := range paths {
			atRate(rate, time.Second, func() { results[i].add(unary(b, p)) })
		}
	}
	report(b, paths, results, "call")
}

// atRate runs f at a steady rate per second for a duration, each time in a new goroutine,
// and waits for all of them.
func atRate(rate float64, duration time.Duration, f func()) {
	var wg sync.WaitGroup
	start := time.Now()
	for i := 0; ; i++ {
		due := time.Duration(float64(i) / rate * float64(time.Second))
		if due > duration {
			break
		}
		time.Sleep(due - time.Since(start))
		wg.Go(f)
	}
	wg.Wait()
}

// stream reads one stream and returns the time to its first event, the times between
// events, and the age of each event on arrival.
func stream(b *testing.B, url string) (first time.Duration, gaps, ages []time.Duration) {
	start := time.Now()
	resp := call(b, url)
	if resp == nil {
		return 0, nil, nil
	}
	defer resp.Body.Close()
	last := start
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
			first = now.Sub(start)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	}
	return first, gaps, ages
}

// BenchmarkStream compares streams on all paths, alternating between them: the time to the
// first token, the time between tokens, and the age of a token on arrival.
func BenchmarkStream(b *testing.B) {
	const streams, turns = 50, 4
	paths := newPaths(b)
	first, gaps, ages := make([]samples, len(paths)), make([]samples, len(paths)), make([]samples, len(paths))
	for range turns {
		for i, p := range paths {
			var wg sync.WaitGroup
			for range streams {
				wg.Go(func() {
					firstEvent, eventGaps, eventAges := stream(b, p.url+"/stream?n=100&gap=10ms")
					first[i].add(firstEvent)
					gaps[i].add(eventGaps...)
					ages[i].add(eventAges...)
				})
			}
			wg.Wait()
		}
	}
	report(b, paths, first, "first")
	report(b, paths, gaps, "gap")
	report(b, paths, ages, "age")
}
