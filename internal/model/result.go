package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestLatency is the longest time to a first byte that a histogram tells from
	// longer ones, and digits how exactly it does.
	longestLatency = 10 * time.Minute
	digits         = 3
)

// Second is what became of the callers that asked in one second.
type Second struct {
	Asked      int     `json:"asked"`
	InTime     int     `json:"in_time"` // begun within the objective, and whole
	Late       int     `json:"late"`
	Refused    int     `json:"refused"`     // for good
	TurnedAway int     `json:"turned_away"` // told to come back
	Failed     int     `json:"failed"`      // broken off, or without an answer in time
	Skew       float64 `json:"skew"`        // most loaded upstream over the mean, on average
	Waiting    float64 `json:"waiting"`     // in the queues of upstreams, on average

	samples int
}

// Result is what a run has shown.
type Result struct {
	Seconds []Second                `json:"seconds"`
	First   *hdrhistogram.Histogram `json:"-"` // times to the first byte, in microseconds
	Held    int                     `json:"held_tokens"`
	Moved   int                     `json:"moved_tokens"`
	Read    int                     `json:"read_tokens"` // of prompts, that were known to some engine or not

	objective time.Duration
}

func newResult(c Config) *Result {
	return &Result{
		Seconds:   make([]Second, int(c.Length/time.Second)+1),
		First:     hdrhistogram.New(1, longestLatency.Microseconds(), digits),
		objective: c.Callers.Objective,
	}
}

func (r *Result) at(asked time.Time) *Second {
	return &r.Seconds[min(window(asked), len(r.Seconds)-1)]
}

func (r *Result) asked(at time.Time)      { r.at(at).Asked++ }
func (r *Result) turnedAway(at time.Time) { r.at(at).TurnedAway++ }
func (r *Result) refused(at time.Time)    { r.at(at).Refused++ }
func (r *Result) failed(at time.Time)     { r.at(at).Failed++ }

// begun takes in how long a first byte took, and reports whether that was too long.
func (r *Result) begun(d time.Duration) (late bool) {
	// Longer times than the histogram holds do not occur: callers leave before.
	_ = r.First.RecordValue(max(1, d.Microseconds()))
	return d > r.objective
}

func (r *Result) answered(asked time.Time, late bool) {
	if late {
		r.at(asked).Late++
	} else {
		r.at(asked).InTime++
	}
}

func (r *Result) prompt(held, moved, read int) {
	r.Held += held
	r.Moved += moved
	r.Read += read
}

func (r *Result) sample(now time.Time, most, mean float64, waiting int) {
	if window(now) >= len(r.Seconds) {
		return
	}
	s := r.at(now)
	s.samples++
	s.Waiting += float64(waiting)
	if mean > 0 {
		s.Skew += most / mean
	}
}

// finish turns sums into averages.
func (r *Result) finish() {
	for i := range r.Seconds {
		s := &r.Seconds[i]
		if s.samples > 0 {
			s.Skew /= float64(s.samples)
			s.Waiting /= float64(s.samples)
		}
	}
}

// Sum returns what became of all callers.
func (r *Result) Sum() Second {
	var sum Second
	n := 0
	for _, s := range r.Seconds {
		sum.Asked += s.Asked
		sum.InTime += s.InTime
		sum.Late += s.Late
		sum.Refused += s.Refused
		sum.TurnedAway += s.TurnedAway
		sum.Failed += s.Failed
		if s.samples > 0 {
			sum.Skew += s.Skew
			sum.Waiting += s.Waiting
			n++
		}
	}
	if n > 0 {
		sum.Skew /= float64(n)
		sum.Waiting /= float64(n)
	}
	return sum
}

// Reuse returns which part of the prompts' tokens was found where a request ran.
func (r *Result) Reuse() float64 {
	all := r.Held + r.Moved + r.Read
	if all == 0 {
		return 0
	}
	return float64(r.Held) / float64(all)
}
