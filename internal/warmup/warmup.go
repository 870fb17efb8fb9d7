// Package warmup limits the requests that one router sends to upstreams that have just started
// and are still cold, so that all routers together stay within the limit of such an upstream.
//
// It guards against two load patterns: the upstreams of a failure domain return at the same
// moment and all their sessions return to them, or a crashed upstream returns during a surge.
// Requests above the limit crash the upstream again, and a single router sees too small a share
// of the traffic to notice: each of 30 routers sends a thirtieth.
//
// Routers do not ask each other before they send: a late or lost reply would delay a request, or
// let it through above the limit. Each router computes its share of the limit from the number of
// routers in the fleet. In a small fleet all routers get an equal part. In a large one, a hash of
// the names of router and upstream decides whether the router may send one request in any
// window or none. Routers need not agree on a list of routers: if they assume different fleet
// sizes, only the size of their parts or the probability of the hash decision differs.
//
// Package router feeds and queries a Limiter. The only assumption about a router's clock is that
// it does not run fast.
package warmup

import (
	"math"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// Limit is the rate of requests that a cold upstream can take from all routers together. Callers
// must apply it only to services that state a rate: with its zero value, Share and Limiter allow
// no request.
type Limit struct {
	PerSecond float64 // requests per second stated by the service; zero: none stated
	Overage   float64 // allowed multiple of PerSecond, such as 1.5; zero counts as one
	Slack     float64 // additional requests per second
}

// MaxPerSecond returns the number of requests that may reach a cold upstream within a second.
func (l Limit) MaxPerSecond() int {
	overage := l.Overage
	if overage == 0 {
		overage = 1
	}
	return int(l.PerSecond*overage + l.Slack)
}

const (
	// window is the period over which a router counts its requests. It is longer than the second
	// to which the limit applies, since requests that are sent a second apart can arrive closer
	// together: 100 ms is the largest expected difference between two network delays.
	window = 1100 * time.Millisecond
	// equalShare is the part of the limit that the routers of a small fleet divide equally. The
	// rest is for routers that have joined since they were counted.
	equalShare = 0.75
	// overshootProbability is the accepted probability that more routers than the limit allows
	// send to the same upstream, in fleets where a hash decides which routers send.
	overshootProbability = 1e-6
)

// Share returns how many requests a router may send to a cold upstream in any window, in a fleet
// of the given number of routers. If the limit allows it, each router gets the same number, at
// least one. Otherwise a hash of router and upstream decides whether the router gets one or none.
// Share returns 0 if routers is zero, which stands for an unknown number.
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

// uniformHash returns a number in [0, 1) that depends only on the router and the upstream.
func uniformHash(router, upstream string) float64 {
	return float64(xxh3.HashString(router+"\x00"+upstream)>>11) / (1 << 53)
}

// meanSenders returns the largest mean number of routers that may be selected to send one request
// in a window each, so that more than limit of them are selected with a probability of at most
// overshootProbability. The number of routers selected at random among many has a Poisson
// distribution.
func meanSenders(limit int) float64 {
	low, high := 0.0, float64(limit)
	for range 40 { // bisection steps, far more precise than needed
		mean := (low + high) / 2
		if poissonTail(limit, mean) > overshootProbability {
			high = mean
		} else {
			low = mean
		}
	}
	return low
}

// poissonTail returns the probability that a Poisson variable with the given mean exceeds n.
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
	sentAt map[string][]time.Time // times of the requests in the last window, by upstream
	shares map[shareKey]int       // cached results of Share
}

// shareKey holds the arguments of Share except the router.
type shareKey struct {
	upstream string
	limit    Limit
	routers  int
}

// NewLimiter returns the Limiter of a router that has sent nothing.
func NewLimiter(router string) *Limiter {
	return &Limiter{router: router, sentAt: make(map[string][]time.Time), shares: make(map[shareKey]int)}
}

// HasCapacity reports whether one more request may be sent to a cold upstream now, in a fleet of
// the given number of routers (see Share). It counts nothing: TryAcquire must be called before
// the request is sent.
func (l *Limiter) HasCapacity(now time.Time, upstream string, limit Limit, routers int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasCapacity(now, upstream, limit, routers)
}

// hasCapacity is HasCapacity for callers that hold the lock.
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

// maxCachedShares limits the number of cached shares, since upstreams come and go.
const maxCachedShares = 4096

// share returns the result of Share for k from the cache, or computes and caches it.
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

// TryAcquire reports whether a request may be sent to a cold upstream now, and counts it if so.
// It must be called immediately before the first byte is sent: other requests may have used up
// the share since the upstream was chosen.
func (l *Limiter) TryAcquire(now time.Time, upstream string, limit Limit, routers int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasCapacity(now, upstream, limit, routers) {
		return false
	}
	l.sentAt[upstream] = append(l.recent(now, upstream), now)
	return true
}

// recent returns the times of the requests sent to an upstream in the last window.
func (l *Limiter) recent(now time.Time, upstream string) []time.Time {
	var out []time.Time
	for _, at := range l.sentAt[upstream] {
		if now.Sub(at) < window {
			out = append(out, at)
		}
	}
	return out
}

// Expire removes the times of requests that were sent a window ago or earlier. It must be called
// now and then, since otherwise each upstream that was ever cold takes up memory.
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
