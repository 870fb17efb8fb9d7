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
func (h *harness) settle() {
	h.store.SetOutage(nil)
	h.store.LoseWriteResponses(0)
	for c := range int(responseFaultCount) {
		h.setResponseFault(c, false)
	}
	for _, r := range h.allRunners() {
		if r.leftAt.IsZero() {
			r.proxy.setMode(passThrough)
		}
	}
	for _, e := range h.entries {
		e.store.setMode(passThrough)
		e.signal(syscall.SIGCONT)
	}
	h.settleConfiguration()
	h.settleRestore()
	h.settleDrains(h.newestKey())
	time.Sleep(time.Second) // what was passed on late has run
}

// settleRestore lets the store come back from a copy in which much is missing, and waits
// until each router does as the first configuration after that says.
func (h *harness) settleRestore() {
	const lostChanges = 30
	c := h.store.Snapshot()
	for range lostChanges {
		h.reconfigure()
	}
	h.settleConfiguration()
	lost := h.store.Snapshot()
	h.store.Restore(c)
	h.store.RewriteLost(c, lost, "config")
	h.reconfigure()
	h.settleConfiguration()
}

// settleConfiguration waits until each router does as the newest configuration says.
func (h *harness) settleConfiguration() {
	newest, key := h.newestVersion(), h.newestKey()
	revoked := h.revokedKeys()
	for _, e := range h.entries {
		h.eventually(e.name+" does as the newest configuration says", func() bool {
			if newest > 1 && h.requestStatus(e, versionPath(newest), "") != http.StatusOK {
				return false
			}
			for _, k := range revoked {
				if h.requestStatus(e, "/book/1", k) != http.StatusUnauthorized {
					return false
				}
			}
			return h.requestStatus(e, "/book/1", key) == http.StatusOK
		})
	}
}

// settleDrains drains each failure domain in turn, after all that has happened to the
// routers, and waits until each of them keeps out of it and comes back.
func (h *harness) settleDrains(key string) {
	const requests = 10
	for _, zone := range zones {
		h.store.Remove(drainKind, zone)
	}
	for _, zone := range zones {
		h.store.Put(drainKind, zone, map[string]any{})
		for _, e := range h.entries {
			h.eventually(e.name+" keeps out of the drained domain "+zone, func() bool {
				before := h.runsIn(zone)
				for range requests {
					h.requestStatus(e, "/book/1", key)
				}
				return h.runsIn(zone) == before
			})
		}
		h.store.Remove(drainKind, zone)
		for _, e := range h.entries {
			h.eventually(e.name+" serves after the domain "+zone+" was taken back", func() bool {
				return h.requestStatus(e, "/book/1", key) == http.StatusOK
			})
		}
	}
}

// runsIn returns how many requests the runners of a failure domain have got.
func (h *harness) runsIn(zone string) int {
	n := 0
	for _, r := range h.allRunners() {
		if r.zone() == zone {
			n += len(r.Runs())
		}
	}
	return n
}

func (h *harness) revokedKeys() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for k := range h.revoked {
		out = append(out, k)
	}
	return out
}

// leaveTimeout is how long after a runner has left a request may still reach it. The
// platform's bound is configBound; the rest is for a busy machine and for routers that
// were cut off from the store.
const leaveTimeout = 12 * time.Second

// check holds what callers were told against what runners did.
func (h *harness) check() {
	runs := make(map[string][]fake.Run)
	runnersByAttempt := make(map[string][]string) // runners, by attempt
	h.checkUnreadSignals()
	reports := h.leavingReports()
	for _, r := range h.allRunners() {
		h.checkCold(r)
		h.checkLeaving(r, reports)
		h.checkRests(r)
		for _, run := range r.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
			runnersByAttempt[run.ID] = append(runnersByAttempt[run.ID], r.ID)
			h.checkRun(r, run)
		}
	}
	h.mu.Lock()
	calls := append([]*call(nil), h.calls...)
	h.mu.Unlock()
	for _, c := range calls {
		h.checkCall(c, runs[c.id], runnersByAttempt[c.id])
	}
}

// checkCold looks for a second in which more requests were sent and came to a cold runner
// than all routers together may send it.
func (h *harness) checkCold(r *runner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	runs := r.Runs()
	for i, last := range runs {
		from, n := last.At.Add(-time.Second), 0
		for _, run := range runs[:i+1] {
			if c := h.sent[run.ID]; c != nil && c.sent.After(from) && run.At.After(from) {
				n++
			}
		}
		if last.At.Before(r.coldUntil) && n > maxColdPerSecond {
			h.t.Errorf("%s got %d requests within a second, %v before it was warm", r.ID, n, r.coldUntil.Sub(last.At).Round(time.Millisecond))
			return
		}
	}
}

// checkUnreadSignals looks in the routers' logs for words of the stand-ins that nothing reads, but for
// times of rest that make no sense and entries that no runner writes.
func (h *harness) checkUnreadSignals() {
	for _, e := range h.entries {
		text, err := os.ReadFile(filepath.Join(e.dir, "log"))
		h.must(err)
		for line := range strings.Lines(string(text)) {
			unread := strings.Contains(line, "a word came that nothing reads")
			if unread && !strings.Contains(line, `"word":"Retry-After: `) {
				h.t.Errorf("%s: %s", e.name, line)
			}
		}
	}
}

// routerProcess is one process of a router.
type routerProcess struct {
	entry       *entry
	incarnation int
}

// leavingReport is what a router's process has passed on: an answer of a runner that leaves.
type leavingReport struct {
	process routerProcess
	runner  string // its signature
}

// leavingReports returns when each process has first passed on that a runner leaves.
func (h *harness) leavingReports() map[leavingReport]time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[leavingReport]time.Time)
	for _, c := range h.calls {
		key := leavingReport{process: routerProcess{c.entry, c.incarnation}, runner: c.signature}
		if at, known := out[key]; c.signalsLeaving && (!known || c.done.Before(at)) {
			out[key] = c.done
		}
	}
	return out
}

// checkLeaving looks for requests that callers sent after their router had passed on that the
// runner leaves, and that came to it all the same. A runner that has started again under its
// id is another one.
func (h *harness) checkLeaving(r *runner, reports map[leavingReport]time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range r.Arrivals() {
		c := h.sent[a.ID]
		if c == nil || c.entry == nil {
			continue
		}
		at, known := reports[leavingReport{process: routerProcess{c.entry, c.incarnation}, runner: r.ID}]
		if known && r.isLeaving() && c.sent.After(at) {
			h.t.Errorf("%s got %s, sent %v after %s had passed on that it leaves", r.ID, c.id, c.sent.Sub(at).Round(time.Millisecond), c.entry.name)
		}
	}
}

const (
	// restGrace is how long after a runner has asked for rest what was under way may come.
	restGrace = 500 * time.Millisecond
	// maxRestRequests is how many requests more may come in the time of rest.
	maxRestRequests = 2
)

// checkRests looks for routers that sent requests to a runner in the time of rest that it had
// asked of them. Those that stood still, or whose way to it was harmed, may not have heard.
func (h *harness) checkRests(r *runner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	arrivals := r.Arrivals()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rest := range r.restRequests {
		attempt := h.sent[rest.attempt]
		if attempt == nil || attempt.entry == nil || attempt.entry.pausedDuring(rest.span) || r.proxy.impairedDuring(rest.span) {
			continue
		}
		n := 0
		for _, a := range arrivals {
			c := h.sent[a.ID]
			if c != nil && c.entry == attempt.entry && c.incarnation == attempt.incarnation && a.At.After(rest.from.Add(restGrace)) && a.At.Before(rest.to) {
				n++
			}
		}
		if n > maxRestRequests {
			h.t.Errorf("%s got %d requests from %s in a rest of %v", r.ID, n, attempt.entry.name, rest.to.Sub(rest.from))
		}
	}
}

// checkRun holds a request that a runner got against the one that was sent.
func (h *harness) checkRun(r *runner, run fake.Run) {
	h.mu.Lock()
	c := h.sent[run.ID]
	h.mu.Unlock()
	switch {
	case c == nil:
		h.t.Errorf("%s ran %s, which nobody sent", r.ID, run.ID)
		return
	case run.Path != c.path || run.Body != c.body:
		h.t.Errorf("%s ran %s as %s with body %q, sent as %s with %q", r.ID, run.ID, run.Path, run.Body, c.path, c.body)
	case c.key != "" && run.Organisation != "club", c.key == "" && run.Organisation != "":
		h.t.Errorf("%s ran %s for organisation %q", r.ID, run.ID, run.Organisation)
	case run.Header.Get("Authorization") != "":
		h.t.Errorf("%s was shown the key of %s", r.ID, run.ID)
	case run.Header.Get("Target-Instance") != r.ID:
		h.t.Errorf("%s ran %s, which was for %s", r.ID, run.ID, run.Header.Get("Target-Instance"))
	}
	if !r.leftAt.IsZero() && run.At.After(r.leftAt.Add(leaveTimeout)) {
		h.t.Errorf("%s got %s %v after it had left", r.ID, run.ID, run.At.Sub(r.leftAt).Round(time.Millisecond))
	}
}

// checkCall holds what a caller was told against the runs of its request.
func (h *harness) checkCall(c *call, runs []fake.Run, runners []string) {
	fail := func(problem string) {
		h.t.Helper()
		h.t.Errorf("%s: %s %s at %s (life %d): status %d, whole %v, run by %v, answer %q", problem, c.method, c.path, c.entry.name, c.incarnation, c.status, c.complete, runners, c.responseBody)
	}
	if !c.idempotent && len(runs) > 1 {
		fail("ran more than once")
	}
	if len(runs) > c.maxAttempts {
		fail("ran too often")
	}
	if c.trailingBytes {
		fail("bytes came behind the answer")
	}
	switch {
	case c.status == 0:
		if h.planned && len(runs) > 0 {
			fail("was passed on and not answered, though all that went on was planned")
		}
	case c.status == http.StatusOK:
		h.checkResponse(c, runners, fail)
	case c.status == http.StatusUnauthorized || c.status == http.StatusNotFound:
		fail("refused though key and route were in force all the time")
	case promisesNotRun(c.status):
		if len(runs) > 0 {
			fail("said not to have run")
		}
	case c.signature != "":
		fail("a failure with a runner's signature that no runner gave")
	}
}

// promisesNotRun reports whether a status says that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkResponse checks a success.
func (h *harness) checkResponse(c *call, runners []string, fail func(string)) {
	want := plainResponse(c.signature, c.id)
	if c.stream {
		var b strings.Builder
		for i := 1; i <= streamEvents; i++ {
			b.WriteString(streamEvent(c.id, i))
		}
		want = b.String()
	}
	switch {
	case c.complete && c.responseBody != want:
		fail("not the whole answer to this request")
	case !strings.HasPrefix(want, c.responseBody):
		fail("not the beginning of the answer to this request")
	case !slices.Contains(runners, c.signature):
		fail("signed by a runner that did not run it")
	case h.planned && !c.complete:
		fail("cut, though all that went on was planned")
	}
}
