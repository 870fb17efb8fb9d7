package origins

import (
	"time"

	"github.com/pkg/errors"
)

// The holders of a stream are routers, and all routers may be lost at once. So where a pool has several versions each
// router passes its records on to one router of its region, the keeper, which has them written to the platform's store.
// Where a pool has one version, History tells where its streams began.

// keeperStream is the Stream in whose order of the routers the first one that is up is the keeper. Routers that disagree
// on it for a while have two keepers, which costs writes only.
const keeperStream Stream = 0

// Kept is the value of an object in the platform's store with records of streams.
type Kept struct {
	WrittenAt int64  `json:"written_ms"` // Unix milliseconds
	Records   []byte `json:"records"`
}

// NewKept returns the value with records, whose times to live are counted from now.
func NewKept(now time.Time, records []Record) Kept {
	return Kept{WrittenAt: now.UnixMilli(), Records: encodeRecords(records)}
}

// RecordsAt returns the records that are still valid at a time, with what is left of their times to live. A clock that
// is set back makes them last longer, but no longer than they were to last at first. Its error wraps ErrMalformed.
func (k Kept) RecordsAt(now time.Time) ([]Record, error) {
	if len(k.Records)%recordBytes != 0 {
		return nil, errors.Wrapf(ErrMalformed, "%d bytes of records", len(k.Records))
	}
	age := max(0, now.Sub(time.UnixMilli(k.WrittenAt)))
	var out []Record
	for _, r := range decodeRecords(k.Records) {
		if r.TTL -= age; r.TTL > 0 {
			out = append(out, r)
		}
	}
	return out, nil
}

// passInterval is how long the record of a stream that begins waits for others to the keeper.
const passInterval = 10 * time.Millisecond

// Versions is a set of versions.
type Versions map[Version]bool

// SetStored sets the versions of which streams are to be kept in the store, and passes the records of the streams that
// this router has begun there on to the keeper: those that no keeper has got, and all of them to another keeper.
func (x *Exchange) SetStored(now time.Time, stored Versions) {
	x.stored.Store(&stored)
	if len(stored) > 0 {
		x.pass(now, x.table.streams())
	}
}

// isStored reports whether streams at a version are to be kept in the store.
func (x *Exchange) isStored(v Version) bool {
	stored := x.stored.Load()
	return stored != nil && ((*stored)[v] || v == Ambiguous && len(*stored) > 0)
}

// passSoon passes the record of a stream on to the keeper, with others of the next moment.
func (x *Exchange) passSoon(s Stream) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.begun) == 0 {
		time.AfterFunc(passInterval, x.passBegun)
	}
	x.begun = append(x.begun, s)
}

// passBegun passes on the records of the streams that have begun lately.
func (x *Exchange) passBegun() {
	x.mu.Lock()
	streams := x.begun
	x.begun = nil
	x.mu.Unlock()
	x.pass(time.Now(), streams)
}

// pass passes the records of those of the streams on to the keeper that it is to have and was not told.
func (x *Exchange) pass(now time.Time, streams []Stream) {
	keeper, isSelf := x.peers.Keeper(now)
	records := x.table.takeOwn(now, keeper.Name, streams, x.isStored)
	switch {
	case len(records) == 0:
	case isSelf:
		x.keep(records)
	default:
		x.sendKept(keeper.Addr, records, x.peers.CheckKeeper(now, keeper.Addr))
	}
}

// sendKept sends records to the keeper. If it does not reply when it is asked to, they go to another one.
func (x *Exchange) sendKept(addr string, records []Record, wantsReply bool) {
	for len(records) > MaxRecords {
		x.send(addr, Message{Kept: records[:MaxRecords]})
		records = records[MaxRecords:]
	}
	x.send(addr, Message{Kept: records, WantsReply: wantsReply})
}

// keep adds records to those that are to be written to the store.
func (x *Exchange) keep(records []Record) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.unstored = append(x.unstored, records...)
	if excess := len(x.unstored) - maxRecords; excess > 0 {
		x.unstored = x.unstored[excess:]
	}
	x.signalUnstored()
}

// ToStore returns a channel that gets a value when this router, as the keeper, has records to write to the store.
func (x *Exchange) ToStore() <-chan struct{} { return x.toStore }

// maxStored is how many records are written to the store at a time, at 18 bytes each.
const maxStored = 16 << 10

// TakeUnstored returns records that this router, as the keeper, is to write to the store. If that fails, they are to be
// given back with GiveBack.
func (x *Exchange) TakeUnstored() []Record {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := min(len(x.unstored), maxStored)
	out := x.unstored[:n:n]
	x.unstored = x.unstored[n:]
	x.signalUnstored()
	return out
}

// signalUnstored makes ToStore say so if there are records to write. The mutex must be held.
func (x *Exchange) signalUnstored() {
	if len(x.unstored) == 0 {
		return
	}
	select {
	case x.toStore <- struct{}{}:
	default:
	}
}

// GiveBack returns records that could not be written.
func (x *Exchange) GiveBack(records []Record) {
	x.keep(records)
}

// Add adds records that were read from the store.
func (x *Exchange) Add(now time.Time, records []Record) {
	for _, r := range records {
		x.table.Add(now, r)
	}
}

// Restore adds records that were read from the store, to be told to the holders of their streams with TellRestored.
func (x *Exchange) Restore(now time.Time, records []Record) {
	x.Add(now, records)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.restored = append(x.restored, records...)
}

// TellRestored tells the records that were read from the store to the holders of their streams, once other routers are
// known: a router that is asked for a stream asks these.
func (x *Exchange) TellRestored(now time.Time) {
	if x.send == nil || x.peers.Len() == 0 {
		return
	}
	x.mu.Lock()
	records := x.restored
	x.restored = nil
	x.mu.Unlock()
	for _, r := range records {
		x.tellHolders(now, r)
	}
}
