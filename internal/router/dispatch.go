package router

import (
	"context"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/platform"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// streamWindow is how far a sidecar may send ahead of the caller, in bytes.
	streamWindow = 16 << 10
	// keyLife is how long a request key can be used first.
	keyLife = 15 * time.Minute
	// ticketLife is how long a placement ticket is worth following.
	ticketLife = 24 * time.Hour
)

// Request is a caller's request after authentication.
type Request struct {
	Org     *profile.Organisation
	Profile *profile.Profile
	Session string // names the chat within the organisation
	Ticket  string // as the caller sent it back, or empty
	Call    wire.Call
}

// Answer is an upstream's answer on its way to the caller.
type Answer struct {
	ID     string // the request's id, for the caller
	Ticket string // for the session's next request
	stream *wire.Stream
}

// Next returns the next piece of the answer.
func (a *Answer) Next(ctx context.Context) (wire.Piece, error) {
	return a.stream.Next(ctx)
}

// Close ends the caller's interest in the answer.
func (a *Answer) Close() {
	a.stream.Close()
}

// Dispatch finds an upstream that accepts the request.
func (r *Router) Dispatch(ctx context.Context, req Request) (*Answer, error) {
	view := r.View()
	pool := view.Pools[req.Profile.Pool]
	if pool == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "pool %q has no upstream", req.Profile.Pool).Later(time.Second)
	}
	session := sessionHash(req.Org.Name, req.Session)
	last := verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, "no upstream could be reached")
	for _, vm := range r.candidates(pool, req.Ticket, session) {
		answer, err := r.attempt(ctx, vm, req, session)
		if err == nil {
			return answer, nil
		}
		last = verdict.From(err)
		if last.Verdict != verdict.NotRun {
			return nil, last
		}
	}
	return nil, last.Later(time.Second)
}

// candidates returns where to offer a request: where its session was served
// last, then in rendezvous order.
func (r *Router) candidates(pool *Pool, ticket string, session uint64) []platform.VM {
	var best [placement.Candidates]int
	n := placement.Rank(pool.Seeds, session, &best)
	out := make([]platform.VM, 0, placement.Candidates+1)
	if t, err := r.config.Ring.Open(ticket, token.PurposeTicket); err == nil && t.Session == session {
		for _, vm := range pool.VMs {
			if vm.ID == t.VM {
				out = append(out, vm)
			}
		}
	}
	for _, i := range best[:n] {
		if len(out) == 0 || out[0].ID != pool.VMs[i].ID {
			out = append(out, pool.VMs[i])
		}
	}
	return out
}

func (r *Router) attempt(ctx context.Context, vm platform.VM, req Request, session uint64) (*Answer, error) {
	peer := r.peer(vm.Addr)
	hello, err := peer.Connect(ctx)
	if err != nil {
		return nil, err
	}
	key := token.Token{
		Purpose:     token.PurposeKey,
		Org:         orgHash(req.Org.Name),
		Session:     session,
		Incarnation: hello.Incarnation,
		Nonce:       token.NewNonce(),
		Expires:     time.Now().Add(keyLife),
		VM:          vm.ID,
	}
	stream, _, err := peer.Submit(ctx, wire.Submit{
		Key:       wireKey(key),
		Org:       req.Org.Name,
		Session:   session,
		Treatment: treatment(req),
		Call:      req.Call,
		Window:    streamWindow,
	})
	if err != nil {
		return nil, err
	}
	ticket := key
	ticket.Purpose = token.PurposeTicket
	ticket.Expires = time.Now().Add(ticketLife)
	return &Answer{ID: r.config.Ring.Seal(key), Ticket: r.config.Ring.Seal(ticket), stream: stream}, nil
}

func treatment(req Request) wire.Treatment {
	p := req.Profile
	return wire.Treatment{
		Profile:       p.Name,
		Priority:      p.Priority,
		LoadMultiple:  p.LoadMultiple,
		QueueBound:    p.Queue.PerUpstream,
		OrgQueueBound: p.Queue.PerOrganisation,
		OrgWeight:     req.Org.Weight,
		Idempotent:    p.Idempotent,
		KeepAnswer:    p.KeepAnswer.Std(),
		FirstByte:     p.FirstToken.Std(),
		Deadline:      p.Deadline.Std(),
	}
}

func wireKey(t token.Token) wire.Key {
	return wire.Key{VM: t.VM, Incarnation: t.Incarnation, Nonce: t.Nonce, Expires: t.Expires.Unix()}
}

func orgHash(name string) uint64 {
	return xxh3.HashString(name)
}

func sessionHash(org, session string) uint64 {
	return xxh3.HashStringSeed(session, orgHash(org))
}
