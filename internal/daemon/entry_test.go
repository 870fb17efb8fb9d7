package daemon

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/admin"
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

// Guards against scripts that get null, or nothing, from a router without short pools.
func TestSharesAreServedAsJSON(t *testing.T) {
	n := Network{Store: func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("no store in this test")
	}}
	parsed, err := settings.Parse([]string{"entry"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	e := NewEntry(ctx, parsed.Entry, platform.Settings{StoreURL: "http://store.example", ConfigBound: time.Second, DrainBound: time.Second}, n)
	w := httptest.NewRecorder()
	e.serveShares(w, httptest.NewRequest(http.MethodGet, admin.PathShares, nil))
	if body := strings.TrimSpace(w.Body.String()); w.Code != http.StatusOK || body != `{"pools":[]}` || w.Header().Get("Content-Type") != "application/json" {
		t.Errorf("status %d, %s", w.Code, body)
	}
}

// newTestEntry returns a router on the operators' platform without a store.
func newTestEntry(t *testing.T, p platform.Settings) *Entry {
	t.Helper()
	parsed, err := settings.Parse([]string{"entry"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	p.StoreURL, p.ConfigBound, p.DrainBound = "http://store.example", time.Second, time.Second
	return NewEntry(ctx, parsed.Entry, p, Network{Store: func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("no store in this test")
	}})
}

// The platform raises the time between SIGTERM and SIGKILL while a router runs. Guards against a planned stop that cuts
// streams as if it had the former time.
func TestStopLastsAsLongAsReloadedSettingsSay(t *testing.T) {
	for _, grace := range []time.Duration{20 * time.Second, 3 * time.Second} {
		e := newTestEntry(t, platform.Settings{GracePeriod: 8 * time.Second})
		changed := *e.platform.Load()
		changed.GracePeriod = grace
		e.reload(changed)
		if p := e.stopPlan(); p.delay+p.timeout != grace-stopMargin {
			t.Errorf("a stop lasts %v, want %v less than %v", p.delay+p.timeout, stopMargin, grace)
		}
	}
}

// The settings file changes without a signal, and the router is stopped before it has looked at the file. Guards against
// a planned stop that goes by the former file, and against none if the file can't be read.
func TestStopReadsTheSettingsFile(t *testing.T) {
	const file = `node: "n"
ip: "127.0.0.1"
zone: "a"
region: "r"
zones: {a: "r"}
listen: {front: "127.0.0.1:1", ready: "127.0.0.1:2"}
heartbeat_ms: 1200
bounds: {config_apply_ms: 2000, drain_ms: 2000, grace_s: 20, retry_ratio: 0.2, retry_slack: 5, budget_window_s: 10, cap_factor: 2}
platform: {address: "127.0.0.1:3"}
`
	path := filepath.Join(t.TempDir(), "settings")
	e := newTestEntry(t, platform.Settings{GracePeriod: 8 * time.Second})
	e.reloadBeforeStop(path)
	if got := e.platform.Load().GracePeriod; got != 8*time.Second {
		t.Errorf("without a file: %v", got)
	}
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	e.reloadBeforeStop(path)
	if got := e.platform.Load().GracePeriod; got != 20*time.Second {
		t.Errorf("the stop goes by %v, the file says 20 s", got)
	}
}

// Guards against a router on a machine with few descriptors that takes one connection at a time, and against one that
// leaves none for its upstreams.
func TestCallersHaveAShareOfAnyNumberOfDescriptors(t *testing.T) {
	for descriptors, want := range map[int]int{0: defaultCallerConnections, 2: 1, 1024: 256, 2048: 512, 4100: 1378, 8192: 3424} {
		if got := callerConnections(platform.Settings{MaxDescriptors: descriptors}); got != want {
			t.Errorf("%d descriptors: %d connections of callers, want %d", descriptors, got, want)
		}
	}
}
