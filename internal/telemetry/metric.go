// Package telemetry provides the metrics, traces and logs of a process: metrics published
// by expvar, a span for each hop by OpenTelemetry, and log lines by slog.
//
// Metrics are package variables of the package that updates them:
//
//	var strayFrames = telemetry.NewCounter("wire_stray_frames_total",
//		"Frames dropped because they belong to no open stream.")
//
// Their names begin with the package's name. Names of counters end with _total, names of
// gauges and histograms with the unit. Each metric has a row on the
// operators' page of counters, which a test compares with the registry. A process that runs
// several roles, as in dev mode, has one set of metrics for all of them.
package telemetry

import (
	"encoding/json"
	"expvar"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is a kind of metric.
type Kind string

// Kinds of metric.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Desc describes a metric to operators.
type Desc struct {
	Name  string
	Kind  Kind
	Label string // name of a Family's label; empty for other metrics
	Help  string
	Alert bool // growth of the value must be investigated by an operator
}

// Option changes the Desc of a metric.
type Option func(*Desc)

// Alert marks a counter that does not grow in a healthy fleet.
func Alert(d *Desc) {
	d.Alert = true
}

// namePattern is the syntax of metric names.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)+$`)

// gaugeUnits lists the units that a gauge's name may end with.
var gaugeUnits = []string{
	"bytes", "seconds", "ratio", "info", "version",
	"connections", "domains", "entries", "objects", "pools", "requests", "streams", "tokens", "upstreams", "vms",
}

var registry struct {
	mu    sync.Mutex
	descs []Desc
}

// Descs returns the descriptions of the metrics of this process, ordered by name.
func Descs() []Desc {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return slices.Clone(registry.descs)
}

// register publishes v. It panics if the name is invalid or already registered. Since
// metrics are package variables, that happens when the process starts.
func register(d Desc, v expvar.Var, opts []Option) {
	for _, opt := range opts {
		opt(&d)
	}
	if err := checkName(d); err != nil {
		panic(err)
	}
	expvar.Publish(d.Name, v)
	registry.mu.Lock()
	defer registry.mu.Unlock()
	i, _ := slices.BinarySearchFunc(registry.descs, d, func(a, b Desc) int { return strings.Compare(a.Name, b.Name) })
	registry.descs = slices.Insert(registry.descs, i, d)
}

func checkName(d Desc) error {
	unit := d.Name[strings.LastIndexByte(d.Name, '_')+1:]
	valid := false
	switch d.Kind {
	case KindCounter:
		valid = unit == "total"
	case KindGauge:
		valid = slices.Contains(gaugeUnits, unit)
	case KindHistogram:
		valid = unit == "seconds"
	}
	if !valid || !namePattern.MatchString(d.Name) {
		return fmt.Errorf("telemetry: invalid name %q for a %s", d.Name, d.Kind)
	}
	if d.Help == "" {
		return fmt.Errorf("telemetry: metric %s has no help text", d.Name)
	}
	return nil
}

// Counter is a value that only increases.
type Counter struct {
	v expvar.Int
}

// NewCounter registers a Counter. Its name ends with _total.
func NewCounter(name, help string, opts ...Option) *Counter {
	c := &Counter{}
	register(Desc{Name: name, Kind: KindCounter, Help: help}, &c.v, opts)
	return c
}

// Inc adds one.
func (c *Counter) Inc() {
	c.v.Add(1)
}

// Add adds n, which must not be negative.
func (c *Counter) Add(n int64) {
	c.v.Add(n)
}

// Value returns the count since the process started.
func (c *Counter) Value() int64 {
	return c.v.Value()
}

// Gauge is a value that can increase and decrease.
type Gauge struct {
	v expvar.Int
}

// NewGauge registers a Gauge. Its name ends with its unit.
func NewGauge(name, help string, opts ...Option) *Gauge {
	g := &Gauge{}
	register(Desc{Name: name, Kind: KindGauge, Help: help}, &g.v, opts)
	return g
}

// Set replaces the value.
func (g *Gauge) Set(n int64) {
	g.v.Set(n)
}

// Add changes the value by n, which may be negative.
func (g *Gauge) Add(n int64) {
	g.v.Add(n)
}

// Value returns the current value.
func (g *Gauge) Value() int64 {
	return g.v.Value()
}

const (
	// maxLabels bounds the number of label values of a Family. Otherwise, if a label were
	// taken from input such as a caller's header, each new value would use memory forever.
	maxLabels  = 64
	otherLabel = "other"
)

// Family is a set of counters distinguished by the value of one label. The values are
// constants of type L.
type Family[L ~string] struct {
	m      expvar.Map
	mu     sync.Mutex // held while a label is added
	labels int
}

// NewFamily registers a Family. Its name ends with _total.
func NewFamily[L ~string](name, label, help string, opts ...Option) *Family[L] {
	f := &Family[L]{}
	register(Desc{Name: name, Kind: KindCounter, Label: label, Help: help}, &f.m, opts)
	return f
}

// Inc adds one to the counter of label.
func (f *Family[L]) Inc(label L) {
	f.Add(label, 1)
}

// Add adds n, which must not be negative, to the counter of label.
func (f *Family[L]) Add(label L, n int64) {
	if f.m.Get(string(label)) == nil {
		label = f.admit(label)
	}
	f.m.Add(string(label), n)
}

// admit adds a counter for label and returns label. If the Family is full, it returns the
// label under which all others are counted.
func (f *Family[L]) admit(label L) L {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.m.Get(string(label)) != nil {
		return label
	}
	if f.labels >= maxLabels {
		return otherLabel
	}
	f.labels++
	f.m.Add(string(label), 0)
	return label
}

// Value returns the count of label since the process started.
func (f *Family[L]) Value(label L) int64 {
	if v, ok := f.m.Get(string(label)).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Do calls fn for each label that has been counted, in alphabetical order.
func (f *Family[L]) Do(fn func(label L, n int64)) {
	f.m.Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			fn(L(kv.Key), v.Value())
		}
	})
}

// Resolution, range and windows of a Histogram. The windows add up to a minute.
const (
	histogramUnit    = 10 * time.Microsecond // unit of recorded values
	histogramMax     = time.Hour
	histogramDigits  = 2 // significant decimal digits of recorded values
	histogramWindows = 4 // windows from which quantiles are computed
	windowLength     = 15 * time.Second
)

// Histogram is a distribution of durations. It has the total count and sum since the start
// of the process, and quantiles of the last minute.
type Histogram struct {
	mu           sync.Mutex
	recent       *hdrhistogram.WindowedHistogram
	lastRotation time.Time
	count        int64
	sum          time.Duration
}

// NewHistogram registers a Histogram. Its name ends with _seconds.
func NewHistogram(name, help string, opts ...Option) *Histogram {
	h := &Histogram{recent: hdrhistogram.NewWindowed(histogramWindows, 1, int64(histogramMax/histogramUnit), histogramDigits)}
	register(Desc{Name: name, Kind: KindHistogram, Help: help}, h, opts)
	return h
}

// Observe records a duration. In the quantiles, a duration over an hour counts as an hour.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(time.Now())
	units := min(max(d, 0), histogramMax) / histogramUnit
	_ = h.recent.Current.RecordValue(int64(units)) // cannot fail: the value is in range
	h.count++
	h.sum += d
}

// rotate drops the windows that have expired. h.mu must be held.
func (h *Histogram) rotate(now time.Time) {
	due := int(now.Sub(h.lastRotation) / windowLength)
	if due == 0 {
		return
	}
	h.lastRotation = now
	for range min(due, histogramWindows) {
		h.recent.Rotate()
	}
}

// histogramSummary is the published JSON form of a Histogram. All values but Count are in
// seconds.
type histogramSummary struct {
	Count int64   `json:"count"`
	Sum   float64 `json:"sum"`
	P50   float64 `json:"p50_last_minute"`
	P99   float64 `json:"p99_last_minute"`
	Max   float64 `json:"max_last_minute"`
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(time.Now())
	recent := h.recent.Merge()
	seconds := func(units int64) float64 { return (time.Duration(units) * histogramUnit).Seconds() }
	b, _ := json.Marshal(histogramSummary{ // cannot fail for plain numbers
		Count: h.count,
		Sum:   h.sum.Seconds(),
		P50:   seconds(recent.ValueAtQuantile(50)),
		P99:   seconds(recent.ValueAtQuantile(99)),
		Max:   seconds(recent.Max()),
	})
	return string(b)
}
