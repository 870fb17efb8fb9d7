package admin

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/http1"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// maxConcurrent limits the peers that are queried at a time.
	maxConcurrent = 64
	// peerTimeout bounds how long a peer's response may take beyond its wait. A
	// router that hangs is reported as not responding and does not delay the
	// others.
	peerTimeout = 1500 * time.Millisecond
	// roundWait is how long a peer that is behind may take to catch up before it
	// is queried again.
	roundWait = 500 * time.Millisecond
	// roundPause is the pause between rounds, for peers that fail at once.
	roundPause = 100 * time.Millisecond
	// idleConnTimeout is how long an idle connection to a peer is kept. While a
	// command waits, the router that it called queries each pending peer about
	// every half second and reuses the connection. Otherwise routers do not query
	// each other.
	idleConnTimeout = 3 * time.Second
)

// peer is a router that is queried.
type peer struct {
	vm   topo.VM
	self bool
}

// newTransport returns a transport for calls to the routers' API, over connections that dial opens; nil: TCP.
func newTransport(dial http1.DialFunc) http.RoundTripper {
	if dial == nil {
		dial = (&net.Dialer{Timeout: peerTimeout}).DialContext
	}
	return http1.NewTransport(&http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleConnTimeout,
	})
}

// routers returns the routers among vms. This router is always among them, even
// if the list does not contain it.
func (s *Server) routers(vms []topo.VM) []peer {
	var peers []peer
	listed := false
	for _, vm := range vms {
		if vm.Role != topo.RoleRouter {
			continue
		}
		self := vm.ID == s.config.VM
		listed = listed || self
		peers = append(peers, peer{vm: vm, self: self})
	}
	if !listed {
		peers = append(peers, peer{vm: topo.VM{ID: s.config.VM, Role: topo.RoleRouter}, self: true})
	}
	return peers
}

// queryAll queries peers, at most maxConcurrent at a time, and returns the
// responses in the order of peers.
func queryAll[T any](s *Server, peers []peer, query func(peer) T) []T {
	responses := make([]T, len(peers))
	slots := make(chan struct{}, maxConcurrent)
	var wg sync.WaitGroup
	for i, p := range peers {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			responses[i] = query(p)
		})
	}
	wg.Wait()
	return responses
}

// awaitAll queries every router until the objects in req are in force at all of
// them or ctx ends, and returns the latest response of each. It works in rounds,
// each with a wait of roundWait instead of req.WaitMillis. After the first round
// it queries only those that were pending. It stops waiting for a router that is
// removed from the list of VMs.
func (s *Server) awaitAll(ctx context.Context, req WaitRequest) []RouterWait {
	req.WaitMillis = int(roundWait.Milliseconds())
	latest := make(map[string]RouterWait)
	for {
		peers := s.routers(s.config.Node.VMs())
		pending := slices.DeleteFunc(slices.Clone(peers), func(p peer) bool {
			previous, queried := latest[p.vm.ID]
			return queried && !previous.Pending()
		})
		responses := queryAll(s, pending, func(p peer) RouterWait { return s.queryWait(ctx, p, req) })
		for _, response := range responses {
			latest[response.VM] = response
		}
		if complete := !slices.ContainsFunc(responses, RouterWait.Pending); complete || !sleep(ctx, roundPause) {
			return inOrder(peers, latest)
		}
	}
}

// inOrder returns each router's latest response, in the order of peers.
func inOrder(peers []peer, responses map[string]RouterWait) []RouterWait {
	out := make([]RouterWait, len(peers))
	for i, p := range peers {
		out[i] = responses[p.vm.ID]
	}
	return out
}

// queryWait queries one router. It waits at most roundWait, so that a router
// that is far behind does not occupy a slot that another one needs.
func (s *Server) queryWait(ctx context.Context, p peer, req WaitRequest) RouterWait {
	if p.self {
		ctx, cancel := context.WithTimeout(ctx, roundWait)
		defer cancel()
		return RouterWait{WaitReply: req.await(ctx, p.vm.ID, s.config.Node)}
	}
	// The response may arrive after the whole wait has ended. Accepting it late
	// is better than reporting a router as pending although it is up to date.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), roundWait+peerTimeout)
	defer cancel()
	var reply RouterWait
	if err := s.peerClient(p).post(ctx, PathWait, req, &reply.WaitReply); err != nil {
		reply = RouterWait{Error: err.Error()}
	}
	reply.VM = p.vm.ID
	return reply
}

// sleep waits for d. It returns false if ctx has ended by then.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (s *Server) peerClient(p peer) *Client {
	return &Client{base: "http://" + p.vm.AdminAddr, token: s.config.Token, http: s.client, noAddress: p.vm.AdminAddr == ""}
}
