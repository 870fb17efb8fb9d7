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

// Run is the result of one policy with one seed.
type Run struct {
	Experiment        string         `json:"experiment"`
	Policy            string         `json:"policy"`
	Seed              uint64         `json:"seed"`
	Sum               model.Second   `json:"sum"`
	Reuse             float64        `json:"reuse"` // share of prompt tokens that was cached
	TransferredTokens int            `json:"moved_tokens"`
	PrefilledTokens   int            `json:"read_tokens"`
	FirstByteMS       Quantiles      `json:"first_byte_ms"`
	Seconds           []model.Second `json:"seconds"`

	firstByte *hdrhistogram.Histogram
}

// Quantiles are quantiles of the time to the first byte, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// RunAll simulates each policy with each seed, as many at a time as there are processors. It
// returns the runs in the order of the file, whichever ended first.
func RunAll(f *File) ([]Run, error) {
	runs := make([]Run, len(f.Policies)*len(f.Seeds))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, p := range f.Policies {
		mechanisms, err := policy.Without(p.Without)
		if err != nil {
			return nil, errors.Wrapf(err, "policies[%d].without", i)
		}
		for j, seed := range f.Seeds {
			g.Go(func() error {
				runs[i*len(f.Seeds)+j] = newRun(f, p, seed, model.Simulate(f.Model, mechanisms, seed))
				return nil
			})
		}
	}
	return runs, g.Wait()
}

func newRun(f *File, p Policy, seed uint64, r *model.Result) Run {
	quantileMS := func(q float64) float64 {
		return float64(r.FirstByte.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return Run{
		Experiment:        f.Name,
		Policy:            p.Name,
		Seed:              seed,
		Sum:               r.Sum(),
		Reuse:             r.Reuse(),
		TransferredTokens: r.TransferredTokens,
		PrefilledTokens:   r.PrefilledTokens,
		FirstByteMS:       Quantiles{P50: quantileMS(50), P95: quantileMS(95), P99: quantileMS(99)},
		Seconds:           r.Seconds,
		firstByte:         r.FirstByte,
	}
}

// WriteJSONLines writes each run as a line of JSON.
func WriteJSONLines(w io.Writer, runs []Run) error {
	e := json.NewEncoder(w)
	for _, r := range runs {
		if err := e.Encode(r); err != nil {
			return errors.Wrap(err, "write the runs")
		}
	}
	return nil
}

// runsOfPolicy returns the runs of one policy.
func runsOfPolicy(runs []Run, policy string) []Run {
	return slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return r.Policy != policy })
}

// Spread holds the mean, the lowest and the highest value of a metric over the seeds.
type Spread struct {
	Mean, Low, High float64
}

func spreadOf(runs []Run, metric func(Run) float64) Spread {
	s := Spread{Low: math.Inf(1), High: math.Inf(-1)}
	for _, r := range runs {
		x := metric(r)
		s.Mean += x / float64(len(runs))
		s.Low, s.High = min(s.Low, x), max(s.High, x)
	}
	return s
}

// Summary holds the results of one policy over all seeds.
type Summary struct {
	Policy                                                         string
	InTime, Late, Refused, Failed                                  Spread // shares of the callers
	Rejections                                                     Spread // rejections per caller
	Reuse, TransferredTokens, PrefilledTokens, Skew, P50, P95, P99 Spread
}

// Summarise returns a Summary of each policy, in the order of the file.
func Summarise(f *File, runs []Run) []Summary {
	summaries := make([]Summary, 0, len(f.Policies))
	for _, p := range f.Policies {
		policyRuns := runsOfPolicy(runs, p.Name)
		share := func(count func(model.Second) int) Spread {
			return spreadOf(policyRuns, func(r Run) float64 { return float64(count(r.Sum)) / float64(cmp.Or(r.Sum.Arrived, 1)) })
		}
		summaries = append(summaries, Summary{
			Policy:            p.Name,
			InTime:            share(func(s model.Second) int { return s.InTime }),
			Late:              share(func(s model.Second) int { return s.Late }),
			Refused:           share(func(s model.Second) int { return s.Refused }),
			Failed:            share(func(s model.Second) int { return s.Failed }),
			Rejections:        share(func(s model.Second) int { return s.Rejections }),
			Reuse:             spreadOf(policyRuns, func(r Run) float64 { return r.Reuse }),
			TransferredTokens: spreadOf(policyRuns, func(r Run) float64 { return float64(r.TransferredTokens) }),
			PrefilledTokens:   spreadOf(policyRuns, func(r Run) float64 { return float64(r.PrefilledTokens) }),
			Skew:              spreadOf(policyRuns, func(r Run) float64 { return r.Sum.Skew }),
			P50:               spreadOf(policyRuns, func(r Run) float64 { return r.FirstByteMS.P50 }),
			P95:               spreadOf(policyRuns, func(r Run) float64 { return r.FirstByteMS.P95 }),
			P99:               spreadOf(policyRuns, func(r Run) float64 { return r.FirstByteMS.P99 }),
		})
	}
	return summaries
}
