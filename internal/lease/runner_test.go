package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/standin"
)

// The router that gives the orders is stopped as planned, and a roll-out that
// was under way stands still until its lease has lapsed, or a router that died
// keeps others from it for ever.
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
			t.Fatal("the first does not hold the lease, or the second does")
		}
		former := first.Grant().Token
		stop()
		time.Sleep(DefaultTTL/callDivisor + time.Second)
		if g := second.Grant(); !g.Valid(time.Now()) || g.Token <= former {
			t.Fatalf("not handed over: %+v", g)
		}
		if current, err := CurrentToken(t.Context(), store, "controller"); err != nil || current != second.Grant().Token {
			t.Fatalf("a sidecar would learn %d, %v", current, err)
		}
	})
}
