package suspects

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
)

// The parts of modelled prompts: one crashes each upstream that writes on it, one comes with all requests, one with all
// bad ones and some sound ones, and some with a few.
var (
	badPart       = quarantine.PartFingerprint(1)
	popularPart   = quarantine.PartFingerprint(2)
	companionPart = quarantine.PartFingerprint(3)
	sessionParts  = []quarantine.Fingerprint{quarantine.PartFingerprint(4), quarantine.PartFingerprint(5), quarantine.PartFingerprint(6)}
)

// partsModel is a fleet of routers that hear each other's news at once, before upstreams that crash under badPart or
// for reasons of their own.
type partsModel struct {
	now         time.Time
	routers     []*Registry
	upstreams   []string
	pending     []partsCopy
	started     int
	contents    uint64
	late        int                             // requests with badPart that were sent after it had crashed enough
	ambiguous   int                             // of these, trials at which another suspect was
	crashesOf   map[quarantine.Fingerprint]int  // upstreams lost with a part since it was served
	failedTrial map[quarantine.Fingerprint]bool // parts of requests that were tried and lost
}

type partsCopy struct {
	router   *Registry
	upstream string
	prints   []quarantine.Fingerprint
	sent     *quarantine.Sent
	end      func()
	tried    bool
}

func newPartsModel(t *rapid.T) *partsModel {
	m := &partsModel{now: epoch, crashesOf: make(map[quarantine.Fingerprint]int), failedTrial: make(map[quarantine.Fingerprint]bool)}
	var names []string
	for i := range rapid.IntRange(1, 4).Draw(t, "routers") {
		names = append(names, fmt.Sprint("router-", i))
		m.routers = append(m.routers, NewRegistry())
	}
	for i, r := range m.routers {
		r.SetRouters(names[i], slices.Delete(slices.Clone(names), i, i+1))
	}
	for range 6 {
		m.start()
	}
	return m
}

func (m *partsModel) start() {
	m.started++
	m.upstreams = append(m.upstreams, fmt.Sprint("upstream-", m.started))
}

// isBad reports whether a request crashes its upstream.
func isBad(prints []quarantine.Fingerprint) bool { return slices.Contains(prints, badPart) }

// draw returns the fingerprints of a request of which there is no copy.
func (m *partsModel) draw(t *rapid.T) []quarantine.Fingerprint {
	m.contents++
	out := []quarantine.Fingerprint{quarantine.ContentFingerprint(m.contents + 100), popularPart}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0, 1:
		return append(out, badPart, companionPart)
	case 2:
		return append(out, companionPart)
	default:
		return append(out, rapid.SampledFrom(sessionParts).Draw(t, "session"))
	}
}

// send sends a request, unless its router turns it away.
func (m *partsModel) send(t *rapid.T) {
	r := rapid.SampledFrom(m.routers).Draw(t, "router")
	prints := m.draw(t)
	j := r.Judge(m.now, prints)
	m.checkSound(t, prints, j)
	if j.Action == quarantine.Refuse || j.IsHeld {
		return
	}
	upstreams := m.upstreams
	c := partsCopy{router: r, prints: prints, end: func() {}, tried: j.Action != quarantine.Allow}
	if c.tried {
		end, ok := r.TryRunAlone(m.now, j.ObservedDecision)
		if !ok {
			return
		}
		mayTryAt, hasOther := r.MayTryAt(m.now, prints), r.HasOtherSuspect(m.now, prints)
		upstreams = slices.DeleteFunc(slices.Clone(upstreams), func(u string) bool { return !mayTryAt(u) || hasOther(u) })
		if len(upstreams) == 0 {
			end()
			return
		}
		c.end = end
	}
	if isBad(prints) && m.crashesOf[badPart] >= quarantine.MaxUnknown {
		m.late++
	}
	c.upstream = rapid.SampledFrom(upstreams).Draw(t, "upstream")
	c.sent = r.Send(m.now, c.upstream, quarantine.Copy{Fingerprint: prints[0], Parts: prints[1:], Due: m.now.Add(deadline), Tried: c.tried})
	m.pending = append(m.pending, c)
}

// checkSound checks that a request is not turned away because of a part that was served since all of its crashes, and
// not refused because of one that was never tried.
func (m *partsModel) checkSound(t *rapid.T, prints []quarantine.Fingerprint, j Judgement) {
	if j.Action == quarantine.Allow || !j.Fingerprint.IsPart() {
		return
	}
	if m.crashesOf[j.Fingerprint] < quarantine.MaxUnknown && !m.failedTrial[j.Fingerprint] {
		t.Fatalf("%v is turned away (%+v), and %d upstreams were lost with the part since it was served", prints, j, m.crashesOf[j.Fingerprint])
	}
	if j.Action == quarantine.Refuse && !m.failedTrial[j.Fingerprint] {
		t.Fatalf("%v is refused because of a part that was never tried: %+v", prints, j)
	}
}

// write lets an upstream begin to write on a request: it gives a whole event, or the upstream crashes.
func (m *partsModel) write(t *rapid.T) {
	if len(m.pending) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.pending)-1).Draw(t, "copy")
	c := m.pending[i]
	if isBad(c.prints) {
		m.crash(c.upstream)
		return
	}
	m.pending = slices.Delete(m.pending, i, i+1)
	c.router.Responded(m.now, c.sent)
	c.router.PartsServed(m.now, c.sent)
	c.router.Answered(m.now, c.sent)
	c.router.Served(m.now, c.prints[0])
	c.end()
	for _, p := range c.prints[1:] {
		m.crashesOf[p], m.failedTrial[p] = 0, false
	}
}

// lose lets an upstream crash for a reason of its own.
func (m *partsModel) lose(t *rapid.T) {
	m.crash(rapid.SampledFrom(m.upstreams).Draw(t, "upstream"))
}

// crash resets all connections of an upstream, which refuses new ones. Another one starts.
func (m *partsModel) crash(upstream string) {
	var lost []partsCopy
	m.pending = slices.DeleteFunc(m.pending, func(c partsCopy) bool {
		if c.upstream == upstream {
			lost = append(lost, c)
		}
		return c.upstream == upstream
	})
	parts := make(map[quarantine.Fingerprint]bool)
	tried := 0
	for _, c := range lost {
		c.router.Lost(m.now, c.sent)
		c.end()
		if c.tried {
			tried++
		}
		for _, p := range c.prints[1:] {
			parts[p] = true
			m.failedTrial[p] = m.failedTrial[p] || c.tried
		}
	}
	for p := range parts {
		m.crashesOf[p]++
	}
	if tried > 1 {
		m.ambiguous++
	}
	for _, r := range m.routers {
		if r.HasEnded(upstream) {
			r.Crashed(m.now, upstream)
		}
	}
	m.upstreams = slices.DeleteFunc(m.upstreams, func(u string) bool { return u == upstream })
	m.start()
}

func (m *partsModel) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
	for _, r := range m.routers {
		r.Expire(m.now)
	}
}

// exchange tells all routers the news.
func (m *partsModel) exchange() {
	prints := append([]quarantine.Fingerprint{badPart, popularPart, companionPart}, sessionParts...)
	for range 2 {
		for _, to := range m.routers {
			for _, from := range m.routers {
				for _, p := range prints {
					_ = to.Merge(m.now, from.Evidence(m.now, uint64(p)))
				}
			}
		}
	}
}

// Requests with shared parts of prompts are sent, answered and lost in any order, while one part crashes the
// upstreams that write on it and others crash for reasons of their own. Guards against upstreams that are lost to the part
// without bound, and against requests that are turned away for parts that nothing speaks against.
func TestOnlyPartsThatLoseUpstreamsAreTurnedAwayInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPartsModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"send":  m.send,
			"again": m.send,
			"write": m.write,
			"more":  m.write,
			"lose":  m.lose,
			"pass":  m.pass,
			"": func(t *rapid.T) {
				m.exchange()
				const pause = 30 * time.Second // from a failed trial to the next one, at least
				trials := 1 + int(m.now.Sub(epoch)/pause)
				if most := len(m.routers)*trials + m.ambiguous; m.late > most {
					t.Fatalf("%d requests with the part were sent after it had crashed %d upstreams, want at most %d", m.late, quarantine.MaxUnknown, most)
				}
			},
		})
	})
}
