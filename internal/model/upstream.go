package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// tokensPerUpdate is how many tokens an engine generates between two looks at its batch: the
// step's time is taken to hold that long.
const tokensPerUpdate = 8

// upstream is an engine or a plain service.
type upstream struct {
	fleet         *fleet
	engine        *Engine // nil: a plain service
	id            load.VM
	name          string
	slots         int // requests that it works on at a time
	maxQueue      int // requests that may wait
	incarnation   int // how often it has crashed
	running       int
	queue         []*job
	prefillEnd    time.Time // when the prompts that are being read have been
	contextTokens int       // tokens of the prompts in the batch
	cache         promptCache
	slowdown      float64       // how many times slower it works
	refuseShare   float64       // part of the requests
	rest          time.Duration // that it wants of a router with each refusal
	failShare     float64
	hangShare     float64
}

// job is one request at an upstream.
type job struct {
	call        *call
	incarnation int // of the upstream
	donor       *upstream
	// deferred tells that it goes after all jobs for which this is not told.
	deferred    bool
	onFirstByte func()               // its first byte is there
	onEvent     func()               // an event of its answer is there; nil: nobody wants to know
	onDone      func(succeeded bool) // its answer has ended
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

// load is the requests at the upstream.
func (u *upstream) load() int { return u.running + len(u.queue) }

func (u *upstream) waiting() int { return len(u.queue) }

// offer hands a request to the upstream, or reports that it is turned away.
func (u *upstream) offer(j *job) bool {
	random := u.fleet.random
	if u.refuseShare > 0 && random.Float64() < u.refuseShare {
		return false
	}
	j.incarnation = u.incarnation
	switch {
	case u.failShare > 0 && random.Float64() < u.failShare:
		u.fleet.clock.after(hopLatency, func() { j.onDone(false) })
	case u.hangShare > 0 && random.Float64() < u.hangShare:
		// nothing comes back
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

// scaled returns how long something takes that usually takes d.
func (u *upstream) scaled(d time.Duration) time.Duration {
	return time.Duration(u.slowdown * float64(d))
}

// after lets something happen to a job, unless the upstream has crashed until then or
// its caller has left.
func (u *upstream) after(j *job, d time.Duration, do func()) {
	u.fleet.clock.after(d, func() {
		switch {
		case u.incarnation != j.incarnation:
		case j.call.abandoned:
			u.release(j)
		default:
			do()
		}
	})
}

// prefill has an engine get and prefill what it lacks of a prompt, one prompt at a time, and
// begin the answer.
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
	now := u.fleet.clock.now
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

// generate has an engine generate so many tokens more.
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

// release frees the place of a job.
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

// crash loses all that the upstream has.
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

// promptCache is the prompts that an engine keeps, those used last.
type promptCache struct {
	capacity        int
	tokens          int
	tokensBySession *simplelru.LRU[uint64, int] // tokens by session
}

func newPromptCache(capacity int) promptCache {
	tokensBySession, err := simplelru.NewLRU[uint64, int](math.MaxInt, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return promptCache{capacity: capacity, tokensBySession: tokensBySession}
}

// cachedTokens returns how many tokens of a session's prompt are kept.
func (m *promptCache) cachedTokens(session uint64) int {
	tokens, _ := m.tokensBySession.Peek(session)
	return tokens
}

// put keeps a session's prompt and forgets those used longest ago.
func (m *promptCache) put(session uint64, tokens int) {
	m.tokens += tokens - m.cachedTokens(session)
	m.tokensBySession.Add(session, tokens)
	for m.tokens > m.capacity && m.tokensBySession.Len() > 1 {
		_, oldest, _ := m.tokensBySession.RemoveOldest()
		m.tokens -= oldest
	}
}
