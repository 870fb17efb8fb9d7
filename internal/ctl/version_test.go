package ctl

import (
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Versions are shown as era and revision, not as one number of thirteen digits.
func TestVersionFormatIncludesEra(t *testing.T) {
	for v, want := range map[topo.Version]string{0: "-", 7: "7", topo.VersionAt(2, 44): "2.44"} {
		if got := formatOrDash(v); got != want {
			t.Errorf("version shown as %q, want %q", got, want)
		}
	}
}
