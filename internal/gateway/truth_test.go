package gateway_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/gateway"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// scenario lists the faults of a small fleet and the requests of its callers.
type scenario struct {
	faults      []fault
	slots       int          // of each upstream
	restarts    []timedEvent // sidecars that are killed and restarted
	shutdowns   []timedEvent // sidecars that are stopped as planned and replaced
	disconnects []timedEvent // routers that lose all connections
	callers     []caller
}

// timedEvent is an event that affects one of several targets, by index.
type timedEvent struct {
	at     time.Duration
	target int
}

// caller sends one request: in up to three copies if it has a request key, otherwise once.
type caller struct {
	profile string
	hasKey  bool
	copies  []timedEvent // when and through which router each copy is sent
}

const (
	testVMs     = 3
	testRouters = 2
)

func drawScenario(t *rapid.T) scenario {
	bytesUntil := rapid.OneOf(rapid.Just(-1), rapid.IntRange(0, 3000))
	span := rapid.IntRange(0, 600)
	eventOn := func(targets int) *rapid.Generator[timedEvent] {
		return rapid.Custom(func(t *rapid.T) timedEvent {
			return timedEvent{at: time.Duration(span.Draw(t, "ms")) * time.Millisecond, target: rapid.IntRange(0, targets-1).Draw(t, "who")}
		})
	}
	faults := rapid.Custom(func(t *rapid.T) fault {
		return fault{toSidecar: bytesUntil.Draw(t, "up"), toRouter: bytesUntil.Draw(t, "down"), stalls: rapid.Bool().Draw(t, "silent")}
	})
	callers := rapid.Custom(func(t *rapid.T) caller {
		c := caller{
			profile: rapid.SampledFrom([]string{booking, clips}).Draw(t, "profile"),
			hasKey:  rapid.Bool().Draw(t, "held"),
			copies:  rapid.SliceOfN(eventOn(testRouters), 1, 3).Draw(t, "copies"),
		}
		if !c.hasKey {
			c.copies = c.copies[:1]
		}
		return c
	})
	return scenario{
		faults:      rapid.SliceOfN(faults, 0, 12).Draw(t, "faults"),
		slots:       rapid.SampledFrom([]int{1, 64}).Draw(t, "slots"),
		shutdowns:   rapid.SliceOfN(eventOn(testVMs), 0, 1).Draw(t, "leaves"),
		restarts:    rapid.SliceOfN(eventOn(testVMs), 0, 2).Draw(t, "restarts"),
		disconnects: rapid.SliceOfN(eventOn(testRouters), 0, 2).Draw(t, "kills"),
		callers:     rapid.SliceOfN(callers, 1, 6).Draw(t, "callers"),
	}
}

// copyResult is the result of one copy of a request, as its caller saw it.
type copyResult struct {
	body       string
	profile    string
	sent, done time.Time
	first      reply
	received   []byte // including the resumed part
	complete   bool
}

// runScenario runs a scenario and returns the callers' results and the number of
// runs by body.
func runScenario(s scenario) ([]copyResult, map[string]int) {
	f := newFleet(testVMs, testRouters, s.slots)
	defer f.close()
	keys := make([]string, len(s.callers))
	for i, c := range s.callers {
		if c.hasKey {
			keys[i] = f.mint(0, c.profile)
		}
	}
	f.net.mu.Lock()
	f.net.faults = s.faults
	f.net.mu.Unlock()
	f.net.cut(func(*faultyConn) bool { return true })
	var wg sync.WaitGroup
	for _, event := range s.restarts {
		wg.Go(func() {
			time.Sleep(event.at)
			f.restart(f.upstreamVMs[event.target])
		})
	}
	for _, event := range s.shutdowns {
		wg.Go(func() {
			time.Sleep(event.at)
			f.replace(f.upstreamVMs[event.target])
		})
	}
	for _, event := range s.disconnects {
		wg.Go(func() {
			time.Sleep(event.at)
			f.net.cut(func(c *faultyConn) bool { return c.router == fmt.Sprintf("router-%d", event.target) })
		})
	}
	var mu sync.Mutex
	var history []copyResult
	for i, c := range s.callers {
		for _, event := range c.copies {
			wg.Go(func() {
				time.Sleep(event.at)
				result := f.sendCopy(c.profile, fmt.Sprintf("request %d", i), keys[i], event.target)
				mu.Lock()
				defer mu.Unlock()
				history = append(history, result)
			})
		}
	}
	wg.Wait()
	time.Sleep(time.Minute) // until all runs have ended
	return history, f.runs()
}

// sendCopy sends one copy of a request. If the response breaks off, it requests the
// rest from the other router.
func (f *fleet) sendCopy(profile, body, key string, via int) copyResult {
	header := http.Header{}
	if key != "" {
		header.Set(gateway.HeaderIdempotencyKey, key)
	}
	result := copyResult{body: body, profile: profile, sent: time.Now()}
	result.first = f.send(context.Background(), via, http.MethodPost, "/services/"+profile+"/x", body, header)
	result.done = time.Now()
	result.received, result.complete = result.first.body, result.first.complete()
	if result.first.status == http.StatusOK && result.first.aborted {
		result.resume(f, 1-via)
	}
	return result
}

func (r *copyResult) resume(f *fleet, via int) {
	r.received = trimErrorEvent(r.received, 0)
	path := "/v1/requests/" + r.first.header.Get(gateway.HeaderRequestID) + "?offset=" + strconv.Itoa(len(r.received))
	rest := f.send(context.Background(), via, http.MethodGet, path, "", nil)
	if rest.status == http.StatusOK {
		r.received = append(r.received, trimErrorEvent(rest.body, len(r.received))...)
		r.complete = rest.complete()
	}
}

var errorEvent = regexp.MustCompile(`data: \{"error":.*"offset":(\d+)`)

// trimErrorEvent removes the gateway's error event from a response that began at offset from.
func trimErrorEvent(b []byte, from int) []byte {
	match := errorEvent.FindSubmatch(b)
	if match == nil {
		return b
	}
	offset, _ := strconv.Atoi(string(match[1]))
	return bytes.Clone(b[:offset-from])
}

// keyState is the state of a request key that its caller can infer.
type keyState int

const (
	keyFresh keyState = iota
	keyRan
	keyNeverRuns // not-run was returned, so it must never run
)

// audit is an operation that reads the number of runs at the end.
type audit struct{ runs int }

// keyModel models a request key: the requests with the key run once in total or never,
// even if copies overlap.
var keyModel = porcupine.Model{
	Init: func() any { return keyFresh },
	Step: func(state, in, out any) (bool, any) {
		s := state.(keyState)
		if a, ok := in.(audit); ok {
			return a.runs == 0 && s != keyRan || a.runs == 1 && s != keyNeverRuns, s
		}
		switch out.(string) {
		case "not-run":
			return s != keyRan, keyNeverRuns
		case "ran":
			return s != keyNeverRuns, keyRan
		default:
			return true, s
		}
	},
}

// Connections break or stall after an arbitrary byte, sidecars restart, routers lose
// all connections, and callers send copies of a booking request through several
// routers meanwhile. A caller must not get not-run for a request that has run or will
// run, a booking must not run twice, and every response must be, byte for byte, the
// one to its request.
func TestVerdictsMatchRuns(t *testing.T) {
	verdictCounts := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var history []copyResult
		var runs map[string]int
		synctest.Test(t, func(*testing.T) { history, runs = runScenario(s) })
		byBody := make(map[string][]copyResult)
		for _, result := range history {
			verdictCounts[result.first.verdict]++
			byBody[result.body] = append(byBody[result.body], result)
			checkResponse(rt, result)
		}
		for body, copies := range byBody {
			if copies[0].profile == booking {
				checkKey(rt, copies, runs[body])
			}
			checkNotRun(rt, copies, runs[body])
		}
	})
	for _, v := range []string{"ran", "not-run", "may-have-run"} {
		if verdictCounts[v] == 0 {
			t.Errorf("no scenario led to %s: %v", v, verdictCounts)
		}
	}
	t.Log(verdictCounts)
}

func checkResponse(t *rapid.T, result copyResult) {
	want := expectedBody(result.body)
	if result.first.status != http.StatusOK {
		return
	}
	if result.complete && !bytes.Equal(result.received, want) {
		t.Fatalf("%s: complete response of %d bytes differs from the expected one of %d", result.body, len(result.received), len(want))
	}
	if !bytes.HasPrefix(want, result.received) {
		t.Fatalf("%s: the %d bytes received are not a prefix of the expected response of %d", result.body, len(result.received), len(want))
	}
}

// checkKey checks the verdicts on the copies of a non-idempotent request against keyModel.
func checkKey(t *rapid.T, copies []copyResult, runs int) {
	if runs > 1 {
		t.Fatalf("%s ran %d times", copies[0].body, runs)
	}
	var ops []porcupine.Operation
	last := int64(0)
	for i, result := range copies {
		out := result.first.verdict
		if result.first.header.Get(gateway.HeaderEarlierAttempts) != "" {
			out = "unknown"
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: "send", Output: out, Call: result.sent.UnixNano(), Return: result.done.UnixNano()})
		last = max(last, result.done.UnixNano())
	}
	ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: audit{runs}, Output: "", Call: last + 1, Return: last + 2})
	if !porcupine.CheckOperations(keyModel, ops) {
		t.Fatalf("%s: the verdicts contradict each other or the number of runs: %v with %d runs", copies[0].body, verdicts(copies), runs)
	}
}

func verdicts(copies []copyResult) []string {
	var out []string
	for _, result := range copies {
		out = append(out, fmt.Sprintf("%v-%v %s/%s", result.sent.UnixMilli(), result.done.UnixMilli(), result.first.verdict, result.first.header.Get(gateway.HeaderReason)))
	}
	return out
}

// checkNotRun checks that nothing has run if every copy of a request got not-run.
// It applies to idempotent requests as well.
func checkNotRun(t *rapid.T, copies []copyResult, runs int) {
	for _, result := range copies {
		if result.first.verdict != "not-run" || result.first.header.Get(gateway.HeaderEarlierAttempts) != "" {
			return
		}
	}
	if runs > 0 {
		t.Fatalf("%s: got not-run, but ran %d times", copies[0].body, runs)
	}
}
