// Package load tracks what one router or sidecar knows about the loads of a pool's upstreams. A
// sidecar uses the pool's mean load to bound its own load. A router uses the loads to choose
// upstreams with spare capacity. No upstream is polled.
//
// For upstreams with sidecars, a Table holds the newest load sample of each upstream. Each request
// and each reply between routers and sidecars carries a few samples that the sender has, with their
// ages, so samples spread to all routers and sidecars with the traffic (design note 0002).
//
// For upstreams that routers call directly, each router makes estimates from its own requests and
// from what upstreams report with their answers: PoolLoad estimates the loads, RelativeLatency and
// Speed how slow each upstream is, UrgencyMix how many waiting requests are ahead of a new one, and
// Demand the share of each session in the requests. Routers exchange loads and speeds in a tree:
// each reports to its parent, the router that it subscribes to, and the parent publishes what it
// knows to its subscribers.
package load

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

// VM identifies an upstream's VM in samples: a hash of its id.
type VM uint32

// Hash returns the VM for an id. Two ids in a pool rarely have the same hash. If they do, they
// share an entry, which only reduces accuracy.
func Hash(id string) VM {
	return VM(xxh3.HashString(id))
}

// SetOf returns the given VMs as a set.
func SetOf(vms []VM) map[VM]bool {
	set := make(map[VM]bool, len(vms))
	for _, vm := range vms {
		set[vm] = true
	}
	return set
}

// State reports whether an upstream accepts new work.
type State byte

// States of an upstream.
const (
	Serving  State = iota
	Draining       // its sidecar accepts no new work
	Down           // it does not respond to its sidecar
)

// Report is the load that an upstream's sidecar reports.
type Report struct {
	Load   int // requests admitted and not yet finished
	Weight int // relative capacity; zero means one
	State  State
}

// Bound returns the load up to which an upstream may admit requests, including the request to be
// admitted: multiple times the mean load per unit of weight, times the upstream's weight. mean is
// the mean over the known upstreams, without the request to be admitted. A multiple of zero means
// no bound.
//
// Bound adds the request to be admitted to the mean. The bounds of a pool therefore add up to more
// than its load, and if the mean is accurate, at least one upstream has spare capacity.
func Bound(mean float64, known int, multiple float64, weight int) int {
	if multiple <= 0 {
		return math.MaxInt
	}
	arriving := 1 / float64(max(known, 1))
	return int(math.Ceil(multiple * (mean + arriving) * float64(max(weight, 1))))
}

// maxAge is how long a sample is valid. An upstream without a newer sample has left or is
// unreachable.
const maxAge = 60 * time.Second
