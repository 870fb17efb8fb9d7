package quarantine

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// gossipFor is how long after it has learnt something a node tells others.
	gossipFor = 30 * time.Second
	// gossipBytesPerSecond bounds what a node tells unasked, in bytes a second.
	gossipBytesPerSecond = 512
	// gossipBurstBytes is how many bytes a node may tell at once.
	gossipBurstBytes = 2048

	// minGossipBytes is what a message must have room for, in bytes. Between the few
	// messages that the rate allows, nothing is sorted.
	minGossipBytes = 128

	// maxMessageBytes is the longest message that a Book reads, in bytes.
	maxMessageBytes = 64 << 10
)

// crashJSON is the wire form of the entries of one crash. It names the crash
// once, since the suspects of a crash mostly travel together.
type crashJSON struct {
	Crash    Crash      `json:"c"`
	Site     string     `json:"vm"`
	At       int64      `json:"t"` // Unix milliseconds
	Alone    bool       `json:"a,omitempty"`
	Suspects [][3]int64 `json:"s"` // fingerprint (its bits), exposure in ms, standing
}

// outbox knows what others have not been told yet.
type outbox struct {
	pending    map[key]*pendingEntry
	tokens     float64 // that may be told now
	refilledAt time.Time
}

// pendingEntry is an entry that others should hear of.
type pendingEntry struct {
	entry *Entry
	since time.Time
	sent  int
}

func newOutbox() outbox {
	return outbox{pending: make(map[key]*pendingEntry), tokens: gossipBurstBytes}
}

func (t *outbox) add(now time.Time, e *Entry) {
	t.pending[e.key()] = &pendingEntry{entry: e, since: now}
}

func (t *outbox) drop(e *Entry) {
	delete(t.pending, e.key())
}

func (t *outbox) refill(now time.Time) {
	if elapsed := now.Sub(t.refilledAt); elapsed > 0 {
		t.tokens = min(gossipBurstBytes, t.tokens+elapsed.Seconds()*gossipBytesPerSecond)
		t.refilledAt = now
	}
}

// Gossip returns what to tell another node on the back of a message, in at
// most budget bytes, or nil when there is nothing new or it would come to more
// than the node's rate.
func (t *Table) Gossip(now time.Time, budget int) json.RawMessage {
	if len(t.outbox.pending) == 0 {
		return nil
	}
	t.outbox.refill(now)
	budget = min(budget, int(t.outbox.tokens))
	if budget < minGossipBytes {
		return nil
	}
	picked := t.outbox.pick(now)
	out, n := encode(picked, budget)
	t.outbox.tokens -= float64(len(out))
	for _, e := range picked[:n] {
		t.outbox.pending[e.key()].sent++
	}
	return out
}

// pick returns the news, in the order in which to tell them: what was told
// least often, then what weighs most. It forgets what has become old.
func (t *outbox) pick(now time.Time) []*Entry {
	current := make([]*pendingEntry, 0, len(t.pending))
	for k, n := range t.pending {
		if now.Sub(n.since) > gossipFor || !n.entry.isLive(now) {
			delete(t.pending, k)
			continue
		}
		current = append(current, n)
	}
	slices.SortFunc(current, func(x, y *pendingEntry) int {
		return cmp.Or(
			cmp.Compare(x.sent, y.sent),
			cmp.Compare(y.entry.Status, x.entry.Status),
			compare(x.entry, y.entry),
		)
	})
	out := make([]*Entry, len(current))
	for i, n := range current {
		out[i] = n.entry
	}
	return out
}

func compare(x, y *Entry) int {
	if isEarlier(x, y) {
		return -1
	}
	return 1
}

// EvidenceFor returns what the ruling on p rests on, whether others were told or
// not: all of p, and all of those whose guilt explains its crashes. It goes
// with reports, and with the refusal or submission of p itself, so that two
// nodes that disagree about p agree after one exchange.
func (t *Table) EvidenceFor(now time.Time, p Fingerprint) json.RawMessage {
	entries := t.liveEntries(now, p)
	for _, e := range entries {
		for _, o := range t.byCrash[e.Crash] {
			if o.Fingerprint != p && t.isConvicted(now, o.Fingerprint) && !slices.Contains(entries, o) {
				entries = append(entries, t.liveEntries(now, o.Fingerprint)...)
			}
		}
	}
	out, _ := encode(entries, maxMessageBytes)
	return out
}

func (t *Table) liveEntries(now time.Time, p Fingerprint) []*Entry {
	var out []*Entry
	for _, e := range t.byFingerprint[p] {
		if e.isLive(now) {
			out = append(out, e)
		}
	}
	return out
}

// All returns all that counts at now: for a node that has just started, and
// for a sidecar that leaves.
func (t *Table) All(now time.Time) json.RawMessage {
	var entries []*Entry
	for _, known := range t.byFingerprint {
		for _, e := range known {
			if e.isLive(now) {
				entries = append(entries, e)
			}
		}
	}
	slices.SortFunc(entries, compare)
	out, _ := encode(entries, maxMessageBytes)
	return out
}

// Merge takes in what another node told. Merging commutes, associates and is
// idempotent, so it does not matter in which order and how often news arrive.
func (t *Table) Merge(now time.Time, message json.RawMessage) error {
	if len(message) == 0 {
		return nil
	}
	if len(message) > maxMessageBytes {
		return errors.Errorf("quarantine: %d bytes of suspects", len(message))
	}
	var crashes []crashJSON
	if err := json.Unmarshal(message, &crashes); err != nil {
		return errors.Wrap(err, "quarantine")
	}
	for _, c := range crashes {
		for _, s := range c.Suspects {
			t.mergeEntry(now, c.entry(s))
		}
	}
	return nil
}

func (c *crashJSON) entry(s [3]int64) Entry {
	return Entry{
		Fingerprint: Fingerprint(s[0]),
		Crash:       c.Crash,
		VM:          c.Site,
		At:          time.UnixMilli(c.At),
		RunTime:     time.Duration(s[1]) * time.Millisecond,
		Alone:       c.Alone,
		Status:      min(Status(s[2]), Convicted),
	}
}

// encode writes as many of the entries, from the first on, as fit into budget
// bytes, and returns how many those are.
func encode(entries []*Entry, budget int) (json.RawMessage, int) {
	var crashes []crashJSON
	at := make(map[Crash]int)
	size, n := len("[]"), 0
	for _, e := range entries {
		i, known := at[e.Crash]
		suspect := [3]int64{int64(e.Fingerprint), e.RunTime.Milliseconds(), int64(e.Status)}
		size += jsonSize(suspect) + len(",")
		if !known {
			i = len(crashes)
			c := crashJSON{Crash: e.Crash, Site: e.VM, At: e.At.UnixMilli(), Alone: e.Alone, Suspects: [][3]int64{}}
			size += jsonSize(c) + len(",")
			at[e.Crash] = i
			crashes = append(crashes, c)
		}
		if size > budget {
			if !known {
				crashes = crashes[:i]
			}
			break
		}
		crashes[i].Suspects = append(crashes[i].Suspects, suspect)
		n++
	}
	if n == 0 {
		return nil, 0
	}
	out, _ := json.Marshal(crashes) // has no value that could fail
	return out, n
}

func jsonSize(v any) int {
	b, _ := json.Marshal(v)
	return len(b)
}
