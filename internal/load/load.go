// Package load is what one node knows of the loads of a pool's upstreams. A
// sidecar learns the pool's mean from it, by which it bounds its own load; a
// router learns which upstreams have room.
//
// Nothing is polled. Each request and each reply carries a few samples of
// loads that the sender knows, with their ages, so what one node hears reaches
// the others on the back of traffic (design note 0002).
package load

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

// VM names an upstream's VM in samples.
type VM uint32

// Hash returns the VM of a VM's id. Two ids of one pool rarely have the same
// hash; if so, they share an entry, which costs accuracy and nothing else.
func Hash(id string) VM {
	return VM(xxh3.HashString(id))
}

// SetOf returns the set of some VMs, for those that forget all others.
func SetOf(vms []VM) map[VM]bool {
	set := make(map[VM]bool, len(vms))
	for _, vm := range vms {
		set[vm] = true
	}
	return set
}

// State is whether an upstream takes new work.
type State byte

// States of an upstream.
const (
	Serving  State = iota
	Draining       // its sidecar takes no new work
	Down           // it does not answer its sidecar
)

// Report is what an upstream's sidecar says of it.
type Report struct {
	Load   int // requests admitted and not yet ended
	Weight int // relative capacity; zero means one
	State  State
}

// Bound returns the load up to which an upstream may admit requests, the one
// to be admitted included. mean is the pool's mean load for each unit of
// weight among known upstreams; a multiple of zero is no bound.
//
// The mean counts the arriving request as well. Thus the bounds of a pool add
// up to more than its load, and at a true mean some upstream has room.
func Bound(mean float64, known int, multiple float64, weight int) int {
	if multiple <= 0 {
		return math.MaxInt
	}
	arriving := 1 / float64(max(known, 1))
	return int(math.Ceil(multiple * (mean + arriving) * float64(max(weight, 1))))
}

// maxAge is how long a sample counts. An upstream that has not been heard of
// for so long has left or is cut off.
const maxAge = 60 * time.Second
