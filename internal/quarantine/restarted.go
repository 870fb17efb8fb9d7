package quarantine

import (
	"slices"
	"time"
)

const (
	// restartDoubt is how long after all connections to an upstream broke its entry may not show yet
	// that it has started again.
	restartDoubt = 5 * time.Second
	// restartSpread is how long after each other the connections to an upstream that ends are found
	// broken.
	restartSpread = 100 * time.Millisecond
)

// MayHaveRestarted reports whether an upstream may have started again though its entry does not show it:
// several answers were lost there at one moment, and none that was awaited then still is.
func (a *Account) MayHaveRestarted(now time.Time, upstream string) bool {
	r := a.upstreams[upstream]
	if r == nil || r.lostBefore.IsZero() || now.Sub(r.lostAt) >= restartDoubt || r.lostAt.Sub(r.lostBefore) > restartSpread {
		return false
	}
	return !slices.ContainsFunc(r.waiting, func(s *Sent) bool { return s.started.Before(r.lostBefore) })
}
