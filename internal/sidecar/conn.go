package sidecar

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

func (s *Sidecar) accept(c net.Conn) {
	s.mu.Lock()
	conn := wire.NewConn(s.ctx, c, s)
	s.connCount++
	id, _ := secure.PeerOf(c)
	s.conns[conn] = &peerConn{
		peer:    config.Peer(strconv.FormatUint(s.connCount, 10)),
		role:    id.Role,
		senders: make(map[wire.StreamID]*sender),
	}
	s.mu.Unlock()
	conn.MonitorPeer(wire.ReaderTiming(), func() bool { return s.isSending(conn) })
	s.postPeers()
	go func() {
		<-conn.Done()
		s.dropConn(conn)
	}()
}

func (s *Sidecar) dropConn(conn *wire.Conn) {
	s.mu.Lock()
	for _, snd := range s.conns[conn].senders {
		snd.stop()
	}
	delete(s.conns, conn)
	s.mu.Unlock()
	s.postPeers()
}

// isSending reports whether a response is being sent over conn.
func (s *Sidecar) isSending(conn *wire.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pc := s.conns[conn]
	return pc != nil && len(pc.senders) > 0
}

// isPermitted reports whether a peer with a role may call a method. A sidecar runs
// beside an upstream, which executes code of third parties. An attacker that obtains a
// sidecar's certificate there must not be able to run requests on other upstreams.
func isPermitted(role secure.Role, m wire.Method) bool {
	switch role {
	case secure.RoleSidecar:
		return m == wire.MethodHello || m == wire.MethodImport || m == wire.MethodJoined
	case secure.RoleRouter:
		return m != wire.MethodImport && m != wire.MethodJoined
	default:
		return true // without TLS the role of the peer is unknown
	}
}

// authorize returns an error if the peer of a connection may not call a method. The
// peer of a closed connection is unknown, so it may call none.
func (s *Sidecar) authorize(c *wire.Conn, m wire.Method) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	pc := s.conns[c]
	if pc == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonConnection, "the connection has ended")
	}
	if !isPermitted(pc.role, m) {
		forbiddenCalls.Inc()
		return verdict.New(verdict.NotRun, verdict.ReasonForbidden, "a %s may not call %s here", pc.role, m)
	}
	return nil
}

// HandleCall implements wire.Handler.
func (s *Sidecar) HandleCall(ctx context.Context, c *wire.Conn, m wire.Method, params wire.Params) (any, error) {
	if err := s.authorize(c, m); err != nil {
		return nil, err
	}
	switch m {
	case wire.MethodHello:
		return s.hello(ctx)
	case wire.MethodSubmit:
		return withParams(params, func(p wire.Submit) (any, error) { return s.submit(ctx, c, p) })
	case wire.MethodAttach:
		return withParams(params, func(p wire.Attach) (any, error) { return s.attach(ctx, c, p) })
	case wire.MethodCancel:
		return withParams(params, func(p wire.Cancel) (any, error) {
			return s.admission(ctx, func(t Ticket) Event { return Cancelled{Now: time.Now(), Ticket: t, Cancel: p} })
		})
	case wire.MethodStatus:
		return withParams(params, func(p wire.StatusRequest) (any, error) { return s.status(ctx, p) })
	case wire.MethodNotice:
		return withParams(params, func(p wire.Notice) (any, error) {
			return s.admission(ctx, func(t Ticket) Event { return NoticeReceived{Now: time.Now(), Ticket: t, Notice: p} })
		})
	case wire.MethodReport:
		return withParams(params, func(p wire.Report) (any, error) {
			return s.admission(ctx, func(t Ticket) Event { return ReportReceived{Now: time.Now(), Ticket: t, Report: p} })
		})
	case wire.MethodConfigSince:
		return withParams(params, func(p wire.ConfigSince) (any, error) { return s.configSince(ctx, c, p) })
	case wire.MethodOrder:
		return withParams(params, func(p wire.Order) (any, error) { return s.order(ctx, p) })
	case wire.MethodJoined:
		return withParams(params, func(p wire.Joined) (any, error) {
			s.loop.Post(VMJoined{Now: time.Now(), VM: p.VM})
			return wire.Empty{}, nil
		})
	case wire.MethodImport:
		return withParams(params, func(p wire.Import) (any, error) { return s.importPrefix(ctx, p) })
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "unknown method %q", m)
}

// hello returns the identity of the sidecar, its load and whether it admits new
// requests.
func (s *Sidecar) hello(ctx context.Context) (any, error) {
	a, err := s.admission(ctx, func(t Ticket) Event { return HelloReceived{Now: time.Now(), Ticket: t} })
	if err != nil {
		return nil, err
	}
	c := s.config.Settings
	return wire.Hello{VM: c.VM, Incarnation: c.Incarnation, Control: a.Control}, nil
}

// withParams decodes the parameters of a call and calls f with them.
func withParams[P any](params wire.Params, f func(P) (any, error)) (any, error) {
	var p P
	if err := params.Decode(&p); err != nil {
		return nil, err
	}
	return f(p)
}

// HandleFrame implements wire.Handler.
func (s *Sidecar) HandleFrame(c *wire.Conn, f wire.Frame) {
	switch f := f.(type) {
	case wire.Credit:
		if snd := s.senderOf(c, f.Stream); snd != nil {
			snd.grant(f.UpTo)
		}
	case wire.Detach:
		if snd := s.senderOf(c, f.Stream); snd != nil {
			snd.stop()
		}
	}
}

func (s *Sidecar) senderOf(c *wire.Conn, id wire.StreamID) *sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pc := s.conns[c]; pc != nil {
		return pc.senders[id]
	}
	return nil
}

func (s *Sidecar) submit(ctx context.Context, c *wire.Conn, sub wire.Submit) (any, error) {
	span := s.spans.begin(&sub)
	from := s.peerOf(c)
	a, err := s.admission(ctx, func(t Ticket) Event {
		return Submitted{Now: time.Now(), Ticket: t, Peer: from, Submit: sub}
	})
	s.spans.replied(sub.Key.Nonce, span, a, err)
	if err != nil || a.Error != nil {
		return a, err
	}
	s.sendResponse(c, wire.Attach{Key: sub.Key, Org: sub.Org, Stream: sub.Stream, Window: sub.Window}, &a)
	return a, nil
}

func (s *Sidecar) attach(ctx context.Context, c *wire.Conn, p wire.Attach) (any, error) {
	a, err := s.admission(ctx, func(t Ticket) Event { return Attached{Now: time.Now(), Ticket: t, Attach: p} })
	if err != nil || a.Error != nil {
		return a, err
	}
	s.sendResponse(c, p, &a)
	return a, nil
}

// sendResponse starts sending a response to a router, or sets adm.Error if it is no
// longer buffered.
func (s *Sidecar) sendResponse(c *wire.Conn, p wire.Attach, adm *wire.Admission) {
	n := p.Key.Nonce
	rb := s.responses.get(n)
	if rb == nil || p.Offset < 0 {
		adm.Error = errResponseGone()
		return
	}
	snd := newSender(connFrames{conn: c, attach: p}, rb, p)
	change, ok := rb.addReader(snd, p.Offset)
	if !ok {
		adm.Error = errResponseGone()
		return
	}
	s.postReaders(change)
	s.addSender(c, p.Stream, snd)
	go func() {
		delivered := snd.send()
		s.removeSender(c, p.Stream)
		s.postReaders(rb.removeReader(snd, delivered))
	}()
}

func errResponseGone() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonAnswerGone, "the answer is no longer held")
}

// postReaders posts a change of readers to the reducer.
func (s *Sidecar) postReaders(r ReadersChanged) {
	r.Now = time.Now()
	s.loop.Post(r)
}

// addSender registers a sender, so that it receives credit for its stream. If the
// connection has ended, it stops the sender.
func (s *Sidecar) addSender(c *wire.Conn, id wire.StreamID, snd *sender) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pc := s.conns[c]; pc != nil {
		pc.senders[id] = snd
		return
	}
	snd.stop() // the connection has ended
}

func (s *Sidecar) removeSender(c *wire.Conn, id wire.StreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pc := s.conns[c]; pc != nil {
		delete(pc.senders, id)
	}
}

func (s *Sidecar) status(ctx context.Context, p wire.StatusRequest) (any, error) {
	e, err := s.ask(ctx, func(t Ticket) Event { return StatusRequested{Now: time.Now(), Ticket: t, Status: p} })
	if err != nil {
		return nil, err
	}
	reply := e.(ReplyStatus)
	if reply.Error != nil {
		return nil, reply.Error
	}
	if rb := s.responses.get(reply.Nonce); rb != nil {
		reply.Status.Length = rb.length()
	}
	return reply.Status, nil
}

// connFrames sends the frames of one stream over a connection.
type connFrames struct {
	conn   *wire.Conn
	attach wire.Attach
}

func (f connFrames) head(h *responseHead) error {
	return f.conn.Send(wire.Head{Stream: f.attach.Stream, Nonce: f.attach.Key.Nonce, Status: h.status, Header: h.header})
}

func (f connFrames) data(offset int64, b []byte) error {
	return f.conn.Send(wire.Data{Stream: f.attach.Stream, Nonce: f.attach.Key.Nonce, Offset: offset, Bytes: b})
}

func (f connFrames) end(length int64, e Finish) error {
	return f.conn.Send(wire.End{
		Stream:  f.attach.Stream,
		Nonce:   f.attach.Key.Nonce,
		Length:  length,
		Error:   e.Error,
		Moved:   e.Moved,
		Control: e.Control,
	})
}
