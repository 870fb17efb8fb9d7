package admin

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// maxConcurrent bounds the peers that are asked at a time.
	maxConcurrent = 64
	// peerTimeout bounds what a peer's answer may take beyond its wait. A router
	// that hangs is named as one that did not answer, and holds up nobody.
	peerTimeout = 1500 * time.Millisecond
	// roundWait is how long a peer that is behind may take to catch up before it
	// is asked again.
	roundWait = 500 * time.Millisecond
	// roundPause is the pause between rounds, for peers that fail at once.
	roundPause = 100 * time.Millisecond
	// idleConnTimeout is how long a connection to a peer is kept. A command asks
	// every half second or so while it waits; nobody asks otherwise.
	idleConnTimeout = 3 * time.Second
)

// peer is a router that is asked.
type peer struct {
	vm   topo.VM
	self bool
}

// newTransport returns a transport for calls of the routers' API.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleConnTimeout,
	}
}

// routers returns the routers among vms. The one that asks is always among
// them, also when the list does not show it yet or any more.
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

// queryAll asks peers, some at a time, and returns the answers in their order.
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

// awaitAll asks every router until what req names is in force at all of them or
// ctx ends. After the first round it asks only those that were behind. A router
// that leaves the list of VMs is no longer waited for.
func (s *Server) awaitAll(ctx context.Context, req WaitRequest) []RouterWait {
	req.WaitMillis = int(roundWait.Milliseconds())
	latest := make(map[string]RouterWait)
	for {
		peers := s.routers(s.config.Node.VMs())
		pending := slices.DeleteFunc(slices.Clone(peers), func(p peer) bool {
			previous, asked := latest[p.vm.ID]
			return asked && !previous.Pending()
		})
		responses := queryAll(s, pending, func(p peer) RouterWait { return s.queryWait(ctx, p, req) })
		for _, a := range responses {
			latest[a.VM] = a
		}
		if complete := !slices.ContainsFunc(responses, RouterWait.Pending); complete || !sleep(ctx, roundPause) {
			return inOrder(peers, latest)
		}
	}
}

// inOrder returns each router's last answer.
func inOrder(peers []peer, responses map[string]RouterWait) []RouterWait {
	out := make([]RouterWait, len(peers))
	for i, p := range peers {
		out[i] = responses[p.vm.ID]
	}
	return out
}

// queryWait asks one router. The wait is that of a round, so that a router that
// is far behind does not hold a slot that another one needs.
func (s *Server) queryWait(ctx context.Context, p peer, req WaitRequest) RouterWait {
	if p.self {
		ctx, cancel := context.WithTimeout(ctx, roundWait)
		defer cancel()
		return RouterWait{WaitReply: req.await(ctx, p.vm.ID, s.config.Node)}
	}
	// The answer may come after the whole wait has ended: what is known late is
	// better than a router that is named although it is up to date.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), roundWait+peerTimeout)
	defer cancel()
	var reply RouterWait
	if err := s.peerClient(p).post(ctx, PathWait, req, &reply.WaitReply); err != nil {
		reply = RouterWait{Error: err.Error()}
	}
	reply.VM = p.vm.ID
	return reply
}

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
