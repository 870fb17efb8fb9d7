package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"
)

// rolloutFault is the fault in which runners of the next version replace some of the present ones.
var rolloutFault = fault{"rollout that stops half-way", true, (*harness).rollOut}

// versionFaults are the disturbances beside streams that are taken up.
var versionFaults = []fault{
	rolloutFault,
	{"streams are broken off", false, (*harness).breakStreams},
	{"way to a runner", false, (*harness).cutRunner},
	{"runner crashes", false, (*harness).crashRunner},
	{"runner joins", true, (*harness).addRunner},
	{"router is killed", false, (*harness).killRouter},
	{"router stops", true, (*harness).stopRouter},
	{"router stands still", false, (*harness).pauseRouter},
}

// Runners of several versions serve side by side and break off streams, which callers take up at any router. Guards
// against streams that hold events of two versions, in one answer or over a caller's tries.
func TestSoakVersions(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		h := newHarness(t, seed, false)
		h.faults, h.takesUp, h.callersLeave = versionFaults, true, true
		h.play()
	})
}

// newestSoftware returns the version of the software that new runners have.
func (h *harness) newestSoftware() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprint("v", h.software+1)
}

// rollOut replaces some runners by such of the next version, one after the other.
func (h *harness) rollOut() {
	h.mu.Lock()
	h.software++
	h.mu.Unlock()
	for range 1 + h.intN(h.runnersAtStart) {
		if len(h.liveRunners()) >= 2*h.runnersAtStart {
			return
		}
		if _, err := h.newRunner(); err != nil {
			h.t.Error(err)
			return
		}
		time.Sleep(h.randomDuration(10*time.Millisecond, 300*time.Millisecond))
		h.running.Go(h.drainRunner)
	}
}

// enoughTakeUps is how many streams must be taken up for their share that goes on to be checked.
const enoughTakeUps = 12

const (
	// maxTakeUps is how often a caller takes up one stream, and maxRefusedTakeUps how often if it is refused because all
	// routers were lost.
	maxTakeUps        = 3
	maxRefusedTakeUps = 10
	// refusedTakeUpPause is how long a caller waits after it was refused.
	refusedTakeUpPause = 300 * time.Millisecond
)

// takeUp takes up the stream of a call that broke off after its first event, at any router, again and again.
func (h *harness) takeUp(c *call) {
	first, events, refused := c.id, 0, 0
	for tries := 0; tries < maxTakeUps && refused < maxRefusedTakeUps; {
		switch {
		case !c.stream || !c.idempotent || c.complete && c.status == http.StatusOK:
			return
		case c.status == http.StatusOK:
			events = c.lastEvent + strings.Count(c.responseBody, "\n\n")
			tries++
		case !h.routersLost || c.status != http.StatusServiceUnavailable && !(h.streamsOutlive && c.status == http.StatusBadGateway):
			return
		default:
			refused++
			time.Sleep(refusedTakeUpPause)
		}
		if events == 0 {
			return
		}
		next := h.newCall(c.method, c.path, c.key)
		next.stream, next.idempotent, next.maxAttempts = true, true, c.maxAttempts
		next.resumes, next.lastEvent, next.patience = first, events, c.patience
		next.unnamed = h.unnamedTakeUps && h.intN(2) == 0
		l := h.connectForTakeUp()
		if l == nil {
			return
		}
		l.send(next)
		l.close()
		h.recordCall(next)
		c = next
	}
}

// streamName returns the id of the attempt that began the stream of a call.
func (c *call) streamName() string { return cmp.Or(c.resumes, c.id) }

var versionInEvent = regexp.MustCompile(`@[^\n]*`)

// withoutVersions removes the versions from the events of a stream.
func withoutVersions(body string) string { return versionInEvent.ReplaceAllString(body, "") }

// checkVersions checks that no stream holds events of two versions, over all tries of its caller, and that of the
// streams that are taken up at routers without a disturbance, while two runners of their version serve, at least half
// as many go on as new ones begin.
func (h *harness) checkVersions(calls []*call) {
	byStream := make(map[string]map[string]bool)
	var begun, new, wentOn, takenUp int
	for _, c := range calls {
		if !c.stream || !c.idempotent || c.status == 0 {
			continue
		}
		stream := c.streamName()
		versions := byStream[stream]
		if c.resumes == "" {
			new++
			if c.status == http.StatusOK {
				begun++
			}
		} else if h.mustGoOn(c, versions) {
			takenUp++
			if c.status == http.StatusOK {
				wentOn++
			}
		}
		if versions == nil {
			versions = make(map[string]bool)
			byStream[stream] = versions
		}
		for _, v := range versionInEvent.FindAllString(c.responseBody, -1) {
			versions[v] = true
		}
	}
	crossed := 0
	for stream, versions := range byStream {
		if len(versions) > 1 {
			crossed++
			h.t.Errorf("%s holds events of versions %v", stream, versions)
		}
	}
	if new == 0 {
		return
	}
	h.t.Logf("%d streams at two versions; %d of %d new streams began, %d of %d that were taken up went on", crossed, begun, new, wentOn, takenUp)
	if !h.routersLost && takenUp >= enoughTakeUps && 2*wentOn*new < begun*takenUp {
		h.t.Errorf("%d of %d streams that were taken up went on, %d of %d new ones began", wentOn, takenUp, begun, new)
	}
}

// mustGoOn reports whether a call that takes up a stream was sent to a router that had not been disturbed, while two
// runners of the version of the stream served.
func (h *harness) mustGoOn(c *call, versions map[string]bool) bool {
	calm := span{c.sent.Add(-stableTime), c.done}
	if c.entry.disturbedDuring(calm) || h.isStoreAway(calm) {
		return false
	}
	return h.runnersServing(versions, span{c.sent, c.done}) >= 2
}

// runnersServing returns how many runners have served all through a time at the one version of a stream; zero if the
// stream has events of none, or of several.
func (h *harness) runnersServing(versions map[string]bool, through span) int {
	if len(versions) != 1 {
		return 0
	}
	serving := 0
	for _, r := range h.allRunners() {
		started := time.UnixMilli(r.startedMs)
		if versions["@"+r.version] && started.Before(through.from) && (r.leftAt.IsZero() || r.leftAt.After(through.to)) {
			serving++
		}
	}
	return serving
}
