package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Join returns the Source of everything that several sources of one store hold. Each of
// them tells all that it has when it tells anything, and so does the result: a page
// without a change is not Whole.
func Join(sources ...Source) Source {
	return &joinedSource{sources: sources}
}

// probeWait is for how long a watch waits that is to find out whether the store answers.
const probeWait = time.Millisecond

// joinedSource is several sources. A Runner calls it from one goroutine at a time.
type joinedSource struct {
	sources      []Source
	storeFailing atomic.Bool // the last call of the store was not answered
}

// Snapshot implements Source. The version is that of the oldest part.
func (j *joinedSource) Snapshot(ctx context.Context) (Snapshot, error) {
	all, err := j.snapshotExcept(ctx, len(j.sources))
	j.noteResult(ctx, err)
	return all, err
}

// snapshotExcept returns the snapshot of all but one of the sources.
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

// watchResult is what a watch of one of the sources has brought.
type watchResult struct {
	source int
	page   topo.Page
	err    error
}

// Watch implements Source. It watches all sources at the same time; once one tells of a
// change, the others are read, since what they hold at that version is not known yet.
//
// While the store does not answer, the first source alone finds out whether it does again:
// in an outage every router that depends on nobody else calls it, and each call costs.
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

// noteResult notes how a call noteResult. One that was cut short from here says nothing of the store.
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

// completePage returns what one of the sources has told together with what the others hold.
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
