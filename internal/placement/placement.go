// Package placement decides which upstreams a request is offered to, and in which order.
package placement

import "github.com/zeebo/xxh3"

// MaxCandidates is the maximum number of upstreams that a request is offered to.
const MaxCandidates = 4

// Seed returns the hash of an upstream's name.
func Seed(name string) uint64 {
	return xxh3.HashString(name)
}
