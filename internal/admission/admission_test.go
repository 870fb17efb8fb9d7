package admission

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "60")
}

var epoch = time.Unix(1000, 0)

func id(n int) token.Nonce {
	var out token.Nonce
	binary.BigEndian.PutUint64(out[:], uint64(n))
	return out
}

// queueModel drives a Queue and tracks the expected state independently.
type queueModel struct {
	q       *Queue
	now     time.Time
	offered int
	waiting map[token.Nonce]Request
	running map[token.Nonce]Request
}

// Organisations send requests of all priorities, with deadlines and bounds, while other
// requests end or are removed and time passes. The load must stay within its bound and
// running requests within the slots, no slot may stay idle while a request may start,
// higher priorities start first, and a removed request is never started.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{
			Slots:      rapid.IntRange(1, 5).Draw(t, "slots"),
			Headroom:   rapid.IntRange(0, 2).Draw(t, "headroom"),
			MaxWaiting: 12,
			MaxBytes:   6,
		}
		c.Reserve = rapid.IntRange(0, c.Slots-1).Draw(t, "reserve")
		m := &queueModel{q: NewQueue(c), now: epoch, waiting: make(map[token.Nonce]Request), running: make(map[token.Nonce]Request)}
		t.Repeat(map[string]func(*rapid.T){
			"offer": m.offer,
			"end":   m.end,
			"remove": func(t *rapid.T) {
				if r, ok := anyOf(t, m.waiting); ok {
					delete(m.waiting, r.ID)
					m.q.Remove(r.ID)
				}
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.startWaiting,
		})
	})
}

func anyOf(t *rapid.T, from map[token.Nonce]Request) (Request, bool) {
	if len(from) == 0 {
		return Request{}, false
	}
	all := make([]Request, 0, len(from))
	for _, r := range from {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Request) int { return slices.Compare(a.ID[:], b.ID[:]) })
	return rapid.SampledFrom(all).Draw(t, "request"), true
}

func (m *queueModel) offer(t *rapid.T) {
	m.offered++
	r := Request{
		ID:            id(m.offered),
		Org:           rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org"),
		Profile:       rapid.SampledFrom([]string{"notes", "overnight"}).Draw(t, "profile"),
		Priority:      rapid.IntRange(0, 2).Draw(t, "priority"),
		Size:          rapid.IntRange(0, 5).Draw(t, "size"),
		Weight:        rapid.IntRange(1, 3).Draw(t, "weight"),
		LoadBound:     rapid.IntRange(0, 12).Draw(t, "bound"),
		QueueBound:    rapid.IntRange(0, 6).Draw(t, "queue"),
		OrgQueueBound: rapid.IntRange(0, 3).Draw(t, "org queue"),
	}
	if rapid.Bool().Draw(t, "urgent") {
		r.FirstByteBy = m.now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "seconds")) * time.Second)
	}
	canStart := len(m.waiting) == 0 && len(m.running)+m.q.config.Reserve < m.q.config.Slots
	err := m.q.Offer(m.now, r)
	if err == nil {
		m.waiting[r.ID] = r
		if m.q.Load() > r.LoadBound {
			t.Fatalf("load %d exceeds the bound %d", m.q.Load(), r.LoadBound)
		}
		return
	}
	if err.Verdict != verdict.NotRun || err.RetryAfter <= 0 {
		t.Fatalf("refusal %v has no verdict NotRun or no retry time", err)
	}
	if canStart && err.Reason != verdict.ReasonOverBound {
		t.Fatalf("refused with %s while a slot is free", err.Reason)
	}
}

func (m *queueModel) end(t *rapid.T) {
	if r, ok := anyOf(t, m.running); ok {
		delete(m.running, r.ID)
		m.q.FirstByte(m.now, r.ID)
		m.q.Done(m.now, r.ID)
	}
}

// startWaiting removes expired requests and starts all that may start, as the sidecar
// does after each event, and checks the result.
func (m *queueModel) startWaiting(t *rapid.T) {
	for _, r := range m.waiting {
		if t := r.Expires(); !t.IsZero() && !m.now.Before(t) {
			delete(m.waiting, r.ID)
			m.q.Remove(r.ID)
		}
	}
	for {
		r, ok := m.q.Next(m.now)
		if !ok {
			break
		}
		m.checkStart(t, r)
		delete(m.waiting, r.ID)
		m.running[r.ID] = r
	}
	m.checkState(t)
}

func (m *queueModel) checkStart(t *rapid.T, r Request) {
	if _, ok := m.waiting[r.ID]; !ok {
		t.Fatalf("started %v, which is not waiting", r)
	}
	lower := 0
	for _, other := range m.running {
		if other.Priority < r.Priority {
			lower++
		}
	}
	if len(m.running) >= m.q.config.Slots+min(lower, m.q.config.Headroom) {
		t.Fatalf("%d requests run before %v starts", len(m.running), r)
	}
	for _, other := range m.waiting {
		if other.Priority > r.Priority {
			t.Fatalf("%v overtook %v", r, other)
		}
	}
}

func (m *queueModel) checkState(t *rapid.T) {
	if len(m.waiting) != len(m.q.waiting) || len(m.running) != m.q.Running() {
		t.Fatalf("queue and model differ: %d of %d requests wait, %d of %d run", len(m.q.waiting), len(m.waiting), m.q.Running(), len(m.running))
	}
	size := 0
	for _, r := range m.waiting {
		size += r.Size
	}
	if size > m.q.config.MaxBytes || size != m.q.bytes {
		t.Fatalf("%d bytes of requests wait, the queue counts %d", size, m.q.bytes)
	}
	idle := m.q.config.Slots - len(m.running)
	if len(m.q.organisations) > 1 {
		idle -= m.q.config.Reserve
	}
	if idle > 0 && len(m.waiting) > 0 {
		t.Fatalf("%d slots are idle while %d requests wait", idle, len(m.waiting))
	}
}

// arrival is a request in a simulated queue.
type arrival struct {
	org string
	at  int // seconds
}

const serviceSeconds = 10

// simulate runs arrivals, in order of time, through a queue in which each request takes
// serviceSeconds, and returns how long each request of org waited, in seconds.
func simulate(c Config, arrivals []arrival, org string) []int {
	q := NewQueue(c)
	var waits []int
	ends := make(map[int][]token.Nonce)
	arrived := make(map[token.Nonce]int)
	next := 0
	for now := 0; next < len(arrivals) || q.Load() > 0; now++ {
		t := epoch.Add(time.Duration(now) * time.Second)
		for _, n := range ends[now] {
			q.Done(t, n)
		}
		for ; next < len(arrivals) && arrivals[next].at <= now; next++ {
			r := Request{ID: id(next), Org: arrivals[next].org, Weight: 1, LoadBound: math.MaxInt}
			arrived[r.ID] = now
			if err := q.Offer(t, r); err != nil {
				panic(err)
			}
		}
		for r, ok := q.Next(t); ok; r, ok = q.Next(t) {
			ends[now+serviceSeconds] = append(ends[now+serviceSeconds], r.ID)
			if r.Org == org {
				waits = append(waits, now-arrived[r.ID])
			}
		}
	}
	return waits
}

// One organisation sends up to eighty requests at once, and another always has more
// requests than its share of the slots. A third, which uses no more than its share,
// must wait no longer than without the surge, except for the time until slots that the
// surge already holds become free: one service time.
func TestSurgeDelaysOnlyItsOrganisation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.IntRange(1, 3).Draw(t, "share")
		c := Config{Slots: 3 * share, Reserve: rapid.IntRange(0, 1).Draw(t, "reserve"), MaxWaiting: 10000, MaxBytes: 1}
		var arrivals []arrival
		for i := range rapid.IntRange(1, 12).Draw(t, "steady") {
			// share requests in every second service time
			at := rapid.IntRange(0, serviceSeconds-1).Draw(t, "at") / share
			arrivals = append(arrivals, arrival{"b", (i/share)*2*serviceSeconds + at})
		}
		for range rapid.IntRange(0, 60).Draw(t, "background") {
			arrivals = append(arrivals, arrival{"c", 0})
		}
		byTime := func(x, y arrival) int { return x.at - y.at }
		slices.SortStableFunc(arrivals, byTime)
		baseline := slices.Max(simulate(c, arrivals, "b"))
		start := rapid.IntRange(0, 60).Draw(t, "surge from")
		for range rapid.IntRange(1, 80).Draw(t, "surge") {
			arrivals = append(arrivals, arrival{"a", rapid.IntRange(start, 60).Draw(t, "at")})
		}
		slices.SortStableFunc(arrivals, byTime)
		if worst := slices.Max(simulate(c, arrivals, "b")); worst > baseline+serviceSeconds {
			t.Fatalf("waits %d s during the surge, %d s without it", worst, baseline)
		}
	})
}

// A surge holds all slots, so an organisation that sends one request at a time waits
// for a slot each time. With one slot in reserve it starts at once. When the surging
// organisation is the only active one again, it gets the reserved slot too.
func TestReserveLetsSmallOrganisationsStartAtOnce(t *testing.T) {
	var arrivals []arrival
	for range 200 {
		arrivals = append(arrivals, arrival{"a", 1})
	}
	for i := range 10 {
		arrivals = append(arrivals, arrival{"b", 13 * i})
	}
	slices.SortStableFunc(arrivals, func(x, y arrival) int { return x.at - y.at })
	for reserve, want := range []bool{false, true} {
		c := Config{Slots: 8, Reserve: reserve, MaxWaiting: 1000, MaxBytes: 1}
		waits := simulate(c, arrivals, "b")
		if atOnce := slices.Max(waits) == 0; atOnce != want {
			t.Errorf("reserve %d: waits %v s", reserve, waits)
		}
		last := slices.Max(simulate(c, arrivals, "a"))
		t.Logf("reserve %d: small organisation waits %v s, the surge is over after %d s", reserve, waits, last)
	}
}

// Three hundred requests arrive within five minutes, far more than can meet their deadlines.
// Those that cannot must be refused at once with a retry time, and not wait in the
// queue until their deadline has passed.
func TestUnmeetableDeadlineIsRejectedAtOnce(t *testing.T) {
	const slots = 4
	q := NewQueue(Config{Slots: slots, MaxWaiting: 1000, MaxBytes: 1})
	expired, refused := 0, 0
	var running []token.Nonce
	var waiting []Request
	for second := range 300 {
		now := epoch.Add(time.Duration(second) * time.Second)
		if second%serviceSeconds == 0 {
			for _, n := range running {
				q.Done(now, n)
			}
			running = nil
		}
		for _, r := range waiting {
			if !now.Before(r.Expires()) && q.Remove(r.ID) {
				expired++
			}
		}
		r := Request{ID: id(second), Org: "a", LoadBound: math.MaxInt, FirstByteBy: now.Add(2 * serviceSeconds * time.Second)}
		waiting = append(waiting, r)
		if err := q.Offer(now, r); err != nil {
			refused++
			if err.Reason != verdict.ReasonDeadline || err.RetryAfter <= 0 {
				t.Fatalf("refused with %v", err)
			}
		}
		for r, ok := q.Next(now); ok; r, ok = q.Next(now) {
			running = append(running, r.ID)
		}
	}
	if refused < 150 || expired > slots {
		t.Fatalf("%d refused at once, %d expired in the queue", refused, expired)
	}
}

// All organisations have more requests than capacity, with different running times, and
// the first returns after a long pause. From then on each must get running time in
// proportion to its weight, whatever the others send, so that none starves. The pause
// earns no credit.
func TestNoOrganisationStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Config{Slots: 1, MaxWaiting: 10000, MaxBytes: 1})
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 5).Draw(t, "weights")
		seconds := rapid.SliceOfN(rapid.IntRange(1, 5), len(weights), len(weights)).Draw(t, "seconds")
		total, n := 0, 0
		offer := func(at time.Time, org, w int) {
			for range 600 {
				n++
				if err := q.Offer(at, Request{ID: id(n), Org: fmt.Sprint(org), Weight: w, LoadBound: math.MaxInt}); err != nil {
					t.Fatal(err)
				}
			}
		}
		for org, w := range weights {
			total += w
			if org > 0 {
				offer(epoch, org, w)
			}
		}
		used := make([]int, len(weights))
		run := func(from, until int) {
			for now := from; now < until; {
				r, _ := q.Next(epoch.Add(time.Duration(now) * time.Second))
				var org int
				_, _ = fmt.Sscan(r.Org, &org)
				now += seconds[org]
				used[org] += seconds[org]
				q.Done(epoch.Add(time.Duration(now)*time.Second), r.ID)
			}
		}
		const resumeAt, window = 200, 400
		run(0, resumeAt)
		clear(used)
		offer(epoch.Add(resumeAt*time.Second), 0, weights[0])
		run(resumeAt, resumeAt+window)
		for org, w := range weights {
			if fairShare := window * w / total; used[org] < fairShare*8/10-10 {
				t.Fatalf("organisation %d of weight %d got %d s, its fair share is %d s (all: %v)", org, w, used[org], fairShare, used)
			}
		}
	})
}

// BenchmarkQueue measures an offer, a start and an end with n waiting.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{16, 128, 1024} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			q := NewQueue(Config{Slots: 32, MaxWaiting: 2 * n, MaxBytes: 1})
			offer := func(i int) {
				_ = q.Offer(epoch, Request{ID: id(i), Org: fmt.Sprint(i % 16), Profile: "notes", Weight: 1, LoadBound: math.MaxInt})
			}
			for i := range n {
				offer(i)
			}
			i := n
			b.ReportAllocs()
			for b.Loop() {
				i++
				offer(i)
				if r, ok := q.Next(epoch); ok {
					q.Done(epoch, r.ID)
				}
			}
		})
	}
}
