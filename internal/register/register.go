// Package register maintains the entries in the platform's store by which routers discover
// each other.
//
// Each router runs a Registrar, which reads the register at its start and then periodically: often
// in a router that reads the store for others, and seldom in the others, which only have to agree
// in the long run on which routers there are.
package register

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// readInterval is the mean interval between reads of the register by the routers
	// that read the store; each one is between half and one and a half of it. Routers
	// announce themselves to each other at their start, so these reads only make up for
	// announcements that were lost.
	readInterval = 30 * time.Second
	// refreshInterval is the mean interval between reads of the register by the other routers, with
	// the same range: they have to agree on which routers there are, and in a large region they do
	// not hear of all that start. It is also how soon a router finds that its own entry has become
	// older than entryRewriteAge, long before the entry ends.
	refreshInterval = 6 * time.Minute
	// retryPause is the mean pause after a failed read, with the same range. It also
	// bounds the delay of a requested check.
	retryPause = time.Second
	// entryTTL is how long after its last write an entry is kept. A router rewrites its
	// own entry when a read, such as the one at its start, finds it missing, with other
	// content or older than entryRewriteAge.
	entryTTL        = 48 * time.Hour
	entryRewriteAge = entryTTL / 2
)

// registration is the value of a router's entry in the store.
type registration struct {
	Node    relay.Router `json:"node"`
	Written int64        `json:"written"` // Unix seconds
}

// Registrar maintains one router's entry.
type Registrar struct {
	store          topo.Store
	self           relay.Router
	isReader       func() bool
	onRouters      func([]relay.Router)
	hasEntry       bool          // an entry was written or found since the start; used by Run only
	checkRequested chan struct{} // has a buffer of one; see RequestCheck
}

// New returns the Registrar of the router self. isReader reports whether this router reads
// the store for others. After each read, Run calls onRouters with the other routers whose
// entries have not expired.
func New(store topo.Store, self relay.Router, isReader func() bool, onRouters func([]relay.Router)) *Registrar {
	return &Registrar{store: store, self: self, isReader: isReader, onRouters: onRouters, checkRequested: make(chan struct{}, 1)}
}

// Run registers this router in the store, reads the entries of the others, and removes
// expired ones, until ctx ends.
func (reg *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := reg.sync(ctx)
		if ctx.Err() != nil {
			return // the process is ending: the last line of its log says why
		}
		if err != nil {
			slog.Warn("the register of routers could not be read", "error", err)
			sleep(ctx, retryPause/2+rand.N(retryPause))
			continue
		}
		reg.waitForNextRead(ctx)
	}
}

// waitForNextRead waits for about readInterval, or for about refreshInterval while this router does
// not read the store for others. Meanwhile, on request, it checks that the store has this router's
// entry: a store that was restored from an older copy may lack it, and routers that start
// would not find this one. If the check fails, it returns, so that Run reads the register.
func (reg *Registrar) waitForNextRead(ctx context.Context) {
	next := time.NewTimer(readInterval/2 + rand.N(readInterval))
	defer next.Stop()
	refresh := time.NewTimer(refreshInterval/2 + rand.N(refreshInterval))
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reg.checkRequested:
			sleep(ctx, rand.N(retryPause))
			if err := reg.writeEntryIfMissing(ctx); err != nil {
				slog.Warn("checking or rewriting this router's entry in the register failed", "error", err)
				return
			}
		case <-refresh.C:
			return
		case <-next.C:
			if reg.isReader() {
				return
			}
			next.Reset(readInterval/2 + rand.N(readInterval))
		}
	}
}

// RequestCheck makes Run check that the store still has this router's entry, and write it
// if not. It is called when the store was restored from an older copy. It does not block.
func (reg *Registrar) RequestCheck() {
	select {
	case reg.checkRequested <- struct{}{}:
	default: // a check is pending already
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// writeEntryIfMissing writes this router's entry if the store does not have it.
func (reg *Registrar) writeEntryIfMissing(ctx context.Context) error {
	_, err := reg.store.Get(ctx, topo.Ref{Kind: topo.KindRouter, Name: reg.self.Name})
	if errors.Is(err, topo.ErrNotFound) {
		return reg.writeEntry(ctx, 0)
	}
	return err
}

// sync ensures that the store has an entry of this router, and then reads the register. The
// write comes first so that of two routers that start at the same moment, the one that writes
// later finds the other. If the read shows an outdated entry of this router or none, sync
// writes it.
func (reg *Registrar) sync(ctx context.Context) error {
	if !reg.hasEntry {
		// A conflict means an entry of an earlier start, which the read returns.
		if err := reg.writeEntry(ctx, 0); err != nil && !errors.Is(err, topo.ErrConflict) {
			return err
		}
		reg.hasEntry = true
	}
	version, upToDate, err := reg.readAll(ctx)
	if err != nil || upToDate {
		return err
	}
	return reg.writeEntry(ctx, version)
}

// readAll reads the register, passes the other routers to onRouters and removes expired
// entries. It returns the version of this router's own entry, and whether that entry is
// up to date and younger than entryRewriteAge.
func (reg *Registrar) readAll(ctx context.Context) (own topo.Version, upToDate bool, err error) {
	var nodes []relay.Router
	cont := ""
	for {
		page, err := reg.store.List(ctx, topo.KindRouter, cont)
		if err != nil {
			return 0, false, err
		}
		for _, o := range page.Objects {
			var r registration
			if err := json.Unmarshal(o.Value, &r); err != nil {
				slog.Warn("malformed entry in the register of routers", "router", o.Name, "error", err)
				continue
			}
			age := time.Since(time.Unix(r.Written, 0))
			switch {
			case o.Name == reg.self.Name:
				own, upToDate = o.Version, r.Node == reg.self && age < entryRewriteAge
			case age > entryTTL:
				reg.sweep(ctx, o)
			default:
				nodes = append(nodes, r.Node)
			}
		}
		if cont = page.Continue; cont == "" {
			break
		}
	}
	reg.onRouters(nodes)
	return own, upToDate, nil
}

// writeEntry writes this router's entry if it is still at version; zero requires that it
// does not exist. If the response is lost, the next read shows the outcome.
func (reg *Registrar) writeEntry(ctx context.Context, version topo.Version) error {
	value, err := json.Marshal(registration{Node: reg.self, Written: time.Now().Unix()})
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = reg.store.Put(ctx, topo.Ref{Kind: topo.KindRouter, Name: reg.self.Name}, value, version)
	return err
}

// sweep removes an expired entry. A failure is only logged: later reads try again.
func (reg *Registrar) sweep(ctx context.Context, o topo.Object) {
	if err := reg.store.Delete(ctx, o.Ref, o.Version); err != nil && !errors.Is(err, topo.ErrNotFound) {
		slog.Warn("expired entry of the register of routers could not be removed", "router", o.Name, "error", err)
	}
}
