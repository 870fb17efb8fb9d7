// Package placement decides which upstreams a request is offered to, and in
// which order.
package placement

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// Candidates is how many upstreams a request is offered to at most.
const Candidates = 4

// Rank writes the indices of the upstreams with the highest rendezvous scores
// for session into best, the highest first, and returns how many there are.
// seeds are the hashes of the upstreams' names.
//
// Rendezvous hashing needs no state and no agreement: routers with the same
// list agree, and a change of the list moves only the sessions of the upstream
// that came or went.
func Rank(seeds []uint64, session uint64, best *[Candidates]int) int {
	var scores [Candidates]uint64
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], session)
	n := 0
	for i, seed := range seeds {
		score := xxh3.HashSeed(key[:], seed)
		if n == Candidates && score <= scores[n-1] {
			continue
		}
		if n < Candidates {
			n++
		}
		at := n - 1
		for at > 0 && scores[at-1] < score {
			scores[at], best[at] = scores[at-1], best[at-1]
			at--
		}
		scores[at], best[at] = score, i
	}
	return n
}

// Seed returns the hash of an upstream's name.
func Seed(name string) uint64 {
	return xxh3.HashString(name)
}
