package suspects

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
)

// Unstored is a restriction that this router is to write to the store after its turn, unless another one has.
type Unstored struct {
	Fingerprint quarantine.Fingerprint
	Turn        time.Duration
}

// storeInterval is the time from one router's turn to write a restriction to that of the next: longer than a write and
// the news of it take.
const storeInterval = 400 * time.Millisecond

// TakeUnstored returns the restrictions that this router is to write to the store, each once.
func (r *Registry) TakeUnstored(now time.Time) []Unstored {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Unstored
	for _, p := range r.book.TakeUnstored(now) {
		out = append(out, Unstored{Fingerprint: p, Turn: time.Duration(min(r.turns.rank(p), maxTurn)) * storeInterval})
	}
	return out
}

// Unstored returns a restriction if this router is still to write it to the store.
func (r *Registry) Unstored(now time.Time, p quarantine.Fingerprint) (quarantine.Restriction, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Unstored(now, p)
}

// MergeRestriction adds a restriction that is in the store.
func (r *Registry) MergeRestriction(now time.Time, restriction quarantine.Restriction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.MergeRestriction(now, restriction)
}
