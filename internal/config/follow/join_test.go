package follow_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config/follow"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// partSource is a Source of one kind of object. It returns all its objects at once.
type partSource struct {
	kind    topo.Kind
	names   []string
	version topo.Version
	changes chan struct{} // a value makes a waiting watch return a change
	err     error
	calls   atomic.Int32
}

func (p *partSource) Snapshot(context.Context) (follow.Snapshot, error) {
	p.calls.Add(1)
	s := follow.Snapshot{Version: p.version, Whole: true}
	for _, name := range p.names {
		s.Objects = append(s.Objects, topo.Object{Ref: topo.Ref{Kind: p.kind, Name: name}, Version: p.version})
	}
	return s, p.err
}

func (p *partSource) Watch(ctx context.Context, _ topo.Version, wait time.Duration) (topo.Page, error) {
	if p.err != nil {
		p.calls.Add(1)
		return topo.Page{}, p.err
	}
	select {
	case <-p.changes:
		s, err := p.Snapshot(ctx)
		return topo.Page{Objects: s.Objects, Version: s.Version, Whole: true}, err
	case <-time.After(wait):
		p.calls.Add(1)
		return topo.Page{Version: p.version}, nil
	case <-ctx.Done():
		return topo.Page{}, ctx.Err()
	}
}

func newParts() (routes, orders *partSource, joined follow.Source) {
	routes = &partSource{kind: topo.KindProfile, names: []string{"a", "b"}, version: 7, changes: make(chan struct{}, 1)}
	orders = &partSource{kind: topo.KindDomainDrain, names: []string{"hall"}, version: 9, changes: make(chan struct{}, 1)}
	return routes, orders, follow.Join(routes, orders)
}

// One of two sources has changed: a failure domain is drained. The page must contain the objects
// of the unchanged source, too. Routers take objects that it lacks as deleted: without the
// routes, every caller would be refused from then on.
func TestChangeOfOnePartReturnsAllObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, orders, joined := newParts()
		orders.changes <- struct{}{}
		page, err := joined.Watch(t.Context(), 7, time.Second)
		if err != nil || !page.Whole || len(page.Objects) != 3 || page.Version != 7 {
			t.Errorf("page %+v, error %v; want 3 objects, whole, version 7", page, err)
		}
	})
}

// Nothing changes. The version must be that of the source with the oldest one, or changes of
// that source would be skipped.
func TestUnchangedPartsReturnOldestVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, joined := newParts()
		page, err := joined.Watch(t.Context(), 7, time.Second)
		if err != nil || page.Whole || len(page.Objects) != 0 || page.Version != 7 {
			t.Errorf("page %+v, error %v; want no objects, not whole, version 7", page, err)
		}
	})
}

// The store is down, and each call to it has a cost. After the first watch, which calls both
// sources, only one of them may be called until the store answers. Then all sources must be read
// again, or the page would lack the objects of one.
func TestOnePartProbesUnavailableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routes, orders, joined := newParts()
		down := errors.New("down")
		routes.err, orders.err = down, down
		for range 5 {
			if _, err := joined.Watch(t.Context(), 7, time.Second); !errors.Is(err, down) {
				t.Fatalf("a watch of an unavailable store returns error %v, want that of the source", err)
			}
		}
		synctest.Wait()
		if n := routes.calls.Load() + orders.calls.Load(); n > 6 {
			t.Errorf("%d calls to an unavailable store in 5 watches, want at most 6", n)
		}
		routes.err, orders.err = nil, nil
		orders.changes <- struct{}{}
		page, err := joined.Watch(t.Context(), 7, time.Second)
		if err != nil || !page.Whole || len(page.Objects) != 3 {
			t.Errorf("after recovery: page %+v, error %v; want 3 objects, whole", page, err)
		}
	})
}
