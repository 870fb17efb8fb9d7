package router

import (
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// concurrencyShareMultiple is how much of an organisation's concurrency limit one router
// admits, as a multiple of the limit's even part for each router. It is above 1 because the
// balancer does not spread callers evenly. The fleet admits at most the larger of
// concurrencyShareMultiple times the limit and one request per router.
const concurrencyShareMultiple = 2

// limits enforces the concurrency of organisations and the retry budgets of
// profiles on one router's traffic.
type limits struct {
	mu       sync.Mutex
	inFlight map[string]int // requests in flight, by organisation
	budgets  map[string]*retry.Budget
}

func newLimits() *limits {
	return &limits{inFlight: make(map[string]int), budgets: make(map[string]*retry.Budget)}
}

// acquire counts a request of org until release is called. It returns a refusal
// if the organisation has used up this router's share of its concurrency.
func (l *limits) acquire(org *profile.Organisation, routers int) (release func(), refusal *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if org.Concurrency > 0 && l.inFlight[org.Name] >= routerShare(org.Concurrency, routers) {
		e := verdict.New(verdict.NotRun, verdict.ReasonConcurrency, "the organisation has %d requests in flight here", l.inFlight[org.Name])
		return nil, e.WithRetryAfter(time.Second)
	}
	l.inFlight[org.Name]++
	return func() { l.release(org.Name) }, nil
}

func (l *limits) release(org string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[org]--
	if l.inFlight[org] == 0 {
		delete(l.inFlight, org)
	}
}

// routerShare returns how many requests one router admits if limit holds for all routers:
// concurrencyShareMultiple even parts of it, but not more than the limit itself.
func routerShare(limit, routers int) int {
	if routers <= 1 {
		return limit
	}
	return min(limit, (concurrencyShareMultiple*limit+routers-1)/routers)
}

// budget returns the retry budget of a profile, after a deposit for one request.
func (l *limits) budget(p *profile.Profile) dispatch.Budget {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.budgets[p.Name]
	if b == nil {
		b = &retry.Budget{}
		l.budgets[p.Name] = b
	}
	b.Deposit(p.RetryBudget)
	return sharedBudget{limits: l, budget: b}
}

// sharedBudget is a dispatch.Budget that the requests of a profile share.
type sharedBudget struct {
	limits *limits
	budget *retry.Budget
}

// RetryAfter implements dispatch.Budget.
func (s sharedBudget) RetryAfter(left time.Duration) time.Duration { return s.budget.RetryAfter(left) }

// Withdraw implements dispatch.Budget.
func (s sharedBudget) Withdraw(cause retry.Cause) bool {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	return s.budget.Withdraw(cause)
}
