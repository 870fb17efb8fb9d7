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
	return &joined{sources: sources}
}

// probeWait is for how long a watch waits that is to find out whether the store answers.
const probeWait = time.Millisecond

// joined is several sources. A Runner calls it from one goroutine at a time.
type joined struct {
	sources []Source
	failing atomic.Bool // the last call of the store was not answered
}

// Snapshot implements Source. The version is that of the oldest part.
func (j *joined) Snapshot(ctx context.Context) (Snapshot, error) {
	all, err := j.others(ctx, len(j.sources))
	j.ended(ctx, err)
	return all, err
}

// others returns the snapshot of all but one of the sources.
func (j *joined) others(ctx context.Context, but int) (Snapshot, error) {
	all := Snapshot{Whole: true}
	first := true
	for i, s := range j.sources {
		if i == but {
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

// watchEnd is what a watch of one of the sources has brought.
type watchEnd struct {
	source int
	page   topo.Page
	err    error
}

// Watch implements Source. It watches all sources at the same time; once one tells of a
// change, the others are read, since what they hold at that version is not known yet.
//
// While the store does not answer, the first source alone finds out whether it does again:
// in an outage every router that depends on nobody else calls it, and each call costs.
func (j *joined) Watch(ctx context.Context, since topo.Version, wait time.Duration) (topo.Page, error) {
	if j.failing.Load() {
		if _, err := j.sources[0].Watch(ctx, since, probeWait); err != nil {
			return topo.Page{}, err
		}
	}
	page, err := j.watch(ctx, since, wait)
	j.ended(ctx, err)
	return page, err
}

// ended notes how a call ended. One that was cut short from here says nothing of the store.
func (j *joined) ended(ctx context.Context, err error) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		j.failing.Store(err != nil)
	}
}

func (j *joined) watch(ctx context.Context, since topo.Version, wait time.Duration) (topo.Page, error) {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan watchEnd, len(j.sources))
	for i, s := range j.sources {
		go func() {
			page, err := s.Watch(watching, since, wait)
			ends <- watchEnd{source: i, page: page, err: err}
		}()
	}
	var out topo.Page
	for n := range j.sources {
		end := <-ends
		switch {
		case end.err != nil:
			return topo.Page{}, end.err
		case end.page.Whole:
			cancel()
			return j.complete(ctx, end)
		case n == 0 || end.page.Version < out.Version:
			out.Version = end.page.Version
		}
	}
	return out, nil
}

// complete returns what one of the sources has told together with what the others hold.
func (j *joined) complete(ctx context.Context, told watchEnd) (topo.Page, error) {
	rest, err := j.others(ctx, told.source)
	if err != nil {
		return topo.Page{}, err
	}
	return topo.Page{
		Objects: append(told.page.Objects, rest.Objects...),
		Version: min(told.page.Version, rest.Version),
		Whole:   true,
	}, nil
}
