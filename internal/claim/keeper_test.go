package claim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Guards against a request running twice because a restore of the store from an older copy
// lost its claim, and the caller resends it to another router. That router must not claim
// the key until the first one has recreated the claim, and must find that claim then.
func TestLostClaimIsRecreatedBeforeItsKeyIsClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewObjectAPI()
		first, second := NewClaimer(store), NewClaimer(store)
		ref := Ref("org", "pay-once")
		snapshot := store.Snapshot()
		firstKey, outcome, err := first.Claim(t.Context(), ref, wire.Key{VM: "a"})
		if err != nil || outcome != Created {
			t.Fatal(outcome, err)
		}
		store.Restore(snapshot)
		if key, outcome, _ := second.Claim(t.Context(), ref, wire.Key{VM: "b"}); outcome != StoreRestored {
			t.Errorf("claim right after the restore: %s %+v, want store-restored", outcome, key)
		}
		first.RecreateLost(t.Context())
		time.Sleep(RestoreGrace)
		if key, outcome, err := second.Claim(t.Context(), ref, wire.Key{VM: "b"}); outcome != Found || key != firstKey {
			t.Errorf("claim after the grace: %s %+v, %v; want found, with the key of the first claim", outcome, key, err)
		}
	})
}

// Guards against claims being forgotten too early, or kept in memory without end.
func TestClaimsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claimer := NewClaimer(standin.NewObjectAPI())
		for _, name := range []string{"a", "b", "c"} {
			if _, _, err := claimer.Claim(t.Context(), Ref("org", name), wire.Key{VM: name}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(recreateWindow / 2)
		}
		claimer.mu.Lock()
		defer claimer.mu.Unlock()
		if recent := claimer.recent(time.Now()); len(recent) != 1 || recent[0].key.VM != "c" {
			t.Errorf("recent claims %+v, want only that of key c", recent)
		}
	})
}
