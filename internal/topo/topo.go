// Package topo is the face of the operators' platform: the object API,
// which keeps what must last, and the list of VMs.
//
// Store and VMList are the only ways in which this project touches the
// platform. HTTPStore and HTTPVMList speak to it over HTTP; tests put fakes in
// their place.
package topo

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind is a kind of object.
type Kind string

// The kinds of object that this project keeps.
const (
	KindProfile      Kind = "profile"
	KindOrganisation Kind = "organisation"
	KindPool         Kind = "pool"
	KindDrain        Kind = "drain"        // by the id of the VM
	KindDomainDrain  Kind = "domain-drain" // by the name of the failure domain
	KindLimits       Kind = "limits"       // of what callers may send
	KindEdition      Kind = "edition"      // of a configuration that is written as a whole
	KindClaim        Kind = "claim"        // of a caller's own idempotency key
	KindConviction   Kind = "conviction"   // of a request that crashes upstreams
	KindLease        Kind = "lease"
	KindHistory      Kind = "history" // former revisions of configuration
	KindRouter       Kind = "router"  // where a router can be reached by others
)

// Ref names an object.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns kind/name.
func (r Ref) String() string {
	return fmt.Sprintf("%s/%s", r.Kind, r.Name)
}

// Object is a value in the store at one version.
type Object struct {
	Ref
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"` // in watch events only
}

// Errors of a Store. A caller matches them with errors.Is.
var (
	// ErrNotFound is an object that does not exist.
	ErrNotFound = errors.New("topo: not found")
	// ErrConflict is a conditional write whose condition did not hold. Nothing was written.
	ErrConflict = errors.New("topo: conflict")
	// ErrRefused is a call that the store turned away unprocessed. Nothing was written.
	ErrRefused = errors.New("topo: refused")
	// ErrUnknown is a call whose answer was lost. A write may have taken effect.
	ErrUnknown = errors.New("topo: outcome unknown")
	// ErrCompacted is a watch from a version that the store no longer holds.
	ErrCompacted = errors.New("topo: version compacted")
)

// Page is one page of a listing.
type Page struct {
	Objects  []Object `json:"objects"`
	Version  Version  `json:"version"`            // of the store when the listing began
	Continue string   `json:"continue,omitempty"` // for the next page; empty on the last
	// Whole tells that Objects are all that exist at Version, with what their
	// versions are left open. It is of sources that tell everything when anything changes.
	Whole bool `json:"-"`
}

// Store is the platform's object API.
type Store interface {
	Get(ctx context.Context, ref Ref) (Object, error)
	// List returns a page of the objects of a kind.
	List(ctx context.Context, kind Kind, cont string) (Page, error)
	// Put writes an object if its version is still ifVersion; zero means that
	// it must not exist.
	Put(ctx context.Context, ref Ref, value json.RawMessage, ifVersion Version) (Object, error)
	// Delete removes an object if its version is still ifVersion.
	Delete(ctx context.Context, ref Ref, ifVersion Version) error
	// Watch waits up to wait for changes of the kinds after since. It returns
	// at once when there are any, and an empty page when the wait is over.
	Watch(ctx context.Context, kinds []Kind, since Version, wait time.Duration) (Page, error)
}

// EraReporter is a Store that tells in which era it last answered.
type EraReporter interface {
	Era() Era
}

// EraOf returns the era in which a store last answered; zero: it does not tell.
func EraOf(s Store) Era {
	if reporter, ok := s.(EraReporter); ok {
		return reporter.Era()
	}
	return 0
}

// Role is what a VM does.
type Role string

// Roles of VMs.
const (
	RoleRouter   Role = "router"
	RoleUpstream Role = "upstream" // with a sidecar beside it
	RoleDirect   Role = "direct"   // an upstream that routers call themselves
)

// VM is an entry of the platform's list. The list lags behind the truth.
type VM struct {
	ID string `json:"id"`
	// Instance is what an upstream without a sidecar calls itself. One that starts
	// again keeps that name and gets another ID. Empty: the ID.
	Instance      string `json:"instance,omitempty"`
	Role          Role   `json:"role"`
	Addr          string `json:"addr"`                 // of the router's or sidecar's protocol, host:port
	AdminAddr     string `json:"admin_addr,omitempty"` // of a router's HTTP API for operators, host:port
	Pool          string `json:"pool,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Weight        int    `json:"weight,omitempty"` // relative capacity; zero means one
	Slots         int    `json:"slots,omitempty"`  // requests that it works on at a time; zero: not known
	Leaving       bool   `json:"leaving,omitempty"`
	// WarmAt is until when the upstream counts as cold after its start; zero: it does not.
	WarmAt time.Time `json:"-"`
}

// Region returns the region of a failure domain: what stands before the first slash of its
// name; empty: it names none.
func Region(failureDomain string) string {
	region, _, found := strings.Cut(failureDomain, "/")
	if !found {
		return ""
	}
	return region
}

// Name returns what the VM's upstream calls itself.
func (vm VM) Name() string {
	if vm.Instance != "" {
		return vm.Instance
	}
	return vm.ID
}

// VMs is one reading of the list. Tag identifies its content.
type VMs struct {
	Tag     string `json:"tag"`
	Entries []VM   `json:"vms"`
}

// VMList is the platform's lagging list of VMs.
type VMList interface {
	// VMs returns the list, or changed=false when its tag is still the given one.
	VMs(ctx context.Context, tag string) (vms VMs, changed bool, err error)
}
