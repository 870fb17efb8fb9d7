package condition

import (
	"os"
	"strings"
	"testing"
)

// conditionsPage documents the permissions for each condition.
const conditionsPage = "../../docs/design/0016-conditions-of-upstreams.md"

// tableRows returns the cells of the table on the page, by the name of their row.
func tableRows(t *testing.T) map[string][]string {
	text, err := os.ReadFile(conditionsPage)
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[string][]string)
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if len(cells) > 1 {
			out[cells[0]] = cells[1:]
		}
	}
	return out
}

// Guards against documentation that differs from the code.
func TestPageMatchesPermissions(t *testing.T) {
	table := tableRows(t)
	for _, k := range Kinds() {
		for i, u := range Uses() {
			permission, _ := Of(k).Permission(u)
			if cells := table[k.String()]; len(cells) <= i || cells[i] != permission.String() {
				t.Errorf("%s has %v for %q, want %s for %s", conditionsPage, cells, k, permission, u)
			}
		}
	}
}

// Guards against a set that permits more than one of its kinds does, or names another reason.
func TestSetsAllowTheStrictestPermission(t *testing.T) {
	for s := Set(0); s < 1<<kindCount; s++ {
		for _, u := range Uses() {
			want, by := Freely, kindCount
			for _, k := range Kinds() {
				if alone, _ := Of(k).Permission(u); s.Has(k) && alone < want {
					want, by = alone, k
				}
			}
			if got, gotBy := s.Permission(u); got != want || gotBy != by {
				t.Errorf("%q for %s: %s by %s, want %s by %s", s, u, got, gotBy, want, by)
			}
		}
	}
}

// Guards against sets that lose a kind.
func TestSetsKeepTheirKinds(t *testing.T) {
	if got := Of(Leaving).Union(Of(Cold)).Union(0); got != Of(Cold, Leaving) || got.String() != "leaving, cold" {
		t.Errorf("union of leaving, cold and nothing: %q", got)
	}
	if Of().String() != "" || kindCount.String() != "none" {
		t.Errorf("names of the empty set and of no kind: %q, %q", Of(), kindCount)
	}
}
