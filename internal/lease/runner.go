package lease

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/parsleyfront/parsleyfront/internal/loop"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// tickInterval is the interval between the Tick events of a Runner.
const tickInterval = 250 * time.Millisecond

// Runner runs a State against the platform's store.
type Runner struct {
	store       topo.Store
	ref         topo.Ref
	ttl         time.Duration
	isCandidate func() bool
	state       *State
	loop        *loop.Loop[Event, Effect]
	grant       atomic.Pointer[Grant]
	ctx         context.Context
	released    chan struct{} // closed when the write of the resignation has ended, also with an error
}

// NewRunner returns a Runner for the lease object of the given name. self
// identifies the candidate and must be unique to the process. The Runner competes
// for the lease while isCandidate returns true, and acquires it for ttl at a time.
func NewRunner(store topo.Store, name, self string, ttl time.Duration, isCandidate func() bool) *Runner {
	r := &Runner{
		store:       store,
		ref:         topo.Ref{Kind: topo.KindLease, Name: name},
		ttl:         ttl,
		isCandidate: isCandidate,
		state:       NewState(self, ttl),
		released:    make(chan struct{}),
	}
	r.grant.Store(&Grant{})
	r.loop = loop.New(r.state, r.execute, r.publish)
	return r
}

// Run competes for the lease and renews it until ctx ends, and then resigns.
func (r *Runner) Run(ctx context.Context) {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	r.ctx = background
	go r.loop.Run(background)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			// Not the time of the tick, which may have been queued while the
			// process was paused.
			r.loop.Post(Tick{Now: time.Now(), IsCandidate: r.isCandidate()})
		case <-ctx.Done():
			r.resign()
			return
		}
	}
}

// resign gives up the lease. If it was held, resign waits until the write that releases
// it has ended, at most for the interval between renewals.
func (r *Runner) resign() {
	held := r.Grant().Valid(time.Now())
	r.loop.Post(Resign{})
	if !held {
		return
	}
	select {
	case <-r.released:
	case <-time.After(r.ttl / callDivisor):
	}
}

// Grant returns the current grant. A caller that acts under it must check Valid
// before each effect.
func (r *Runner) Grant() Grant {
	return *r.grant.Load()
}

func (r *Runner) publish() {
	g := r.state.Grant()
	r.grant.Store(&g)
}

func (r *Runner) execute(effect Effect) {
	switch e := effect.(type) {
	case Get:
		go func() {
			o, err := r.store.Get(r.ctx, r.ref)
			r.loop.Post(GetResult{Now: time.Now(), Era: topo.EraOf(r.store), Object: o, Err: err})
		}()
	case Put:
		go r.write(e)
	}
}

func (r *Runner) write(p Put) {
	value, err := json.Marshal(p.Record)
	if err != nil {
		panic(err) // every Record can be marshalled
	}
	o, err := r.store.Put(r.ctx, r.ref, value, p.IfVersion)
	r.loop.Post(PutResult{Now: time.Now(), Object: o, Err: err})
	if p.Record.Holder == "" {
		close(r.released)
	}
}

// IsCandidate reports whether self is among the MaxCandidates routers that compete for
// a lease. They are chosen by hash, so that hundreds of routers do not all call the
// store. While routers have different lists, there may be more or fewer candidates.
func IsCandidate(name, self string, routers []string) bool {
	selfHash := xxh3.HashString(name + "\x00" + self)
	lower, listed := 0, false
	for _, r := range routers {
		if r == self {
			listed = true
		} else if xxh3.HashString(name+"\x00"+r) < selfHash {
			lower++
		}
	}
	return listed && lower < MaxCandidates
}
