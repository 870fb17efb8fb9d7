package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// claimRate is how many idempotency keys of callers the whole fleet claims
	// in the store, a second. Each costs a write, and another to sweep it.
	claimRate = 50
	// claimBurst is how many one router claims at once.
	claimBurst = 10
	// claimWait is how long a caller waits for the store.
	claimWait = time.Second
	// claimTries is how often an unanswered claim is made again.
	claimTries = 3
	// ClaimLife is for how long a caller may send its own idempotency key
	// again. After that the claim may be swept.
	ClaimLife = 24 * time.Hour
)

var claims = telemetry.NewFamily[claimOutcome]("router_claims_total", "outcome",
	"Idempotency keys chosen by callers, by what came of claiming them in the store.")

// claimOutcome is what came of claiming a caller's idempotency key.
type claimOutcome string

const (
	claimMade     claimOutcome = "made"
	claimFound    claimOutcome = "found"
	claimNoBudget claimOutcome = "no-budget"
	claimNoStore  claimOutcome = "store-down"
	claimDoubted  claimOutcome = "store-restored"
)

// Claim is the value of a claim object: the request key under which everything
// with a caller's own idempotency key runs.
type Claim struct {
	Key       wire.Key `json:"key"`
	KeepUntil int64    `json:"keep_until"` // Unix seconds; then it may be swept
}

// claimRef names the claim object of an organisation's idempotency key. Callers
// choose the key, so it is hashed with the organisation's name.
func claimRef(org, idempotencyKey string) topo.Ref {
	sum := sha256.Sum256([]byte(org + "\x00" + idempotencyKey))
	return topo.Ref{Kind: topo.KindClaim, Name: hex.EncodeToString(sum[:])}
}

// Claim returns the request key that stands for a caller's own idempotency key:
// the one under which it was used before, or a fresh one. When it can't be told
// which, this request is not run.
func (r *Router) Claim(ctx context.Context, org *profile.Organisation, p *profile.Profile, session, own string) (wire.Key, error) {
	if !r.claims.take(time.Now(), r.View().Routers) {
		claims.Inc(claimNoBudget)
		return wire.Key{}, unclaimed("too many idempotency keys of callers' own choice at once")
	}
	proposed, err := r.mint(ctx, org, p, session)
	if err != nil {
		return wire.Key{}, err
	}
	ctx, done := context.WithTimeout(ctx, claimWait)
	defer done()
	key, outcome, err := r.claimer.claim(ctx, claimRef(org.Name, own), proposed)
	claims.Inc(outcome)
	switch {
	case outcome == claimDoubted:
		return wire.Key{}, verdict.New(verdict.NotRun, verdict.ReasonStoreDown,
			"the platform's store has lost what it took in the last seconds").Later(claimDoubt)
	case err != nil:
		return wire.Key{}, unclaimed("the platform's store does not answer")
	}
	return key, nil
}

func unclaimed(detail string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonStoreDown, "%s", detail).Later(time.Second)
}

// create creates the claim object or reads the one that is there. An unanswered
// create may have taken effect, now or a little later. Whichever create is the
// first holds, and the object says which key that was, so reading it back and
// creating it once more settle it without a guess.
func (c *claimer) create(ctx context.Context, ref topo.Ref, proposed wire.Key) (wire.Key, claimOutcome, error) {
	value, err := json.Marshal(Claim{Key: proposed, KeepUntil: time.Now().Add(ClaimLife).Unix()})
	if err != nil {
		return wire.Key{}, claimNoStore, err
	}
	for range claimTries {
		_, err = c.store.Put(ctx, ref, value, 0)
		if err == nil {
			c.remember(time.Now(), madeClaim{ref: ref, key: proposed, value: value})
			return proposed, claimMade, nil
		}
		if errors.Is(err, topo.ErrRefused) {
			return wire.Key{}, claimNoStore, err
		}
		o, getErr := c.store.Get(ctx, ref)
		if getErr == nil {
			var have Claim
			err = json.Unmarshal(o.Value, &have)
			return have.Key, claimFound, err
		}
		if !errors.Is(getErr, topo.ErrNotFound) {
			return wire.Key{}, claimNoStore, getErr
		}
	}
	return wire.Key{}, claimNoStore, err
}

// claimBudget spreads claimRate over the routers, as a token bucket.
type claimBudget struct {
	mu     sync.Mutex
	tokens float64
	filled time.Time
}

func newClaimBudget(now time.Time) *claimBudget {
	return &claimBudget{tokens: claimBurst, filled: now}
}

func (b *claimBudget) take(now time.Time, routers int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate := float64(claimRate) / float64(routers)
	b.tokens = min(claimBurst, b.tokens+rate*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
