package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency and significantDigits are the range and the precision of the histogram of
	// times to the first byte.
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// Second holds the outcomes of the callers that arrived in one second. Each caller is counted in
// one of InTime, Late, Refused and Failed.
type Second struct {
	Arrived    int     `json:"asked"`
	InTime     int     `json:"in_time"`     // complete responses whose first byte met the objective
	Late       int     `json:"late"`        // complete responses whose first byte missed the objective
	Refused    int     `json:"refused"`     // callers that used all their tries
	Rejections int     `json:"turned_away"` // rejected tries, of which a caller may have several
	Failed     int     `json:"failed"`      // broken responses, and callers that left
	Skew       float64 `json:"skew"`        // highest load of an upstream divided by the mean load, averaged
	Queued     float64 `json:"waiting"`     // requests in the queues of upstreams, averaged

	samples int
}

// Result is the outcome of a run.
type Result struct {
	Seconds           []Second                `json:"seconds"`
	FirstByte         *hdrhistogram.Histogram `json:"-"` // time to the first byte, in microseconds
	CachedTokens      int                     `json:"held_tokens"`
	TransferredTokens int                     `json:"moved_tokens"`
	PrefilledTokens   int                     `json:"read_tokens"` // prompt tokens that were neither cached nor transferred

	objective time.Duration
}

func newResult(c Config) *Result {
	return &Result{
		Seconds:   make([]Second, int(c.Length/time.Second)+1),
		FirstByte: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		objective: c.Callers.Objective,
	}
}

func (r *Result) second(arrivedAt time.Time) *Second {
	return &r.Seconds[min(secondIndex(arrivedAt), len(r.Seconds)-1)]
}

func (r *Result) recordArrival(arrivedAt time.Time)   { r.second(arrivedAt).Arrived++ }
func (r *Result) recordRejection(arrivedAt time.Time) { r.second(arrivedAt).Rejections++ }
func (r *Result) recordRefusal(arrivedAt time.Time)   { r.second(arrivedAt).Refused++ }
func (r *Result) recordFailure(arrivedAt time.Time)   { r.second(arrivedAt).Failed++ }

// recordFirstByte records a time to the first byte and reports whether it exceeds the objective.
func (r *Result) recordFirstByte(d time.Duration) (late bool) {
	// Times beyond the range of the histogram do not occur, because callers leave before.
	_ = r.FirstByte.RecordValue(max(1, d.Microseconds()))
	return d > r.objective
}

func (r *Result) recordResponse(arrivedAt time.Time, late bool) {
	if late {
		r.second(arrivedAt).Late++
	} else {
		r.second(arrivedAt).InTime++
	}
}

func (r *Result) recordPrompt(cached, transferred, prefilled int) {
	r.CachedTokens += cached
	r.TransferredTokens += transferred
	r.PrefilledTokens += prefilled
}

func (r *Result) recordSample(now time.Time, maxLoad, meanLoad float64, waiting int) {
	if secondIndex(now) >= len(r.Seconds) {
		return
	}
	s := r.second(now)
	s.samples++
	s.Queued += float64(waiting)
	if meanLoad > 0 {
		s.Skew += maxLoad / meanLoad
	}
}

// computeAverages divides the sums of samples by their number.
func (r *Result) computeAverages() {
	for i := range r.Seconds {
		s := &r.Seconds[i]
		if s.samples > 0 {
			s.Skew /= float64(s.samples)
			s.Queued /= float64(s.samples)
		}
	}
}

// Sum returns the totals of all seconds. Skew and Queued are means of the sampled seconds.
func (r *Result) Sum() Second {
	var sum Second
	n := 0
	for _, s := range r.Seconds {
		sum.Arrived += s.Arrived
		sum.InTime += s.InTime
		sum.Late += s.Late
		sum.Refused += s.Refused
		sum.Rejections += s.Rejections
		sum.Failed += s.Failed
		if s.samples > 0 {
			sum.Skew += s.Skew
			sum.Queued += s.Queued
			n++
		}
	}
	if n > 0 {
		sum.Skew /= float64(n)
		sum.Queued /= float64(n)
	}
	return sum
}

// Reuse returns the share of prompt tokens, 0 to 1, that was cached at the upstream that ran the
// request.
func (r *Result) Reuse() float64 {
	all := r.CachedTokens + r.TransferredTokens + r.PrefilledTokens
	if all == 0 {
		return 0
	}
	return float64(r.CachedTokens) / float64(all)
}
