package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest time to a first byte that a histogram tells from
	// longer ones, and digits how exactly it does.
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// Second is what became of the callers that asked in one second.
type Second struct {
	Arrived    int     `json:"asked"`
	InTime     int     `json:"in_time"` // begun within the objective, and whole
	Late       int     `json:"late"`
	Refused    int     `json:"refused"`     // for good
	Rejections int     `json:"turned_away"` // told to come back
	Failed     int     `json:"failed"`      // broken off, or without an answer in time
	Skew       float64 `json:"skew"`        // most loaded upstream over the mean, on average
	Queued     float64 `json:"waiting"`     // in the queues of upstreams, on average

	samples int
}

// Result is what a run has shown.
type Result struct {
	Seconds           []Second                `json:"seconds"`
	FirstByte         *hdrhistogram.Histogram `json:"-"` // times to the first byte, in microseconds
	CachedTokens      int                     `json:"held_tokens"`
	TransferredTokens int                     `json:"moved_tokens"`
	PrefilledTokens   int                     `json:"read_tokens"` // of prompts, that were known to some engine or not

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

// recordFirstByte takes in how long a first byte took, and reports whether that was too long.
func (r *Result) recordFirstByte(d time.Duration) (late bool) {
	// Longer times than the histogram holds do not occur: callers leave before.
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

// computeAverages turns sums into averages.
func (r *Result) computeAverages() {
	for i := range r.Seconds {
		s := &r.Seconds[i]
		if s.samples > 0 {
			s.Skew /= float64(s.samples)
			s.Queued /= float64(s.samples)
		}
	}
}

// Sum returns what became of all callers.
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

// Reuse returns which part of the prompts' tokens was found where a request ran.
func (r *Result) Reuse() float64 {
	all := r.CachedTokens + r.TransferredTokens + r.PrefilledTokens
	if all == 0 {
		return 0
	}
	return float64(r.CachedTokens) / float64(all)
}
