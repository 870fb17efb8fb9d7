// Package standin contains fakes that replace external systems in tests and in dev
// mode: the platform's object API and VM list, the weight store, a model engine and a
// plain service.
//
// Faults can be injected into the object API and the VM list, in-process or over HTTP,
// and an engine can be made to crash.
package standin

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	maxObjectBytes = 1 << 20
	pageSize       = 500
	// logLength is the minimum number of past changes that a watch can start from.
	logLength = 10000
)

// errDown is returned for all calls during an outage.
var errDown = errors.Wrap(topo.ErrRefused, "the store is down")

// errRateLimited is returned for a call over the rate limit.
var errRateLimited = errors.Wrap(topo.ErrRefused, "too many calls")

// ObjectAPI stands in for the platform's object API. It implements topo.Store, for
// tests in the same process, and serves the API over HTTP.
type ObjectAPI struct {
	mu      sync.Mutex
	primary *objects
	replica *objects // lags behind primary
	log     []change // latest changes, in order of version
	era     topo.Era // incremented by each Restore; the versions in the fields above are revisions within it
	waiters map[*waiter]struct{}
	faults  ObjectFaults
	reads   bucket
	writes  bucket
	counts  ObjectCounts
}

// change is an entry of the log.
type change struct {
	topo.Object
	at time.Time
}

// waiter is a watch that is blocked until an object of its kinds changes.
type waiter struct {
	kinds  []topo.Kind
	wakeup chan struct{} // has capacity one
}

// ObjectCounts are counts of the calls that the API has received.
type ObjectCounts struct {
	Reads   int `json:"reads"` // watches included
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Waiting int `json:"waiting"` // watches that are waiting now
	Refused int `json:"refused"` // over the rate limit or in an outage
}

// NewObjectAPI returns an empty ObjectAPI without faults.
func NewObjectAPI() *ObjectAPI {
	return &ObjectAPI{
		primary: newObjects(),
		replica: newObjects(),
		waiters: make(map[*waiter]struct{}),
	}
}

// Counts returns the counts of calls so far.
func (a *ObjectAPI) Counts() ObjectCounts {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.counts
	c.Waiting = len(a.waiters)
	return c
}

// Get implements topo.Store.
func (a *ObjectAPI) Get(ctx context.Context, ref topo.Ref) (topo.Object, error) {
	if err := a.admit(ctx, false); err != nil {
		return topo.Object{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o, ok := a.readView().byRef[ref]
	if !ok {
		return topo.Object{}, topo.ErrNotFound
	}
	return a.withEra(o), nil
}

// withEra returns o with the era added to its version. It needs a.mu held.
func (a *ObjectAPI) withEra(o topo.Object) topo.Object {
	o.Version = topo.VersionAt(a.era, o.Version)
	return o
}

// pageWithEra returns p with the era added to its versions. It needs a.mu held.
func (a *ObjectAPI) pageWithEra(p topo.Page) topo.Page {
	p.Version = topo.VersionAt(a.era, p.Version)
	for i, o := range p.Objects {
		p.Objects[i] = a.withEra(o)
	}
	return p
}

// ObjectSnapshot is the content of an ObjectAPI at one point in time.
type ObjectSnapshot struct{ content *objects }

// Snapshot returns a copy of the API's current content.
func (a *ObjectAPI) Snapshot() ObjectSnapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return ObjectSnapshot{content: a.primary.clone()}
}

// Restore replaces the content by a snapshot and starts a new era. Writes made after the
// snapshot are lost, and their revisions are assigned again.
func (a *ObjectAPI) Restore(c ObjectSnapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.era++
	a.primary, a.replica, a.log = c.content.clone(), c.content.clone(), nil
	for w := range a.waiters {
		w.wake()
	}
}

// Era returns the era of the store.
func (a *ObjectAPI) Era() topo.Era {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.era
}

// List implements topo.Store.
func (a *ObjectAPI) List(ctx context.Context, kind topo.Kind, cont string) (topo.Page, error) {
	if err := a.admit(ctx, false); err != nil {
		return topo.Page{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pageWithEra(a.readView().page(kind, cont)), nil
}

// Put implements topo.Store.
func (a *ObjectAPI) Put(ctx context.Context, ref topo.Ref, value json.RawMessage, ifVersion topo.Version) (topo.Object, error) {
	if err := a.admit(ctx, true); err != nil {
		return topo.Object{}, err
	}
	return a.write(topo.Object{Ref: ref, Value: slices.Clone(value)}, ifVersion)
}

// Delete implements topo.Store.
func (a *ObjectAPI) Delete(ctx context.Context, ref topo.Ref, ifVersion topo.Version) error {
	if err := a.admit(ctx, true); err != nil {
		return err
	}
	_, err := a.write(topo.Object{Ref: ref, Deleted: true}, ifVersion)
	return err
}

// write makes a conditional change, or loses or delays it according to the faults.
func (a *ObjectAPI) write(o topo.Object, ifVersion topo.Version) (topo.Object, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ifVersion != 0 && ifVersion.Era() != a.era {
		return topo.Object{}, topo.ErrConflict
	}
	ifVersion = ifVersion.Revision()
	switch {
	case a.faults.LoseKind != "" && a.faults.LoseKind != o.Kind:
	case consume(&a.faults.LoseRequests):
		return topo.Object{}, errors.Wrap(topo.ErrUnknown, "connection cut")
	case consume(&a.faults.LateWrites):
		time.AfterFunc(a.faults.LateBy.Std(), func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			_, _ = a.commit(o, ifVersion)
		})
		return topo.Object{}, errors.Wrap(topo.ErrUnknown, "connection cut")
	case consume(&a.faults.LoseResponses):
		_, _ = a.commit(o, ifVersion)
		return topo.Object{}, errors.Wrap(topo.ErrUnknown, "connection cut")
	}
	o, err := a.commit(o, ifVersion)
	return a.withEra(o), err
}

// commit makes a change if the object's current revision is ifVersion, zero for an
// object that does not exist. It needs a.mu held.
func (a *ObjectAPI) commit(o topo.Object, ifVersion topo.Version) (topo.Object, error) {
	current, exists := a.primary.byRef[o.Ref]
	if o.Deleted && !exists {
		return topo.Object{}, topo.ErrNotFound
	}
	if current.Version != ifVersion {
		return topo.Object{}, topo.ErrConflict
	}
	o.Version = a.primary.version + 1
	a.primary.apply(o)
	a.log = append(a.log, change{Object: o, at: time.Now()})
	if len(a.log) > 2*logLength {
		a.compact(len(a.log) - logLength)
	}
	for w := range a.waiters {
		if slices.Contains(w.kinds, o.Kind) {
			w.wake()
		}
	}
	return o, nil
}

// Compact discards all but the last keep changes from the log. Watches that start from
// an older version fail.
func (a *ObjectAPI) Compact(keep int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.compact(max(0, len(a.log)-keep))
}

// compact discards the first n changes from the log. It needs a.mu held.
func (a *ObjectAPI) compact(n int) {
	for _, c := range a.log[:n] {
		a.replica.applyNewer(c.Object)
	}
	a.log = slices.Clone(a.log[n:])
}

// Watch implements topo.Store.
func (a *ObjectAPI) Watch(ctx context.Context, kinds []topo.Kind, since topo.Version, wait time.Duration) (topo.Page, error) {
	if err := a.admit(ctx, false); err != nil {
		return topo.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	w := &waiter{kinds: kinds, wakeup: make(chan struct{}, 1)}
	a.mu.Lock()
	a.counts.Watches++
	unresponsive := consume(&a.faults.UnresponsiveWatches)
	a.waiters[w] = struct{}{}
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.waiters, w)
	}()
	if unresponsive {
		<-ctx.Done()
		return topo.Page{}, errors.Wrap(topo.ErrRefused, "no answer")
	}
	for timedOut := false; ; {
		page, err := a.changesSince(since, kinds)
		if err != nil || timedOut || len(page.Objects) > 0 {
			return page, err
		}
		select {
		case <-w.wakeup:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return topo.Page{}, errors.Wrap(topo.ErrRefused, "no answer")
		}
	}
}

// changesSince returns the logged changes to objects of kinds after v. It returns
// topo.ErrCompacted if the log does not reach back to v.
func (a *ObjectAPI) changesSince(v topo.Version, kinds []topo.Kind) (topo.Page, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.faults.Down {
		return topo.Page{}, errDown
	}
	if v != 0 && v.Era() != a.era {
		return topo.Page{}, topo.ErrCompacted
	}
	v = v.Revision()
	page := topo.Page{Version: a.readView().version}
	logStart := a.primary.version - topo.Version(len(a.log)) // version before the first logged change
	if v < logStart {
		return topo.Page{}, topo.ErrCompacted
	}
	for _, c := range a.log[min(int(v-logStart), len(a.log)):] {
		if c.Version <= page.Version && slices.Contains(kinds, c.Kind) {
			page.Objects = append(page.Objects, c.Object)
		}
	}
	if len(page.Objects) > 0 && consume(&a.faults.WatchGaps) {
		page.Objects = page.Objects[1:]
	}
	return a.pageWithEra(page), nil
}

// wake makes the watch check for changes again. It does not block.
func (w *waiter) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}
