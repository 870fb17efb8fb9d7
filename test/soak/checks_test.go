package soak

import (
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

// settle ends all troubles and waits until each router does as the newest
// configuration says.
func (w *world) settle() {
	w.store.SetOutage(nil)
	w.store.LoseWriteResponses(0)
	for c := range int(chanceCount) {
		w.setChance(c, false)
	}
	for _, r := range w.allRunners() {
		if r.left.IsZero() {
			r.proxy.turn(through)
		}
	}
	for _, e := range w.entries {
		e.store.turn(through)
		e.signal(syscall.SIGCONT)
	}
	w.settleConfiguration()
	w.settleRestore()
	w.settleDrains(w.newestKey())
	time.Sleep(time.Second) // what was passed on late has run
}

// settleRestore lets the store come back from a copy in which much is missing, and waits
// until each router does as the first configuration after that says.
func (w *world) settleRestore() {
	const lostChanges = 30
	c := w.store.Snapshot()
	for range lostChanges {
		w.reconfigure()
	}
	w.settleConfiguration()
	lost := w.store.Snapshot()
	w.store.Restore(c)
	w.store.RewriteLost(c, lost, "config")
	w.reconfigure()
	w.settleConfiguration()
}

// settleConfiguration waits until each router does as the newest configuration says.
func (w *world) settleConfiguration() {
	newest, key := w.newestVersion(), w.newestKey()
	revoked := w.revokedKeys()
	for _, e := range w.entries {
		w.eventually(e.name+" does as the newest configuration says", func() bool {
			if newest > 1 && w.askOnce(e, generation(newest), "") != http.StatusOK {
				return false
			}
			for _, k := range revoked {
				if w.askOnce(e, "/book/1", k) != http.StatusUnauthorized {
					return false
				}
			}
			return w.askOnce(e, "/book/1", key) == http.StatusOK
		})
	}
}

// settleDrains drains each failure domain in turn, after all that has happened to the
// routers, and waits until each of them keeps out of it and comes back.
func (w *world) settleDrains(key string) {
	const asks = 10
	for _, zone := range zones {
		w.store.Remove(drained, zone)
	}
	for _, zone := range zones {
		w.store.Put(drained, zone, map[string]any{})
		for _, e := range w.entries {
			w.eventually(e.name+" keeps out of the drained domain "+zone, func() bool {
				before := w.runsIn(zone)
				for range asks {
					w.askOnce(e, "/book/1", key)
				}
				return w.runsIn(zone) == before
			})
		}
		w.store.Remove(drained, zone)
		for _, e := range w.entries {
			w.eventually(e.name+" serves after the domain "+zone+" was taken back", func() bool {
				return w.askOnce(e, "/book/1", key) == http.StatusOK
			})
		}
	}
}

// runsIn returns how many requests the runners of a failure domain have got.
func (w *world) runsIn(zone string) int {
	n := 0
	for _, r := range w.allRunners() {
		if r.zone() == zone {
			n += len(r.Runs())
		}
	}
	return n
}

func (w *world) revokedKeys() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for k := range w.revoked {
		out = append(out, k)
	}
	return out
}

// lateBy is how long after a runner has left a request may still reach it. The
// platform's bound is configBound; the rest is for a busy machine and for routers that
// were cut off from the store.
const lateBy = 12 * time.Second

// check holds what callers were told against what runners did.
func (w *world) check() {
	runs := make(map[string][]fake.Run)
	by := make(map[string][]string) // runners, by attempt
	w.checkWords()
	told := w.toldLeaving()
	for _, r := range w.allRunners() {
		w.checkCold(r)
		w.checkLeaving(r, told)
		w.checkRests(r)
		for _, run := range r.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
			by[run.ID] = append(by[run.ID], r.ID)
			w.checkRun(r, run)
		}
	}
	w.mu.Lock()
	calls := append([]*call(nil), w.calls...)
	w.mu.Unlock()
	for _, c := range calls {
		w.checkCall(c, runs[c.id], by[c.id])
	}
}

// checkCold looks for a second in which more requests were sent and came to a cold runner
// than all routers together may send it.
func (w *world) checkCold(r *runner) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := r.Runs()
	for i, last := range runs {
		from, n := last.At.Add(-time.Second), 0
		for _, run := range runs[:i+1] {
			if c := w.sent[run.ID]; c != nil && c.sent.After(from) && run.At.After(from) {
				n++
			}
		}
		if last.At.Before(r.warm) && n > coldMost {
			w.t.Errorf("%s got %d requests within a second, %v before it was warm", r.ID, n, r.warm.Sub(last.At).Round(time.Millisecond))
			return
		}
	}
}

// checkWords looks in the routers' logs for words of the stand-ins that nothing reads, but for
// times of rest that make no sense and entries that no runner writes.
func (w *world) checkWords() {
	for _, e := range w.entries {
		text, err := os.ReadFile(filepath.Join(e.dir, "log"))
		w.must(err)
		for line := range strings.Lines(string(text)) {
			unread := strings.Contains(line, "a word came that nothing reads")
			if unread && !strings.Contains(line, `"word":"Retry-After: `) {
				w.t.Errorf("%s: %s", e.name, line)
			}
		}
	}
}

// lifeOf is one process of a router.
type lifeOf struct {
	entry *entry
	life  int
}

// told is what a router's process has passed on: an answer of a runner that leaves.
type told struct {
	by     lifeOf
	runner string // its signature
}

// toldLeaving returns when each process has first passed on that a runner leaves.
func (w *world) toldLeaving() map[told]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[told]time.Time)
	for _, c := range w.calls {
		key := told{by: lifeOf{c.entry, c.life}, runner: c.signature}
		if at, known := out[key]; c.leaving && (!known || c.done.Before(at)) {
			out[key] = c.done
		}
	}
	return out
}

// checkLeaving looks for requests that callers sent after their router had passed on that the
// runner leaves, and that came to it all the same. A runner that has started again under its
// id is another one.
func (w *world) checkLeaving(r *runner, leaving map[told]time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range r.Arrivals() {
		c := w.sent[a.ID]
		if c == nil || c.entry == nil {
			continue
		}
		at, known := leaving[told{by: lifeOf{c.entry, c.life}, runner: r.ID}]
		if known && r.leaves() && c.sent.After(at) {
			w.t.Errorf("%s got %s, sent %v after %s had passed on that it leaves", r.ID, c.id, c.sent.Sub(at).Round(time.Millisecond), c.entry.name)
		}
	}
}

const (
	// restGrace is how long after a runner has asked for rest what was under way may come.
	restGrace = 500 * time.Millisecond
	// restMost is how many requests more may come in the time of rest.
	restMost = 2
)

// checkRests looks for routers that sent requests to a runner in the time of rest that it had
// asked of them. Those that stood still, or whose way to it was harmed, may not have heard.
func (w *world) checkRests(r *runner) {
	w.mu.Lock()
	defer w.mu.Unlock()
	arrivals := r.Arrivals()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, asked := range r.asked {
		of := w.sent[asked.attempt]
		if of == nil || of.entry == nil || of.entry.stoodIn(asked.span) || r.proxy.harmed(asked.span) {
			continue
		}
		n := 0
		for _, a := range arrivals {
			c := w.sent[a.ID]
			if c != nil && c.entry == of.entry && c.life == of.life && a.At.After(asked.from.Add(restGrace)) && a.At.Before(asked.to) {
				n++
			}
		}
		if n > restMost {
			w.t.Errorf("%s got %d requests from %s in a rest of %v", r.ID, n, of.entry.name, asked.to.Sub(asked.from))
		}
	}
}

// checkRun holds a request that a runner got against the one that was sent.
func (w *world) checkRun(r *runner, run fake.Run) {
	w.mu.Lock()
	c := w.sent[run.ID]
	w.mu.Unlock()
	switch {
	case c == nil:
		w.t.Errorf("%s ran %s, which nobody sent", r.ID, run.ID)
		return
	case run.Path != c.path || run.Body != c.body:
		w.t.Errorf("%s ran %s as %s with body %q, sent as %s with %q", r.ID, run.ID, run.Path, run.Body, c.path, c.body)
	case c.key != "" && run.Organisation != "club", c.key == "" && run.Organisation != "":
		w.t.Errorf("%s ran %s for organisation %q", r.ID, run.ID, run.Organisation)
	case run.Header.Get("Authorization") != "":
		w.t.Errorf("%s was shown the key of %s", r.ID, run.ID)
	case run.Header.Get("Target-Instance") != r.ID:
		w.t.Errorf("%s ran %s, which was for %s", r.ID, run.ID, run.Header.Get("Target-Instance"))
	}
	if !r.left.IsZero() && run.At.After(r.left.Add(lateBy)) {
		w.t.Errorf("%s got %s %v after it had left", r.ID, run.ID, run.At.Sub(r.left).Round(time.Millisecond))
	}
}

// checkCall holds what a caller was told against the runs of its request.
func (w *world) checkCall(c *call, runs []fake.Run, by []string) {
	fail := func(what string) {
		w.t.Helper()
		w.t.Errorf("%s: %s %s at %s (life %d): status %d, whole %v, run by %v, answer %q", what, c.method, c.path, c.entry.name, c.life, c.status, c.whole, by, c.answer)
	}
	if !c.idempotent && len(runs) > 1 {
		fail("ran more than once")
	}
	if len(runs) > c.attempts {
		fail("ran too often")
	}
	if c.extra {
		fail("bytes came behind the answer")
	}
	switch {
	case c.status == 0:
		if w.planned && len(runs) > 0 {
			fail("was passed on and not answered, though all that went on was planned")
		}
	case c.status == http.StatusOK:
		w.checkAnswer(c, by, fail)
	case c.status == http.StatusUnauthorized || c.status == http.StatusNotFound:
		fail("refused though key and route were in force all the time")
	case promise(c.status):
		if len(runs) > 0 {
			fail("said not to have run")
		}
	case c.signature != "":
		fail("a failure with a runner's signature that no runner gave")
	}
}

// promise reports whether a status says that the request has not run and never will.
func promise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkAnswer checks a success.
func (w *world) checkAnswer(c *call, by []string, fail func(string)) {
	want := plainAnswer(c.signature, c.id)
	if c.stream {
		var b strings.Builder
		for i := 1; i <= streamEvents; i++ {
			b.WriteString(streamEvent(c.id, i))
		}
		want = b.String()
	}
	switch {
	case c.whole && c.answer != want:
		fail("not the whole answer to this request")
	case !strings.HasPrefix(want, c.answer):
		fail("not the beginning of the answer to this request")
	case !slices.Contains(by, c.signature):
		fail("signed by a runner that did not run it")
	case w.planned && !c.whole:
		fail("cut, though all that went on was planned")
	}
}
