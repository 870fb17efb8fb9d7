package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/standin"
)

// Guards against a rollout stalling because no router holds the lease: after a planned stop
// of its holder until the lease lapses, and after the death of its holder for ever. The test
// stops the holder as planned; it does not cover its death.
func TestPlannedStopReleasesTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewObjectAPI()
		run := func(id string) (*Runner, context.CancelFunc) {
			ctx, stop := context.WithCancel(t.Context())
			r := NewRunner(store, "controller", id, DefaultTTL, func() bool { return true })
			go r.Run(ctx)
			return r, stop
		}
		first, stop := run("a")
		time.Sleep(time.Second)
		second, _ := run("b")
		time.Sleep(time.Minute)
		if !first.Grant().Valid(time.Now()) || second.Grant().Valid(time.Now()) {
			t.Fatal("the first runner does not hold the lease, or the second does")
		}
		former := first.Grant().Token
		stop()
		time.Sleep(DefaultTTL/callDivisor + time.Second)
		if g := second.Grant(); !g.Valid(time.Now()) || g.Token <= former {
			t.Fatalf("second runner has grant %+v; want a valid one with a higher token", g)
		}
		if current, err := CurrentToken(t.Context(), store, "controller"); err != nil || current != second.Grant().Token {
			t.Fatalf("current token %d, %v; want that of the second runner's grant", current, err)
		}
	})
}
