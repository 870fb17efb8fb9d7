// Package topo is the client of the operators' platform: the object API,
// which stores durable state, and the list of VMs.
//
// This project uses the platform only through Store and VMList. HTTP implements
// both; tests use fakes instead.
package topo

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind is the kind of an object in the store.
type Kind string

// The kinds of object that this project keeps.
const (
	KindProfile      Kind = "profile"
	KindOrganisation Kind = "organisation"
	KindPool         Kind = "pool"
	KindDrain        Kind = "drain"        // named by the id of the VM
	KindDomainDrain  Kind = "domain-drain" // named by the failure domain
	KindLimits       Kind = "limits"       // limits on what callers may send
	KindEdition      Kind = "edition"      // a configuration that is written as a whole
	KindClaim        Kind = "claim"        // a claim of a caller's own idempotency key
	KindConviction   Kind = "conviction"   // the conviction of a request that crashes upstreams
	KindRestriction  Kind = "restriction"  // a request that is refused at upstreams without sidecars, named by its fingerprint
	KindOrigins      Kind = "origins"      // what the routers of a region have seen of where streams begin
	KindStreams      Kind = "streams"      // where streams began, a few at a time
	KindLease        Kind = "lease"
	KindHistory      Kind = "history" // earlier revisions of the configuration
	KindRouter       Kind = "router"  // the address at which other routers reach a router
)

// Ref identifies an object.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns kind/name.
func (r Ref) String() string {
	return fmt.Sprintf("%s/%s", r.Kind, r.Name)
}

// Object is the value of an object at one version.
type Object struct {
	Ref
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"` // in watch events only
}

// Errors of a Store. A caller matches them with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("topo: not found")
	// ErrConflict means that the condition of a write did not hold. Nothing was written.
	ErrConflict = errors.New("topo: conflict")
	// ErrRefused means that the store did not process the call. Nothing was written.
	ErrRefused = errors.New("topo: refused")
	// ErrUnknown means that the response was lost. A write may have taken effect.
	ErrUnknown = errors.New("topo: outcome unknown")
	// ErrCompacted means that a watch starts from a version that the store no longer holds.
	ErrCompacted = errors.New("topo: version compacted")
)

// Page is one page of a listing, or the changes that a watch returned.
type Page struct {
	Objects  []Object `json:"objects"`
	Version  Version  `json:"version"`            // of the store when the listing began
	Continue string   `json:"continue,omitempty"` // for the next page; empty on the last
	// Whole reports that Objects is the complete list of objects at Version; the
	// versions of the objects themselves may be unset. Sources that send everything
	// on any change set it.
	Whole bool `json:"-"`
}

// Store is the platform's object API.
type Store interface {
	Get(ctx context.Context, ref Ref) (Object, error)
	// List returns a page of the objects of a kind.
	List(ctx context.Context, kind Kind, cont string) (Page, error)
	// Put writes an object if its version is still ifVersion. Zero requires that
	// the object does not exist.
	Put(ctx context.Context, ref Ref, value json.RawMessage, ifVersion Version) (Object, error)
	// Delete removes an object if its version is still ifVersion.
	Delete(ctx context.Context, ref Ref, ifVersion Version) error
	// Watch returns the changes of objects of the kinds after version since. It
	// waits for them up to wait, and then returns an empty page.
	Watch(ctx context.Context, kinds []Kind, since Version, wait time.Duration) (Page, error)
}

// EraReporter is a Store that reports the era of its latest response.
type EraReporter interface {
	Era() Era
}

// EraOf returns the era of a store's latest response, or zero if the store does not
// report it.
func EraOf(s Store) Era {
	if reporter, ok := s.(EraReporter); ok {
		return reporter.Era()
	}
	return 0
}

// Role is the role of a VM.
type Role string

// Roles of VMs.
const (
	RoleRouter   Role = "router"
	RoleUpstream Role = "upstream" // with a sidecar on its VM
	RoleDirect   Role = "direct"   // an upstream that routers call without a sidecar
)

// VM is an entry of the platform's list. The list may be outdated.
type VM struct {
	ID string `json:"id"`
	// Instance is the name that an upstream without a sidecar uses for itself. After
	// a restart it has the same name and another ID. Empty: the name is the ID.
	Instance      string `json:"instance,omitempty"`
	Role          Role   `json:"role"`
	Addr          string `json:"addr"`                 // of the router's or sidecar's protocol, host:port
	AdminAddr     string `json:"admin_addr,omitempty"` // of a router's HTTP API for operators, host:port
	Pool          string `json:"pool,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Weight        int    `json:"weight,omitempty"` // relative capacity; zero counts as one
	Slots         int    `json:"slots,omitempty"`  // requests that it processes at a time; zero: unknown
	Leaving       bool   `json:"leaving,omitempty"`
	// Lapsed reports that the entry was removed though it had not announced that the upstream leaves.
	// Leaving is set as well.
	Lapsed bool `json:"-"`
	// Overtaken reports that the store holds an earlier entry than the one that says that the upstream
	// leaves: nodes that have not seen the later one can't know it. Leaving is set as well.
	Overtaken bool `json:"-"`
	// SoftwareVersion is the version of the upstream's software, not of the models that it serves;
	// empty: not known.
	SoftwareVersion string `json:"software_version,omitempty"`
	// StartedAt is when this incarnation of the upstream started, in Unix milliseconds; zero: it does not say.
	StartedAt int64 `json:"-"`
	// WarmAt is when the upstream stops counting as cold after its start; zero: it is warm.
	WarmAt time.Time `json:"-"`
}

// Region returns the region of a failure domain: the part of its name before the first
// slash, or an empty string if the name has no slash.
func Region(failureDomain string) string {
	region, _, found := strings.Cut(failureDomain, "/")
	if !found {
		return ""
	}
	return region
}

// Name returns the name that the VM's upstream uses for itself.
func (vm VM) Name() string {
	if vm.Instance != "" {
		return vm.Instance
	}
	return vm.ID
}

// VMs is a snapshot of the list. Tag identifies its content.
type VMs struct {
	Tag     string `json:"tag"`
	Entries []VM   `json:"vms"`
}

// VMList is the platform's list of VMs.
type VMList interface {
	// VMs returns the list, or changed=false if its tag is still the given one.
	VMs(ctx context.Context, tag string) (vms VMs, changed bool, err error)
}
