package suspects

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
)

const (
	// turnInterval is the time from one router's turn to try a request to that of the next: within it, the
	// outcome of a trial is known to all that hear of each other, unless its upstream falls silent.
	turnInterval = 2 * time.Second
	// bystanderInterval is the same for a request whose crashes others may all be the cause of: it is more likely
	// to be served than to crash one more upstream.
	bystanderInterval = time.Second
	// maxTurn is the latest turn. The routers that rank after it have their turns at the same time.
	maxTurn = 5
)

// turns says when each router of a region may try a request that may or may not crash its upstream. Routers that
// know the same others agree on it without a message, so that few of them try the same request.
type turns struct {
	self   string
	others []string
}

// begins returns when the turn of this router begins to try a request.
func (t *turns) begins(d quarantine.ObservedDecision) time.Time {
	interval := turnInterval
	if d.Crashes == 0 {
		interval = bystanderInterval
	}
	return d.Since.Add(time.Duration(min(t.rank(d.Fingerprint), maxTurn)) * interval)
}

// rank returns how many other routers come before this one for a request.
func (t *turns) rank(p quarantine.Fingerprint) int {
	own := turnScore(t.self, p)
	n := 0
	for _, name := range t.others {
		if turnScore(name, p) > own {
			n++
		}
	}
	return n
}

func turnScore(router string, p quarantine.Fingerprint) uint64 {
	return xxh3.HashStringSeed(router, uint64(p))
}
