package router

import (
	"strings"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// KeyPrefix starts each request key and request id that the fleet generates. It
	// distinguishes them from idempotency keys that callers choose themselves.
	KeyPrefix = "rk-"

	// keyLifetime is the time within which a request key has to be used first.
	// Sidecars keep keys for as long, so it bounds their tables.
	keyLifetime = 15 * time.Minute
	// ticketLifetime is how long a placement ticket is valid.
	ticketLifetime = 24 * time.Hour
)

// newKey generates a key for an incarnation of a sidecar.
func newKey(vm string, incarnation uint64, now time.Time) wire.Key {
	return wire.Key{VM: vm, Incarnation: incarnation, Nonce: token.NewNonce(), Expires: now.Add(keyLifetime).Unix()}
}

// sealKey returns a key as the sealed text that callers hold.
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

// OpenKey decodes a request key or request id that a caller of org holds. The
// error for a key of another organisation is the same as for a forged one, so
// that callers can't find out which ids exist. OpenKey does not check the expiry:
// the sidecar does, because it may still know the outcome of the request.
func (r *Router) OpenKey(org, s string) (wire.Key, error) {
	t, err := r.config.Ring.Open(strings.TrimPrefix(s, KeyPrefix), token.PurposeKey)
	if err != nil || !strings.HasPrefix(s, KeyPrefix) || t.Org != orgHash(org) {
		return wire.Key{}, verdict.New(verdict.NotRun, verdict.ReasonBadKey, "this is no request key or request id of yours")
	}
	return wire.Key{VM: t.VM, Incarnation: t.Incarnation, Nonce: t.Nonce, Expires: t.Expires.Unix()}, nil
}

// ticketVM returns the VM that a session's ticket names and the age of the ticket,
// or "" if the ticket was not issued by this fleet for this session. A ticket is a
// hint: with an invalid one, the caller loses only the cached prefix.
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
