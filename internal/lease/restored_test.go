package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// startCandidate starts a Runner that competes for the lease.
func startCandidate(t *testing.T, store *standin.ObjectAPI, id string) *Runner {
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	r := NewRunner(store, "controller", id, DefaultTTL, func() bool { return true })
	go r.Run(ctx)
	return r
}

// Guards against two holders after the store was restored from an older copy in which the
// lease is missing or released: a candidate that acquired it at once would send orders at
// the same time as its holder.
func TestLostLeaseIsNotAcquiredAtOnce(t *testing.T) {
	for name, before := range map[string]func(*testing.T, *standin.ObjectAPI){
		"lost":     func(*testing.T, *standin.ObjectAPI) {},
		"released": acquireAndRelease,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.NewObjectAPI()
				before(t, store)
				snapshot := store.Snapshot()
				holder := startCandidate(t, store, "holder")
				time.Sleep(time.Second)
				other := startCandidate(t, store, "other")
				time.Sleep(time.Second)
				former := holder.Grant().Token
				if !holder.Grant().Valid(time.Now()) {
					t.Fatal("the holder does not hold the lease before the restore")
				}
				store.Restore(snapshot)
				fresh := startCandidate(t, store, "fresh")
				var next Grant
				for range 400 {
					time.Sleep(100 * time.Millisecond)
					held := 0
					for _, r := range []*Runner{holder, other, fresh} {
						if g := r.Grant(); g.Valid(time.Now()) {
							held++
							next = g
						}
					}
					if held > 1 {
						t.Fatal("more than one runner holds the lease at the same time")
					}
				}
				if !next.Valid(time.Now()) || next.Token <= former {
					t.Errorf("last grant %+v; want a valid one with a token above %d", next, former)
				}
			})
		})
	}
}

// acquireAndRelease acquires the lease and releases it, which leaves its object in the store.
func acquireAndRelease(t *testing.T, store *standin.ObjectAPI) {
	ctx, stop := context.WithCancel(t.Context())
	r := NewRunner(store, "controller", "first", DefaultTTL, func() bool { return true })
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	time.Sleep(time.Second)
	stop()
	<-done
}

// Guards against a paused holder sending orders without the lease. The store was restored
// meanwhile, another router acquired the lease under a reused revision, and the renewal of
// the paused holder overwrote that lease.
func TestRenewalThatReplacesAnotherLeaseDoesNotHold(t *testing.T) {
	s := NewState("a", DefaultTTL)
	now := time.Unix(1000, 0)
	written := func(v topo.Version) PutResult {
		return PutResult{Now: now, Object: topo.Object{Version: v}}
	}
	s.Step(Tick{Now: now, IsCandidate: true})
	s.Step(GetResult{Now: now, Err: topo.ErrNotFound})
	s.Step(written(7))
	if _, held := s.Held(now); !held {
		t.Fatal("the lease is not held after the first write")
	}
	now = now.Add(DefaultTTL + time.Second)
	s.Step(Tick{Now: now, IsCandidate: true}) // renews on condition of version 7
	s.Step(written(topo.VersionAt(1, 8)))
	for range 4 {
		if token, held := s.Held(now); held {
			t.Fatalf("the lease is held with token %d after a renewal in another era", token)
		}
		now = now.Add(DefaultTTL / callDivisor)
		for _, e := range s.Step(Tick{Now: now, IsCandidate: true}) {
			if _, isPut := e.(Put); isPut {
				t.Fatal("a lease that is not held is renewed")
			}
		}
	}
}
