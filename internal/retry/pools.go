package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// PoolBudgets holds the retry state of one router for each pool: the WindowBudget that limits
// retries and the ReturnScheduler for rejected callers. It is safe for concurrent use.
type PoolBudgets struct {
	mu    sync.Mutex
	pools map[string]*poolState
	rule  Rule
}

type poolState struct {
	window    WindowBudget
	scheduler ReturnScheduler
}

// NewPoolBudgets returns PoolBudgets without any requests.
func NewPoolBudgets() *PoolBudgets {
	return &PoolBudgets{pools: make(map[string]*poolState)}
}

// SetRule replaces the rule of all windows.
func (p *PoolBudgets) SetRule(rule Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rule = rule
}

// Request counts a request of a caller to a pool and returns the budget for its retries.
func (p *PoolBudgets) Request(now time.Time, name string) PoolBudget {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.state(name)
	state.window.Request(now, p.rule)
	state.scheduler.Arrived(now)
	return PoolBudget{pools: p, pool: state}
}

// Reject counts a request that is rejected before it is sent to any upstream, and returns the delay
// after which its caller should retry. left is the time that the caller has left, or zero if unlimited.
// The request does not increase the budget for retries: upstreams do not see it, so they would see more
// retries per request than the rule allows.
func (p *PoolBudgets) Reject(now time.Time, name string, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.state(name)
	state.scheduler.Arrived(now)
	return state.scheduler.Schedule(now, left, rand.Float64())
}

// state returns the state of a pool, and adds it if it is new.
func (p *PoolBudgets) state(name string) *poolState {
	state := p.pools[name]
	if state == nil {
		state = &poolState{}
		p.pools[name] = state
	}
	return state
}

// HasPendingReturns reports whether callers rejected by a pool may still return.
func (p *PoolBudgets) HasPendingReturns(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.pools[name]
	return state != nil && state.scheduler.Pending(now)
}

// Answered counts an answer of a pool.
func (p *PoolBudgets) Answered(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.pools[name]; state != nil {
		state.scheduler.Answered(now)
	}
}

// PoolBudget gives one request access to the budget that it shares with all requests of its router
// to the pool. It uses the system clock.
type PoolBudget struct {
	pools *PoolBudgets
	pool  *poolState
}

// Withdraw counts one more attempt and reports whether the rule allows it.
func (b PoolBudget) Withdraw(cause Cause) bool {
	b.pools.mu.Lock()
	defer b.pools.mu.Unlock()
	allowed := b.pool.window.Withdraw(time.Now(), b.pools.rule)
	countRepeat(cause, allowed)
	return allowed
}

// Counts returns the counts of the pool's window that ends now.
func (b PoolBudget) Counts() WindowCounts {
	b.pools.mu.Lock()
	defer b.pools.mu.Unlock()
	return b.pool.window.Counts(time.Now(), b.pools.rule)
}

// RetryAfter returns the delay after which a rejected caller should retry. left is the time that
// the caller has left, or zero if unlimited.
func (b PoolBudget) RetryAfter(left time.Duration) time.Duration {
	b.pools.mu.Lock()
	defer b.pools.mu.Unlock()
	return b.pool.scheduler.Schedule(time.Now(), left, rand.Float64())
}
