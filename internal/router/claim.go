package router

import (
	"context"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/claim"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// claimsPerSecond bounds the rate at which the whole fleet claims idempotency
	// keys of callers in the store. Each claim costs a write, and another to sweep it.
	claimsPerSecond = 50
	// claimBurst bounds how many keys one router claims at once.
	claimBurst = 10
	// claimWait bounds how long a caller waits for the store.
	claimWait = time.Second
	// claimNoBudget is the outcome of a claim beyond the budget, which was not tried.
	claimNoBudget claim.Outcome = "no-budget"
)

var claims = telemetry.NewFamily[claim.Outcome]("router_claims_total", "outcome",
	"Idempotency keys chosen by callers, by what came of claiming them in the store.")

// Claim returns the request key for a caller's own idempotency key: the one that
// was claimed for it before, or a new one. If the store can't tell which, Claim
// returns an error and the request must not run.
func (r *Router) Claim(ctx context.Context, org *profile.Organisation, p *profile.Profile, session, callerKey string) (wire.Key, error) {
	if !r.claimBudget.take(time.Now(), r.View().Routers) {
		claims.Inc(claimNoBudget)
		return wire.Key{}, claimUnavailable("too many idempotency keys of callers' own choice at once")
	}
	proposed, err := r.mintKey(ctx, org, p, session)
	if err != nil {
		return wire.Key{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	key, outcome, err := r.claimer.Claim(ctx, claim.Ref(org.Name, callerKey), proposed)
	claims.Inc(outcome)
	switch {
	case outcome == claim.StoreRestored:
		return wire.Key{}, verdict.New(verdict.NotRun, verdict.ReasonStoreDown,
			"the platform's store has lost what it took in the last seconds").WithRetryAfter(claim.RestoreGrace)
	case err != nil:
		return wire.Key{}, claimUnavailable("the platform's store does not answer")
	}
	return key, nil
}

// claimUnavailable returns the error for a claim that could not be made now.
func claimUnavailable(detail string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonStoreDown, "%s", detail).WithRetryAfter(time.Second)
}

// claimBudget is a token bucket with this router's share of claimsPerSecond.
type claimBudget struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

func newClaimBudget(now time.Time) *claimBudget {
	return &claimBudget{tokens: claimBurst, refilledAt: now}
}

// take takes a token and reports whether there was one.
func (b *claimBudget) take(now time.Time, routers int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate := float64(claimsPerSecond) / float64(routers)
	b.tokens = min(claimBurst, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
