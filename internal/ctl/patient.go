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
	// maxAttempts limits the attempts of a call that the platform refuses. With
	// the pauses between them they take about six seconds.
	maxAttempts = 9
	// initialBackoff and maxBackoff bound the mean pause between attempts.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
)

// retryingStore retries calls that the platform refuses. The platform limits
// the rate of calls, which would otherwise abort an apply of many objects
// midway. A refused call has had no effect, so writes can be retried too.
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

// retryRefused makes a call until it is not refused, at most maxAttempts times.
// Pauses are randomized and grow exponentially.
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
