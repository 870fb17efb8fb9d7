package router

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// A claim that the store has lost with its return from an older copy: the request comes
// again, at another router, and would run a second time.
func TestLostClaimIsMadeAgainBeforeItsKeyIsClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewObjectAPI()
		first, second := &claimer{store: store}, &claimer{store: store}
		ref := claimRef("club", "pay-once")
		c := store.Copy()
		ran, outcome, err := first.claim(t.Context(), ref, wire.Key{VM: "a"})
		if err != nil || outcome != claimMade {
			t.Fatal(outcome, err)
		}
		store.Restore(c)
		if key, outcome, _ := second.claim(t.Context(), ref, wire.Key{VM: "b"}); outcome != claimDoubted {
			t.Errorf("right after: %s %+v", outcome, key)
		}
		first.restored(t.Context())
		time.Sleep(claimDoubt)
		if key, outcome, err := second.claim(t.Context(), ref, wire.Key{VM: "b"}); outcome != claimFound || key != ran {
			t.Errorf("later: %s %+v, %v", outcome, key, err)
		}
	})
}

// Claims are remembered for long enough, and no longer.
func TestClaimsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &claimer{store: standin.NewObjectAPI()}
		for _, name := range []string{"a", "b", "c"} {
			if _, _, err := c.claim(t.Context(), claimRef("club", name), wire.Key{VM: name}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(claimMemory / 2)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if kept := c.kept(time.Now()); len(kept) != 1 || kept[0].key.VM != "c" {
			t.Errorf("%+v", kept)
		}
	})
}
