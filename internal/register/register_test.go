package register

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Two routers run for a week, one of them reading the store for the other. Guards against the removal
// of the entry of a router that runs for longer than entryTTL: routers that start would not find it.
func TestEntriesOfRunningRoutersAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		store := standin.NewObjectAPI()
		for i := range 2 {
			isReader := func() bool { return i == 0 }
			go New(store, relay.Router{Name: fmt.Sprint("front-", i)}, isReader, func([]relay.Router) {}).Run(ctx)
		}
		time.Sleep(time.Second)
		for range 7 * 24 {
			time.Sleep(time.Hour)
			page, err := store.List(ctx, topo.KindRouter, "")
			if err != nil {
				t.Fatal(err)
			}
			if len(page.Objects) != 2 {
				t.Fatalf("%d entries after %v, want 2", len(page.Objects), time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)))
			}
		}
		stop()
		time.Sleep(time.Minute)
	})
}

// A router that has left keeps its entry until it expires. Guards against a register that grows with
// each replaced VM, since every starting router reads it.
func TestEntriesOfRoutersThatLeftExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		store := standin.NewObjectAPI()
		leaving, leave := context.WithCancel(ctx)
		go New(store, relay.Router{Name: "left"}, func() bool { return false }, func([]relay.Router) {}).Run(leaving)
		time.Sleep(time.Second)
		leave()
		go New(store, relay.Router{Name: "stays"}, func() bool { return true }, func([]relay.Router) {}).Run(ctx)
		time.Sleep(entryTTL + time.Hour)
		page, err := store.List(ctx, topo.KindRouter, "")
		if err != nil || len(page.Objects) != 1 || page.Objects[0].Name != "stays" {
			t.Errorf("entries %v, %v, want only that of the router that stays", page.Objects, err)
		}
		stop()
		time.Sleep(time.Minute)
	})
}
