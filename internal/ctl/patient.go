package ctl

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// maxAttempts is how often a call is made that the platform refuses. With
	// the pauses between them that is some six seconds.
	maxAttempts = 9
	// initialBackoff and refusedMost bound the mean pause between tries.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
)

// retryingStore repeats calls that the platform refuses. The platform limits the
// rate of calls, so that an apply of many objects would break off somewhere in
// the middle. A refused call has had no effect, so a write may be repeated too.
type retryingStore struct {
	topo.Store
}

// Get implements topo.Store.
func (s retryingStore) Get(ctx context.Context, ref topo.Ref) (o topo.Object, err error) {
	err = retryRefused(ctx, func() (err error) {
		o, err = s.Store.Get(ctx, ref)
		return err
	})
	return o, err
}

// List implements topo.Store.
func (s retryingStore) List(ctx context.Context, kind topo.Kind, cont string) (p topo.Page, err error) {
	err = retryRefused(ctx, func() (err error) {
		p, err = s.Store.List(ctx, kind, cont)
		return err
	})
	return p, err
}

// Put implements topo.Store.
func (s retryingStore) Put(ctx context.Context, ref topo.Ref, value json.RawMessage, ifVersion topo.Version) (o topo.Object, err error) {
	err = retryRefused(ctx, func() (err error) {
		o, err = s.Store.Put(ctx, ref, value, ifVersion)
		return err
	})
	return o, err
}

// retryRefused makes a call until it is not refused.
func retryRefused(ctx context.Context, call func() error) error {
	backoff := initialBackoff
	for attempt := 1; ; attempt++ {
		err := call()
		if !errors.Is(err, topo.ErrRefused) || attempt == maxAttempts {
			return err
		}
		if !sleep(ctx, backoff/2+rand.N(backoff)) {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
