package quarantine

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// tellFor is how long after it has learnt something a node tells others.
	tellFor = 30 * time.Second
	// tellRate bounds what a node tells unasked, in bytes a second.
	tellRate = 512
	// tellBurst is how many bytes a node may tell at once.
	tellBurst = 2048

	// minTold is what a message must have room for, in bytes. Between the few
	// messages that the rate allows, nothing is sorted.
	minTold = 128

	// maxGossip is the longest message that a Book reads, in bytes.
	maxGossip = 64 << 10
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

// teller knows what others have not been told yet.
type teller struct {
	news   map[key]*news
	bytes  float64 // that may be told now
	filled time.Time
}

// news is an entry that others should hear of.
type news struct {
	entry *Entry
	since time.Time
	told  int
}

func newTeller() teller {
	return teller{news: make(map[key]*news), bytes: tellBurst}
}

func (t *teller) add(now time.Time, e *Entry) {
	t.news[e.key()] = &news{entry: e, since: now}
}

func (t *teller) drop(e *Entry) {
	delete(t.news, e.key())
}

func (t *teller) refill(now time.Time) {
	if passed := now.Sub(t.filled); passed > 0 {
		t.bytes = min(tellBurst, t.bytes+passed.Seconds()*tellRate)
		t.filled = now
	}
}

// Gossip returns what to tell another node on the back of a message, in at
// most budget bytes, or nil when there is nothing new or it would come to more
// than the node's rate.
func (b *Table) Gossip(now time.Time, budget int) json.RawMessage {
	if len(b.tell.news) == 0 {
		return nil
	}
	b.tell.refill(now)
	budget = min(budget, int(b.tell.bytes))
	if budget < minTold {
		return nil
	}
	picked := b.tell.pick(now)
	out, n := encode(picked, budget)
	b.tell.bytes -= float64(len(out))
	for _, e := range picked[:n] {
		b.tell.news[e.key()].told++
	}
	return out
}

// pick returns the news, in the order in which to tell them: what was told
// least often, then what weighs most. It forgets what has become old.
func (t *teller) pick(now time.Time) []*Entry {
	fresh := make([]*news, 0, len(t.news))
	for k, n := range t.news {
		if now.Sub(n.since) > tellFor || !n.entry.live(now) {
			delete(t.news, k)
			continue
		}
		fresh = append(fresh, n)
	}
	slices.SortFunc(fresh, func(x, y *news) int {
		return cmp.Or(
			cmp.Compare(x.told, y.told),
			cmp.Compare(y.entry.Status, x.entry.Status),
			compare(x.entry, y.entry),
		)
	})
	out := make([]*Entry, len(fresh))
	for i, n := range fresh {
		out[i] = n.entry
	}
	return out
}

func compare(x, y *Entry) int {
	if earlier(x, y) {
		return -1
	}
	return 1
}

// EvidenceFor returns what the ruling on p rests on, whether others were told or
// not: all of p, and all of those whose guilt explains its crashes. It goes
// with reports, and with the refusal or submission of p itself, so that two
// nodes that disagree about p agree after one exchange.
func (b *Table) EvidenceFor(now time.Time, p Fingerprint) json.RawMessage {
	entries := b.liveOf(now, p)
	for _, e := range entries {
		for _, o := range b.byCrash[e.Crash] {
			if o.Fingerprint != p && b.convicted(now, o.Fingerprint) && !slices.Contains(entries, o) {
				entries = append(entries, b.liveOf(now, o.Fingerprint)...)
			}
		}
	}
	out, _ := encode(entries, maxGossip)
	return out
}

func (b *Table) liveOf(now time.Time, p Fingerprint) []*Entry {
	var out []*Entry
	for _, e := range b.byPrint[p] {
		if e.live(now) {
			out = append(out, e)
		}
	}
	return out
}

// All returns all that counts at now: for a node that has just started, and
// for a sidecar that leaves.
func (b *Table) All(now time.Time) json.RawMessage {
	var entries []*Entry
	for _, known := range b.byPrint {
		for _, e := range known {
			if e.live(now) {
				entries = append(entries, e)
			}
		}
	}
	slices.SortFunc(entries, compare)
	out, _ := encode(entries, maxGossip)
	return out
}

// Merge takes in what another node told. Merging commutes, associates and is
// idempotent, so it does not matter in which order and how often news arrive.
func (b *Table) Merge(now time.Time, told json.RawMessage) error {
	if len(told) == 0 {
		return nil
	}
	if len(told) > maxGossip {
		return errors.Errorf("quarantine: %d bytes of suspects", len(told))
	}
	var crashes []crashJSON
	if err := json.Unmarshal(told, &crashes); err != nil {
		return errors.Wrap(err, "quarantine")
	}
	for _, c := range crashes {
		for _, s := range c.Suspects {
			b.enter(now, c.entry(s))
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
