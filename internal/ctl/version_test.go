package ctl

import (
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Operators read versions as era and revision, and not as one number of thirteen digits.
func TestVersionFormatIncludesEra(t *testing.T) {
	for v, want := range map[topo.Version]string{0: "-", 7: "7", topo.VersionAt(2, 44): "2.44"} {
		if got := dash(v); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
