// Package follow carries out the effects of a config.Follower: it reads the store, queries
// peers, and returns the results as events.
package follow

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// queryTimeout bounds a query of a peer. It equals the Follower's own timeout.
	queryTimeout = 2 * time.Second
)

var (
	storeFailures = telemetry.NewCounter("config_store_failures_total",
		"Watches and listings of the platform's store that failed.", telemetry.Alert)
	storeAnswered = telemetry.NewGauge("config_store_heard_seconds",
		"When the store answered a watch or a listing last, in seconds since 1970.")
	listings = telemetry.NewCounter("config_listings_total",
		"Listings of the whole configuration, at the start, after a compaction and to verify.")
	staleAnswers = telemetry.NewCounter("config_store_behind_total",
		"Times at which the store began to answer with what is older than what is known here.", telemetry.Alert)
	compactions = telemetry.NewCounter("config_store_compacted_total",
		"Watches from a version that the store does not have, or not any more.")
	queries = telemetry.NewCounter("config_peer_questions_total",
		"Questions to other nodes for configuration.")
	queryFailures = telemetry.NewCounter("config_peer_failures_total",
		"Questions to other nodes for configuration that were not answered.")
	differences = telemetry.NewCounter("config_differences_total",
		"Comparisons with a node that should have held the same configuration and did not.", telemetry.Alert)
)

// Runner carries out the effects of one Follower.
type Runner struct {
	// Source is nil for a sidecar.
	Source Source
	// SendQuery sends a query to a peer.
	SendQuery func(ctx context.Context, peer config.Peer, q config.Query) (config.Delta, error)
	// Post passes an event to the goroutine that owns the Follower.
	Post func(config.Event)
	// Subject names in the log what is followed. Empty means the configuration.
	Subject string

	mu          sync.Mutex
	cancelCall  context.CancelCauseFunc // of the current watch or listing; nil: none
	storeError  string                  // of the last failed call to the Source
	peerFailing bool                    // the last query failed, to whichever peer
}

func (r *Runner) subject() string {
	if r.Subject == "" {
		return "configuration"
	}
	return r.Subject
}

func (r *Runner) lastStoreError() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeError
}

// Run posts a Ticked event every config.TickInterval until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	tick := time.NewTicker(config.TickInterval)
	defer tick.Stop()
	r.Post(config.Ticked{Now: time.Now()})
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			r.Post(config.Ticked{Now: now})
		}
	}
}

// Do starts the effect e and returns at once; the result is posted as an event. A List or Watch
// cancels the watch or listing in progress, if any. Do ignores Changed, which the owner of the
// Follower handles.
func (r *Runner) Do(ctx context.Context, e config.Effect) {
	switch e := e.(type) {
	case config.List:
		ctx, cancel := context.WithCancelCause(ctx)
		r.replaceCall(cancel)
		go r.list(ctx)
	case config.Watch:
		ctx, cancel := context.WithCancelCause(ctx)
		r.replaceCall(cancel)
		go r.watch(ctx, e)
	case config.CancelCall:
		r.replaceCall(nil)
	case config.DifferenceFound:
		differences.Inc()
	case config.StoreUnavailable:
		slog.Warn("the platform's store does not answer", "follows", r.subject(), "error", r.lastStoreError())
	case config.StoreRecovered:
		slog.Info("the platform's store answers again", "follows", r.subject(), "after", e.After.Round(time.Millisecond))
	case config.StoreStale:
		staleAnswers.Inc()
		slog.Warn("the platform's store answers with what is older than what is known", "follows", r.subject(), "told", e.Received, "known", e.Known)
	case config.StoreRestored:
		slog.Warn("what is followed in the platform's store goes on in a new era", "follows", r.subject(), "era", e.Era)
	case config.SendQuery:
		go r.sendQuery(ctx, e)
	}
}

func (r *Runner) sendQuery(ctx context.Context, e config.SendQuery) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	queries.Inc()
	d, err := r.SendQuery(ctx, e.Peer, e.Query)
	r.noteQueryResult(e.Peer, err)
	if err != nil {
		queryFailures.Inc()
		r.Post(config.QueryFailed{Now: time.Now(), Peer: e.Peer})
		return
	}
	r.Post(config.QueryAnswered{Now: time.Now(), Peer: e.Peer, Delta: d})
}

// noteQueryResult logs a failed query after one that was answered, and an answered one after a
// failed one, whichever peers they were sent to.
func (r *Runner) noteQueryResult(peer config.Peer, err error) {
	r.mu.Lock()
	changed := r.peerFailing != (err != nil)
	r.peerFailing = err != nil
	r.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		slog.Warn("a node that was asked for news does not answer", "follows", r.subject(), "peer", string(peer), "error", err.Error())
	default:
		slog.Info("a node that was asked for news answers again", "follows", r.subject(), "peer", string(peer))
	}
}

// errCallCancelled is the cause with which replaceCall cancels a watch or listing. It
// distinguishes that from a timeout and from the end of the context given to Do.
var errCallCancelled = errors.New("follow: call cancelled")

// replaceCall cancels the current watch or listing, if any. next cancels the one that starts
// now; nil if none does.
func (r *Runner) replaceCall(next context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelCall != nil {
		r.cancelCall(errCallCancelled)
	}
	r.cancelCall = next
}

// watch runs a watch of the Source with a time limit, and posts the result.
func (r *Runner) watch(ctx context.Context, e config.Watch) {
	bounded, cancel := context.WithTimeout(ctx, e.Wait+config.WatchGrace)
	defer cancel()
	page, err := r.Source.Watch(bounded, e.Since, e.Wait)
	switch {
	case err == nil:
		storeAnswered.Set(time.Now().Unix())
		r.Post(config.Watched{Now: time.Now(), Since: e.Since, Page: page})
	case errors.Is(context.Cause(ctx), errCallCancelled):
		r.Post(config.CallCancelled{Now: time.Now()})
	default:
		r.storeFailed(bounded, err)
	}
}

// storeFailed reports a call to the Source that failed with err. ctx is that of the call: if it
// has ended, the call has exceeded its time limit.
func (r *Runner) storeFailed(ctx context.Context, err error) {
	compacted := errors.Is(err, topo.ErrCompacted)
	if compacted {
		compactions.Inc()
	} else {
		storeFailures.Inc()
	}
	r.mu.Lock()
	r.storeError = err.Error()
	r.mu.Unlock()
	r.Post(config.StoreFailed{
		Now:       time.Now(),
		Compacted: compacted,
		TimedOut:  ctx.Err() != nil,
	})
}

// list takes a Snapshot of the Source and posts the result. There is no time limit for a whole
// listing: each page has its own, see pageTimeout.
func (r *Runner) list(ctx context.Context) {
	all, err := r.Source.Snapshot(ctx)
	switch {
	case err == nil:
	case errors.Is(context.Cause(ctx), errCallCancelled):
		r.Post(config.CallCancelled{Now: time.Now()})
		return
	default:
		r.storeFailed(ctx, err)
		return
	}
	listings.Inc()
	storeAnswered.Set(time.Now().Unix())
	r.Post(config.Listed{Now: time.Now(), Objects: all.Objects, Version: all.Version, Whole: all.Whole})
}
