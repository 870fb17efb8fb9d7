// Package warmup bounds what one router sends to upstreams that have just started and are
// still cold, so that all routers together keep to what such an upstream bears.
//
// The load pattern that it answers: a failure domain's upstreams come back at the same
// moment, and all their sessions want to go home to them; or one that has crashed comes
// back in a surge. Requests above the rate crash it again, and a router sees too little of
// the traffic to notice: of 30 routers each sends a thirtieth.
//
// No router asks another one, since an answer that is late or lost would hold up a request
// or let it through. Each works its share out from the size of the fleet: in a small fleet
// an equal part, in a large one all or nothing, by a hash of its own name and the
// upstream's. Two routers that disagree on the size disagree a little on the odds, and
// nothing else: no list of routers has to agree.
//
// Package router feeds a Gate and asks it; it may assume no more of its clock than that it
// does not run fast.
package warmup

import (
	"math"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// Limit is how many requests a cold upstream bears from all routers. Its zero value is no
// limit.
type Limit struct {
	PerSecond float64 // that its service states; zero: no limit
	Overage   float64 // the multiple of it that is allowed; zero counts as one
	Slack     float64 // requests on top
}

// MaxPerSecond returns how many requests may reach a cold upstream within a second.
func (l Limit) MaxPerSecond() int {
	overage := l.Overage
	if overage == 0 {
		overage = 1
	}
	return int(l.PerSecond*overage + l.Slack)
}

const (
	// window is the time in which a router counts what it has sent. It is longer than the
	// second of the limit by what a request's way to an upstream may differ from another's.
	window = 1100 * time.Millisecond
	// equalShare is the part of the limit that routers of a small fleet share evenly. The
	// rest is for routers that have joined since they were counted.
	equalShare = 0.75
	// overshootProbability is how likely more routers than the limit allows may send to the same
	// upstream, where chance decides which do.
	overshootProbability = 1e-6
)

// Share returns how many requests a router of a fleet of so many may send to a cold
// upstream in any window. A router that does not know how many there are sends none.
func Share(router, upstream string, limit Limit, routers int) int {
	total := limit.MaxPerSecond()
	if routers <= 0 || total <= 0 {
		return 0
	}
	if equal := int(equalShare * float64(total)); equal >= routers {
		return equal / routers
	}
	if uniformHash(router, upstream) < meanSenders(total)/float64(routers) {
		return 1
	}
	return 0
}

// uniformHash returns a number in [0, 1) for a router and an upstream, the same at all times.
func uniformHash(router, upstream string) float64 {
	return float64(xxh3.HashString(router+"\x00"+upstream)>>11) / (1 << 53)
}

// meanSenders returns how many routers may send on average, each one request at a time, if
// chance picks them and more than most of them may be picked with the odds of overOdds
// only. Of many routers picked by chance, the number has a Poisson distribution.
func meanSenders(limit int) float64 {
	low, high := 0.0, float64(limit)
	for range 40 { // halvings, well below any difference that matters
		mean := (low + high) / 2
		if poissonTail(limit, mean) > overshootProbability {
			high = mean
		} else {
			low = mean
		}
	}
	return low
}

// poissonTail returns the odds that a Poisson variable of a mean exceeds n.
func poissonTail(n int, mean float64) float64 {
	term := math.Exp(-mean)
	sum := 0.0
	for k := range n + 1 {
		sum += term
		term *= mean / float64(k+1)
	}
	return 1 - sum
}

// Limiter counts what one router sends to cold upstreams. It is safe for concurrent use.
type Limiter struct {
	router string

	mu     sync.Mutex
	sentAt map[string][]time.Time // in the last window, by upstream
	shares map[shareKey]int       // as of Share
}

// shareKey is what a Share depends on beside the router.
type shareKey struct {
	upstream string
	limit    Limit
	routers  int
}

// NewLimiter returns the Gate of a router that has sent nothing.
func NewLimiter(router string) *Limiter {
	return &Limiter{router: router, sentAt: make(map[string][]time.Time), shares: make(map[shareKey]int)}
}

// HasCapacity reports whether a request more may be sent to a cold upstream now.
func (l *Limiter) HasCapacity(now time.Time, upstream string, limit Limit, routers int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasCapacity(now, upstream, limit, routers)
}

func (l *Limiter) hasCapacity(now time.Time, upstream string, limit Limit, routers int) bool {
	share := l.share(shareKey{upstream: upstream, limit: limit, routers: routers})
	sent := 0
	for _, at := range l.sentAt[upstream] {
		if now.Sub(at) < window {
			sent++
		}
	}
	return sent < share
}

// maxCachedShares bounds the shares that are remembered. Upstreams come and go.
const maxCachedShares = 4096

func (l *Limiter) share(k shareKey) int {
	share, ok := l.shares[k]
	if !ok {
		if len(l.shares) >= maxCachedShares {
			clear(l.shares)
		}
		share = Share(l.router, k.upstream, k.limit, k.routers)
		l.shares[k] = share
	}
	return share
}

// TryAcquire counts a request that is sent now, or reports that none may be. It is asked just
// before the first byte: between the choice of an upstream and that, others may have taken
// what there was.
func (l *Limiter) TryAcquire(now time.Time, upstream string, limit Limit, routers int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasCapacity(now, upstream, limit, routers) {
		return false
	}
	l.sentAt[upstream] = append(l.recent(now, upstream), now)
	return true
}

// recent returns what was sent to an upstream in the last window.
func (l *Limiter) recent(now time.Time, upstream string) []time.Time {
	var out []time.Time
	for _, at := range l.sentAt[upstream] {
		if now.Sub(at) < window {
			out = append(out, at)
		}
	}
	return out
}

// Expire forgets what was sent longer ago than a window.
func (l *Limiter) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for upstream := range l.sentAt {
		if recent := l.recent(now, upstream); len(recent) > 0 {
			l.sentAt[upstream] = recent
		} else {
			delete(l.sentAt, upstream)
		}
	}
}
