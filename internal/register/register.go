// Package register keeps the entries in the platform's store by which routers find each other.
//
// A router runs a Keeper. It assumes that one router reads the store for the others, and that
// routers that know each other tell each other the rest: the register is read at a start, and
// now and then by who reads the store.
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
	// readInterval is the mean time between two readings of the register by those
	// routers that read the store. Routers make themselves known to each other at
	// their start, so this only heals what was lost then.
	readInterval = 30 * time.Second
	// retryPause is the pause after a reading that failed.
	retryPause = time.Second
	// entryTTL is how long an entry of a router stays that nobody renews. A
	// router renews its own when it reads the register at a start.
	entryTTL = 48 * time.Hour
)

// registration is a router's object in the store, by which others find it.
type registration struct {
	Node    relay.Node `json:"node"`
	Written int64      `json:"written"` // Unix seconds
}

// Registrar keeps one router's entry.
type Registrar struct {
	store          topo.Store
	self           relay.Node
	isReader       func() bool
	onRouters      func([]relay.Node)
	hasEntry       bool          // owned by Run
	checkRequested chan struct{} // of one: the store may have lost this router's entry
}

// New returns the Keeper of a router. reads reports whether it reads the store for others, and
// found takes in who else is there.
func New(store topo.Store, self relay.Node, isReader func() bool, onRouters func([]relay.Node)) *Registrar {
	return &Registrar{store: store, self: self, isReader: isReader, onRouters: onRouters, checkRequested: make(chan struct{}, 1)}
}

// Run makes this router known in the store, learns of the others there, and
// sweeps those that are long gone, until ctx ends.
func (k *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := k.sync(ctx)
		if err != nil {
			slog.Warn("the register of routers could not be read", "error", err)
			sleep(ctx, retryPause/2+rand.N(retryPause))
			continue
		}
		k.waitForNextRead(ctx)
	}
}

// waitForNextRead returns when the register is to be read again. Meanwhile it sees to it that
// the store has this router's entry, which one that comes back from an older copy may lack:
// routers that start would not find this one.
func (k *Registrar) waitForNextRead(ctx context.Context) {
	next := time.NewTimer(readInterval/2 + rand.N(readInterval))
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.checkRequested:
			sleep(ctx, rand.N(retryPause))
			if err := k.writeEntryIfMissing(ctx); err != nil {
				slog.Warn("this router's entry of the register was not found, nor written again", "error", err)
				return
			}
		case <-next.C:
			if k.isReader() {
				return
			}
			next.Reset(readInterval/2 + rand.N(readInterval))
		}
	}
}

// RequestCheck has the entry of this router looked for.
func (k *Registrar) RequestCheck() {
	select {
	case k.checkRequested <- struct{}{}:
	default: // it is about to be
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// writeEntryIfMissing writes the entry of this router if the store has none.
func (k *Registrar) writeEntryIfMissing(ctx context.Context) error {
	_, err := k.store.Get(ctx, topo.Ref{Kind: topo.KindRouter, Name: k.self.Name})
	if errors.Is(err, topo.ErrNotFound) {
		return k.writeEntry(ctx, 0)
	}
	return err
}

// sync enters this router and then reads who else is there: of two that
// start at the same moment, the one that enters later finds the other.
func (k *Registrar) sync(ctx context.Context) error {
	if !k.hasEntry {
		// A conflict is the entry of an earlier start, which the reading shows.
		if err := k.writeEntry(ctx, 0); err != nil && !errors.Is(err, topo.ErrConflict) {
			return err
		}
		k.hasEntry = true
	}
	version, upToDate, err := k.readAll(ctx)
	if err != nil || upToDate {
		return err
	}
	return k.writeEntry(ctx, version)
}

// readAll reads the register and makes its routers known to the relay. It returns
// the version of this router's own entry, and whether it says what it should.
func (k *Registrar) readAll(ctx context.Context) (own topo.Version, upToDate bool, err error) {
	var nodes []relay.Node
	cont := ""
	for {
		page, err := k.store.List(ctx, topo.KindRouter, cont)
		if err != nil {
			return 0, false, err
		}
		for _, o := range page.Objects {
			var r registration
			if err := json.Unmarshal(o.Value, &r); err != nil {
				slog.Warn("an entry of the register of routers makes no sense", "router", o.Name, "error", err)
				continue
			}
			switch {
			case o.Name == k.self.Name:
				own, upToDate = o.Version, r.Node == k.self
			case time.Since(time.Unix(r.Written, 0)) > entryTTL:
				k.sweep(ctx, o)
			default:
				nodes = append(nodes, r.Node)
			}
		}
		if cont = page.Continue; cont == "" {
			break
		}
	}
	k.onRouters(nodes)
	return own, upToDate, nil
}

// writeEntry writes this router's entry. If the answer is lost, the next reading shows
// what became of it.
func (k *Registrar) writeEntry(ctx context.Context, version topo.Version) error {
	value, err := json.Marshal(registration{Node: k.self, Written: time.Now().Unix()})
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = k.store.Put(ctx, topo.Ref{Kind: topo.KindRouter, Name: k.self.Name}, value, version)
	return err
}

// sweep removes an entry that nobody renews.
func (k *Registrar) sweep(ctx context.Context, o topo.Object) {
	if err := k.store.Delete(ctx, o.Ref, o.Version); err != nil && !errors.Is(err, topo.ErrNotFound) {
		slog.Warn("an old entry of the register of routers could not be removed", "router", o.Name, "error", err)
	}
}
