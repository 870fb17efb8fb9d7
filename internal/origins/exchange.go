package origins

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// batchInterval is how long records of streams wait for others to the same router.
	batchInterval = 20 * time.Millisecond
	// askInterval is after which time a question that was not answered is sent again, and
	// askTimeout how long answers are waited for in all.
	askInterval = 50 * time.Millisecond
	askTimeout  = 150 * time.Millisecond
	// maxWaitingAnswers bounds the answers to one question that have not been looked at.
	maxWaitingAnswers = 64
)

// Exchange tells other routers where streams began, and asks them. It is safe for concurrent use.
type Exchange struct {
	table *Table
	peers *Peers
	send  SendFunc // nil: there are no other routers

	mu      sync.Mutex
	pending map[string]*Message // for the next batch, by address
	waiting map[Stream][]chan answer

	stored   atomic.Pointer[Versions] // of which streams are to be kept in the store; nil: not known yet
	toStore  chan struct{}            // gets a value when there are unstored records
	begun    []Stream                 // that are to be passed on to the keeper
	unstored []Record                 // that this router, as the keeper, is to write to the store
	restored []Record                 // read from the store, and not told to the holders of their streams yet
}

// answer is what a router has answered.
type answer struct {
	from    string
	version Version
}

// SendFunc sends a message to the router at an address. It may be lost: a record that is lost costs one of its
// copies, and a question is asked again.
type SendFunc func(addr string, m Message)

// NewExchange returns the Exchange of a router with a name in a failure domain. A nil send means that there are no other
// routers.
func NewExchange(name, domain string, send SendFunc) *Exchange {
	return &Exchange{
		table: NewTable(), peers: NewPeers(name, domain), send: send,
		pending: make(map[string]*Message), waiting: make(map[Stream][]chan answer), toStore: make(chan struct{}, 1),
	}
}

// SetPeers sets the other routers.
func (x *Exchange) SetPeers(peers []Peer) {
	x.peers.Set(peers)
}

// Expire drops old records and returns how many are left.
func (x *Exchange) Expire(now time.Time) int {
	x.table.Expire(now)
	return x.table.Len()
}

// Tell keeps a record and tells it to the holders of its stream, with others of the next moment.
func (x *Exchange) Tell(now time.Time, r Record) {
	x.table.AddOwn(now, r)
	if x.isStored(r.Version) {
		x.passSoon(r.Stream)
	}
	if x.send != nil {
		x.tellHolders(now, r)
	}
}

// tellHolders tells a record to the holders of its stream, with others of the next moment.
func (x *Exchange) tellHolders(now time.Time, r Record) {
	for addr, wantsReply := range x.peers.Tell(now, r.Stream) {
		x.enqueue(addr, r, wantsReply)
	}
}

// enqueue adds a record to the next message to a router.
func (x *Exchange) enqueue(addr string, r Record, wantsReply bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	m := x.pending[addr]
	if m == nil {
		m = &Message{}
		x.pending[addr] = m
		time.AfterFunc(batchInterval, func() { x.flush(addr) })
	}
	m.Records, m.WantsReply = append(m.Records, r), m.WantsReply || wantsReply
}

// flush sends the records that wait for a router.
func (x *Exchange) flush(addr string) {
	x.mu.Lock()
	m := x.pending[addr]
	delete(x.pending, addr)
	x.mu.Unlock()
	for len(m.Records) > MaxRecords {
		x.send(addr, Message{Records: m.Records[:MaxRecords]})
		m.Records = m.Records[MaxRecords:]
	}
	x.send(addr, *m)
}

// Lookup returns at which version a stream began, according to this router or to those that it asks.
// It returns Unknown if none of them knows, or answers in time.
func (x *Exchange) Lookup(ctx context.Context, s Stream) (v Version, asked bool) {
	if v := x.table.Lookup(time.Now(), s); v != Unknown || x.send == nil {
		return v, false
	}
	answers := make(chan answer, maxWaitingAnswers)
	x.addWaiting(s, answers)
	defer x.removeWaiting(s, answers)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return x.ask(ctx, s, answers), true
}

// ask asks other routers for a stream until one knows it, all have answered that they don't, or ctx ends.
func (x *Exchange) ask(ctx context.Context, s Stream, answers <-chan answer) Version {
	unanswered := make(map[string]bool)
	for _, addr := range x.peers.Ask(time.Now(), s) {
		unanswered[addr] = true
	}
	again := time.NewTicker(askInterval)
	defer again.Stop()
	x.sendQuestion(unanswered, s)
	for len(unanswered) > 0 {
		select {
		case a := <-answers:
			if a.version != Unknown {
				return a.version
			}
			delete(unanswered, a.from)
		case <-again.C:
			x.sendQuestion(unanswered, s)
		case <-ctx.Done():
			return Unknown
		}
	}
	return Unknown
}

func (x *Exchange) sendQuestion(to map[string]bool, s Stream) {
	for addr := range to {
		x.send(addr, Message{Asked: []Stream{s}})
	}
}

func (x *Exchange) addWaiting(s Stream, answers chan answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.waiting[s] = append(x.waiting[s], answers)
}

func (x *Exchange) removeWaiting(s Stream, answers chan answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var others []chan answer
	for _, c := range x.waiting[s] {
		if c != answers {
			others = append(others, c)
		}
	}
	if len(others) == 0 {
		delete(x.waiting, s)
	} else {
		x.waiting[s] = others
	}
}

// Handle handles a message of the router at an address.
func (x *Exchange) Handle(now time.Time, from string, b []byte) error {
	m, err := Decode(b)
	if err != nil {
		return err
	}
	x.peers.Heard(now, from)
	for _, r := range m.Records {
		x.table.Add(now, r)
	}
	for _, r := range m.Kept {
		x.table.Add(now, r)
	}
	if len(m.Kept) > 0 {
		x.keep(m.Kept)
	}
	for _, r := range m.Answers {
		x.deliver(from, r)
	}
	if len(m.Asked) == 0 && !m.WantsReply {
		return nil
	}
	var reply Message
	for _, s := range m.Asked[:min(len(m.Asked), MaxRecords)] {
		reply.Answers = append(reply.Answers, Record{Stream: s, Version: x.table.Lookup(now, s)})
	}
	x.send(from, reply)
	return nil
}

// deliver passes an answer to those that wait for it.
func (x *Exchange) deliver(from string, r Record) {
	x.mu.Lock()
	waiting := x.waiting[r.Stream]
	x.mu.Unlock()
	for _, c := range waiting {
		select {
		case c <- answer{from: from, version: r.Version}:
		default: // more than all routers that were asked have answered
		}
	}
}
