package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// tokensPerUpdate is how many tokens an engine generates for a request before the time of a step
// is computed anew from the batch.
const tokensPerUpdate = 8

// upstream is a model engine or a plain service.
type upstream struct {
	fleet         *fleet
	engine        *Engine // nil: a plain service
	id            load.VM
	name          string
	slots         int // requests that run at a time
	maxQueue      int // requests that may wait
	incarnation   int // number of crashes so far
	running       int
	queue         []*job
	prefillEnd    time.Time // end of the prefill of all running requests
	contextTokens int       // prompt tokens of the batch
	cache         promptCache
	slowdown      float64       // factor on all processing times
	refuseShare   float64       // of its requests
	rest          time.Duration // sent to the router with each rejection; 0: none
	failShare     float64
	hangShare     float64
}

// job is one attempt at an upstream.
type job struct {
	call        *call
	incarnation int // of the upstream at its arrival
	donor       *upstream
	// deferred reports whether the job waits until no other job that is not deferred waits.
	deferred    bool
	onFirstByte func()               // called at the first byte of the response
	onEvent     func()               // called at each event of the response; may be nil
	onDone      func(succeeded bool) // called at the end of the response
}

func newUpstream(f *fleet, i int) *upstream {
	name := fmt.Sprint("upstream-", i)
	u := &upstream{fleet: f, id: load.Hash(name), name: name, slowdown: 1}
	if p := f.config.Pool.Plain; p != nil {
		u.slots, u.maxQueue = p.Slots, p.MaxQueue
	}
	if e := f.config.Pool.Engine; e != nil {
		u.engine, u.slots, u.maxQueue, u.cache = e, e.BatchSize, e.MaxQueue, newPromptCache(e.CacheTokens)
	}
	return u
}

// load returns the number of running and waiting requests.
func (u *upstream) load() int { return u.running + len(u.queue) }

func (u *upstream) waiting() int { return len(u.queue) }

// offer runs or queues a job and reports whether the upstream accepts it.
func (u *upstream) offer(j *job) bool {
	random := u.fleet.random
	if u.refuseShare > 0 && random.Float64() < u.refuseShare {
		return false
	}
	j.incarnation = u.incarnation
	switch {
	case u.failShare > 0 && random.Float64() < u.failShare:
		u.fleet.clock.After(hopLatency, func() { j.onDone(false) })
	case u.hangShare > 0 && random.Float64() < u.hangShare:
		// no response
	case u.running < u.slots:
		u.begin(j)
	case len(u.queue) < u.maxQueue:
		u.queue = append(u.queue, j)
	default:
		return false
	}
	return true
}

func (u *upstream) begin(j *job) {
	u.running++
	if u.engine != nil {
		u.prefill(j)
		return
	}
	serviceTime := u.scaled(time.Duration(u.fleet.random.ExpFloat64() * float64(u.fleet.config.Pool.Plain.ServiceTime)))
	u.after(j, serviceTime, func() {
		j.onFirstByte()
		u.finish(j)
	})
}

// scaled returns the processing time d with the current slowdown.
func (u *upstream) scaled(d time.Duration) time.Duration {
	return time.Duration(u.slowdown * float64(d))
}

// after schedules do for a job. It is skipped if the upstream has crashed by then; if the caller
// has left, the job's slot is freed instead.
func (u *upstream) after(j *job, d time.Duration, do func()) {
	u.fleet.clock.After(d, func() {
		switch {
		case u.incarnation != j.incarnation:
		case j.call.abandoned:
			u.release(j)
		default:
			do()
		}
	})
}

// prefill fetches the part of the prompt that the donor has cached, processes what is still
// missing, one prompt at a time, and starts the response.
func (u *upstream) prefill(j *job) {
	e, c := u.engine, j.call
	cached := min(u.cache.cachedTokens(c.session.id), c.promptTokens)
	transferred := 0
	if j.donor != nil {
		transferred = max(0, min(j.donor.cache.cachedTokens(c.session.id), c.promptTokens)-cached)
	}
	missing := c.promptTokens - cached - transferred
	u.fleet.result.recordPrompt(cached, transferred, missing)
	wait := time.Duration(0)
	if transferred > 0 {
		wait = e.TransferSetup + milliseconds(float64(transferred)/e.TransferPerMS)
	}
	now := u.fleet.clock.Now()
	prefillStart := now.Add(wait)
	if u.prefillEnd.After(prefillStart) {
		prefillStart = u.prefillEnd
	}
	u.prefillEnd = prefillStart.Add(u.scaled(milliseconds(float64(missing+c.newTokens) / e.PrefillPerMS)))
	u.contextTokens += c.promptTokens
	u.after(j, u.prefillEnd.Sub(now)+u.scaled(e.FirstTokenDelay), func() {
		u.cache.put(c.session.id, c.promptTokens+c.newTokens)
		j.onFirstByte()
		u.generate(j, c.answerTokens)
	})
}

// generate generates the remaining tokens of a response, then finishes the job.
func (u *upstream) generate(j *job, tokensLeft int) {
	if tokensLeft <= 0 {
		u.cache.put(j.call.session.id, j.call.promptTokens+j.call.newTokens+j.call.answerTokens)
		u.finish(j)
		return
	}
	e := u.engine
	step := e.StepTime + time.Duration(u.running)*e.StepPerSlot + time.Duration(float64(u.contextTokens)/1000*float64(e.StepPerKToken))
	n := min(tokensPerUpdate, tokensLeft)
	u.after(j, u.scaled(time.Duration(n)*step), func() {
		if j.onEvent != nil {
			j.onEvent()
		}
		u.generate(j, tokensLeft-n)
	})
}

func (u *upstream) finish(j *job) {
	u.release(j)
	j.onDone(true)
}

// release frees the slot of a job and starts waiting jobs, deferred ones last.
func (u *upstream) release(j *job) {
	u.running--
	u.contextTokens = max(0, u.contextTokens-j.call.promptTokens)
	for u.running < u.slots && len(u.queue) > 0 {
		index := max(0, slices.IndexFunc(u.queue, func(j *job) bool { return !j.deferred }))
		next := u.queue[index]
		u.queue = slices.Delete(u.queue, index, index+1)
		if !next.call.abandoned {
			u.begin(next)
		}
	}
}

// crash drops all requests and the prompt cache of the upstream.
func (u *upstream) crash() {
	u.incarnation++
	u.running, u.queue, u.contextTokens, u.prefillEnd = 0, nil, 0, time.Time{}
	if u.engine != nil {
		u.cache = newPromptCache(u.engine.CacheTokens)
	}
}

func milliseconds(x float64) time.Duration {
	return time.Duration(math.Round(x * float64(time.Millisecond)))
}

// promptCache holds the prompts of the most recently used sessions, as numbers of tokens.
type promptCache struct {
	capacity        int
	tokens          int
	tokensBySession *simplelru.LRU[uint64, int]
}

func newPromptCache(capacity int) promptCache {
	tokensBySession, err := simplelru.NewLRU[uint64, int](math.MaxInt, nil)
	if err != nil {
		panic(err) // fails only for a size below 1
	}
	return promptCache{capacity: capacity, tokensBySession: tokensBySession}
}

// cachedTokens returns how many tokens of a session's prompt are cached.
func (m *promptCache) cachedTokens(session uint64) int {
	tokens, _ := m.tokensBySession.Peek(session)
	return tokens
}

// put stores a session's prompt and evicts the least recently used ones beyond the capacity.
func (m *promptCache) put(session uint64, tokens int) {
	m.tokens += tokens - m.cachedTokens(session)
	m.tokensBySession.Add(session, tokens)
	for m.tokens > m.capacity && m.tokensBySession.Len() > 1 {
		_, oldest, _ := m.tokensBySession.RemoveOldest()
		m.tokens -= oldest
	}
}
