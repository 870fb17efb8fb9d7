// Package ledger records which version of each object is in force, for
// operators.
//
// A router's control loop records each Update with Apply, publishes the view of
// the configuration that contains it to requests, and then calls Publish.
// Clients that wait for a change are therefore woken only once requests use it.
// A Ledger is safe for concurrent use.
package ledger

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admin"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Update lists the objects that have come into force or were rejected, and
// states how far the router has read the store.
type Update struct {
	Objects  []admin.ObjectVersion // versions that have come into force
	Rejected []profile.Problem     // each object's first problem
	Complete topo.Version          // version of the store up to which all changes were applied or rejected
	// LastStoreResponse is when the store last sent a response that was not
	// stale.
	LastStoreResponse time.Time
}

// Ledger holds the version in force of each object, and the problems of the
// versions that were rejected.
type Ledger struct {
	mu                sync.Mutex
	versions          map[topo.Ref]topo.Version
	rejected          map[topo.Ref]profile.Problem
	complete          topo.Version // see Update.Complete
	newest            topo.Version // highest version of any object in force
	dirty             bool         // something was applied since the last Publish
	lastStoreResponse time.Time
	changed           chan struct{} // closed and replaced when a change is published
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{
		versions: make(map[topo.Ref]topo.Version),
		rejected: make(map[topo.Ref]profile.Problem),
		changed:  make(chan struct{}),
	}
}

// Apply records an Update, which InForce, Complete and Status return from then
// on. Publish wakes those that wait for a change.
func (l *Ledger) Apply(u Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range u.Objects {
		l.versions[o.Ref] = o.Version
		l.newest = max(l.newest, o.Version)
		delete(l.rejected, o.Ref)
	}
	for _, p := range u.Rejected {
		l.rejected[p.Ref] = p
	}
	l.dirty = l.dirty || len(u.Objects)+len(u.Rejected) > 0 || u.Complete > l.complete
	l.complete = max(l.complete, u.Complete)
	l.lastStoreResponse = u.LastStoreResponse
}

// Publish closes the channel returned by Changed if anything was recorded since
// the last call.
func (l *Ledger) Publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dirty {
		l.dirty = false
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// InForce returns the version of an object that is in force. If a newer version
// was rejected, it also returns the problem. For an object that does not exist
// it returns Complete.
func (l *Ledger) InForce(ref topo.Ref) admin.InForce {
	l.mu.Lock()
	defer l.mu.Unlock()
	in := admin.InForce{Version: l.versions[ref]}
	if p, ok := l.rejected[ref]; ok {
		in.Problem = p.String()
		return in
	}
	if in.Version == 0 {
		// The object was deleted or never existed, up to the version to which all
		// changes are known.
		in.Version = l.complete
	}
	return in
}

// Complete returns the version of the store up to which all changes were applied
// or rejected as invalid.
func (l *Ledger) Complete() topo.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.complete
}

// Status returns the state of the configuration.
func (l *Ledger) Status() admin.ConfigStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := admin.ConfigStatus{Version: l.newest, LastStoreResponse: l.lastStoreResponse}
	for _, p := range l.rejected {
		s.Rejected = append(s.Rejected, p)
	}
	slices.SortFunc(s.Rejected, func(x, y profile.Problem) int { return cmp.Compare(x.Ref.String(), y.Ref.String()) })
	return s
}

// Changed returns a channel that is closed by the next Publish after an object
// came into force or was rejected, or Complete advanced.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}
