package residency

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// names are the regions that tests draw from. The empty name is that of a failure domain without
// a region.
var names = []string{"casablanca", "ktm", "caribe", ""}

// drawRegions draws a list of up to five region names.
func drawRegions(t *rapid.T, label string) []string {
	return rapid.SliceOfN(rapid.SampledFrom(names), 0, 5).Draw(t, label)
}

// A profile allows two regions and its organisation one. Whatever the two lists hold, a request
// may run where both allow it and nowhere else, and an empty list restricts nothing. Two
// different sets must not have the same key: routers look the upstreams of a set up by it.
func TestIntersectionKeepsToBothLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRegions(t, "profile"), drawRegions(t, "organisation")
		both, reversed := NewRegions(a).Intersect(NewRegions(b)), NewRegions(b).Intersect(NewRegions(a))
		for _, name := range names {
			want := NewRegions(a).Has(name) && NewRegions(b).Has(name)
			if both.Has(name) != want {
				t.Errorf("%v and %v: Has(%q) is %v", a, b, name, both.Has(name))
			}
		}
		if same := NewRegions(a).Key() == NewRegions(b).Key(); same != sameRegions(NewRegions(a), NewRegions(b)) {
			t.Errorf("%v and %v: the keys are equal: %v, want the opposite", a, b, same)
		}
		if both.Key() != reversed.Key() || both.Unrestricted() != (len(a)+len(b) == 0) {
			t.Errorf("%v and %v: keys %q and %q, unrestricted %v", a, b, both.Key(), reversed.Key(), both.Unrestricted())
		}
	})
}

// sameRegions reports whether two sets hold the same regions.
func sameRegions(a, b Regions) bool {
	for _, name := range append(names, "elsewhere") {
		if a.Has(name) != b.Has(name) {
			return false
		}
	}
	return true
}

// The intersection of two lists without a common region is empty. If it counted as unrestricted,
// a request could run anywhere.
func TestNoRegionInCommonIsNotAllRegions(t *testing.T) {
	none := NewRegions([]string{"ktm"}).Intersect(NewRegions([]string{"caribe"}))
	if none.Unrestricted() || none.Has("ktm") || none.Has("") || none.Key() == (Regions{}).Key() {
		t.Errorf("the intersection is %+v, want no region", none)
	}
}
