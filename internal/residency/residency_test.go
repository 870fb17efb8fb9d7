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

var names = []string{"casablanca", "ktm", "caribe", ""}

func drawRegions(t *rapid.T, label string) []string {
	return rapid.SliceOfN(rapid.SampledFrom(names), 0, 5).Draw(t, label)
}

// A club's chats may run in two regions and its reports in one. Whatever either list
// holds, a request runs where both allow it and nowhere else, and a list that is left out
// binds nothing.
func TestIntersectionKeepsToBothLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRegions(t, "profile"), drawRegions(t, "organisation")
		both, reversed := NewRegions(a).Intersect(NewRegions(b)), NewRegions(b).Intersect(NewRegions(a))
		for _, name := range names {
			want := NewRegions(a).Has(name) && NewRegions(b).Has(name)
			if both.Has(name) != want {
				t.Errorf("%v and %v: %q is %v", a, b, name, both.Has(name))
			}
		}
		if same := NewRegions(a).Key() == NewRegions(b).Key(); same != sameRegions(NewRegions(a), NewRegions(b)) {
			t.Errorf("%v and %v: the same key is %v", a, b, same)
		}
		if both.Key() != reversed.Key() || both.Unrestricted() != (len(a)+len(b) == 0) {
			t.Errorf("%v and %v: %q and %q, all %v", a, b, both.Key(), reversed.Key(), both.Unrestricted())
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

// Two lists without a region in common leave none. Taken for no bound at all, they would
// let a request run anywhere.
func TestNoRegionInCommonIsNotAllRegions(t *testing.T) {
	none := NewRegions([]string{"ktm"}).Intersect(NewRegions([]string{"caribe"}))
	if none.Unrestricted() || none.Has("ktm") || none.Has("") || none.Key() == (Regions{}).Key() {
		t.Errorf("%+v", none)
	}
}
