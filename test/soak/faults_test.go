package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// trouble befalls the fleet for some time and is over when it returns.
type trouble struct {
	name    string
	planned bool
	strike  func(w *world)
}

var troubles = []trouble{
	{"configuration", true, (*world).reconfigure},
	{"configurations in quick succession", true, (*world).reconfigureOften},
	{"runner leaves", true, (*world).leave},
	{"runner says that it leaves", true, (*world).leaveByAnswers},
	{"runner joins", true, (*world).join},
	{"failure domain is drained", true, (*world).drainDomain},
	{"router stops", true, (*world).stopRouter},
	{"settings reload", true, (*world).reload},
	{"router is killed", false, (*world).killRouter},
	{"router stands still", false, (*world).pauseRouter},
	{"store is away for a router", false, (*world).cutStore},
	{"store refuses", false, (*world).refuseStore},
	{"answers of the store are lost", false, (*world).loseStoreAnswers},
	{"store comes back from an older copy", false, (*world).restoreStore},
	{"store forgets its history", false, func(w *world) { w.store.Compact() }},
	{"way to a runner", false, (*world).cutRunner},
	{"runner crashes", false, (*world).crashRunner},
	{"runner starts again", false, (*world).restartRunner},
	{"runner wants rest", false, (*world).rest},
	{"entries of others", false, (*world).writeForeignEntries},
	{"answers of runners", false, (*world).spoilAnswers},
}

// befall lets troubles befall the fleet until stop, several at a time, and waits for
// the last to be over.
func (w *world) befall(stop <-chan struct{}) {
	var open sync.WaitGroup
	for !over(stop) {
		tr := troubles[w.intN(len(troubles))]
		if w.planned && !tr.planned {
			continue
		}
		w.mu.Lock()
		w.faults[tr.name]++
		w.mu.Unlock()
		open.Go(func() { tr.strike(w) })
		time.Sleep(w.between(20*time.Millisecond, 500*time.Millisecond))
	}
	open.Wait()
	w.running.Wait()
}

func (w *world) reconfigure() {
	w.change(func(c *configuration) {
		c.routes = append(c.routes, route(fmt.Sprint("g", c.version), generation(c.version), "idempotent", map[string]any{"anonymous": true}))
		switch {
		case len(c.keys) < 3:
			key := fmt.Sprint("key-", c.version)
			c.keys = append(c.keys, key)
		default: // the first is the callers'
			w.revoked[c.keys[1]] = c.version
			c.keys = slices.Delete(c.keys, 1, 2)
		}
	})
}

func (w *world) reconfigureOften() {
	for range 5 {
		w.reconfigure()
		time.Sleep(w.between(time.Millisecond, 60*time.Millisecond))
	}
}

// leave lets a runner leave as planned, if enough are left.
func (w *world) leave() {
	live := w.liveRunners()
	if len(live) <= 2 {
		return
	}
	r := live[w.intN(len(live))]
	w.announce(r, "draining")
	w.markLeft(r)
	time.Sleep(2 * configBound)
	w.store.Remove("servers", r.ID)
}

// leaveByAnswers lets a runner leave whose answers tell it first. Its entry goes on saying that
// it is ready, as late heartbeats do, and says otherwise later.
func (w *world) leaveByAnswers() {
	live := w.liveRunners()
	if len(live) <= 2 {
		return
	}
	r := live[w.intN(len(live))]
	r.saysLeaving.Store(true)
	r.SetExtraHeaders(leavingLine)
	time.Sleep(w.between(10*time.Millisecond, time.Second))
	w.announce(r, "ready")
	time.Sleep(w.between(10*time.Millisecond, 2*time.Second))
	w.announce(r, "draining")
	w.markLeft(r)
	time.Sleep(2 * configBound)
	w.store.Remove("servers", r.ID)
}

// rests are what runners that turn requests away say of the rest that they want, in seconds.
// The last three make no sense.
var rests = []string{"0.6", "1", "1.7", "3", "", "-1", "soon"}

// rest lets a runner turn all requests away for a moment, and want rest.
func (w *world) rest() {
	live := w.liveRunners()
	if len(live) <= 2 {
		return
	}
	r := live[w.intN(len(live))]
	seconds := rests[w.intN(len(rests))]
	r.wants.Store(&seconds)
	time.Sleep(w.between(50*time.Millisecond, 1500*time.Millisecond))
	r.wants.Store(nil)
}

func (w *world) markLeft(r *runner) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.left.IsZero() {
		r.left = time.Now()
	}
}

// drained is the platform's kind of orders to empty a failure domain.
const drained = "evacuations"

// drainDomain orders that the runners of a failure domain get nothing, and takes that back.
func (w *world) drainDomain() {
	zone := zones[w.intN(len(zones))]
	w.store.Put(drained, zone, map[string]any{})
	time.Sleep(w.between(200*time.Millisecond, 2*time.Second))
	w.store.Remove(drained, zone)
}

func (w *world) join() {
	if len(w.liveRunners()) < 2*runnersAtStart {
		_, err := w.newRunner()
		if err != nil {
			w.t.Error(err)
		}
	}
}

func (w *world) anEntry() *entry { return w.entries[w.intN(len(w.entries))] }

// stopRouter stops a router as planned and starts it again.
func (w *world) stopRouter() {
	if !w.turns.TryLock() {
		return
	}
	defer w.turns.Unlock()
	e := w.anEntry()
	e.signal(syscall.SIGTERM)
	if !e.ended(grace) {
		if w.planned {
			w.t.Errorf("%s runs %v after SIGTERM", e.name, grace)
		}
		e.signal(syscall.SIGKILL)
		e.ended(grace)
	}
	w.must2(e.start())
	w.eventually(e.name+" is ready after a planned stop", e.ready)
}

// must2 is must for goroutines that are not the test's own.
func (w *world) must2(err error) {
	if err != nil {
		w.t.Error(err)
	}
}

func (w *world) reload() {
	e := w.anEntry()
	w.must2(e.settings(2 + float64(w.intN(10))/10))
	e.signal(syscall.SIGHUP)
}

func (w *world) killRouter() {
	if !w.turns.TryLock() {
		return
	}
	defer w.turns.Unlock()
	e := w.anEntry()
	e.signal(syscall.SIGKILL)
	e.signal(syscall.SIGCONT)
	e.ended(grace)
	time.Sleep(w.between(time.Millisecond, time.Second))
	w.must2(e.start())
}

func (w *world) pauseRouter() {
	e := w.anEntry()
	began := time.Now()
	e.signal(syscall.SIGSTOP)
	time.Sleep(w.between(100*time.Millisecond, 3*time.Second))
	e.signal(syscall.SIGCONT)
	e.stoodStill(span{began, time.Now()})
}

// cutStore turns the way from one router to the store.
func (w *world) cutStore() {
	e := w.anEntry()
	e.store.turn(way(1 + w.intN(int(wayCount)-1)))
	time.Sleep(w.between(200*time.Millisecond, 3*time.Second))
	e.store.turn(through)
}

// refuseStore lets the store refuse everybody.
func (w *world) refuseStore() {
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[w.intN(2)]
	w.store.SetOutage(func(string) int { return status })
	time.Sleep(w.between(200*time.Millisecond, 2*time.Second))
	w.store.SetOutage(nil)
}

// lapse is after how long without a heartbeat the store drops a runner's entry.
const lapse = 3600 * time.Millisecond

// restoreStore lets the store go away for a moment and come back from a copy that is up to
// two seconds old. Its writers find out one after the other, and the entries of runners that
// are gone lapse again.
func (w *world) restoreStore() {
	if !w.drill.TryLock() {
		return
	}
	defer w.drill.Unlock()
	c := w.store.Snapshot()
	time.Sleep(w.between(10*time.Millisecond, 2*time.Second))
	w.store.SetOutage(func(string) int { return http.StatusServiceUnavailable })
	time.Sleep(w.between(10*time.Millisecond, time.Second))
	lost := w.store.Snapshot()
	w.store.Restore(c)
	w.store.SetOutage(nil)
	for _, kind := range []string{"config", drained, "servers"} {
		time.Sleep(w.between(time.Millisecond, 300*time.Millisecond))
		w.store.RewriteLost(c, lost, kind)
	}
	w.store.RemoveRestored(c, lost, drained)
	time.Sleep(lapse)
	w.store.RemoveRestored(c, lost, "servers")
}

func (w *world) loseStoreAnswers() { w.store.LoseWriteResponses(1 + w.intN(3)) }

func (w *world) cutRunner() {
	live := w.liveRunners()
	r := live[w.intN(len(live))]
	r.proxy.turn(way(1 + w.intN(int(wayCount)-1)))
	time.Sleep(w.between(100*time.Millisecond, 2*time.Second))
	r.proxy.turn(through)
}

// crashRunner ends a runner without a word. Its entry lapses later.
func (w *world) crashRunner() {
	live := w.liveRunners()
	if len(live) <= 2 {
		return
	}
	r := live[w.intN(len(live))]
	r.proxy.turn(refused)
	_ = r.Close()
	time.Sleep(w.between(100*time.Millisecond, time.Second))
	w.markLeft(r)
	w.store.Remove("servers", r.ID)
	w.join()
}

// restartRunner ends a runner without a word and starts it again under its id. The
// store may do a heartbeat of its former life after the first of the present one.
func (w *world) restartRunner() {
	live := w.liveRunners()
	if len(live) <= 2 {
		return
	}
	former := live[w.intN(len(live))]
	w.markLeft(former)
	former.proxy.turn([]way{refused, silent}[w.intN(2)])
	_ = former.Close()
	time.Sleep(w.between(10*time.Millisecond, time.Second))
	present, err := w.startRunner(former.ID)
	if err != nil {
		w.t.Error(err)
		return
	}
	if w.intN(2) == 0 {
		time.Sleep(w.between(time.Millisecond, 300*time.Millisecond))
		w.announce(former, "ready")
		time.Sleep(w.between(time.Millisecond, time.Second))
		w.renew(present)
	}
}

// renew writes the entry of a runner anew, unless it has left meanwhile.
func (w *world) renew(r *runner) {
	w.mu.Lock()
	left := !r.left.IsZero()
	w.mu.Unlock()
	if !left {
		w.announce(r, "ready")
	}
}

// writeForeignEntries writes what no runner writes among their entries, and for a
// while in place of one of theirs.
func (w *world) writeForeignEntries() {
	specs := []any{"?", 7, map[string]any{}, map[string]any{"service": "llm", "address": "127.0.0.1:9", "state": "ready"}}
	spec := specs[w.intN(len(specs))]
	w.store.Put("servers", fmt.Sprint("other-", w.intN(3)), spec)
	live := w.liveRunners()
	if len(live) <= 2 {
		return
	}
	r := live[w.intN(len(live))]
	w.store.Put("servers", r.ID, spec)
	time.Sleep(w.between(time.Millisecond, time.Second))
	w.renew(r)
}

func (w *world) spoilAnswers() {
	c := w.intN(int(chanceCount))
	w.setChance(c, true)
	time.Sleep(w.between(200*time.Millisecond, 2*time.Second))
	w.setChance(c, false)
}

func (w *world) setChance(c int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.chances[c] = on
}
