package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/lease"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const claimCount = 600 // more than a page

func claimRef(i int) topo.Ref {
	return topo.Ref{Kind: topo.KindClaim, Name: fmt.Sprintf("%03d", i)}
}

// Guards against claims that are never deleted and fill up the store, and
// against deletion of a claim that is still valid, which would let its request
// run twice.
func TestSweepDeletesOnlyExpiredObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewObjectAPI()
		for i := range claimCount {
			keep := 24 * time.Hour
			if i%2 == 0 {
				keep = -time.Hour
			}
			value, _ := json.Marshal(expiring{KeepUntil: time.Now().Add(keep).Unix()})
			if _, err := s.Put(t.Context(), claimRef(i), value, 0); err != nil {
				t.Fatal(err)
			}
		}
		ctx, stop := context.WithCancel(t.Context())
		c := New(Config{
			Store: s, Self: "a", Process: "1", LeaseTTL: lease.DefaultTTL, LoadInterval: time.Second,
			Routers: func() []string { return []string{"a"} },
			Desired: func() Desired { return Desired{} },
		})
		go c.Run(ctx)
		time.Sleep(passInterval + 5*time.Minute)
		for i := range claimCount {
			_, err := s.Get(t.Context(), claimRef(i))
			if exists := err == nil; exists != (i%2 == 1) {
				t.Errorf("claim %d exists: %v", i, exists)
			}
		}
		stop()
		time.Sleep(time.Minute)
	})
}
