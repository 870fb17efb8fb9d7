// Package admin implements the HTTP API that routers serve to operators on a
// separate listener. The API is read-only, except that a wait makes the router
// refresh its configuration from the store.
//
// A client calls any one router, which queries its peers. A client therefore
// needs to reach only one router, and no router keeps the state of the whole
// fleet.
package admin

import (
	"context"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/vocabulary"
)

// Paths of the API. Those under fleet query every live router.
const (
	PathStatus    = "/admin/status"
	PathVersions  = "/admin/config/versions"
	PathWait      = "/admin/config/wait"
	PathExplain   = "/admin/explain"
	PathFleet     = "/admin/fleet"
	PathFleetWait = "/admin/fleet/wait"
	PathVars      = "/debug/vars"
	// PathQuarantined is served at the metrics address of a router on a platform.
	PathQuarantined = "/quarantined"
	// PathShares is served there as well.
	PathShares = "/shares"
	// PathMemory is served there as well.
	PathMemory = "/memory"
)

// Node is the router that a Server reports on. Its methods are safe for
// concurrent use and return the current state without I/O.
type Node interface {
	// Status returns the router's state, without the upstreams if brief.
	Status(brief bool) Status
	// InForce returns which version of an object is in force at the router.
	InForce(ref topo.Ref) InForce
	// Complete returns the version of the store up to which the router has
	// applied every change, or rejected it as invalid.
	Complete() topo.Version
	// Rejected returns the objects of which the router has rejected a version as
	// invalid.
	Rejected() []topo.Ref
	// Changed returns a channel that is closed when an object next comes into
	// force or is rejected, or Complete next advances.
	Changed() <-chan struct{}
	// Refresh makes the router read the store's changes soon, and returns at
	// once. Without it, a router whose watch has stalled would learn of a change
	// only seconds later.
	Refresh()
	// Explain returns where a request would go now and why.
	Explain(Query) (Explanation, error)
	// VMs returns the list of VMs as the router has it.
	VMs() []topo.VM
}

// InForce is the state of one object at a router.
type InForce struct {
	// Version is the version of the object that is in force. For an object that
	// the router does not have, it is the version of the store up to which the
	// router is complete.
	Version topo.Version `json:"version"`
	// Problem is the reason why a newer version that the router has received is
	// not in force: it is invalid for the router's release.
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
	// UnknownWords are the headers, fields and status codes in messages of other
	// systems that the router does not recognize.
	UnknownWords []vocabulary.UnknownWord `json:"unread,omitempty"`
}

// ConfigStatus is the state of a router's configuration.
type ConfigStatus struct {
	Version topo.Version `json:"version"` // of the newest object in force
	// Rejected are the objects that the router has rejected as invalid. For
	// those it keeps the previous version in force.
	Rejected []profile.Problem `json:"rejected,omitempty"`
	// LastStoreResponse is when the store last responded; zero means never.
	LastStoreResponse time.Time `json:"store_heard,omitzero"`
}

// PoolStatus is the state of a pool as one router sees it, based on the load
// reports that it has received from other VMs. It may lack a recent report of
// some upstreams.
type PoolStatus struct {
	Name     string  `json:"name"`
	Known    int     `json:"known"`    // upstreams in the list of VMs
	Serving  int     `json:"serving"`  // neither draining nor down; includes upstreams without a recent report
	Draining int     `json:"draining"` // ordered to drain, or reporting that they leave
	Down     int     `json:"down"`
	Mean     float64 `json:"mean_load"` // requests in progress per unit of weight
	Max      int     `json:"max_load"`  // load of Busiest
	// Skew is the highest load per unit of weight of an upstream, divided by Mean;
	// zero without load.
	Skew      float64          `json:"skew"`
	Busiest   string           `json:"busiest,omitempty"` // upstream with the highest load per unit of weight
	Upstreams []UpstreamStatus `json:"upstreams,omitempty"`
}

// UpstreamStatus is the state of an upstream as one router sees it.
type UpstreamStatus struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain,omitempty"`
	State         string `json:"state"` // serving, draining, down, or unheard: without a recent report
	Load          int    `json:"load"`  // requests in progress
}

// UpstreamConditions is an upstream without a sidecar as a router sees it, with
// the conditions that restrict its use.
type UpstreamConditions struct {
	VM            string  `json:"vm"`
	Addr          string  `json:"addr"`
	Pool          string  `json:"pool"`
	FailureDomain string  `json:"failure_domain,omitempty"`
	Version       string  `json:"version,omitempty"` // of its software
	Load          float64 `json:"load"`              // estimated number of requests
	// ReportedSlowdown is how long work takes on its machine according to its latest response, as a
	// multiple of the usual time; zero: not reported lately.
	ReportedSlowdown float64 `json:"reported_slowdown,omitempty"`

	Permission string      `json:"work"`          // whether it gets requests: never, last or freely
	Reason     string      `json:"why,omitempty"` // kind of the condition that decides Permission
	Conditions []Condition `json:"conditions,omitempty"`
}

// Condition is a reason to use an upstream less or not at all.
type Condition struct {
	Kind   string    `json:"kind"`
	Source string    `json:"by"` // who or what reported it, such as "operators" or "other routers"
	Since  time.Time `json:"since,omitzero"`
	Until  time.Time `json:"until,omitzero"`
}

// ControlRate is the control traffic of one kind at a router.
type ControlRate struct {
	Kind           string  `json:"kind"`
	Bytes          int64   `json:"bytes"`            // since the router's start
	BytesPerSecond float64 `json:"bytes_per_second"` // mean since the router's start
}

// Quarantined is a request, or a part of prompts, that is known or suspected to crash upstreams.
type Quarantined struct {
	Fingerprint string    `json:"fingerprint"`
	Part        string    `json:"part,omitempty"`      // name of the part; empty: a request, or a part that this router has refused no request for
	State       string    `json:"state"`               // suspect, trial or convicted
	Crashes     int       `json:"crashes"`             // of upstreams while it ran
	Upstreams   []string  `json:"upstreams,omitempty"` // that have crashed, as far as this router lost requests at them
	Until       time.Time `json:"until,omitzero"`
}

// Query describes a request whose routing is to be explained. Either Model or
// Service is set.
type Query struct {
	Organisation string `json:"organisation"`
	Profile      string `json:"profile,omitempty"` // requested by the caller; empty: the one that matches the request
	Model        string `json:"model,omitempty"`
	Service      string `json:"service,omitempty"`
	Method       string `json:"method,omitempty"` // method of a call to a service
	Path         string `json:"path,omitempty"`   // path of a call to a service, after the service's name
	Session      string `json:"session,omitempty"`
	Ticket       string `json:"ticket,omitempty"` // placement ticket that the caller would send
}

// Explanation is where a request would go and why.
type Explanation struct {
	VM         string      `json:"vm"` // router that explains
	Profile    string      `json:"profile"`
	Pool       string      `json:"pool"`
	Mean       float64     `json:"mean_load"`
	Multiple   float64     `json:"load_multiple"`
	TicketNote string      `json:"ticket"` // how the ticket was treated
	Candidates []Candidate `json:"candidates"`
}

// Candidate is an upstream that a request would be offered to. Candidates are
// listed in order of preference.
type Candidate struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain,omitempty"`
	State         string `json:"state"`
	Load          int    `json:"load"`
	Bound         int    `json:"bound"` // load bound as estimated by the router; zero: none
	Reason        string `json:"why"`
}

// ObjectVersion is a version of an object.
type ObjectVersion struct {
	topo.Ref
	Version topo.Version `json:"version"`
}

// WaitRequest asks a router to wait until objects are in force.
type WaitRequest struct {
	Objects []ObjectVersion `json:"objects,omitempty"`
	// Complete is a version of the store up to which every change must be in
	// force. It replaces a long list of objects.
	Complete topo.Version `json:"complete,omitempty"`
	// WaitMillis is the longest wait in milliseconds, at most maxWait.
	WaitMillis int `json:"wait_ms"`
}

// WaitReply lists the objects that are not in force at a router.
type WaitReply struct {
	VM     string          `json:"vm"`
	Behind []LaggingObject `json:"behind,omitempty"`
	// Rejected are the objects that the router has rejected as invalid. It is
	// set only if the request has Complete.
	Rejected []topo.Ref `json:"rejected,omitempty"`
}

// LaggingObject is an object that is not in force at the requested version. If
// its Kind is empty, it stands for all changes up to WaitRequest.Complete, and
// InForce.Version is the version up to which the router has applied or rejected
// them.
type LaggingObject struct {
	ObjectVersion
	InForce InForce `json:"in_force"`
}

// FleetStatus is the state of all routers, with the list of VMs.
type FleetStatus struct {
	VM      string         `json:"vm"` // router that queried the others
	Routers []RouterStatus `json:"routers"`
	VMs     []topo.VM      `json:"vms"` // the list of VMs, as that router has it
}

// RouterStatus is one router's Status, or the error that occurred instead.
type RouterStatus struct {
	VM     string  `json:"vm"`
	Status *Status `json:"status,omitempty"`
	Error  string  `json:"error,omitempty"`
}

// FleetWait is the result of a WaitRequest at every router.
type FleetWait struct {
	VM      string       `json:"vm"` // router that queried the others
	Routers []RouterWait `json:"routers"`
}

// RouterWait is one router's WaitReply, or the error that occurred instead.
type RouterWait struct {
	WaitReply
	Error string `json:"error,omitempty"`
}

// Pending returns the routers at which some object is not in force, or whose
// state is unknown.
func (w FleetWait) Pending() []RouterWait {
	var out []RouterWait
	for _, r := range w.Routers {
		if r.Pending() {
			out = append(out, r)
		}
	}
	return out
}

// Pending reports whether some object is not in force at the router, or its
// state is unknown.
func (r RouterWait) Pending() bool {
	return r.Error != "" || len(r.Behind) > 0
}

// evaluate returns which objects of r are not in force at n now.
func (r WaitRequest) evaluate(vm string, n Node) WaitReply {
	out := WaitReply{VM: vm}
	for _, o := range r.Objects {
		if in := n.InForce(o.Ref); in.Version < o.Version {
			out.Behind = append(out.Behind, LaggingObject{ObjectVersion: o, InForce: in})
		}
	}
	if r.Complete == 0 {
		return out
	}
	if complete := n.Complete(); complete < r.Complete {
		all := ObjectVersion{Version: r.Complete}
		out.Behind = append(out.Behind, LaggingObject{ObjectVersion: all, InForce: InForce{Version: complete}})
	}
	out.Rejected = n.Rejected()
	return out
}

// await waits until all objects of r are in force at n or ctx ends, and returns
// those that are not.
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
