package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// startCandidate returns a Runner that stands for the lease.
func startCandidate(t *testing.T, store *standin.ObjectAPI, id string) *Runner {
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	r := NewRunner(store, "controller", id, DefaultTTL, func() bool { return true })
	go r.Run(ctx)
	return r
}

// A lease that the store has lost, or shows as released, since it came back from an older
// copy: whoever took it at once would give orders beside its holder.
func TestLostLeaseIsNotTakenAtOnce(t *testing.T) {
	for name, before := range map[string]func(*testing.T, *standin.ObjectAPI){
		"lost":     func(*testing.T, *standin.ObjectAPI) {},
		"released": takeAndRelease,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.NewObjectAPI()
				before(t, store)
				snapshot := store.Copy()
				holder := startCandidate(t, store, "holder")
				time.Sleep(time.Second)
				other := startCandidate(t, store, "other")
				time.Sleep(time.Second)
				former := holder.Grant().Token
				if !holder.Grant().Valid(time.Now()) {
					t.Fatal("not held")
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
						t.Fatal("two hold the lease")
					}
				}
				if !next.Valid(time.Now()) || next.Token <= former {
					t.Errorf("held at last by %+v, after token %d", next, former)
				}
			})
		})
	}
}

// takeAndRelease leaves a lease behind that its holder has given up.
func takeAndRelease(t *testing.T, store *standin.ObjectAPI) {
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

// A holder that slept through a return of the store, and whose renewal has replaced another's
// lease since its revision was given out again: it would go on giving orders.
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
		t.Fatal("not held")
	}
	now = now.Add(DefaultTTL + time.Second)
	s.Step(Tick{Now: now, IsCandidate: true}) // renews on top of version 7
	s.Step(written(topo.VersionAt(1, 8)))
	for range 4 {
		if token, held := s.Held(now); held {
			t.Fatalf("held by token %d", token)
		}
		now = now.Add(DefaultTTL / callDivisor)
		for _, e := range s.Step(Tick{Now: now, IsCandidate: true}) {
			if _, isPut := e.(Put); isPut {
				t.Fatal("it renews what it does not hold")
			}
		}
	}
}
