package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

// poolShape is how runners with limited places serve.
type poolShape struct {
	places, queue       int
	reportsLoad         bool
	leastTime, mostTime time.Duration // of a response that is no stream
	// The time between two events of a stream is baseInterval, and intervalPerRequest for each request that its
	// runner serves.
	baseInterval, intervalPerRequest time.Duration
}

// defaultSlots is the number of requests that runners without limited places say that they work on.
const defaultSlots = 16

func (h *harness) slots() int {
	if h.pool == nil {
		return defaultSlots
	}
	return h.pool.places
}

// serviceTime returns how long a runner takes for a response that is no stream.
func (h *harness) serviceTime() time.Duration {
	if h.pool == nil {
		return h.randomServiceTime()
	}
	return h.randomDuration(h.pool.leastTime, h.pool.mostTime)
}

// eventInterval returns how long a runner takes for an event.
func (h *harness) eventInterval(r *runner) time.Duration {
	if h.pool == nil {
		return h.randomServiceTime()
	}
	return h.pool.baseInterval + time.Duration(r.places.running())*h.pool.intervalPerRequest
}

// places are the places of a runner, and the requests that wait for one.
type places struct {
	size, queue int
	report      func(load string)

	mu      sync.Mutex
	taken   int
	waiting []waiter
}

// waiter is a request that waits for a place.
type waiter struct {
	urgency int
	begin   chan struct{} // closed when it has a place
}

func (s poolShape) newPlaces(r *fake.Runner) *places {
	p := &places{size: s.places, queue: s.queue, report: func(string) {}}
	if s.reportsLoad {
		p.report = r.SetLoad
		p.reportLoad()
	}
	return p
}

func (p *places) reportLoad() { p.report(fmt.Sprintf("%d,%d,%d", p.taken, len(p.waiting), p.size)) }

// take waits for a place, and reports false at once if as many requests wait as may.
func (p *places) take(urgency int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taken < p.size {
		p.taken++
		p.reportLoad()
		return true
	}
	if len(p.waiting) >= p.queue {
		return false
	}
	w := waiter{urgency, make(chan struct{})}
	p.waiting = append(p.waiting, w)
	p.reportLoad()
	p.mu.Unlock()
	<-w.begin
	p.mu.Lock()
	return true
}

// release gives a place to the most urgent request that waits, of several to the first.
func (p *places) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.reportLoad()
	if len(p.waiting) == 0 {
		p.taken--
		return
	}
	next := 0
	for i, w := range p.waiting {
		if w.urgency < p.waiting[next].urgency {
			next = i
		}
	}
	close(p.waiting[next].begin)
	p.waiting = slices.Delete(p.waiting, next, next+1)
}

// running returns the number of requests that have a place.
func (p *places) running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.taken
}

// urgencyOf returns the urgency that a router tells of a request; 0 is the highest.
func urgencyOf(r *http.Request) int {
	n, _ := strconv.Atoi(r.Header.Get("Request-Urgency"))
	return n
}
