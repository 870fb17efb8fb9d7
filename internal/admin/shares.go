package admin

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

// Shares is what a router knows of the shares of pools. It is served at PathShares.
type Shares struct {
	Pools []PoolShares `json:"pools"`
}

// PoolShares is how a router shares a pool among organisations. Capacity and Used are held requests
// for engines that report their load, and requests per second for other upstreams.
type PoolShares struct {
	Pool     string  `json:"pool"`
	Short    bool    `json:"short"`    // too small at the moment for all that is offered to it
	Capacity float64 `json:"capacity"` // zero: not known
	Used     float64 `json:"used"`
	// Complete reports that the router knows the demand at all routers. Otherwise it uses its part
	// of the pool.
	Complete bool          `json:"complete"`
	Classes  []ClassShares `json:"classes"`
}

// ClassShares is what one router knows and admits of a class of requests: those of an organisation with the
// same rank, returning or not.
type ClassShares struct {
	// Organisation is the name, or a hash as returned by OrganisationLabel if the router does not
	// know the name. Empty: the organisations of Priority that are not listed, together.
	Organisation string  `json:"organisation"`
	Priority     int     `json:"priority"`  // of the organisation, 0 (highest) to 9
	Rank         int     `json:"rank"`      // of the kind of request, 0 (most urgent) to 9
	Returning    bool    `json:"returning"` // callers that were told when to retry, and do so
	Offered      float64 `json:"offered"`   // work per second, at all routers that this one hears of
	Fraction     float64 `json:"fraction"`  // of the requests that is admitted, 0 to 1
	Refused      int64   `json:"refused"`   // requests that this router has refused since its start
}

// hashPrefix distinguishes hashes from names: names of objects do not contain it.
const hashPrefix = "#"

// OrganisationHash returns the hash by which routers identify an organisation to each other.
func OrganisationHash(name string) uint32 {
	return uint32(xxh3.HashString(name))
}

// OrganisationLabel returns what stands for an organisation whose name is not known.
func OrganisationLabel(hash uint32) string {
	return fmt.Sprintf("%s%08x", hashPrefix, hash)
}

// HashOfLabel returns the hash in a label that OrganisationLabel has returned. ok is false for a name.
func HashOfLabel(label string) (hash uint32, ok bool) {
	digits, ok := strings.CutPrefix(label, hashPrefix)
	if !ok {
		return 0, false
	}
	h, err := strconv.ParseUint(digits, 16, 32)
	return uint32(h), err == nil
}
