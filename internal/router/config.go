package router

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/platform"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// askConfig asks a sidecar for configuration.
func (r *Router) askConfig(ctx context.Context, peer config.Peer, q config.Query) (config.Delta, error) {
	vm, ok := r.View().VMs[string(peer)]
	if !ok {
		return config.Delta{}, errors.Errorf("router: %s is not in the list of VMs", peer)
	}
	var d wire.ConfigDelta
	err := r.peer(vm).Call(ctx, wire.MethodConfigSince, q, &d)
	return d, err
}

// serve answers the calls that sidecars make of the router.
func (r *Router) serve(ctx context.Context, vm platform.VM, m wire.Method, params wire.Params) (any, error) {
	if m != wire.MethodConfigSince {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "unknown method %q", m)
	}
	var q wire.ConfigSince
	if err := params.Decode(&q); err != nil {
		return nil, err
	}
	return r.answerConfig(ctx, config.Peer(vm.ID), q)
}

func (r *Router) answerConfig(ctx context.Context, peer config.Peer, q config.Query) (config.Delta, error) {
	reply := make(chan config.Delta, 1)
	r.mu.Lock()
	r.tickets++
	ticket := r.tickets
	r.asked[ticket] = reply
	r.mu.Unlock()
	r.loop.Post(ConfigAsked{Now: time.Now(), Peer: peer, Query: q, Ticket: ticket})
	select {
	case d := <-reply:
		return d, nil
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asked, ticket)
	return config.Delta{}, errors.New("router: stopping")
}

func (r *Router) reply(e ConfigReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if waiting := r.asked[e.Ticket]; waiting != nil {
		delete(r.asked, e.Ticket)
		waiting <- e.Delta
	}
}

// refreshConfig gives up the present watch of the store, if there is one, for a
// new one, which is answered at once if there is news.
func (r *Router) refreshConfig() {
	select {
	case r.hints <- struct{}{}:
	default:
		r.loop.Post(ConfigEvent{Event: config.Hinted{Now: time.Now()}})
	}
}

// errHinted is a watch that was given up at a hint.
var errHinted = errors.Wrap(platform.ErrRefused, "router: the watch is begun anew")

// hintedStore is a Store whose watches end at a hint.
type hintedStore struct {
	platform.Store
	hints <-chan struct{}
}

// Watch implements platform.Store.
func (s hintedStore) Watch(ctx context.Context, kinds []platform.Kind, since platform.Version, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-s.hints:
			cancel(errHinted)
		case <-ctx.Done():
		}
	}()
	page, err := s.Store.Watch(ctx, kinds, since, wait)
	if errors.Is(context.Cause(ctx), errHinted) && err != nil {
		return page, errHinted
	}
	return page, err
}
