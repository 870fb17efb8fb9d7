package daemon

import (
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/settings"
	"github.com/parsleyfront/parsleyfront/platform"
)

// Guards against a router that rejects requests of a pool for an organisation's share where the operators have switched that off
// or have not asked for it, and against one that does not where they have.
func TestPoolsAreSharedAsTheSettingsSay(t *testing.T) {
	for _, c := range []struct {
		args     []string
		competes bool
		want     router.ShareMode
	}{
		{nil, false, router.ShareAuto},
		{nil, true, router.ShareAlways},
		{[]string{"--share-pools=auto"}, true, router.ShareAlways},
		{[]string{"--share-pools=on"}, false, router.ShareAlways},
		{[]string{"--share-pools=on"}, true, router.ShareAlways},
		{[]string{"--share-pools=off"}, false, router.ShareNever},
		{[]string{"--share-pools=off"}, true, router.ShareNever},
	} {
		parsed, err := settings.Parse(append([]string{"entry"}, c.args...))
		if err != nil {
			t.Fatal(err)
		}
		if got := tuning(platform.Settings{CallersCompete: c.competes}, parsed.Entry).SharePools; got != c.want {
			t.Errorf("%v, callers compete %v: mode %v, want %v", c.args, c.competes, got, c.want)
		}
	}
}
