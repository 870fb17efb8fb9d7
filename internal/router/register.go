package router

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
	// registerEvery is the mean time between two readings of the register by those
	// routers that read the store. Routers make themselves known to each other at
	// their start, so this only heals what was lost then.
	registerEvery = 30 * time.Second
	// registerRetry is the pause after a reading that failed.
	registerRetry = time.Second
	// registerLife is how long an entry of a router stays that nobody renews. A
	// router renews its own when it reads the register at a start.
	registerLife = 48 * time.Hour
)

// registration is a router's object in the store, by which others find it.
type registration struct {
	Node    relay.Node `json:"node"`
	Written int64      `json:"written"` // Unix seconds
}

// register makes this router known in the store, learns of the others there, and
// sweeps those that are long gone.
func (m *mesh) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.readRegister(ctx)
		if err != nil {
			slog.Warn("the register of routers could not be read", "error", err)
			sleep(ctx, registerRetry/2+rand.N(registerRetry))
			continue
		}
		m.awaitReading(ctx)
	}
}

// awaitReading returns when the register is to be read again. Meanwhile it sees to it that
// the store has this router's entry, which one that comes back from an older copy may lack:
// routers that start would not find this one.
func (m *mesh) awaitReading(ctx context.Context) {
	next := time.NewTimer(registerEvery/2 + rand.N(registerEvery))
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.restored:
			sleep(ctx, rand.N(registerRetry))
			if err := m.enterIfLost(ctx); err != nil {
				slog.Warn("this router's entry of the register was not found, nor written again", "error", err)
				return
			}
		case <-next.C:
			if m.reads.Load() {
				return
			}
			next.Reset(registerEvery/2 + rand.N(registerEvery))
		}
	}
}

// enterAgain has the entry of this router looked for.
func (m *mesh) enterAgain() {
	select {
	case m.restored <- struct{}{}:
	default: // it is about to be
	}
}

// enterIfLost writes the entry of this router if the store has none.
func (m *mesh) enterIfLost(ctx context.Context) error {
	_, err := m.router.config.Store.Get(ctx, topo.Ref{Kind: topo.KindRouter, Name: m.Self.Name})
	if errors.Is(err, topo.ErrNotFound) {
		return m.enter(ctx, 0)
	}
	return err
}

// readRegister enters this router and then reads who else is there: of two that
// start at the same moment, the one that enters later finds the other.
func (m *mesh) readRegister(ctx context.Context) error {
	if !m.entered {
		// A conflict is the entry of an earlier start, which the reading shows.
		if err := m.enter(ctx, 0); err != nil && !errors.Is(err, topo.ErrConflict) {
			return err
		}
		m.entered = true
	}
	version, known, err := m.readOnce(ctx)
	if err != nil || known {
		return err
	}
	return m.enter(ctx, version)
}

// readOnce reads the register and makes its routers known to the relay. It returns
// the version of this router's own entry, and whether it says what it should.
func (m *mesh) readOnce(ctx context.Context) (own topo.Version, known bool, err error) {
	var nodes []relay.Node
	cont := ""
	for {
		page, err := m.router.config.Store.List(ctx, topo.KindRouter, cont)
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
			case o.Name == m.Self.Name:
				own, known = o.Version, r.Node == m.Self
			case time.Since(time.Unix(r.Written, 0)) > registerLife:
				m.sweep(ctx, o)
			default:
				nodes = append(nodes, r.Node)
			}
		}
		if cont = page.Continue; cont == "" {
			break
		}
	}
	m.router.loop.Post(RelayEvent{Event: relay.Registered{Now: time.Now(), Nodes: nodes}})
	return own, known, nil
}

// enter writes this router's entry. If the answer is lost, the next reading shows
// what became of it.
func (m *mesh) enter(ctx context.Context, version topo.Version) error {
	value, err := json.Marshal(registration{Node: m.Self, Written: time.Now().Unix()})
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = m.router.config.Store.Put(ctx, topo.Ref{Kind: topo.KindRouter, Name: m.Self.Name}, value, version)
	return err
}

// sweep removes an entry that nobody renews.
func (m *mesh) sweep(ctx context.Context, o topo.Object) {
	if err := m.router.config.Store.Delete(ctx, o.Ref, o.Version); err != nil && !errors.Is(err, topo.ErrNotFound) {
		slog.Warn("an old entry of the register of routers could not be removed", "router", o.Name, "error", err)
	}
}
