package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// stride is how many tokens an engine generates between two looks at its batch: the
// step's time is taken to hold that long.
const stride = 8

// upstream is an engine or a plain service.
type upstream struct {
	fleet   *fleet
	engine  *Engine // nil: a plain service
	id      load.VM
	name    string
	places  int // requests that it works on at a time
	room    int // requests that may wait
	life    int // how often it has crashed
	running int
	queue   []*job
	reading time.Time // when the prompts that are being read have been
	context int       // tokens of the prompts in the batch
	memory  memory
	slow    float64       // how many times slower it works
	refuse  float64       // part of the requests
	rest    time.Duration // that it wants of a router with each refusal
	fail    float64
	hang    float64
}

// job is one request at an upstream.
type job struct {
	call  *call
	life  int // of the upstream
	donor *upstream
	// behind tells that it goes after all jobs for which this is not told.
	behind bool
	first  func()          // its first byte is there
	event  func()          // an event of its answer is there; nil: nobody wants to know
	done   func(well bool) // its answer has ended
}

func newUpstream(f *fleet, i int) *upstream {
	name := fmt.Sprint("upstream-", i)
	u := &upstream{fleet: f, id: load.Hash(name), name: name, slow: 1}
	if p := f.config.Pool.Plain; p != nil {
		u.places, u.room = p.Slots, p.Queue
	}
	if e := f.config.Pool.Engine; e != nil {
		u.engine, u.places, u.room, u.memory = e, e.Batch, e.Queue, newMemory(e.Memory)
	}
	return u
}

// load is the requests at the upstream.
func (u *upstream) load() int { return u.running + len(u.queue) }

func (u *upstream) waiting() int { return len(u.queue) }

// offer hands a request to the upstream, or reports that it is turned away.
func (u *upstream) offer(j *job) bool {
	random := u.fleet.random
	if u.refuse > 0 && random.Float64() < u.refuse {
		return false
	}
	j.life = u.life
	switch {
	case u.fail > 0 && random.Float64() < u.fail:
		u.fleet.clock.after(hop, func() { j.done(false) })
	case u.hang > 0 && random.Float64() < u.hang:
		// nothing comes back
	case u.running < u.places:
		u.begin(j)
	case len(u.queue) < u.room:
		u.queue = append(u.queue, j)
	default:
		return false
	}
	return true
}

func (u *upstream) begin(j *job) {
	u.running++
	if u.engine != nil {
		u.read(j)
		return
	}
	work := u.times(time.Duration(u.fleet.random.ExpFloat64() * float64(u.fleet.config.Pool.Plain.Work)))
	u.after(j, work, func() {
		j.first()
		u.end(j)
	})
}

// times returns how long something takes that usually takes d.
func (u *upstream) times(d time.Duration) time.Duration {
	return time.Duration(u.slow * float64(d))
}

// after lets something happen to a job, unless the upstream has crashed until then or
// its caller has left.
func (u *upstream) after(j *job, d time.Duration, do func()) {
	u.fleet.clock.after(d, func() {
		switch {
		case u.life != j.life:
		case j.call.left:
			u.leave(j)
		default:
			do()
		}
	})
}

// read has an engine get and read what it lacks of a prompt, one prompt at a time, and
// begin the answer.
func (u *upstream) read(j *job) {
	e, c := u.engine, j.call
	held := min(u.memory.held(c.session.id), c.prompt)
	moved := 0
	if j.donor != nil {
		moved = max(0, min(j.donor.memory.held(c.session.id), c.prompt)-held)
	}
	lacks := c.prompt - held - moved
	u.fleet.result.prompt(held, moved, lacks)
	wait := time.Duration(0)
	if moved > 0 {
		wait = e.MoveSetup + milliseconds(float64(moved)/e.MovePerMS)
	}
	now := u.fleet.clock.now
	begins := now.Add(wait)
	if u.reading.After(begins) {
		begins = u.reading
	}
	u.reading = begins.Add(u.times(milliseconds(float64(lacks+c.fresh) / e.PrefillPerMS)))
	u.context += c.prompt
	u.after(j, u.reading.Sub(now)+u.times(e.First), func() {
		u.memory.keep(c.session.id, c.prompt+c.fresh)
		j.first()
		u.generate(j, c.answer)
	})
}

// generate has an engine generate so many tokens more.
func (u *upstream) generate(j *job, tokens int) {
	if tokens <= 0 {
		u.memory.keep(j.call.session.id, j.call.prompt+j.call.fresh+j.call.answer)
		u.end(j)
		return
	}
	e := u.engine
	step := e.Step + time.Duration(u.running)*e.StepPerSlot + time.Duration(float64(u.context)/1000*float64(e.StepPerKToken))
	n := min(stride, tokens)
	u.after(j, u.times(time.Duration(n)*step), func() {
		if j.event != nil {
			j.event()
		}
		u.generate(j, tokens-n)
	})
}

func (u *upstream) end(j *job) {
	u.leave(j)
	j.done(true)
}

// leave frees the place of a job.
func (u *upstream) leave(j *job) {
	u.running--
	u.context = max(0, u.context-j.call.prompt)
	for u.running < u.places && len(u.queue) > 0 {
		at := max(0, slices.IndexFunc(u.queue, func(j *job) bool { return !j.behind }))
		next := u.queue[at]
		u.queue = slices.Delete(u.queue, at, at+1)
		if !next.call.left {
			u.begin(next)
		}
	}
}

// crash loses all that the upstream has.
func (u *upstream) crash() {
	u.life++
	u.running, u.queue, u.context, u.reading = 0, nil, 0, time.Time{}
	if u.engine != nil {
		u.memory = newMemory(u.engine.Memory)
	}
}

func milliseconds(x float64) time.Duration {
	return time.Duration(math.Round(x * float64(time.Millisecond)))
}

// memory is the prompts that an engine keeps, those used last.
type memory struct {
	most    int
	tokens  int
	prompts *simplelru.LRU[uint64, int] // tokens by session
}

func newMemory(most int) memory {
	prompts, err := simplelru.NewLRU[uint64, int](math.MaxInt, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return memory{most: most, prompts: prompts}
}

// held returns how many tokens of a session's prompt are kept.
func (m *memory) held(session uint64) int {
	tokens, _ := m.prompts.Peek(session)
	return tokens
}

// keep keeps a session's prompt and forgets those used longest ago.
func (m *memory) keep(session uint64, tokens int) {
	m.tokens += tokens - m.held(session)
	m.prompts.Add(session, tokens)
	for m.tokens > m.most && m.prompts.Len() > 1 {
		_, oldest, _ := m.prompts.RemoveOldest()
		m.tokens -= oldest
	}
}
