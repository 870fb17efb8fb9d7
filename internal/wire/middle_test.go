package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"flag"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// fault is what a middlebox does to one frame.
type fault string

const (
	drop   fault = "drop"
	repeat fault = "repeat"
	swap   fault = "swap"  // with the next one
	cut    fault = "cut"   // end the connection within the frame
	stall  fault = "stall" // deliver nothing from here on, in this direction
)

// faults maps frame indexes of one direction to faults.
type faults map[int]fault

// middlebox is a faulty proxy between a router and a sidecar, for one connection.
type middlebox struct {
	up, down faults // up: from router to sidecar
}

// join connects the router's end of a connection to the sidecar's end through m.
func (m middlebox) join(router, sidecar net.Conn) {
	go forwardFrames(router, sidecar, m.up)
	go forwardFrames(sidecar, router, m.down)
}

// forwardFrames forwards frames and applies faults. It always reads, so that no
// writer blocks on it.
func forwardFrames(from, to net.Conn, f faults) {
	defer from.Close()
	defer to.Close()
	in := bufio.NewReader(from)
	var delayed []byte
	stalled := false
	for i := 0; ; i++ {
		frame, err := rawFrame(in)
		if err != nil {
			return
		}
		switch f[i] {
		case drop:
			continue
		case repeat:
			frame = append(frame, frame...)
		case swap:
			delayed = append(delayed, frame...)
			continue
		case cut:
			frame = frame[:len(frame)/2]
		case stall:
			stalled = true
		}
		if stalled {
			continue
		}
		frame = append(frame, delayed...)
		delayed = nil
		if _, err := to.Write(frame); err != nil || f[i] == cut {
			return
		}
	}
}

func rawFrame(in *bufio.Reader) ([]byte, error) {
	h, content, err := readFrame(in, 0)
	if err != nil {
		return nil, err
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(h.length))
	frame = append(frame, byte(h.kind))
	frame = binary.BigEndian.AppendUint32(frame, h.number)
	return append(frame, content...), nil
}

// chunk is a part of a response and the pause before it.
type chunk struct {
	size  int
	pause time.Duration
}

// script is an upstream's response to one request, as chunks. Its bytes are derived
// from the request's body, so that a misrouted response is detected.
type script []chunk

func (s script) bytes(body []byte) []byte {
	var out []byte
	for _, c := range s {
		for range c.size {
			out = append(out, body[len(out)%len(body)]+byte(len(out)/len(body)))
		}
	}
	return out
}

// fakeSidecar runs the script of each key once and sends the responses.
type fakeSidecar struct {
	mu        sync.Mutex
	scripts   map[token.Nonce]script
	responses map[token.Nonce][]byte // complete bodies
	available map[token.Nonce]int    // bytes produced so far
	runs      map[token.Nonce]int
	credits   map[*Conn]map[StreamID]chan int64
	noReply   atomic.Bool // no replies to submits
}

func newFakeSidecar() *fakeSidecar {
	return &fakeSidecar{
		scripts:   make(map[token.Nonce]script),
		responses: make(map[token.Nonce][]byte),
		available: make(map[token.Nonce]int),
		runs:      make(map[token.Nonce]int),
		credits:   make(map[*Conn]map[StreamID]chan int64),
	}
}

func (f *fakeSidecar) HandleCall(ctx context.Context, c *Conn, m Method, p Params) (any, error) {
	switch m {
	case MethodSubmit:
		var s Submit
		if err := p.Decode(&s); err != nil {
			return nil, err
		}
		f.run(s)
		f.send(c, Attach{Key: s.Key, Stream: s.Stream, Window: s.Window})
		if f.noReply.Load() {
			<-ctx.Done()
		}
		return Admission{}, nil
	case MethodAttach:
		var a Attach
		if err := p.Decode(&a); err != nil {
			return nil, err
		}
		f.send(c, a)
		return Admission{Joined: true}, nil
	}
	return Hello{VM: "vm"}, nil
}

func (f *fakeSidecar) run(s Submit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := s.Key.Nonce
	if f.responses[id] != nil {
		return
	}
	f.runs[id]++
	chunks := f.scripts[id]
	f.responses[id] = chunks.bytes(s.Call.Body)
	go func() {
		for _, c := range chunks {
			time.Sleep(c.pause)
			f.mu.Lock()
			f.available[id] += c.size
			f.mu.Unlock()
		}
	}()
}

func (f *fakeSidecar) progress(id token.Nonce) (ready int, response []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.available[id], f.responses[id]
}

// send starts to send a response from an offset on, polling for new bytes every few
// milliseconds.
func (f *fakeSidecar) send(c *Conn, a Attach) {
	credits := make(chan int64, 100)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.credits[c] == nil {
		f.credits[c] = make(map[StreamID]chan int64)
	}
	f.credits[c][a.Stream] = credits
	go func() {
		id, offset, upTo := a.Key.Nonce, a.Offset, a.Offset+int64(a.Window)
		err := c.Send(Head{Stream: a.Stream, Nonce: id, Status: 200})
		for err == nil {
			ready, response := f.progress(id)
			if end := min(int64(ready), upTo, offset+1000); end > offset {
				err = c.Send(Data{Stream: a.Stream, Nonce: id, Offset: offset, Bytes: response[offset:end]})
				offset = end
				continue
			}
			if offset == int64(len(response)) {
				_ = c.Send(End{Stream: a.Stream, Nonce: id, Length: offset})
				return
			}
			select {
			case to := <-credits:
				if to < 0 {
					return
				}
				upTo = max(upTo, to)
			case <-time.After(5 * time.Millisecond):
			case <-c.Done():
				return
			}
		}
	}()
}

func (f *fakeSidecar) HandleFrame(c *Conn, fr Frame) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch fr := fr.(type) {
	case Credit:
		if ch := f.credits[c][fr.Stream]; ch != nil {
			ch <- fr.UpTo
		}
	case Detach:
		if ch := f.credits[c][fr.Stream]; ch != nil {
			ch <- -1
		}
	}
}

// testNetwork connects a Peer to a fake sidecar. The first connections go through
// the given middleboxes, all later ones through one without faults.
type testNetwork struct {
	sidecar     *fakeSidecar
	mu          sync.Mutex
	middleboxes []middlebox
	dials       int
}

func (n *testNetwork) dial(context.Context) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials++
	var m middlebox
	if len(n.middleboxes) > 0 {
		m, n.middleboxes = n.middleboxes[0], n.middleboxes[1:]
	}
	router, near := net.Pipe()
	sidecar, far := net.Pipe()
	m.join(near, far)
	NewConn(context.Background(), sidecar, n.sidecar)
	return router, nil
}

// responseReader reads one response for one caller, across connections.
type responseReader struct {
	peer     *Peer
	key      Key
	body     []byte
	window   int
	pause    time.Duration // between pieces
	detachAt []int64       // offsets at which the reader detaches and attaches again

	admitted bool // a submit has been admitted
	heads    int
	got      []byte
}

// read reads to the end of the response, attaching again whenever the stream breaks.
func (r *responseReader) read(ctx context.Context) error {
	for ctx.Err() == nil {
		s, err := r.open(ctx)
		if err != nil {
			if v := verdict.From(err); v.Reason != verdict.ReasonConnection && v.Reason != verdict.ReasonNoUpstream {
				return err
			}
			time.Sleep(100 * time.Millisecond)
			continue
		}
		complete := r.readStream(ctx, s)
		s.Close()
		if complete {
			return nil
		}
	}
	return ctx.Err()
}

func (r *responseReader) open(ctx context.Context) (*Stream, error) {
	if !r.admitted {
		s, _, err := r.peer.Submit(ctx, Submit{Key: r.key, Window: r.window, Call: Call{Body: r.body}})
		r.admitted = err == nil
		return s, err
	}
	a := Attach{Key: r.key, Offset: int64(len(r.got)), Window: r.window, HeadSeen: r.heads > 0}
	s, _, err := r.peer.Attach(ctx, a)
	return s, err
}

// readStream reads until the response ends, the stream breaks or the next offset in
// detachAt is reached. It reports whether the response ended.
func (r *responseReader) readStream(ctx context.Context, s *Stream) bool {
	for {
		p, err := s.Next(ctx)
		switch {
		case err != nil:
			return false
		case p.End != nil:
			return true
		case p.Head != nil:
			r.heads++
		}
		r.got = append(r.got, p.Bytes...)
		time.Sleep(r.pause)
		if len(r.detachAt) > 0 && int64(len(r.got)) >= r.detachAt[0] {
			r.detachAt = r.detachAt[1:]
			return false
		}
	}
}
