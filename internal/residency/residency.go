// Package residency determines the regions in which a request may run: if its profile or its
// organisation names regions, its content must stay within them, and if both do, within those
// that both name.
//
// Package router applies it before it chooses an upstream for an attempt, so that retries,
// hedges and resumed streams stay in the same regions as the first attempt.
package residency

import (
	"slices"
	"strings"
)

// Regions is a set of regions. Its zero value holds all regions.
type Regions struct {
	restricted bool     // the set holds only the regions in names
	names      []string // sorted
}

// NewRegions returns the set of the given regions, or of all regions if there are none.
func NewRegions(names []string) Regions {
	if len(names) == 0 {
		return Regions{}
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Regions{restricted: true, names: slices.Compact(sorted)}
}

// Intersect returns the regions that are in both sets, which may be none.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case !r.restricted:
		return other
	case !other.restricted:
		return r
	}
	both := Regions{restricted: true}
	for _, name := range r.names {
		if other.Has(name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// Unrestricted reports whether the set holds every region, also those that no list names and the
// empty name.
func (r Regions) Unrestricted() bool { return !r.restricted }

// Has reports whether a region is in the set.
func (r Regions) Has(name string) bool {
	if !r.restricted {
		return true
	}
	_, found := slices.BinarySearch(r.names, name)
	return found
}

// Key returns a string that is equal for sets of the same regions, and only for those. It is empty
// for the set of all regions, and a single zero byte for a set without regions. A zero byte ends
// each name; region names contain none.
func (r Regions) Key() string {
	if !r.restricted {
		return ""
	}
	var key strings.Builder
	key.WriteByte(0)
	for _, name := range r.names {
		key.WriteString(name)
		key.WriteByte(0)
	}
	return key.String()
}

// String returns the names of the regions, separated by commas, or "all regions" for the set of
// all regions. It returns the empty string for a set without regions.
func (r Regions) String() string {
	if !r.restricted {
		return "all regions"
	}
	return strings.Join(r.names, ", ")
}
