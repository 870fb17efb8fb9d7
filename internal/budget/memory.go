package budget

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

const (
	// partyShare is the largest share of a Memory that the claims of one party may hold, so that a party whose
	// callers send slowly does not use it up for all.
	partyShare = 0.5
	// largeShare is the largest share of what a party, or all of them, may hold that is open to large claims. The
	// rest is kept for small ones: most requests are small, and few large ones would shut them out.
	largeShare = 0.875
	// largeClaim is the size in bytes from which a claim is large.
	largeClaim = 64 << 10
	// minReclaimAge is how long a claim has been incomplete at least when it is taken back. What behaves is complete
	// before that, unless its link is slow.
	minReclaimAge = 250 * time.Millisecond
	// maxCandidates is how many claims are looked at for the one to take back. To look at all, for each claim that
	// does not fit, would cost more than what it saves.
	maxCandidates = 64
)

// Errors of Claim.Grow.
var (
	// ErrNoMemory means that the process holds as much for callers as it may.
	ErrNoMemory = errors.New("budget: no memory")
	// ErrNoShare means that the claim's party holds as much as it may.
	ErrNoShare = errors.New("budget: no memory for this organisation")
	// ErrReclaimed means that the claim was taken back because its caller was slow and the memory was needed.
	ErrReclaimed = errors.New("budget: the memory was taken back from a slow caller")
)

var (
	heldBytes = telemetry.NewGauge("budget_held_bytes",
		"Bytes of memory that are reserved for callers' requests now: heads, parsed heads and bodies.")
	reclaims = telemetry.NewCounter("budget_reclaims_total",
		"Incomplete requests of slow callers that were refused because others needed their memory.", telemetry.Alert)
)

// Memory bounds the memory that a process holds for callers' requests. Memory is claimed before it is taken. A claim
// that is incomplete, because its caller has not sent the rest yet, may be taken back for another. It is safe for
// concurrent use.
type Memory struct {
	limit int64 // in bytes; zero: unlimited

	mu         sync.Mutex
	held       int64
	byParty    map[string]int64
	incomplete map[*Claim]struct{}
}

// NewMemory returns a Memory of so many bytes; zero: unlimited.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, byParty: make(map[string]int64), incomplete: make(map[*Claim]struct{})}
}

// Held returns how many bytes are claimed.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// Claim is the memory that one request holds. Its zero value is of no use; see Memory.NewClaim.
type Claim struct {
	memory    *Memory
	party     string // organisation; empty: not known
	bytes     int64
	since     time.Time // when it became incomplete; zero: it is complete
	reclaim   func()
	reclaimed bool
}

// NewClaim returns a claim of nothing. reclaim is called if the memory is taken back while the claim is incomplete: it
// must make the reading of the request end at once. It is called without locks.
func (m *Memory) NewClaim(reclaim func()) *Claim {
	return &Claim{memory: m, reclaim: reclaim}
}

// SetParty assigns the claim to a party, an organisation. Until then it belongs to the callers that are not known.
func (c *Claim) SetParty(party string) {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(c.party, -c.bytes)
	c.party = party
	m.add(party, c.bytes)
}

// Grow claims n bytes more. It returns ErrNoMemory or ErrNoShare, and claims nothing, if that exceeds a limit and no
// slow callers hold enough that can be taken back; or ErrReclaimed if the claim itself was taken back.
func (c *Claim) Grow(now time.Time, n int64) error {
	m := c.memory
	m.mu.Lock()
	if c.reclaimed {
		m.mu.Unlock()
		return ErrReclaimed
	}
	victims, err := m.makeRoom(now, c, n)
	if err == nil {
		c.bytes += n
		m.add(c.party, n)
	}
	m.mu.Unlock()
	for _, v := range victims {
		v.reclaim()
	}
	return err
}

// Shrink returns n bytes of the claim.
func (c *Claim) Shrink(n int64) {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	n = min(n, c.bytes)
	c.bytes -= n
	m.add(c.party, -n)
}

// SetIncomplete records that the rest of the request is awaited from now on: the claim may be taken back.
func (c *Claim) SetIncomplete(now time.Time) {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.since.IsZero() {
		c.since = now
		m.incomplete[c] = struct{}{}
	}
}

// SetComplete records that the request has arrived. It returns ErrReclaimed if the claim was taken back before.
func (c *Claim) SetComplete() error {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.complete(c)
	if c.reclaimed {
		return ErrReclaimed
	}
	return nil
}

// Release returns all of the claim, which can be used for another request then.
func (c *Claim) Release() {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.complete(c)
	m.add(c.party, -c.bytes)
	c.party, c.bytes, c.reclaimed = "", 0, false
}

// complete ends that a claim may be taken back. The mutex must be held.
func (m *Memory) complete(c *Claim) {
	c.since = time.Time{}
	delete(m.incomplete, c)
}

// add adds n bytes to what a party holds. The mutex must be held.
func (m *Memory) add(party string, n int64) {
	m.held += n
	if m.byParty[party] += n; m.byParty[party] <= 0 {
		delete(m.byParty, party)
	}
	heldBytes.Set(m.held)
}

// makeRoom takes claims back until n bytes more for a claim are within the limits, and returns them. It returns
// ErrNoMemory or ErrNoShare, and takes nothing back, if that is not possible. The mutex must be held.
func (m *Memory) makeRoom(now time.Time, c *Claim, n int64) ([]*Claim, error) {
	if m.limit <= 0 {
		return nil, nil
	}
	all, share := float64(m.limit), partyShare*float64(m.limit)
	if c.bytes+n >= largeClaim {
		all *= largeShare
		share *= largeShare
	}
	excess := float64(m.held+n) - all
	ofParty := float64(m.byParty[c.party]+n) - share
	if excess <= 0 && ofParty <= 0 {
		return nil, nil
	}
	var victims []*Claim
	taken := make(map[*Claim]bool)
	for excess > 0 || ofParty > 0 {
		v := m.costliest(now, c, taken, ofParty > 0)
		if v == nil {
			if ofParty > 0 {
				return nil, ErrNoShare
			}
			return nil, ErrNoMemory
		}
		taken[v] = true
		victims = append(victims, v)
		excess -= float64(v.bytes)
		if v.party == c.party {
			ofParty -= float64(v.bytes)
		}
	}
	for _, v := range victims {
		m.add(v.party, -v.bytes)
		m.complete(v)
		v.bytes, v.reclaimed = 0, true
		reclaims.Inc()
	}
	return victims, nil
}

// costliest returns the claim, other than c and those taken, that is taken back first: of callers that are not known
// before others, and then the one with the largest product of size and time, which the largest and the slowest
// callers have; nil: there is none. With sameParty only claims of c's party are asked. If there are many, it is the
// first of some of them, in the random order of a map.
func (m *Memory) costliest(now time.Time, c *Claim, taken map[*Claim]bool, sameParty bool) *Claim {
	var found *Claim
	candidates := 0
	for v := range m.incomplete {
		if candidates++; candidates > maxCandidates && found != nil {
			return found
		}
		switch {
		case v == c || taken[v] || v.bytes == 0 || now.Sub(v.since) < minReclaimAge:
		case sameParty && v.party != c.party:
		case found == nil || v.costsMore(found, now):
			found = v
		}
	}
	return found
}

// costsMore reports whether a claim is taken back before another one.
func (c *Claim) costsMore(other *Claim, now time.Time) bool {
	if known, otherKnown := c.party != "", other.party != ""; known != otherKnown {
		return otherKnown
	}
	return float64(c.bytes)*now.Sub(c.since).Seconds() > float64(other.bytes)*now.Sub(other.since).Seconds()
}
