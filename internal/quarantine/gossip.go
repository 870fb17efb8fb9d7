package quarantine

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// gossipPeriod is how long a process gossips an entry after it was added or its status
	// changed.
	gossipPeriod = 30 * time.Second
	// firstRepeat is the pause after the first message with the entry of an observed crash. It
	// doubles with each message, up to maxRepeat: routers send their messages to the same few
	// others, and the repeats would leave no room for new entries.
	firstRepeat = 100 * time.Millisecond
	maxRepeat   = 2 * time.Second
	// gossipBytesPerSecond limits the gossip of a process.
	gossipBytesPerSecond = 512
	// gossipBurstBytes is how many bytes a process may gossip at once.
	gossipBurstBytes = 2048

	// minGossipBytes is the smallest number of bytes for which Gossip encodes a
	// message. For most messages the rate limit leaves less, and Gossip then returns
	// without sorting the pending entries.
	minGossipBytes = 128

	// maxMessageBytes limits the messages that a Table accepts.
	maxMessageBytes = 64 << 10
)

// crashJSON is the wire form of the entries of one crash. It contains the crash once,
// since the suspects of a crash are mostly sent together.
type crashJSON struct {
	Crash    Crash         `json:"c"`
	VM       string        `json:"vm"`
	At       int64         `json:"t"` // Unix milliseconds
	Alone    bool          `json:"a,omitempty"`
	Observed bool          `json:"r,omitempty"`
	Suspects []suspectJSON `json:"s"`
}

// suspectJSON is the wire form of one of the suspects of a crash: fingerprint (its bits), elapsed time in ms, status,
// and for a request that was tried suspectTried.
type suspectJSON []int64

// suspectTried is the value of the fourth number of a suspectJSON. A process that does not know it ignores it.
const suspectTried = 1

// outbox holds the entries to gossip and a token bucket that limits their rate.
type outbox struct {
	pending    map[key]*pendingEntry
	tokens     float64 // bytes that may be sent now
	refilledAt time.Time
}

// pendingEntry is an entry to gossip.
type pendingEntry struct {
	entry *Entry
	since time.Time // when the entry was added or its status changed
	sent  int       // number of messages that carried it
	at    time.Time // of the latest message that carried it
}

// isDue reports whether the entry may be sent again.
func (n *pendingEntry) isDue(now time.Time) bool {
	if !n.entry.Observed || n.sent == 0 {
		return true
	}
	return now.Sub(n.at) >= repeatPause(n.sent)
}

// repeatPause returns the pause after the last of so many messages.
func repeatPause(sent int) time.Duration {
	if doublings := sent - 1; doublings < maxRepeatDoublings {
		return min(firstRepeat<<doublings, maxRepeat)
	}
	return maxRepeat
}

// maxRepeatDoublings is the number of doublings of firstRepeat after which maxRepeat is reached.
const maxRepeatDoublings = 5

func newOutbox() outbox {
	return outbox{pending: make(map[key]*pendingEntry), tokens: gossipBurstBytes}
}

func (t *outbox) add(now time.Time, e *Entry) {
	t.pending[e.key()] = &pendingEntry{entry: e, since: now}
}

// addAgain adds an entry that another process does not know in its present status, unless it is pending.
func (t *outbox) addAgain(now time.Time, e *Entry) {
	if t.pending[e.key()] == nil {
		t.add(now, e)
	}
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

// Gossip returns entries to add to a message to another process, in at most budget
// bytes. It returns nil if there is nothing to send or the rate limit is reached.
// It contains no entries of observed crashes, see GossipObserved.
func (t *Table) Gossip(now time.Time, budget int) json.RawMessage {
	return t.gossip(now, budget, false, func(entries []*Entry, budget int) ([]byte, int) {
		out, n := encode(entries, budget)
		return out, n
	})
}

// gossip is Gossip for the entries of crashes that were observed, or of those that were not.
func (t *Table) gossip(now time.Time, budget int, observed bool, encode func([]*Entry, int) ([]byte, int)) []byte {
	if len(t.outbox.pending) == 0 {
		return nil
	}
	t.outbox.refill(now)
	budget = min(budget, int(t.outbox.tokens))
	if budget < minGossipBytes {
		return nil
	}
	picked := t.pick(now, observed)
	out, n := encode(picked, budget)
	t.outbox.tokens -= float64(len(out))
	for _, e := range picked[:n] {
		t.outbox.pending[e.key()].sent++
		t.outbox.pending[e.key()].at = now
	}
	return out
}

// pick returns the entries to send, in the order of their turns, then those sent least often, then those with the
// highest status. It removes entries that are older than gossipPeriod: restrictions last longer.
func (t *Table) pick(now time.Time, observed bool) []*Entry {
	pending := t.outbox.pending
	current := make([]*pendingEntry, 0, len(pending))
	for k, n := range pending {
		if now.Sub(n.since) > gossipPeriod || !n.entry.isLive(now) {
			delete(pending, k)
			continue
		}
		if n.entry.Observed == observed && n.isDue(now) {
			current = append(current, n)
		}
	}
	slices.SortFunc(current, func(x, y *pendingEntry) int {
		return cmp.Or(
			cmp.Compare(t.turn(x), t.turn(y)),
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

// sendTurn is when an entry has its turn to be sent: lower values come first.
type sendTurn uint8

const (
	// turnRepeated is that of an entry that was not sent and whose fingerprint has several crashes: it may soon be
	// refused, or was and is cleared.
	turnRepeated sendTurn = iota
	// turnOwn is that of an entry that was not sent and that nobody else may know.
	turnOwn
	// turnSecond is that of the first repeat of an entry whose fingerprint has several crashes: a message may be lost.
	turnSecond
	// turnTold is that of an entry that was not sent, and that another process has told.
	turnTold
	// turnAgain is that of all further repeats, which must not delay what was not sent yet.
	turnAgain
)

// turn returns when an entry has its turn. Once as many crashes of a fingerprint are known as convict, further ones are
// no more urgent than single ones: a restriction tells of it.
func (t *Table) turn(n *pendingEntry) sendTurn {
	known := len(t.byFingerprint[n.entry.Fingerprint])
	hasSeveral := known >= crashesToSuspect && (known <= crashesToConvict || n.entry.Tried || n.entry.Status == Cleared)
	switch {
	case n.sent == 0 && hasSeveral:
		return turnRepeated
	case n.sent == 0 && (n.entry.own || !n.entry.Observed):
		return turnOwn
	case n.sent == 1 && hasSeveral:
		return turnSecond
	case n.sent == 0:
		return turnTold
	}
	return turnAgain
}

func compare(x, y *Entry) int {
	if isEarlier(x, y) {
		return -1
	}
	return 1
}

// EvidenceFor returns the entries that the decision on p depends on, whether they were
// sent before or not: those of p, and those of the convicted fingerprints that explain
// its crashes. They are sent with reports of a crash, and with the refusal or submission
// of p itself, so that two processes that disagree about p agree after one exchange.
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

// All returns all entries that are valid at now, up to maxMessageBytes, for a process
// that has just started and from a sidecar that is leaving.
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

// Merge adds the entries of a message from another process. Merging is commutative,
// associative and idempotent, so the order and number of deliveries do not matter.
func (t *Table) Merge(now time.Time, message json.RawMessage) error {
	if len(message) == 0 {
		return nil
	}
	if len(message) > maxMessageBytes {
		return errors.Errorf("quarantine: message of %d bytes exceeds the limit of %d", len(message), maxMessageBytes)
	}
	var crashes []crashJSON
	if err := json.Unmarshal(message, &crashes); err != nil {
		return errors.Wrap(err, "quarantine: malformed message")
	}
	for _, c := range crashes {
		for _, s := range c.Suspects {
			e, ok := c.entry(s)
			if !ok {
				return errors.Errorf("quarantine: suspect with %d numbers", len(s))
			}
			t.mergeEntry(now, e)
		}
	}
	return nil
}

// entry returns the entry of a suspect. ok is false if numbers are missing.
func (c *crashJSON) entry(s suspectJSON) (e Entry, ok bool) {
	if len(s) < 3 {
		return Entry{}, false
	}
	return Entry{
		Fingerprint: Fingerprint(s[0]),
		Crash:       c.Crash,
		VM:          c.VM,
		At:          time.UnixMilli(c.At),
		Elapsed:     time.Duration(s[1]) * time.Millisecond,
		Alone:       c.Alone,
		Observed:    c.Observed,
		Status:      min(Status(s[2]), Convicted),
		Tried:       len(s) > 3 && s[3] == suspectTried,
	}, true
}

// newSuspectJSON returns the wire form of an entry, which leaves out its crash.
func newSuspectJSON(e *Entry) suspectJSON {
	s := suspectJSON{int64(e.Fingerprint), e.Elapsed.Milliseconds(), int64(e.Status)}
	if e.Tried {
		s = append(s, suspectTried)
	}
	return s
}

// encode encodes as many of the entries, in order, as fit into budget bytes, and
// returns their number.
func encode(entries []*Entry, budget int) (json.RawMessage, int) {
	var crashes []crashJSON
	at := make(map[Crash]int)
	size, n := len("[]"), 0
	for _, e := range entries {
		i, known := at[e.Crash]
		suspect := newSuspectJSON(e)
		size += jsonSize(suspect) + len(",")
		if !known {
			i = len(crashes)
			c := crashJSON{Crash: e.Crash, VM: e.VM, At: e.At.UnixMilli(), Alone: e.Alone, Observed: e.Observed, Suspects: []suspectJSON{}}
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
	out, _ := json.Marshal(crashes) // cannot fail for these types
	return out, n
}

func jsonSize(v any) int {
	b, _ := json.Marshal(v)
	return len(b)
}
