package router

import (
	"strings"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// KeyPrefix starts each request key and request id that the fleet makes. It
	// tells them from idempotency keys that callers choose themselves.
	KeyPrefix = "rk-"

	// keyLifetime is how long a request key can be used first. Sidecars remember
	// keys for as long, so it bounds their tables.
	keyLifetime = 15 * time.Minute
	// ticketLifetime is how long a placement ticket is worth following.
	ticketLifetime = 24 * time.Hour
)

// newKey draws a key for the incarnation of a sidecar.
func newKey(vm string, incarnation uint64, now time.Time) wire.Key {
	return wire.Key{VM: vm, Incarnation: incarnation, Nonce: token.NewNonce(), Expires: now.Add(keyLifetime).Unix()}
}

// sealKey returns a key in the form that callers hold.
func (r *Router) sealKey(org string, session uint64, k wire.Key) string {
	return KeyPrefix + r.config.Ring.Seal(token.Token{
		Purpose:     token.PurposeKey,
		Org:         orgHash(org),
		Session:     session,
		Incarnation: k.Incarnation,
		Nonce:       k.Nonce,
		Expires:     time.Unix(k.Expires, 0),
		VM:          k.VM,
	})
}

// sealTicket returns the placement ticket of a session that vm has served.
func (r *Router) sealTicket(org string, session uint64, k wire.Key, now time.Time) string {
	return r.config.Ring.Seal(token.Token{
		Purpose:     token.PurposeTicket,
		Org:         orgHash(org),
		Session:     session,
		Incarnation: k.Incarnation,
		Nonce:       k.Nonce,
		Expires:     now.Add(ticketLifetime),
		VM:          k.VM,
	})
}

// OpenKey reads a request key or request id that a caller of org holds. One of
// another organisation is answered exactly like a forged one, so that nobody
// learns which ids exist. Expiry is for the sidecar to judge: it may still know
// what became of the request.
func (r *Router) OpenKey(org, s string) (wire.Key, error) {
	t, err := r.config.Ring.Open(strings.TrimPrefix(s, KeyPrefix), token.PurposeKey)
	if err != nil || !strings.HasPrefix(s, KeyPrefix) || t.Org != orgHash(org) {
		return wire.Key{}, verdict.New(verdict.NotRun, verdict.ReasonBadKey, "this is no request key or request id of yours")
	}
	return wire.Key{VM: t.VM, Incarnation: t.Incarnation, Nonce: t.Nonce, Expires: t.Expires.Unix()}, nil
}

// ticketVM returns the VM that a session's ticket names and how old the ticket
// is, or "" if the ticket is not one of this fleet for this session. A ticket is
// a hint: a bad one costs its caller the cached prefix and nothing else.
func (r *Router) ticketVM(now time.Time, ticket string, session uint64) (vm string, age time.Duration) {
	if ticket == "" || session == 0 {
		return "", 0
	}
	t, err := r.config.Ring.Open(ticket, token.PurposeTicket)
	if err != nil || t.Session != session {
		return "", 0
	}
	return t.VM, now.Sub(t.Expires.Add(-ticketLifetime))
}
