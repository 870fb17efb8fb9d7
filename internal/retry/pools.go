package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// PoolBudgets is what the requests of one router to each pool share: the Window of their retries, and
// the Returns of callers that were turned away. It is safe for concurrent use.
type PoolBudgets struct {
	mu    sync.Mutex
	pools map[string]*poolState
	rule  Rule
}

type poolState struct {
	window    Window
	scheduler ReturnScheduler
}

// NewPoolBudgets returns Pools of which no request is known.
func NewPoolBudgets() *PoolBudgets {
	return &PoolBudgets{pools: make(map[string]*poolState)}
}

// SetRule replaces the rule of the windows.
func (p *PoolBudgets) SetRule(rule Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rule = rule
}

// Request counts a request of a caller to a pool, and returns the PoolBudget that it draws on.
func (p *PoolBudgets) Request(now time.Time, name string) PoolBudget {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.pools[name]
	if state == nil {
		state = &poolState{}
		p.pools[name] = state
	}
	state.window.Request(now, p.rule)
	state.scheduler.Arrived(now)
	return PoolBudget{pools: p, pool: state}
}

// AwaitsCallers reports whether callers that a pool has turned away may still come back.
func (p *PoolBudgets) AwaitsCallers(now time.Time, name string) bool {
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

// PoolBudget is what one request draws on, by the clock of the machine.
type PoolBudget struct {
	pools *PoolBudgets
	pool  *poolState
}

// Withdraw pays for one more attempt or reports false.
func (b PoolBudget) Withdraw() bool {
	b.pools.mu.Lock()
	defer b.pools.mu.Unlock()
	return b.pool.window.Withdraw(time.Now(), b.pools.rule)
}

// RetryAfter returns when a caller that has some time left, zero if any, is to come back.
func (b PoolBudget) RetryAfter(left time.Duration) time.Duration {
	b.pools.mu.Lock()
	defer b.pools.mu.Unlock()
	return b.pool.scheduler.Schedule(time.Now(), left, rand.Float64())
}
