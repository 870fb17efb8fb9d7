package daemon

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
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
