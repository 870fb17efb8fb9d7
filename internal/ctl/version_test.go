package ctl

import (
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Guards against versions that are printed as one number of thirteen digits
// instead of era and revision, as would happen if they were converted to int64
// before they are formatted.
func TestVersionFormatIncludesEra(t *testing.T) {
	for v, want := range map[topo.Version]string{0: "-", 7: "7", topo.VersionAt(2, 44): "2.44"} {
		if got := formatOrDash(v); got != want {
			t.Errorf("version shown as %q, want %q", got, want)
		}
	}
}
