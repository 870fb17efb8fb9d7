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

// scenario is what befalls a small fleet and its callers.
type scenario struct {
	faults   []fault
	slots    int      // of each upstream
	restarts []moment // of sidecars
	leaves   []moment // planned stops of sidecars
	kills    []moment // of all connections of a router
	callers  []caller
}

// moment is something that happens to one of several.
type moment struct {
	at  time.Duration
	who int
}

// caller sends one request, in several copies if it holds a key for it.
type caller struct {
	profile string
	held    bool
	copies  []moment // when, and through which router
}

const (
	testVMs     = 3
	testRouters = 2
)

func drawScenario(t *rapid.T) scenario {
	bytesUntil := rapid.OneOf(rapid.Just(-1), rapid.IntRange(0, 3000))
	span := rapid.IntRange(0, 600)
	when := func(who int) *rapid.Generator[moment] {
		return rapid.Custom(func(t *rapid.T) moment {
			return moment{at: time.Duration(span.Draw(t, "ms")) * time.Millisecond, who: rapid.IntRange(0, who-1).Draw(t, "who")}
		})
	}
	faults := rapid.Custom(func(t *rapid.T) fault {
		return fault{up: bytesUntil.Draw(t, "up"), down: bytesUntil.Draw(t, "down"), silent: rapid.Bool().Draw(t, "silent")}
	})
	callers := rapid.Custom(func(t *rapid.T) caller {
		c := caller{
			profile: rapid.SampledFrom([]string{booking, clips}).Draw(t, "profile"),
			held:    rapid.Bool().Draw(t, "held"),
			copies:  rapid.SliceOfN(when(testRouters), 1, 3).Draw(t, "copies"),
		}
		if !c.held {
			c.copies = c.copies[:1]
		}
		return c
	})
	return scenario{
		faults:   rapid.SliceOfN(faults, 0, 12).Draw(t, "faults"),
		slots:    rapid.SampledFrom([]int{1, 64}).Draw(t, "slots"),
		leaves:   rapid.SliceOfN(when(testVMs), 0, 1).Draw(t, "leaves"),
		restarts: rapid.SliceOfN(when(testVMs), 0, 2).Draw(t, "restarts"),
		kills:    rapid.SliceOfN(when(testRouters), 0, 2).Draw(t, "kills"),
		callers:  rapid.SliceOfN(callers, 1, 6).Draw(t, "callers"),
	}
}

// arrival is one copy of a request, as its caller saw it.
type arrival struct {
	body       string
	profile    string
	sent, done time.Time
	first      reply
	answer     []byte // with what was resumed
	whole      bool
}

// play runs a scenario and returns the callers' history and the log of runs.
func play(s scenario) ([]arrival, map[string]int) {
	f := newFleet(testVMs, testRouters, s.slots)
	defer f.close()
	keys := make([]string, len(s.callers))
	for i, c := range s.callers {
		if c.held {
			keys[i] = f.mint(0, c.profile)
		}
	}
	f.net.mu.Lock()
	f.net.faults = s.faults
	f.net.mu.Unlock()
	f.net.cut(func(*faultyConn) bool { return true })
	var wg sync.WaitGroup
	for _, m := range s.restarts {
		wg.Go(func() {
			time.Sleep(m.at)
			f.restart(f.vm[m.who])
		})
	}
	for _, m := range s.leaves {
		wg.Go(func() {
			time.Sleep(m.at)
			f.replace(f.vm[m.who])
		})
	}
	for _, m := range s.kills {
		wg.Go(func() {
			time.Sleep(m.at)
			f.net.cut(func(c *faultyConn) bool { return c.router == fmt.Sprintf("router-%d", m.who) })
		})
	}
	var mu sync.Mutex
	var history []arrival
	for i, c := range s.callers {
		for _, m := range c.copies {
			wg.Go(func() {
				time.Sleep(m.at)
				a := f.arrive(c.profile, fmt.Sprintf("request %d", i), keys[i], m.who)
				mu.Lock()
				defer mu.Unlock()
				history = append(history, a)
			})
		}
	}
	wg.Wait()
	time.Sleep(time.Minute) // whatever still runs comes to its end
	return history, f.runs()
}

// arrive sends one copy. If its answer breaks off, the caller asks the other
// router for the rest.
func (f *fleet) arrive(profile, body, key string, via int) arrival {
	header := http.Header{}
	if key != "" {
		header.Set(gateway.HeaderIdempotencyKey, key)
	}
	a := arrival{body: body, profile: profile, sent: time.Now()}
	a.first = f.send(context.Background(), via, http.MethodPost, "/services/"+profile+"/x", body, header)
	a.done = time.Now()
	a.answer, a.whole = a.first.body, a.first.whole()
	if a.first.status == http.StatusOK && a.first.cut {
		a.resume(f, 1-via)
	}
	return a
}

func (a *arrival) resume(f *fleet, via int) {
	a.answer = upToError(a.answer, 0)
	path := "/v1/requests/" + a.first.header.Get(gateway.HeaderRequestID) + "?offset=" + strconv.Itoa(len(a.answer))
	rest := f.send(context.Background(), via, http.MethodGet, path, "", nil)
	if rest.status == http.StatusOK {
		a.answer = append(a.answer, upToError(rest.body, len(a.answer))...)
		a.whole = rest.whole()
	}
}

var errorEvent = regexp.MustCompile(`data: \{"error":.*"offset":(\d+)`)

// upToError takes the gateway's error event off an answer that began at from.
func upToError(b []byte, from int) []byte {
	found := errorEvent.FindSubmatch(b)
	if found == nil {
		return b
	}
	offset, _ := strconv.Atoi(string(found[1]))
	return bytes.Clone(b[:offset-from])
}

// keyState is what may be true of a request key.
type keyState int

const (
	keyFresh keyState = iota
	keyRan
	keyDead // answered not-run, for good
)

// audit is an operation that reads the upstreams' log at the end.
type audit struct{ runs int }

// keyModel is a request key as its caller may think of it: it runs or does not,
// once for all, whatever copies of the request say or how they overlap.
var keyModel = porcupine.Model{
	Init: func() any { return keyFresh },
	Step: func(state, in, out any) (bool, any) {
		s := state.(keyState)
		if a, ok := in.(audit); ok {
			return a.runs == 0 && s != keyRan || a.runs == 1 && s != keyDead, s
		}
		switch out.(string) {
		case "not-run":
			return s != keyRan, keyDead
		case "ran":
			return s != keyDead, keyRan
		default:
			return true, s
		}
	},
}

// A guest's booking request crosses a fleet in which connections break or go
// silent after any byte, sidecars restart and routers lose all connections,
// and the guest's app sends copies of it through other routers meanwhile. The
// guest must not hear "not run" of what has run or will, find two bookings, or
// get an answer that is not, byte for byte, the one to this request.
func TestCallersAreToldTheTruth(t *testing.T) {
	seen := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var history []arrival
		var runs map[string]int
		synctest.Test(t, func(*testing.T) { history, runs = play(s) })
		byBody := make(map[string][]arrival)
		for _, a := range history {
			seen[a.first.verdict]++
			byBody[a.body] = append(byBody[a.body], a)
			checkAnswer(rt, a)
		}
		for body, arrivals := range byBody {
			if arrivals[0].profile == booking {
				checkKey(rt, arrivals, runs[body])
			}
			checkNotRun(rt, arrivals, runs[body])
		}
	})
	for _, v := range []string{"ran", "not-run", "may-have-run"} {
		if seen[v] == 0 {
			t.Errorf("no scenario led to %s: %v", v, seen)
		}
	}
	t.Log(seen)
}

func checkAnswer(t *rapid.T, a arrival) {
	want := expected(a.body)
	if a.first.status != http.StatusOK {
		return
	}
	if a.whole && !bytes.Equal(a.answer, want) {
		t.Fatalf("%s: %d bytes as whole are not the answer's %d", a.body, len(a.answer), len(want))
	}
	if !bytes.HasPrefix(want, a.answer) {
		t.Fatalf("%s: %d bytes are not the first of the answer's %d", a.body, len(a.answer), len(want))
	}
}

// checkKey checks the copies of what must not run twice against the model.
func checkKey(t *rapid.T, arrivals []arrival, runs int) {
	if runs > 1 {
		t.Fatalf("%s ran %d times", arrivals[0].body, runs)
	}
	var ops []porcupine.Operation
	last := int64(0)
	for i, a := range arrivals {
		out := a.first.verdict
		if a.first.header.Get(gateway.HeaderEarlierAttempts) != "" {
			out = "unknown"
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: "send", Output: out, Call: a.sent.UnixNano(), Return: a.done.UnixNano()})
		last = max(last, a.done.UnixNano())
	}
	ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: audit{runs}, Output: "", Call: last + 1, Return: last + 2})
	if !porcupine.CheckOperations(keyModel, ops) {
		t.Fatalf("%s: the verdicts do not fit together: %v with %d runs", arrivals[0].body, verdicts(arrivals), runs)
	}
}

func verdicts(arrivals []arrival) []string {
	var out []string
	for _, a := range arrivals {
		out = append(out, fmt.Sprintf("%v-%v %s/%s", a.sent.UnixMilli(), a.done.UnixMilli(), a.first.verdict, a.first.header.Get(gateway.HeaderReason)))
	}
	return out
}

// checkNotRun holds for idempotent requests as well: if all that a caller was
// told is not-run, nothing has run.
func checkNotRun(t *rapid.T, arrivals []arrival, runs int) {
	for _, a := range arrivals {
		if a.first.verdict != "not-run" || a.first.header.Get(gateway.HeaderEarlierAttempts) != "" {
			return
		}
	}
	if runs > 0 {
		t.Fatalf("%s: not-run, and ran %d times", arrivals[0].body, runs)
	}
}
