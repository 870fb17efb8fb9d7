package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
)

// Traffic parameters, derived from the target fleet: 2.1 M tokens per second at 70 ms per
// token and 7,600 requests per second give 276 tokens and 19.3 s per response; 6.3 M chats
// over 22 models with 345 requests per second each pause for 830 s on average.
const (
	responseSeconds = 19.3 // mean; exponentially distributed
	responseTokens  = 276
	pauseMedian     = 240.0 // seconds; log-normally distributed, 80% under 15 min, 4% over an hour
	pauseSigma      = 1.575
	meanTurns       = 15
	firstPrompt     = 1500 // tokens
	laterPrompt     = 300
	surgeTokens     = 8000 // per chat of a surge
)

// scenario gives the sizes of a pool, its routers and its traffic.
type scenario struct {
	name                          string
	routers, upstreams, liveChats int
	pools                         int // served by each router
	cacheTokens                   int // cache capacity per upstream
	loadMultiple                  float64
	replaceEvery, restartEvery    float64 // intervals in seconds, of an upstream's replacement and a router's restart
	surgeChats                    int
	surgeRate                     float64    // requests per second
	windows                       [4]float64 // durations of warm-up, calm, surge and settling, in seconds
}

// chat is a chat with the state that its caller keeps.
type chat struct {
	id, tokens int
	ticketVM   int     // upstream named by its ticket, or placement.None
	ticketTime float64 // virtual time of the ticket, in seconds
}

func newFleet(p policy, s scenario) *fleet {
	f := &fleet{policy: p, scenario: s, rand: rand.New(rand.NewPCG(1, 2))}
	for range s.upstreams {
		f.join()
	}
	for i := range s.routers {
		f.routers = append(f.routers, &router{load.NewTable(), f.newView(i % domains)})
	}
	for range s.liveChats {
		f.startOngoingChat(f.routers[0].view)
	}
	f.every(1, f.recordSkew)
	f.every(s.replaceEvery, f.replace)
	f.every(s.restartEvery, func() { f.routers[f.rand.IntN(s.routers)].table = load.NewTable() })
	return f
}

// startOngoingChat adds a chat that is in a pause between turns. If it has had turns, its
// prefix is cached at its home upstream.
func (f *fleet) startOngoingChat(v *view) {
	c := &chat{}
	f.reset(c)
	// A random moment is more likely to fall into a long pause, so pauses in progress are
	// longer on average.
	pauseLength := f.randomPause() * math.Exp(pauseSigma*pauseSigma)
	remaining := f.rand.Float64() * pauseLength
	if turns := int(f.rand.ExpFloat64() * meanTurns); turns > 0 {
		c.tokens = firstPrompt + responseTokens + (turns-1)*(laterPrompt+responseTokens)
		c.ticketVM, c.ticketTime = v.vms[v.pool.Home(session(c.id))], remaining-pauseLength
		f.upstreams[c.ticketVM].cache.use(c.id, c.tokens, remaining-pauseLength)
	}
	f.after(remaining, func() { f.turn(c) })
}

// reset replaces c by a new chat.
func (f *fleet) reset(c *chat) {
	*c = chat{id: f.chats, ticketVM: placement.None, ticketTime: math.Inf(-1)}
	f.chats++
}

func (f *fleet) randomPause() float64    { return pauseMedian * math.Exp(pauseSigma*f.rand.NormFloat64()) }
func (f *fleet) randomDuration() float64 { return responseSeconds * f.rand.ExpFloat64() }

// after schedules run in d seconds.
func (f *fleet) after(d float64, run func()) {
	heap.Push(&f.events, event{at: f.seconds + d, run: run})
}

// every schedules run every d seconds.
func (f *fleet) every(d float64, run func()) {
	f.after(d, func() { run(); f.every(d, run) })
}

// runUntil runs the scheduled events up to the virtual time end.
func (f *fleet) runUntil(end float64) {
	for f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.seconds, f.now = e.at, time.UnixMilli(1_000_000_000+int64(e.at*1000))
		e.run()
	}
	f.seconds = end
}

// turn sends a chat's next request and schedules the turn after it, which belongs to the
// same chat or to a new one.
func (f *fleet) turn(c *chat) {
	prompt, duration := firstPrompt, f.randomDuration()
	if c.tokens > 0 {
		prompt = c.tokens + laterPrompt
	}
	if vm := f.send(c, duration); vm != placement.None {
		cached := f.upstreams[vm].cache.use(c.id, prompt+responseTokens, f.seconds)
		f.window.reusable += c.tokens
		f.window.reused += min(cached, c.tokens)
		c.tokens = prompt + responseTokens
	}
	if f.rand.IntN(meanTurns) == 0 {
		f.reset(c)
	}
	f.after(duration+f.randomPause(), func() { f.turn(c) })
}

// send runs a request with a duration in seconds through a random router. It returns the
// index of the upstream that runs it, or placement.None.
func (f *fleet) send(c *chat, duration float64) (vm int) {
	via := f.routers[f.rand.IntN(len(f.routers))]
	if vm = f.request(via, c); vm != placement.None {
		c.ticketVM, c.ticketTime = vm, f.seconds
		f.after(duration, func() {
			f.upstreams[vm].load--
			f.sendReply(via, f.upstreams[vm], true)
		})
	}
	return vm
}

// surgeTurn sends a turn of a random one of chats, which belong to one organisation, and
// schedules the next before end. Their cache reuse is not counted.
func (f *fleet) surgeTurn(chats []chat, end float64) {
	c := &chats[f.rand.IntN(len(chats))]
	if vm := f.send(c, f.randomDuration()); vm != placement.None {
		f.upstreams[vm].cache.use(c.id, surgeTokens, f.seconds)
	}
	if next := f.rand.ExpFloat64() / f.surgeRate; f.seconds+next < end {
		f.after(next, func() { f.surgeTurn(chats, end) })
	}
}

// replace adds an upstream and drains another. Routers receive the change 2 to 8 s later.
func (f *fleet) replace() {
	f.join()
	if f.handOver {
		f.handOverPrefixes()
	}
	f.leave()
	for d := range domains {
		v := f.newView(d)
		for i := d; i < len(f.routers); i += domains {
			f.after(2+6*f.rand.Float64(), func() {
				f.routers[i].view = v
				f.routers[i].table.Keep(v.ids)
			})
		}
	}
}
