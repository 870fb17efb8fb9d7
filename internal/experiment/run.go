package experiment

import (
	"cmp"
	"encoding/json"
	"io"
	"math"
	"runtime"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/parsleyfront/parsleyfront/internal/model"
	"github.com/parsleyfront/parsleyfront/internal/policy"
)

// Run is one policy played with one seed.
type Run struct {
	Experiment string         `json:"experiment"`
	Policy     string         `json:"policy"`
	Seed       uint64         `json:"seed"`
	Sum        model.Second   `json:"sum"`
	Reuse      float64        `json:"reuse"` // part of the prompts' tokens that was found
	Moved      int            `json:"moved_tokens"`
	Read       int            `json:"read_tokens"`
	FirstMS    Quantiles      `json:"first_byte_ms"`
	Seconds    []model.Second `json:"seconds"`

	first *hdrhistogram.Histogram
}

// Quantiles are of the time to the first byte, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Play plays each policy with each seed, one on each processor at a time. The runs come in
// the order of the file, whichever ended first.
func Play(f *File) ([]Run, error) {
	runs := make([]Run, len(f.Policies)*len(f.Seeds))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, p := range f.Policies {
		on, err := policy.Without(p.Without)
		if err != nil {
			return nil, errors.Wrapf(err, "policies[%d].without", i)
		}
		for j, seed := range f.Seeds {
			g.Go(func() error {
				runs[i*len(f.Seeds)+j] = newRun(f, p, seed, model.Play(f.Model, on, seed))
				return nil
			})
		}
	}
	return runs, g.Wait()
}

func newRun(f *File, p Policy, seed uint64, r *model.Result) Run {
	at := func(q float64) float64 {
		return float64(r.First.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return Run{
		Experiment: f.Name,
		Policy:     p.Name,
		Seed:       seed,
		Sum:        r.Sum(),
		Reuse:      r.Reuse(),
		Moved:      r.Moved,
		Read:       r.Read,
		FirstMS:    Quantiles{P50: at(50), P95: at(95), P99: at(99)},
		Seconds:    r.Seconds,
		first:      r.First,
	}
}

// WriteLines writes each run as a line of JSON.
func WriteLines(w io.Writer, runs []Run) error {
	e := json.NewEncoder(w)
	for _, r := range runs {
		if err := e.Encode(r); err != nil {
			return errors.Wrap(err, "write the runs")
		}
	}
	return nil
}

// of returns the runs of one policy.
func of(runs []Run, policy string) []Run {
	return slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return r.Policy != policy })
}

// Spread is a figure over the seeds.
type Spread struct {
	Mean, Low, High float64
}

func spreadOf(runs []Run, figure func(Run) float64) Spread {
	s := Spread{Low: math.Inf(1), High: math.Inf(-1)}
	for _, r := range runs {
		x := figure(r)
		s.Mean += x / float64(len(runs))
		s.Low, s.High = min(s.Low, x), max(s.High, x)
	}
	return s
}

// Summary is what one policy has shown.
type Summary struct {
	Policy                                  string
	InTime, Late, Refused, Failed           Spread // parts of those who asked
	TurnedAway                              Spread // times, for each who asked
	Reuse, Moved, Read, Skew, P50, P95, P99 Spread
}

// Summarise returns a Summary of each policy, in the order of the file.
func Summarise(f *File, runs []Run) []Summary {
	out := make([]Summary, 0, len(f.Policies))
	for _, p := range f.Policies {
		its := of(runs, p.Name)
		part := func(n func(model.Second) int) Spread {
			return spreadOf(its, func(r Run) float64 { return float64(n(r.Sum)) / float64(cmp.Or(r.Sum.Asked, 1)) })
		}
		out = append(out, Summary{
			Policy:     p.Name,
			InTime:     part(func(s model.Second) int { return s.InTime }),
			Late:       part(func(s model.Second) int { return s.Late }),
			Refused:    part(func(s model.Second) int { return s.Refused }),
			Failed:     part(func(s model.Second) int { return s.Failed }),
			TurnedAway: part(func(s model.Second) int { return s.TurnedAway }),
			Reuse:      spreadOf(its, func(r Run) float64 { return r.Reuse }),
			Moved:      spreadOf(its, func(r Run) float64 { return float64(r.Moved) }),
			Read:       spreadOf(its, func(r Run) float64 { return float64(r.Read) }),
			Skew:       spreadOf(its, func(r Run) float64 { return r.Sum.Skew }),
			P50:        spreadOf(its, func(r Run) float64 { return r.FirstMS.P50 }),
			P95:        spreadOf(its, func(r Run) float64 { return r.FirstMS.P95 }),
			P99:        spreadOf(its, func(r Run) float64 { return r.FirstMS.P99 }),
		})
	}
	return out
}
