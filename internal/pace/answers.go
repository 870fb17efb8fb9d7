package pace

import (
	"math"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/decay"
)

const (
	// answerDecay is the time in which the weight of an answer falls to 1/e. The lengths of answers
	// change more slowly than the speed of engines, and a router receives far fewer answers than
	// events.
	answerDecay = time.Minute
	// forgetAfter is the time without an answer after which a kind starts without observations. The
	// weight of the old ones is then below 1%, and a percentile would follow from the next one alone.
	forgetAfter = 5 * answerDecay
	// bucketRatio is the ratio of the bounds of a bucket of the histogram of events per answer.
	bucketRatio = 1.1
	// buckets is the number of buckets: the last one ends at 2.3 million events.
	buckets = 155
)

// logBucketRatio is a variable because math.Log is not a constant expression.
var logBucketRatio = math.Log(bucketRatio)

// answers holds the observations of the answers to one kind of request. All but count and last decay.
type answers struct {
	clock     decay.Clock
	last      time.Time // of the latest answer
	count     int
	weight    float64 // sum of the weights of answers
	events    float64 // weighted sum of the events of answers
	first     float64 // weighted sum of the seconds to the first byte
	histogram [buckets]float64
}

func newAnswers() *answers {
	return &answers{clock: decay.NewClock(answerDecay)}
}

// bucketOf returns the bucket of an answer. Bucket 0 is for answers without events, and bucket i for
// those with at least bucketStart(i) events and fewer than bucketStart(i+1).
func bucketOf(events int) int {
	if events <= 0 {
		return 0
	}
	return min(1+int(math.Log(float64(events))/logBucketRatio), buckets-1)
}

func bucketStart(i int) float64 {
	return math.Pow(bucketRatio, float64(i-1))
}

func (a *answers) add(now time.Time, events int, first float64) {
	if scale, due := a.clock.Rebase(now); due {
		a.weight, a.events, a.first = a.weight/scale, a.events/scale, a.first/scale
		for i := range a.histogram {
			a.histogram[i] /= scale
		}
	}
	weight := a.clock.Weight(now)
	if !(weight > 0) { // now is so long before the last Rebase that the weight underflows
		return
	}
	if now.After(a.last) {
		a.last = now
	}
	a.count++
	a.weight += weight
	a.events += weight * min(float64(events), bucketStart(buckets))
	a.first += weight * first
	a.histogram[bucketOf(events)] += weight
}

// known reports whether there are enough answers for a mean or a percentile.
func (a *answers) known(now time.Time) bool {
	return a.count >= minAnswers && now.Sub(a.last) <= forgetAfter
}

// means returns the mean time to the first byte in seconds and the mean number of events.
func (a *answers) means() (first, events float64) {
	return a.first / a.weight, a.events / a.weight
}

// percentile returns the number of events that the given fraction of the answers does not exceed. It
// interpolates within the bucket, so that the error is less than the width of a bucket.
func (a *answers) percentile(fraction float64) float64 {
	rest := fraction * a.weight
	last := 0 // highest bucket with answers, for a rest that is due to rounding
	for i, weight := range a.histogram {
		if weight == 0 {
			continue
		}
		if rest <= weight {
			return interpolated(i, rest/weight)
		}
		rest -= weight
		last = i
	}
	return interpolated(last, 1)
}

// interpolated returns the number of events at the given part of a bucket, 0 to 1.
func interpolated(bucket int, part float64) float64 {
	if bucket == 0 {
		return 0
	}
	start := bucketStart(bucket)
	return start + part*(bucketStart(bucket+1)-start)
}
