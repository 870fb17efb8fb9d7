package soak

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// demand is what one organisation sends of one kind, at random times.
type demand struct {
	newCall func(r *rand.Rand) *call
	rate    float64 // usual number of requests per second
	factor  float64 // of the rate during the surge
	only    *entry  // the router that gets them; nil: any
}

// playSurge runs the fleet through a surge and some time after it, with a disturbance that begins surgeDelay after the
// surge does, and checks what was observed, at last by checkSurge: the logs of the routers are kept if that fails. The
// demands are asked for when the routers run.
func (h *harness) playSurge(after time.Duration, disturb func(h *harness), demands func() []demand, checkSurge func()) {
	playing <- struct{}{}
	defer func() { <-playing }()
	defer h.close()
	h.start()
	h.calmUntil = time.Now().Add(h.beforeSurge)
	h.surge = span{h.calmUntil, h.calmUntil.Add(*duration)}
	b := &balancer{idle: make(map[*entry][]*clientConn)}
	defer b.close()
	b.check(h.entries)
	stop := make(chan struct{})
	for i, d := range demands() {
		h.running.Go(func() { h.sendDemand(b, d, rand.New(rand.NewPCG(h.seed, uint64(i))), stop) })
	}
	h.running.Go(func() {
		for !isStopped(stop) {
			b.check(h.entries)
			time.Sleep(checkInterval)
		}
	})
	if disturb != nil {
		time.Sleep(time.Until(h.surge.from.Add(surgeDelay)))
		disturb(h)
	}
	time.Sleep(time.Until(h.surge.to.Add(after)))
	close(stop)
	h.running.Wait()
	h.check()
	checkSurge()
	h.t.Logf("%d requests were sent more than %v late since the machine was busy, at most %v", b.delays, maxSendDelay, b.maxDelay.Round(time.Millisecond))
	h.t.Logf("seed %d: %s", h.seed, h.summary())
}

// maxSendDelay is how much later than planned a request may be sent. A process that got no CPU for longer sends no
// more for that time: else it would send a burst that no organisation has sent.
const maxSendDelay = 20 * time.Millisecond

// sendDemand sends the requests of a demand until stop is closed. None waits for the ones before it.
func (h *harness) sendDemand(b *balancer, d demand, r *rand.Rand, stop <-chan struct{}) {
	for at := time.Now(); !isStopped(stop); {
		rate := d.rate
		if at.After(h.surge.from) && at.Before(h.surge.to) {
			rate *= d.factor
		}
		at = at.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(at))
		if late := time.Since(at); late > maxSendDelay {
			b.recordDelay(late)
			at = time.Now()
		}
		c := d.newCall(r)
		h.running.Go(func() {
			if l := h.connectToReady(b, d.only); l != nil {
				reusable := l.send(c)
				h.recordCall(c)
				b.putBack(l, reusable)
			}
		})
	}
}

// connectToReady returns a connection to a router, or to any that is ready and takes it.
func (h *harness) connectToReady(b *balancer, only *entry) *clientConn {
	const tries = 10
	for range tries {
		ready := b.ready()
		if l := b.connect(cmp.Or(only, ready[h.intN(len(ready))])); l != nil {
			return l
		}
	}
	h.t.Errorf("no router takes a connection after %d tries", tries)
	return nil
}

// checkInterval is the time between two checks of the routers' readiness.
const checkInterval = 100 * time.Millisecond

// balancer knows which routers are ready, and keeps connections to them.
type balancer struct {
	entries atomic.Pointer[[]*entry]

	mu       sync.Mutex
	idle     map[*entry][]*clientConn
	delays   int // requests that were sent later than maxSendDelay
	maxDelay time.Duration
}

func (b *balancer) recordDelay(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delays++
	b.maxDelay = max(b.maxDelay, d)
}

// check asks all routers whether they are ready.
func (b *balancer) check(entries []*entry) {
	ready := make([]bool, len(entries))
	var checks sync.WaitGroup
	for i, e := range entries {
		checks.Go(func() { ready[i] = e.ready() })
	}
	checks.Wait()
	var out []*entry
	for i, e := range entries {
		if ready[i] {
			out = append(out, e)
		}
	}
	if len(out) > 0 {
		b.entries.Store(&out)
	}
}

func (b *balancer) ready() []*entry { return *b.entries.Load() }

// connect returns an idle connection to the present process of a router, or a new one; nil: the router is not there.
func (b *balancer) connect(e *entry) *clientConn {
	b.mu.Lock()
	for n := len(b.idle[e]); n > 0; n = len(b.idle[e]) {
		l := b.idle[e][n-1]
		b.idle[e] = b.idle[e][:n-1]
		if l.incarnation == e.currentIncarnation() {
			b.mu.Unlock()
			return l
		}
		l.close()
	}
	b.mu.Unlock()
	return connect(e)
}

// putBack keeps a connection that can be reused, and closes another one.
func (b *balancer) putBack(l *clientConn, reusable bool) {
	if !reusable {
		l.close()
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idle[l.entry] = append(b.idle[l.entry], l)
}

func (b *balancer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, idle := range b.idle {
		for _, l := range idle {
			l.close()
		}
	}
}
