// Package origins holds where streams began: at which software version of which pool. What two
// versions write doesn't fit together, so a stream that its caller takes up at another router may go
// on only there, and the caller can't tell. The router that passes on a stream's first event keeps a
// Record and tells it to a few others, the holders of the stream; a router that is asked to go on and
// has no Record asks them. One that learns nothing must refuse.
//
// The package does no I/O: Exchange sends messages by a function that it is given. Package router calls it from
// the goroutines of requests and of messages.
package origins

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"
)

// Stream identifies a stream: a hash of its organisation and of the id of the caller's attempt that
// brought its first event.
type Stream uint64

// StreamOf returns the Stream that an attempt of an organisation began. The organisation keeps callers
// of one from naming the streams of another.
func StreamOf(organisation, attempt string) Stream {
	return Stream(xxh3.HashString(organisation + "\x00" + attempt))
}

// Version identifies a software version of a pool's upstreams: a hash of both.
type Version uint32

const (
	// Unknown is the version of a stream of which a router knows nothing.
	Unknown Version = 0
	// Ambiguous is the version of a stream of which it can't be told which version began it.
	Ambiguous Version = 1
	firstHash Version = 2 // the smallest hash
)

// VersionOf returns the Version of a software version in a pool.
func VersionOf(pool, software string) Version {
	return max(Version(xxh3.HashString(pool+"\x00"+software)), firstHash)
}

// Record is where a stream began.
type Record struct {
	Stream  Stream
	Version Version
	TTL     time.Duration // how long the record is kept, rounded up to a second, at most MaxTTL
}

// MaxTTL is the longest time for which a record is kept.
const MaxTTL = 255 * time.Second

// maxRecords bounds the records of one router, at some 100 bytes each. At the target size it gets 46 new ones a second and
// keeps each for about 20 s; the keeper of a region gets 1,900 a second in a rollout and keeps each for about 35 s.
const maxRecords = 128 << 10

// Table holds the records that a router has. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records *simplelru.LRU[Stream, held]
}

// held is a record in a Table.
type held struct {
	version  Version
	until    time.Time
	own      bool   // this router has passed on the stream's first event
	passedTo string // own: name of the keeper that was told; empty: none was
}

// NewTable returns an empty Table.
func NewTable() *Table {
	records, err := simplelru.NewLRU[Stream, held](maxRecords, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Table{records: records}
}

// Add adds a record. A stream with records of two versions is Ambiguous from then on.
func (t *Table) Add(now time.Time, r Record) { t.add(now, r, false) }

// AddOwn adds a record of a stream that this router has begun.
func (t *Table) AddOwn(now time.Time, r Record) { t.add(now, r, true) }

func (t *Table) add(now time.Time, r Record, own bool) {
	if r.Version == Unknown {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h := held{version: r.Version, until: now.Add(min(r.TTL, MaxTTL)), own: own}
	if last, ok := t.records.Peek(r.Stream); ok && now.Before(last.until) {
		h.own = h.own || last.own
		if last.version != h.version {
			h.version = Ambiguous
		} else {
			h.passedTo = last.passedTo
		}
		if last.until.After(h.until) {
			h.until = last.until
		}
	}
	t.records.Add(r.Stream, h)
}

// Lookup returns the version at which a stream began.
func (t *Table) Lookup(now time.Time, s Stream) Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.records.Peek(s)
	if !ok || !now.Before(h.until) {
		return Unknown
	}
	return h.version
}

// streams returns the streams with records.
func (t *Table) streams() []Stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.Keys()
}

// takeOwn returns the records of those of the streams that this router has begun, at versions for which isWanted returns
// true, and that have not been passed to a keeper. They count as passed to it then.
func (t *Table) takeOwn(now time.Time, keeper string, streams []Stream, isWanted func(Version) bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for _, s := range streams {
		h, _ := t.records.Peek(s)
		if !h.own || h.passedTo == keeper || !now.Before(h.until) || !isWanted(h.version) {
			continue
		}
		h.passedTo = keeper
		t.records.Add(s, h)
		out = append(out, Record{Stream: s, Version: h.version, TTL: h.until.Sub(now)})
	}
	return out
}

// Expire drops the records whose time has passed.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.records.Keys() {
		if h, _ := t.records.Peek(s); !now.Before(h.until) {
			t.records.Remove(s)
		}
	}
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.Len()
}
