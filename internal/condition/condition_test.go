package condition

import (
	"os"
	"strings"
	"testing"
)

// page is where the table of what conditions allow stands for readers.
const page = "../../docs/design/0016-conditions-of-upstreams.md"

// rows returns the table of the page: cells by the name of their row.
func rows(t *testing.T) map[string][]string {
	text, err := os.ReadFile(page)
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

// Guards against a page that says otherwise than the code.
func TestPageHasTheTable(t *testing.T) {
	table := rows(t)
	for _, k := range Kinds() {
		for i, u := range Uses() {
			leave, _ := Of(k).Allows(u)
			if cells := table[k.String()]; len(cells) <= i || cells[i] != leave.String() {
				t.Errorf("%s has %v for %q, want %s for %s", page, cells, k, leave, u)
			}
		}
	}
}

// Guards against a set that allows more than one of its kinds does, or names another reason.
func TestSetsAllowTheLeast(t *testing.T) {
	for s := Set(0); s < 1<<kindCount; s++ {
		for _, u := range Uses() {
			want, by := Freely, kindCount
			for _, k := range Kinds() {
				if alone, _ := Of(k).Allows(u); s.Has(k) && alone < want {
					want, by = alone, k
				}
			}
			if got, why := s.Allows(u); got != want || why != by {
				t.Errorf("%q for %s: %s since %s, want %s since %s", s, u, got, why, want, by)
			}
		}
	}
}

// Guards against sets that lose a kind.
func TestSetsKeepTheirKinds(t *testing.T) {
	if got := Of(Leaving).Union(Of(Cold)).Union(0); got != Of(Cold, Leaving) || got.String() != "leaving, cold" {
		t.Errorf("%q", got)
	}
	if Of().String() != "" || kindCount.String() != "none" {
		t.Errorf("%q, %q", Of(), kindCount)
	}
}
