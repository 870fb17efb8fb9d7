package budget

import (
	"sync"

	"github.com/pkg/errors"
)

// freeMultiple is how many requests of a party are served for each connection on which none is. Whatever the number of
// parties, some connections stay free: one party alone takes two thirds of them, n parties 2n of 2n+1.
const freeMultiple = 2

// ErrNoConnections means that the requests of a party take as many connections as they may.
var ErrNoConnections = errors.New("budget: no connection for this organisation")

// Requests bounds how many requests a process serves at a time for each party. A connection whose request is served makes
// room for no other, so that the callers of one party could otherwise take all connections for as long as their upstreams
// take to respond. It is safe for concurrent use.
type Requests struct {
	connections int

	mu      sync.Mutex
	served  int
	byParty map[string]int
}

// NewRequests returns a Requests for a process with so many connections of callers.
func NewRequests(connections int) *Requests {
	return &Requests{connections: connections, byParty: make(map[string]int)}
}

// Begin admits a request of a party, an organisation; empty: not known. It returns ErrNoConnections if the party has as
// many as it may. A request that is admitted must be ended with End.
func (r *Requests) Begin(party string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byParty[party] >= freeMultiple*(r.connections-r.served) {
		return ErrNoConnections
	}
	r.served++
	r.byParty[party]++
	return nil
}

// End records that a request of a party has ended.
func (r *Requests) End(party string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served--
	if r.byParty[party]--; r.byParty[party] == 0 {
		delete(r.byParty, party)
	}
}
