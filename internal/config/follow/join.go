package follow

import (
	"context"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Join returns the Source of everything that several sources of one store hold. Each of
// them tells all that it has when it tells anything, and so does the result: a page
// without a change is not Whole.
func Join(sources ...Source) Source {
	return joined(sources)
}

type joined []Source

// Snapshot implements Source. The version is that of the oldest part.
func (j joined) Snapshot(ctx context.Context) (Snapshot, error) {
	return j.others(ctx, len(j))
}

// others returns the snapshot of all but one of the sources.
func (j joined) others(ctx context.Context, but int) (Snapshot, error) {
	all := Snapshot{Whole: true}
	first := true
	for i, s := range j {
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
func (j joined) Watch(ctx context.Context, since topo.Version, wait time.Duration) (topo.Page, error) {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan watchEnd, len(j))
	for i, s := range j {
		go func() {
			page, err := s.Watch(watching, since, wait)
			ends <- watchEnd{source: i, page: page, err: err}
		}()
	}
	var out topo.Page
	for n := range j {
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
func (j joined) complete(ctx context.Context, told watchEnd) (topo.Page, error) {
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
