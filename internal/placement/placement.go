// Package placement decides which upstreams a request is offered to, and in
// which order.
package placement

import "github.com/zeebo/xxh3"

// MaxCandidates is how many upstreams a request is offered to at most.
const MaxCandidates = 4

// Seed returns the hash of an upstream's name.
func Seed(name string) uint64 {
	return xxh3.HashString(name)
}
