package claim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// A claim that the store has lost with its return from an older copy: the request comes
// again, at another router, and would run a second time.
func TestLostClaimIsRecreatedBeforeItsKeyIsClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewObjectAPI()
		first, second := NewClaimer(store), NewClaimer(store)
		ref := Ref("club", "pay-once")
		snapshot := store.Copy()
		ran, outcome, err := first.Claim(t.Context(), ref, wire.Key{VM: "a"})
		if err != nil || outcome != Created {
			t.Fatal(outcome, err)
		}
		store.Restore(snapshot)
		if key, outcome, _ := second.Claim(t.Context(), ref, wire.Key{VM: "b"}); outcome != StoreRestored {
			t.Errorf("right after: %s %+v", outcome, key)
		}
		first.RecreateLost(t.Context())
		time.Sleep(RestoreGrace)
		if key, outcome, err := second.Claim(t.Context(), ref, wire.Key{VM: "b"}); outcome != Found || key != ran {
			t.Errorf("later: %s %+v, %v", outcome, key, err)
		}
	})
}

// Claims are remembered for long enough, and no longer.
func TestClaimsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claimer := NewClaimer(standin.NewObjectAPI())
		for _, name := range []string{"a", "b", "c"} {
			if _, _, err := claimer.Claim(t.Context(), Ref("club", name), wire.Key{VM: name}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(recreateWindow / 2)
		}
		claimer.mu.Lock()
		defer claimer.mu.Unlock()
		if recent := claimer.recent(time.Now()); len(recent) != 1 || recent[0].key.VM != "c" {
			t.Errorf("%+v", recent)
		}
	})
}
