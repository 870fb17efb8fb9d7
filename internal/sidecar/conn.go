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
	s.peers++
	id, _ := secure.PeerOf(c)
	s.conns[conn] = &routerConn{
		peer:    config.Peer(strconv.FormatUint(s.peers, 10)),
		role:    id.Role,
		senders: make(map[wire.StreamID]*sender),
	}
	s.mu.Unlock()
	conn.MonitorPeer(wire.ReaderTiming(), func() bool { return s.reads(conn) })
	s.peersChanged()
	go func() {
		<-conn.Done()
		s.drop(conn)
	}()
}

func (s *Sidecar) drop(conn *wire.Conn) {
	s.mu.Lock()
	for _, sender := range s.conns[conn].senders {
		sender.stop()
	}
	delete(s.conns, conn)
	s.mu.Unlock()
	s.peersChanged()
}

// reads reports whether an answer is being sent over conn.
func (s *Sidecar) reads(conn *wire.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.conns[conn]
	return r != nil && len(r.senders) > 0
}

// permits reports whether a peer of a role may make a call. A sidecar runs
// beside an upstream, which runs what others have written: what gets hold of
// one sidecar's certificate must not run work on all other upstreams.
func permits(r secure.Role, m wire.Method) bool {
	switch r {
	case secure.RoleSidecar:
		return m == wire.MethodHello || m == wire.MethodImport || m == wire.MethodJoined
	case secure.RoleRouter:
		return m != wire.MethodImport && m != wire.MethodJoined
	default:
		return true // without TLS nobody says who it is
	}
}

// admits returns an error for a call that the peer of a connection may not make.
// The peer of one that has ended is not known any more, so it may make none.
func (s *Sidecar) admits(c *wire.Conn, m wire.Method) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.conns[c]
	if r == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonConnection, "the connection has ended")
	}
	if !permits(r.role, m) {
		forbiddenCalls.Inc()
		return verdict.New(verdict.NotRun, verdict.ReasonForbidden, "a %s may not call %s here", r.role, m)
	}
	return nil
}

// HandleCall implements wire.Handler.
func (s *Sidecar) HandleCall(ctx context.Context, c *wire.Conn, m wire.Method, params wire.Params) (any, error) {
	if err := s.admits(c, m); err != nil {
		return nil, err
	}
	switch m {
	case wire.MethodHello:
		return s.hello(ctx)
	case wire.MethodSubmit:
		return serve(params, func(p wire.Submit) (any, error) { return s.submit(ctx, c, p) })
	case wire.MethodAttach:
		return serve(params, func(p wire.Attach) (any, error) { return s.attach(ctx, c, p) })
	case wire.MethodCancel:
		return serve(params, func(p wire.Cancel) (any, error) {
			return s.admission(ctx, func(t Ticket) Event { return Cancelled{Now: time.Now(), Ticket: t, Cancel: p} })
		})
	case wire.MethodStatus:
		return serve(params, func(p wire.StatusRequest) (any, error) { return s.status(ctx, p) })
	case wire.MethodNotice:
		return serve(params, func(p wire.Notice) (any, error) {
			return s.admission(ctx, func(t Ticket) Event { return Noticed{Now: time.Now(), Ticket: t, Notice: p} })
		})
	case wire.MethodReport:
		return serve(params, func(p wire.Report) (any, error) {
			return s.admission(ctx, func(t Ticket) Event { return Reported{Now: time.Now(), Ticket: t, Report: p} })
		})
	case wire.MethodConfigSince:
		return serve(params, func(p wire.ConfigSince) (any, error) { return s.configSince(ctx, c, p) })
	case wire.MethodOrder:
		return serve(params, func(p wire.Order) (any, error) { return s.order(ctx, p) })
	case wire.MethodJoined:
		return serve(params, func(p wire.Joined) (any, error) {
			s.loop.Post(Welcomed{Now: time.Now(), VM: p.VM})
			return wire.Empty{}, nil
		})
	case wire.MethodImport:
		return serve(params, func(p wire.Import) (any, error) { return s.takeImport(ctx, p) })
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "unknown method %q", m)
}

// hello introduces the sidecar, with its load and whether it takes new work.
func (s *Sidecar) hello(ctx context.Context) (any, error) {
	a, err := s.admission(ctx, func(t Ticket) Event { return Greeted{Now: time.Now(), Ticket: t} })
	if err != nil {
		return nil, err
	}
	c := s.config.Settings
	return wire.Hello{VM: c.VM, Incarnation: c.Incarnation, Control: a.Control}, nil
}

// serve decodes the parameters of a call for f.
func serve[P any](params wire.Params, f func(P) (any, error)) (any, error) {
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
		if out := s.sender(c, f.Stream); out != nil {
			out.grant(f.UpTo)
		}
	case wire.Detach:
		if out := s.sender(c, f.Stream); out != nil {
			out.stop()
		}
	}
}

func (s *Sidecar) sender(c *wire.Conn, id wire.StreamID) *sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.conns[c]; r != nil {
		return r.senders[id]
	}
	return nil
}

func (s *Sidecar) submit(ctx context.Context, c *wire.Conn, sub wire.Submit) (any, error) {
	span := s.spans.begin(&sub)
	from := s.peer(c)
	a, err := s.admission(ctx, func(t Ticket) Event {
		return Submitted{Now: time.Now(), Ticket: t, Peer: from, Submit: sub}
	})
	s.spans.replied(sub.Key.Nonce, span, a, err)
	if err != nil || a.Error != nil {
		return a, err
	}
	s.read(c, wire.Attach{Key: sub.Key, Org: sub.Org, Stream: sub.Stream, Window: sub.Window}, &a)
	return a, nil
}

func (s *Sidecar) attach(ctx context.Context, c *wire.Conn, p wire.Attach) (any, error) {
	a, err := s.admission(ctx, func(t Ticket) Event { return Attached{Now: time.Now(), Ticket: t, Attach: p} })
	if err != nil || a.Error != nil {
		return a, err
	}
	s.read(c, p, &a)
	return a, nil
}

// read starts sending an answer to a router, or says in adm that it is gone.
func (s *Sidecar) read(c *wire.Conn, p wire.Attach, adm *wire.Admission) {
	n := p.Key.Nonce
	ans := s.answers.get(n)
	if ans == nil || p.Offset < 0 {
		adm.Error = errAnswerGone()
		return
	}
	out := newSender(connFrames{conn: c, attach: p}, ans, p)
	joined, ok := ans.join(out, p.Offset)
	if !ok {
		adm.Error = errAnswerGone()
		return
	}
	s.post(joined)
	s.enlist(c, p.Stream, out)
	go func() {
		whole := out.send()
		s.delist(c, p.Stream)
		s.post(ans.part(out, whole))
	}()
}

func errAnswerGone() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonAnswerGone, "the answer is no longer held")
}

// post tells the reducer of a change of readers.
func (s *Sidecar) post(r Readers) {
	r.Now = time.Now()
	s.loop.Post(r)
}

// enlist lets credit reach a sender.
func (s *Sidecar) enlist(c *wire.Conn, id wire.StreamID, out *sender) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.conns[c]; r != nil {
		r.senders[id] = out
		return
	}
	out.stop() // the connection has ended
}

func (s *Sidecar) delist(c *wire.Conn, id wire.StreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.conns[c]; r != nil {
		delete(r.senders, id)
	}
}

func (s *Sidecar) status(ctx context.Context, p wire.StatusRequest) (any, error) {
	e, err := s.ask(ctx, func(t Ticket) Event { return StatusAsked{Now: time.Now(), Ticket: t, Status: p} })
	if err != nil {
		return nil, err
	}
	reply := e.(ReplyStatus)
	if reply.Error != nil {
		return nil, reply.Error
	}
	if a := s.answers.get(reply.Nonce); a != nil {
		reply.Status.Length = a.length()
	}
	return reply.Status, nil
}

// connFrames sends the frames of one stream over a connection.
type connFrames struct {
	conn   *wire.Conn
	attach wire.Attach
}

func (f connFrames) head(h *head) error {
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
