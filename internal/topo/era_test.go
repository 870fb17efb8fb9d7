package topo_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

var claimRef = topo.Ref{Kind: topo.KindClaim, Name: "a"}

// newRestorableStore returns a store and two clients of it. A test that uses unaware makes
// no call with it between a restore and the call under test, so that unaware has not seen
// the new era.
func newRestorableStore(t *testing.T) (store *standin.ObjectAPI, client, unaware *topo.HTTP) {
	store = standin.NewObjectAPI()
	mux := http.NewServeMux()
	store.Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return store, topo.NewHTTP(server.URL), topo.NewHTTP(server.URL)
}

func put(t *testing.T, s topo.Store, value string, ifVersion topo.Version) topo.Object {
	t.Helper()
	o, err := s.Put(t.Context(), claimRef, json.RawMessage(value), ifVersion)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// Guards against a conditional write, based on a read before a restore of the store,
// overwriting another writer's object that was given the same revision after the restore.
func TestWriteFailsOnAReusedRevision(t *testing.T) {
	store, client, unaware := newRestorableStore(t)
	snapshot := store.Snapshot()
	read := put(t, client, `"mine"`, 0)
	store.Restore(snapshot)
	other := put(t, client, `"another's"`, 0)
	if other.Version <= read.Version || other.Version.Revision() != read.Version.Revision() {
		t.Fatalf("version %s after %s; want a higher one with the same revision", other.Version, read.Version)
	}
	if _, err := client.Put(t.Context(), claimRef, json.RawMessage(`"mine, newer"`), read.Version); !errors.Is(err, topo.ErrConflict) {
		t.Errorf("write by a client that knows the new era: %v, want a conflict", err)
	}
	if err := client.Delete(t.Context(), claimRef, read.Version); !errors.Is(err, topo.ErrConflict) {
		t.Errorf("deletion by a client that knows the new era: %v, want a conflict", err)
	}
	if o, err := client.Get(t.Context(), claimRef); err != nil || string(o.Value) != `"another's"` {
		t.Errorf("value %s, %v; want that of the other writer", o.Value, err)
	}
	// A client that does not know the new era cannot prevent the write. The write must
	// not be reported as successful.
	if _, err := unaware.Put(t.Context(), claimRef, json.RawMessage(`"mine, newer"`), read.Version); !errors.Is(err, topo.ErrUnknown) {
		t.Errorf("write by a client that does not know the new era: %v, want an unknown outcome", err)
	}
}

// Guards against missed changes: a watch from a revision that the store has reused would
// be answered without the changes of the new era up to that revision.
func TestWatchFailsInANewEra(t *testing.T) {
	store, client, unaware := newRestorableStore(t)
	c := store.Snapshot()
	for range 3 {
		o := put(t, client, `1`, 0)
		if err := client.Delete(t.Context(), claimRef, o.Version); err != nil {
			t.Fatal(err)
		}
	}
	page, err := client.List(t.Context(), topo.KindClaim, "")
	if err != nil {
		t.Fatal(err)
	}
	store.Restore(c)
	version := topo.Version(0)
	for range 10 {
		version = put(t, store, `2`, version).Version
	}
	for name, s := range map[string]topo.Store{"client": client, "unaware": unaware, "store": store} {
		within, cancel := context.WithTimeout(t.Context(), time.Minute)
		if _, err := s.Watch(within, []topo.Kind{topo.KindClaim}, page.Version, time.Second); !errors.Is(err, topo.ErrCompacted) {
			t.Errorf("watch with %s: %v, want a compacted version", name, err)
		}
		cancel()
	}
}

// Guards against a change after a restore of the store counting as older than one before,
// because the store reuses revisions.
func TestVersionsOrderChangesAcrossEras(t *testing.T) {
	last, first := topo.VersionAt(3, 1<<30), topo.VersionAt(4, 1)
	if first <= last || first.Era() != 4 || first.Revision() != 1 || last.Revision() != 1<<30 {
		t.Errorf("%s and %s", last, first)
	}
	if topo.VersionAt(0, 7) != 7 || topo.Version(7).String() != "7" || first.String() != "4.1" {
		t.Errorf("%s, %s", topo.Version(7), first)
	}
}

// Guards against a response being attributed to an era that is over because it lacks the
// header with the era, as when a proxy answers for the store.
func TestResponseWithoutAnEraBelongsToTheNewest(t *testing.T) {
	named := true
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if named {
			w.Header().Set(topo.EraHeader, "3")
		}
		_ = json.NewEncoder(w).Encode(topo.Page{Version: 7})
	}))
	defer server.Close()
	client := topo.NewHTTP(server.URL)
	for _, named = range []bool{true, false} {
		if page, err := client.List(t.Context(), topo.KindClaim, ""); err != nil || page.Version != topo.VersionAt(3, 7) {
			t.Errorf("era named %v: %s, %v", named, page.Version, err)
		}
	}
}
