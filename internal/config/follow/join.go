package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Join returns a Source that combines several sources of one store. A watch of each source must
// return all its objects when any of them has changed, in a page that is Whole, and otherwise a
// page that is not Whole and has no objects. Watches of the result do the same.
func Join(sources ...Source) Source {
	return &joinedSource{sources: sources}
}

// probeWait is the wait of a watch that only checks whether the store answers.
const probeWait = time.Millisecond

// joinedSource combines several sources. A Runner calls it from one goroutine at a time.
type joinedSource struct {
	sources      []Source
	storeFailing atomic.Bool // the last call to the store failed
}

// Snapshot implements Source. Its version is the oldest one among the sources.
func (j *joinedSource) Snapshot(ctx context.Context) (Snapshot, error) {
	all, err := j.snapshotExcept(ctx, len(j.sources))
	j.noteResult(ctx, err)
	return all, err
}

// snapshotExcept returns the snapshot of all sources but one.
func (j *joinedSource) snapshotExcept(ctx context.Context, except int) (Snapshot, error) {
	all := Snapshot{Whole: true}
	first := true
	for i, s := range j.sources {
		if i == except {
			continue
		}
		part, err := s.Snapshot(ctx)
		if err != nil {
			return Snapshot{}, err
		}
		all.Objects = append(all.Objects, part.Objects...)
		if first || part.Version < all.Version {
			all.Version, first = part.Version, false
		}
	}
	return all, nil
}

// watchResult is the result of a watch of one of the sources.
type watchResult struct {
	source int
	page   topo.Page
	err    error
}

// Watch implements Source. It watches all sources at the same time. When one of them returns
// a change, Watch cancels the other watches and takes a snapshot of the other sources, since
// the page must contain their objects, too.
//
// After a failed call, Watch calls only the first source until that one answers: in an outage,
// every router that reads the store itself calls it, and each call has a cost.
func (j *joinedSource) Watch(ctx context.Context, since topo.Version, wait time.Duration) (topo.Page, error) {
	if j.storeFailing.Load() {
		if _, err := j.sources[0].Watch(ctx, since, probeWait); err != nil {
			return topo.Page{}, err
		}
	}
	page, err := j.watch(ctx, since, wait)
	j.noteResult(ctx, err)
	return page, err
}

// noteResult records how a call ended. A call cancelled by the caller shows nothing about the
// store.
func (j *joinedSource) noteResult(ctx context.Context, err error) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		j.storeFailing.Store(err != nil)
	}
}

func (j *joinedSource) watch(ctx context.Context, since topo.Version, wait time.Duration) (topo.Page, error) {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan watchResult, len(j.sources))
	for i, s := range j.sources {
		go func() {
			page, err := s.Watch(watching, since, wait)
			results <- watchResult{source: i, page: page, err: err}
		}()
	}
	var out topo.Page
	for n := range j.sources {
		result := <-results
		switch {
		case result.err != nil:
			return topo.Page{}, result.err
		case result.page.Whole:
			cancel()
			return j.completePage(ctx, result)
		case n == 0 || result.page.Version < out.Version:
			out.Version = result.page.Version
		}
	}
	return out, nil
}

// completePage returns the objects of the source that changed together with those of the others.
func (j *joinedSource) completePage(ctx context.Context, changed watchResult) (topo.Page, error) {
	rest, err := j.snapshotExcept(ctx, changed.source)
	if err != nil {
		return topo.Page{}, err
	}
	return topo.Page{
		Objects: append(changed.page.Objects, rest.Objects...),
		Version: min(changed.page.Version, rest.Version),
		Whole:   true,
	}, nil
}
