// Package residency decides in which regions a request may run: where its profile or its
// organisation names regions, its content is to stay within them.
//
// Package router asks it before it chooses an upstream, for each attempt, so that retries,
// hedges and streams that go on elsewhere keep to the same regions as a first try.
package residency

import (
	"slices"
	"strings"
)

// Regions is a set of regions. Its zero value is all of them.
type Regions struct {
	restricted bool
	names      []string // sorted
}

// NewRegions returns the regions of a list; all if it is empty.
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

// Unrestricted reports whether every region is in the set, those included that are not known by
// name.
func (r Regions) Unrestricted() bool { return !r.restricted }

// Has reports whether a region is in the set.
func (r Regions) Has(name string) bool {
	if !r.restricted {
		return true
	}
	_, found := slices.BinarySearch(r.names, name)
	return found
}

// Key returns a text that is the same for sets of the same regions, and only for those.
// No region's name holds the byte that separates them.
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

// String names the regions.
func (r Regions) String() string {
	if !r.restricted {
		return "all regions"
	}
	return strings.Join(r.names, ", ")
}
