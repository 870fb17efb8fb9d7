package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// pageTimeout bounds the wait for one page of a listing.
	pageTimeout = 3 * time.Second
	// pageAttempts is how often a page of a listing is requested. A store that limits its
	// request rate refuses some pages when many routers start at once, and starting over
	// would read the other pages again.
	pageAttempts = 4
	// pageRetryPause is the mean pause before a page is requested again.
	pageRetryPause = 500 * time.Millisecond
)

// Snapshot is all configuration in the store. An object that it lacks did not exist at
// Version, or was deleted during the listing.
type Snapshot struct {
	Objects []topo.Object
	Version topo.Version
	Whole   bool // as in topo.Page
}

// Source is what a Runner reads configuration from.
type Source interface {
	// Snapshot reads all configuration.
	Snapshot(ctx context.Context) (Snapshot, error)
	// Watch waits up to wait for changes after since, like topo.Store.
	Watch(ctx context.Context, since topo.Version, wait time.Duration) (topo.Page, error)
}

// FromStore returns a Source that reads the objects of the given kinds from a store; without
// kinds, those of package config.
func FromStore(s topo.Store, kinds ...topo.Kind) Source {
	if len(kinds) == 0 {
		kinds = config.Kinds()
	}
	return storeSource{store: s, kinds: kinds}
}

type storeSource struct {
	store topo.Store
	kinds []topo.Kind
}

// Watch implements Source.
func (s storeSource) Watch(ctx context.Context, since topo.Version, wait time.Duration) (topo.Page, error) {
	return s.store.Watch(ctx, s.kinds, since, wait)
}

// Snapshot implements Source. It lists all kinds at the same time. The version of the result
// is that of its oldest page: the watch from there returns objects that changed during the
// listing.
func (s storeSource) Snapshot(ctx context.Context) (Snapshot, error) {
	parts := make([]Snapshot, len(s.kinds))
	group, groupCtx := errgroup.WithContext(ctx)
	for i, kind := range s.kinds {
		group.Go(func() (err error) {
			parts[i], err = s.listKind(groupCtx, kind)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return Snapshot{}, err
	}
	all := parts[0]
	for _, part := range parts[1:] {
		all.Objects = append(all.Objects, part.Objects...)
		all.Version = min(all.Version, part.Version)
	}
	return all, nil
}

func (s storeSource) listKind(ctx context.Context, kind topo.Kind) (Snapshot, error) {
	page, err := s.page(ctx, kind, "")
	out := Snapshot{Objects: page.Objects, Version: page.Version}
	for err == nil && page.Continue != "" {
		page, err = s.page(ctx, kind, page.Continue)
		out.Objects = append(out.Objects, page.Objects...)
		out.Version = min(out.Version, page.Version)
	}
	return out, err
}

// page reads a page, with up to pageAttempts attempts. The first page of a source of one kind
// has only one attempt: no other page would have to be read again, so the Follower can retry
// the whole listing. It picks a better time, since it learns from the answer to another call
// that the store is back (config.StoreReachable).
func (s storeSource) page(ctx context.Context, kind topo.Kind, cont string) (topo.Page, error) {
	attempts := pageAttempts
	if cont == "" && len(s.kinds) == 1 {
		attempts = 1
	}
	page, err := s.tryPage(ctx, kind, cont)
	for attempt := 1; err != nil && attempt < attempts; attempt++ {
		pause := time.NewTimer(pageRetryPause/2 + rand.N(pageRetryPause))
		select {
		case <-ctx.Done():
			pause.Stop()
			return page, ctx.Err()
		case <-pause.C:
		}
		page, err = s.tryPage(ctx, kind, cont)
	}
	return page, err
}

// tryPage reads a page within pageTimeout. Without that bound, a store that accepts a call
// and never answers would block the node indefinitely.
func (s storeSource) tryPage(ctx context.Context, kind topo.Kind, cont string) (topo.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return s.store.List(ctx, kind, cont)
}
