package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/http1"
)

const (
	// metricsTimeout bounds the reading of one router's metrics, and maxMetricsBytes their size.
	metricsTimeout  = 3 * time.Second
	maxMetricsBytes = 16 << 20
)

// metricsClient reads the metrics of routers.
var metricsClient = &http.Client{Transport: http1.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// budgetFamilies are the metrics whose values show which part of the budget of retries is used, and by what.
var budgetFamilies = []string{
	"retry_repeats_total", "retry_refused_repeats_total", "router_upstream_crashes_total", "exchange_left_calls_total", "exchange_body_ends_total",
}

// budgetCounters are the counters beside them.
var budgetCounters = []string{
	"router_lost_attempts_total", "router_left_at_crashes_total", "router_retracted_crashes_total",
	"router_quarantined_requests_total", "router_suspect_refusals_total", "router_held_copies_total", "router_late_answers_total",
}

// budgetSum is the sum of what routers count of retries and of requests that crash upstreams, each since
// its start.
type budgetSum struct {
	Routers  int                         `json:"routers"` // that have answered
	Failed   map[string]string           `json:"failed"`  // errors by address
	Families map[string]map[string]int64 `json:"families"`
	Counters map[string]int64            `json:"counters"`
}

// budget sums the metrics of the routers at the given addresses.
func (a *app) budget(ctx context.Context) error {
	sum := budgetSum{Failed: make(map[string]string), Families: make(map[string]map[string]int64), Counters: make(map[string]int64)}
	for _, addr := range a.options.Budget.Args.Addrs {
		metrics, err := readMetrics(ctx, addr)
		if err == nil {
			err = sum.add(metrics)
		}
		if err != nil {
			sum.Failed[addr] = err.Error()
			continue
		}
		sum.Routers++
	}
	if err := a.print(sum); err != nil {
		return err
	}
	return checkAnswers(sum.Failed, a.options.Budget.Args.Addrs, "the sums are without these routers")
}

// readMetrics returns the metrics of the router with a metrics address.
func readMetrics(ctx context.Context, addr string) (map[string]json.RawMessage, error) {
	var out map[string]json.RawMessage
	err := readJSON(ctx, addr, "/metrics", &out)
	return out, err
}

// readJSON reads the value that a router serves on a path of its metrics address.
func readJSON(ctx context.Context, addr, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := metricsClient.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxMetricsBytes)).Decode(value), path)
}

// add adds the metrics of one router. Those that a router of an earlier release lacks count as zero.
func (s *budgetSum) add(metrics map[string]json.RawMessage) error {
	for _, name := range budgetFamilies {
		values := make(map[string]int64)
		if err := decodeMetric(metrics, name, &values); err != nil {
			return err
		}
		if s.Families[name] == nil {
			s.Families[name] = make(map[string]int64)
		}
		for label, n := range values {
			s.Families[name][label] += n
		}
	}
	for _, name := range budgetCounters {
		var n int64
		if err := decodeMetric(metrics, name, &n); err != nil {
			return err
		}
		s.Counters[name] += n
	}
	return nil
}

func decodeMetric(metrics map[string]json.RawMessage, name string, value any) error {
	text, ok := metrics[name]
	if !ok {
		return nil
	}
	return errors.Wrap(json.Unmarshal(text, value), name)
}

func (s budgetSum) table(w io.Writer) {
	fmt.Fprintf(w, "SINCE THE START OF EACH OF %d ROUTERS\tOF WHICH\tCOUNT\n", s.Routers)
	for _, name := range budgetFamilies {
		for _, label := range slices.Sorted(maps.Keys(s.Families[name])) {
			fmt.Fprintf(w, "%s\t%s\t%d\n", name, label, s.Families[name][label])
		}
	}
	for _, name := range budgetCounters {
		fmt.Fprintf(w, "%s\t\t%d\n", name, s.Counters[name])
	}
	for _, addr := range slices.Sorted(maps.Keys(s.Failed)) {
		fmt.Fprintf(w, "%s\tno answer: %s\t\n", addr, s.Failed[addr])
	}
}
