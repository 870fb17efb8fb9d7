// Package admin is the HTTP API that routers serve to operators, on a listener
// of its own. It only reads, but for the hint to look at the store.
//
// An operator's command asks any one router, which asks its peers: the command
// needs to reach one router, and no node keeps a picture of the whole fleet.
package admin

import (
	"context"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/vocabulary"
)

// Paths of the API. Those under fleet ask every live router.
const (
	PathStatus    = "/admin/status"
	PathVersions  = "/admin/config/versions"
	PathWait      = "/admin/config/wait"
	PathExplain   = "/admin/explain"
	PathFleet     = "/admin/fleet"
	PathFleetWait = "/admin/fleet/wait"
	PathVars      = "/debug/vars"
)

// Node is what the API needs of the router that serves it. Its methods may be
// called from many goroutines and return what is known now, without I/O.
type Node interface {
	// Status returns the router's state. Upstreams are left out when brief.
	Status(brief bool) Status
	// InForce says how far the router follows an object.
	InForce(ref topo.Ref) InForce
	// Complete is the version of the store up to which the router has taken every
	// change, or rejected it as invalid.
	Complete() topo.Version
	// Rejected names the objects of which a version is held to be invalid.
	Rejected() []topo.Ref
	// Changed is closed when the configuration in force changes next.
	Changed() <-chan struct{}
	// Refresh hints that the store has news, and returns at once. A watch that
	// has gone silent costs seconds; a hint from those who know of a change
	// does not wait for it.
	Refresh()
	// Explain tells where a request would go now and why.
	Explain(Query) (Explanation, error)
	// VMs returns the list of VMs as the router knows it.
	VMs() []topo.VM
}

// InForce is how far a router follows one object.
type InForce struct {
	// Version of the object by which the router treats traffic. For one that it
	// does not hold, the version of the store up to which it is complete.
	Version topo.Version `json:"version"`
	// Problem is why a newer version, of which the router knows, is not in
	// force: it is invalid for the router's release.
	Problem string `json:"problem,omitempty"`
}

// Status is a router's state.
type Status struct {
	VM            string        `json:"vm"`
	FailureDomain string        `json:"failure_domain,omitempty"`
	Started       time.Time     `json:"started"`
	Ready         bool          `json:"ready"`
	Draining      bool          `json:"draining,omitempty"`
	Config        ConfigStatus  `json:"config"`
	Pools         []PoolStatus  `json:"pools"`
	Control       []ControlRate `json:"control"`
	Quarantined   []Quarantined `json:"quarantined,omitempty"`
	// UnknownWords are words of other systems that came and that the router does not read.
	UnknownWords []vocabulary.UnknownWord `json:"unread,omitempty"`
}

// ConfigStatus is how far a router follows the configuration.
type ConfigStatus struct {
	Version topo.Version `json:"version"` // of the newest object in force
	// Rejected are the objects that the router holds to be invalid. It goes on
	// with the version before.
	Rejected []profile.Problem `json:"rejected,omitempty"`
	// LastStoreResponse is when the store answered last; zero is never.
	LastStoreResponse time.Time `json:"store_heard,omitzero"`
}

// PoolStatus is a pool as one router sees it, by samples of other nodes.
type PoolStatus struct {
	Name     string  `json:"name"`
	Known    int     `json:"known"`    // upstreams of the list of VMs
	Serving  int     `json:"serving"`  // as far as is known, also those unheard of lately
	Draining int     `json:"draining"` // told to leave, or say so themselves
	Down     int     `json:"down"`
	Mean     float64 `json:"mean_load"`
	Max      int     `json:"max_load"`
	// Skew is the busiest upstream's load over the mean; zero without load.
	Skew      float64          `json:"skew"`
	Busiest   string           `json:"busiest,omitempty"`
	Upstreams []UpstreamStatus `json:"upstreams,omitempty"`
}

// UpstreamStatus is an upstream as one router sees it.
type UpstreamStatus struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain,omitempty"`
	State         string `json:"state"` // serving, draining, down or unheard
	Load          int    `json:"load"`  // requests admitted and not ended
}

// UpstreamConditions is what a router holds against an upstream that has no sidecar.
type UpstreamConditions struct {
	VM            string      `json:"vm"`
	Addr          string      `json:"addr"`
	Pool          string      `json:"pool"`
	FailureDomain string      `json:"failure_domain,omitempty"`
	Load          float64     `json:"load"`          // requests, as believed
	Permission    string      `json:"work"`          // whether it gets requests: never, last or freely
	Reason        string      `json:"why,omitempty"` // the kind of condition that says so
	Conditions    []Condition `json:"conditions,omitempty"`
}

// Condition is something that speaks against an upstream.
type Condition struct {
	Kind   string    `json:"kind"`
	Source string    `json:"by"` // who says so
	Since  time.Time `json:"since,omitzero"`
	Until  time.Time `json:"until,omitzero"`
}

// ControlRate is what a router spends on control traffic of one kind.
type ControlRate struct {
	Kind           string  `json:"kind"`
	Bytes          int64   `json:"bytes"`            // since its start
	BytesPerSecond float64 `json:"bytes_per_second"` // mean since its start
}

// Quarantined is a request that crashes upstreams, or may.
type Quarantined struct {
	Fingerprint string    `json:"fingerprint"`
	State       string    `json:"state"`   // suspect or convicted
	Crashes     int       `json:"crashes"` // of upstreams while it ran
	Until       time.Time `json:"until,omitzero"`
}

// Query asks where a request would go. Model or Service is set.
type Query struct {
	Organisation string `json:"organisation"`
	Profile      string `json:"profile,omitempty"` // as the caller would ask for; empty: the one that fits
	Model        string `json:"model,omitempty"`
	Service      string `json:"service,omitempty"`
	Method       string `json:"method,omitempty"` // of a call of a service
	Path         string `json:"path,omitempty"`   // of a call of a service, after its name
	Session      string `json:"session,omitempty"`
	Ticket       string `json:"ticket,omitempty"` // placement ticket that the caller would send
}

// Explanation is where a request would go and why.
type Explanation struct {
	VM         string      `json:"vm"` // router that answers
	Profile    string      `json:"profile"`
	Pool       string      `json:"pool"`
	Mean       float64     `json:"mean_load"`
	Multiple   float64     `json:"load_multiple"`
	TicketNote string      `json:"ticket"` // what became of the ticket
	Candidates []Candidate `json:"candidates"`
}

// Candidate is an upstream to which a request would be offered, in order.
type Candidate struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain,omitempty"`
	State         string `json:"state"`
	Load          int    `json:"load"`
	Bound         int    `json:"bound"` // as the router estimates it; zero: none
	Reason        string `json:"why"`
}

// ObjectVersion is an object at a version.
type ObjectVersion struct {
	topo.Ref
	Version topo.Version `json:"version"`
}

// WaitRequest asks whether objects are in force.
type WaitRequest struct {
	Objects []ObjectVersion `json:"objects,omitempty"`
	// Complete is a version of the store up to which every change is to be in
	// force. It stands for a long list of objects.
	Complete topo.Version `json:"complete,omitempty"`
	// WaitMillis is how long the answer may take while some are not, at most
	// maxWait.
	WaitMillis int `json:"wait_ms"`
}

// WaitReply names the objects that are not in force at a router.
type WaitReply struct {
	VM     string   `json:"vm"`
	Behind []Behind `json:"behind,omitempty"`
	// Rejected are the objects that the router holds to be invalid, in answer to
	// a request with Complete.
	Rejected []topo.Ref `json:"rejected,omitempty"`
}

// Behind is an object that is not in force; one without a kind stands for all
// changes up to the version.
type Behind struct {
	ObjectVersion
	InForce InForce `json:"in_force"`
}

// FleetStatus is what the routers say of themselves.
type FleetStatus struct {
	VM      string         `json:"vm"` // router that asked the others
	Routers []RouterStatus `json:"routers"`
	VMs     []topo.VM      `json:"vms"` // the list, as that router knows it
}

// RouterStatus is one router's Status, or why there is none.
type RouterStatus struct {
	VM     string  `json:"vm"`
	Status *Status `json:"status,omitempty"`
	Error  string  `json:"error,omitempty"`
}

// FleetWait is what the routers say about objects.
type FleetWait struct {
	VM      string       `json:"vm"` // router that asked the others
	Routers []RouterWait `json:"routers"`
}

// RouterWait is one router's WaitReply, or why there is none.
type RouterWait struct {
	WaitReply
	Error string `json:"error,omitempty"`
}

// Pending returns the routers at which not all is in force, or of which it is
// not known.
func (w FleetWait) Pending() []RouterWait {
	var out []RouterWait
	for _, r := range w.Routers {
		if r.Pending() {
			out = append(out, r)
		}
	}
	return out
}

// Pending reports whether not all is in force at the router, or not known.
func (r RouterWait) Pending() bool {
	return r.Error != "" || len(r.Behind) > 0
}

// evaluate says what of r is not in force at n now.
func (r WaitRequest) evaluate(vm string, n Node) WaitReply {
	out := WaitReply{VM: vm}
	for _, o := range r.Objects {
		if in := n.InForce(o.Ref); in.Version < o.Version {
			out.Behind = append(out.Behind, Behind{ObjectVersion: o, InForce: in})
		}
	}
	if r.Complete == 0 {
		return out
	}
	if complete := n.Complete(); complete < r.Complete {
		all := ObjectVersion{Version: r.Complete}
		out.Behind = append(out.Behind, Behind{ObjectVersion: all, InForce: InForce{Version: complete}})
	}
	out.Rejected = n.Rejected()
	return out
}

// await returns what is not in force at n, as soon as that is nothing or when
// ctx ends.
func (r WaitRequest) await(ctx context.Context, vm string, n Node) WaitReply {
	refreshed := false
	for {
		changed := n.Changed()
		reply := r.evaluate(vm, n)
		if len(reply.Behind) == 0 {
			return reply
		}
		if !refreshed {
			refreshed = true
			n.Refresh()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return reply
		}
	}
}
