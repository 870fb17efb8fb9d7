package router

import (
	"slices"

	"github.com/parsleyfront/parsleyfront/internal/profile"
)

// urgencyTable orders requests by the priority of their organisation first and by that of their
// kind second. Package balance defers requests behind all others by adding to their urgency, so the
// table has no more than urgencyLevels levels.
type urgencyTable struct {
	orgs, kinds []uint8 // ranks in use, ascending
}

// urgencyLevels is the number of levels of urgency for requests that are not deferred.
const urgencyLevels = 5

// newUrgencyTable returns the table for the ranks that a configuration uses.
func newUrgencyTable(orgs map[string]*profile.Organisation, profiles map[string]*profile.Profile) urgencyTable {
	t := urgencyTable{orgs: []uint8{0}} // callers without an organisation
	for _, o := range orgs {
		t.orgs = append(t.orgs, orgRank(o))
	}
	for _, p := range profiles {
		t.kinds = append(t.kinds, rankOf(p.Priority))
	}
	t.orgs, t.kinds = sortedUnique(t.orgs), sortedUnique(t.kinds)
	return t
}

func sortedUnique(ranks []uint8) []uint8 {
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

// urgency returns the urgency of a request, from 0, the most urgent, to urgencyLevels-1. If there are
// more combinations of ranks than levels, neighbouring ones share a level.
func (t urgencyTable) urgency(org, kind uint8) int {
	i, _ := slices.BinarySearch(t.orgs, org)
	j, _ := slices.BinarySearch(t.kinds, kind)
	place, places := i*len(t.kinds)+j, len(t.orgs)*len(t.kinds)
	if places <= urgencyLevels {
		return min(place, urgencyLevels-1)
	}
	return min(place*urgencyLevels/places, urgencyLevels-1)
}
