package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// metricsServer returns the address of a server with metrics.
func metricsServer(t *testing.T, metrics string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/metrics" {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write([]byte(metrics))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against sums that lack a label or a router, and against a router that is away being taken for one
// that counts nothing.
func TestBudgetSumsOverRouters(t *testing.T) {
	first := metricsServer(t, `{"retry_repeats_total": {"failure": 3}, "router_upstream_crashes_total": {"gone": 2}, "router_held_copies_total": 4}`)
	second := metricsServer(t, `{"retry_repeats_total": {"failure": 1, "stall": 5}, "router_held_copies_total": 1, "memstats": {}}`)
	var out, errOut bytes.Buffer
	if code := Run(context.Background(), []string{"budget", "-o", "json", first, second}, &out, &errOut); code != ExitOK {
		t.Fatalf("code %d: %s", code, errOut.String())
	}
	var sum budgetSum
	if err := json.Unmarshal(out.Bytes(), &sum); err != nil {
		t.Fatal(err)
	}
	repeats := sum.Families["retry_repeats_total"]
	if sum.Routers != 2 || repeats["failure"] != 4 || repeats["stall"] != 5 || sum.Families["router_upstream_crashes_total"]["gone"] != 2 || sum.Counters["router_held_copies_total"] != 5 {
		t.Errorf("%+v", sum)
	}

	out.Reset()
	if code := Run(context.Background(), []string{"budget", first, "127.0.0.1:1"}, &out, &errOut); code != ExitFailed || !strings.Contains(out.String(), "127.0.0.1:1") {
		t.Errorf("code %d, %s", code, out.String())
	}
}

// Guards against sums of metrics that no router has.
func TestBudgetNamesMetricsThatAreDocumented(t *testing.T) {
	text := readPage(t, "counters.md")
	for _, name := range append(append([]string(nil), budgetFamilies...), budgetCounters...) {
		if !strings.Contains(text, "`"+name) {
			t.Errorf("counters.md has no metric %s", name)
		}
	}
}

// Guards against a command that keeps a list of metrics without end until the memory of its machine is used up.
func TestMetricsWithoutEndAreRefused(t *testing.T) {
	endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		name := []byte(`{"` + strings.Repeat("x", 64<<10))
		for n := 0; n < 4*maxMetricsBytes; n += len(name) {
			if _, err := w.Write(name); err != nil {
				return
			}
			name = name[len(name)-64<<10:]
		}
	}))
	defer endless.Close()
	var out map[string]json.RawMessage
	var tooLong *http.MaxBytesError
	if err := readJSON(context.Background(), strings.TrimPrefix(endless.URL, "http://"), "/metrics", &out); !errors.As(err, &tooLong) {
		t.Errorf("error %.200v", err)
	}
}
