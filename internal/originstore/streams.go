package originstore

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/origins"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// versionsInterval is how often this router looks which pools have several versions.
	versionsInterval = 200 * time.Millisecond
	// streamsWriteInterval is the least time from one write of streams to the next. Streams that are younger are not known
	// after a loss of all routers.
	streamsWriteInterval = 80 * time.Millisecond
	// streamsRetryInterval is the pause after a failed call to the store.
	streamsRetryInterval = 500 * time.Millisecond
	// streamsReadInterval is the least time from one reading of streams that are not known to the next.
	streamsReadInterval = time.Second
	// streamsPutAttempts is how often an object is written that another router changes meanwhile.
	streamsPutAttempts = 3
)

var (
	keptStreams = telemetry.NewCounter("router_kept_streams_total",
		"Streams whose origin this router has written to the store, since several versions serve their pool.")
	restoredStreams = telemetry.NewCounter("router_restored_streams_total",
		"Streams whose origin this router has read from the store.")
)

// streamWriter writes where streams began while several versions serve their pool. What routers know of them would be lost
// with all of them.
//
// The objects of a region are a ring, of which each is written once in a round: the records of a round ago have expired.
type streamWriter struct {
	*Archive
	versions map[string]topo.Version // of the objects that this router has written, by name
}

// observeVersions finds out which streams are to be kept in the store, until ctx ends.
func (a *Archive) observeVersions(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		a.config.Exchange.SetStored(now, a.storedVersions(now))
		a.config.Exchange.TellRestored(now)
		sleep(ctx, versionsInterval)
	}
}

// storedVersions returns the versions of the pools that have had several within the time for which a stream may be away.
func (a *Archive) storedVersions(now time.Time) origins.Versions {
	out := make(origins.Versions)
	for pool, versions := range a.config.History.SeveralVersions(now, a.config.LongestAway()) {
		for _, v := range versions {
			out[origins.VersionOf(pool, v)] = true
		}
	}
	return out
}

// writeStreams writes the records of streams to the store while this router is the keeper of its region, until ctx ends.
func (a *Archive) writeStreams(ctx context.Context) {
	w := &streamWriter{Archive: a, versions: make(map[string]topo.Version)}
	for {
		select {
		case <-a.config.Exchange.ToStore():
		case <-ctx.Done():
			return
		}
		sleep(ctx, w.write(ctx))
	}
}

// write writes the records that are to be written, and returns the time to the next write.
func (w *streamWriter) write(ctx context.Context) (pause time.Duration) {
	records := w.config.Exchange.TakeUnstored()
	if len(records) == 0 {
		return 0
	}
	if err := w.put(ctx, time.Now(), records); err != nil {
		w.config.Exchange.GiveBack(records)
		slog.Warn("where streams began could not be written to the store", "streams", len(records), "error", err)
		return streamsRetryInterval
	}
	keptStreams.Add(int64(len(records)))
	return streamsWriteInterval
}

// put writes records to the object of a time. If another router has written it since, its records that are still valid
// are kept.
func (w *streamWriter) put(ctx context.Context, now time.Time, records []origins.Record) error {
	ref := topo.Ref{Kind: topo.KindStreams, Name: w.objectAt(now)}
	for range streamsPutAttempts {
		value, err := json.Marshal(origins.NewKept(now, records))
		if err != nil {
			return errors.WithStack(err)
		}
		o, err := w.config.Store.Put(ctx, ref, value, w.versions[ref.Name])
		if err == nil {
			w.versions[ref.Name] = o.Version
			return nil
		}
		delete(w.versions, ref.Name)
		if errors.Is(err, topo.ErrNotFound) {
			continue // a store that was restored does not have it
		}
		if !errors.Is(err, topo.ErrConflict) {
			return err
		}
		if o, err = w.config.Store.Get(ctx, ref); err != nil {
			return err
		}
		records = append(keptRecords(now, o), records...)
		w.versions[ref.Name] = o.Version
	}
	return errors.Errorf("originstore: object %s is being changed by others", ref.Name)
}

// objectAt returns the name of the object for the records of a time.
func (w *streamWriter) objectAt(now time.Time) string {
	round := int64(w.config.LongestAway()/streamsWriteInterval) + 2
	return fmt.Sprintf("%s%d", w.objectPrefix(), now.UnixMilli()/streamsWriteInterval.Milliseconds()%round)
}

// objectPrefix returns what the names of a region's objects begin with.
func (a *Archive) objectPrefix() string { return a.region + "." }

// keptRecords returns the records of an object that are still valid. A malformed one has none.
func keptRecords(now time.Time, o topo.Object) []origins.Record {
	var kept origins.Kept
	err := json.Unmarshal(o.Value, &kept)
	if err == nil {
		var records []origins.Record
		if records, err = kept.RecordsAt(now); err == nil {
			return records
		}
	}
	slog.Error("records of streams are malformed in the store", "object", o.Name, "error", err)
	return nil
}

// ReadStreams reads the records of streams in the store, and tells them to the routers that are asked for them. It is called
// when this router begins to read the store for others. It does nothing if that is long after its start.
func (a *Archive) ReadStreams(ctx context.Context) {
	for ctx.Err() == nil && a.config.ReadsStore() && time.Since(a.started) < origins.MaxTTL {
		err := a.listStreams(ctx, a.config.Exchange.Restore)
		if err == nil || ctx.Err() != nil {
			return
		}
		slog.Warn("where streams began could not be read from the store", "error", err)
		sleep(ctx, streamsRetryInterval)
	}
}

// Want asks for the records in the store, since this router and those that it asks do not know a stream: the routers that
// did may be lost, while this one lives on. It returns at once; the caller of the stream may come again.
func (a *Archive) Want() {
	if len(a.storedVersions(time.Now())) == 0 {
		return // nothing is kept
	}
	select {
	case a.wanted <- struct{}{}:
	default:
	}
}

// readWanted reads the records when they are wanted, until ctx ends.
func (a *Archive) readWanted(ctx context.Context) {
	for {
		select {
		case <-a.wanted:
		case <-ctx.Done():
			return
		}
		if err := a.listStreams(ctx, a.config.Exchange.Add); err != nil && ctx.Err() == nil {
			slog.Warn("where streams began could not be read from the store", "error", err)
		}
		sleep(ctx, streamsReadInterval)
	}
}

// listStreams reads the records of this region's streams in the store, and passes them to add.
func (a *Archive) listStreams(ctx context.Context, add func(time.Time, []origins.Record)) error {
	cont := ""
	for {
		page, err := a.config.Store.List(ctx, topo.KindStreams, cont)
		if err != nil {
			return err
		}
		now := time.Now()
		for _, o := range page.Objects {
			if !strings.HasPrefix(o.Name, a.objectPrefix()) {
				continue
			}
			records := keptRecords(now, o)
			add(now, records)
			restoredStreams.Add(int64(len(records)))
		}
		if cont = page.Continue; cont == "" {
			return nil
		}
	}
}
