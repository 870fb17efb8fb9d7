// Package wire implements the protocol between routers and sidecars, over one TCP
// connection per pair. Calls are JSON-RPC 2.0, except for submits; submits, responses
// and their flow control are CBOR frames on the same connection.
//
// Either side can make calls. A sidecar sends the frames of the streams that a
// router has open. A frame carries its stream id, the nonce of the request key and
// its offset in the response, so that a receiver can recognise late, misrouted,
// repeated and missing frames.
package wire

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/idempotency"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Method is the name of a JSON-RPC method.
type Method string

// Calls from a router to a sidecar.
const (
	MethodHello  Method = "hello"
	MethodSubmit Method = "submit"
	MethodAttach Method = "attach"
	MethodCancel Method = "cancel"
	MethodStatus Method = "status"
	MethodNotice Method = "notice"
	MethodReport Method = "report"
	MethodOrder  Method = "order"
)

// Calls that either side can make.
const (
	// MethodConfigSince asks for the configuration objects newer than a version.
	MethodConfigSince Method = "config.since"
	// MethodMembersSince asks for the upstream entries newer than a version. Only
	// routers call it, on other routers.
	MethodMembersSince Method = "members.since"
)

// Calls between sidecars, made by one that is leaving or has just joined.
const (
	MethodImport Method = "import"
	MethodJoined Method = "joined"
)

// Key is a request key without its signature.
type Key = idempotency.Key

// Call is the HTTP request to send to the upstream.
type Call struct {
	Method string      `json:"method"`
	Path   string      `json:"path"` // includes the query, if any
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// RequestPolicy holds the scheduling parameters of one request, as set by its profile
// and organisation. It is sent with the request, so a sidecar needs no
// configuration of its own.
type RequestPolicy struct {
	Profile       string        `json:"profile"`
	Priority      int           `json:"prio,omitempty"`      // higher runs earlier
	LoadMultiple  float64       `json:"mult,omitempty"`      // load bound as a multiple of the pool's mean load; zero: unbounded
	QueueBound    int           `json:"queue,omitempty"`     // maximum number of waiting requests of this profile; zero: no limit
	OrgWeight     int           `json:"weight,omitempty"`    // share of the upstream relative to other organisations; below one: one
	OrgQueueBound int           `json:"org_queue,omitempty"` // the same for the organisation within the profile; zero: no limit
	Idempotent    bool          `json:"idem,omitempty"`
	KeepAnswer    time.Duration `json:"keep,omitempty"`     // minimum time for which the finished response is retained
	FirstByte     time.Duration `json:"first,omitempty"`    // time left until the first byte is due
	Deadline      time.Duration `json:"deadline,omitempty"` // time left for the whole response
}

// Submit asks a sidecar to run a request once.
type Submit struct {
	Key         Key           `json:"key"`
	Successor   *Key          `json:"succ,omitempty"` // key under which the request continues if this sidecar refuses it
	Home        string        `json:"home,omitempty"` // VM that ranks first for the session
	Org         string        `json:"org"`
	Session     uint64        `json:"session,omitempty"`
	Fingerprint uint64        `json:"print,omitempty"` // hash of the organisation and the call
	Policy      RequestPolicy `json:"treat"`
	Call        Call          `json:"call"`
	Stream      StreamID      `json:"stream"` // set by Peer
	Window      int           `json:"window"` // bytes that may be sent before the first Credit
	Trace       string        `json:"trace,omitempty"`
	Control     Control       `json:"ctl"`

	// HasPermit reports whether the sidecar whose upstream crashed while running
	// this request permits it to run alone at another VM (package quarantine).
	HasPermit bool `json:"leave,omitempty"`
}

// Control is the state that routers and sidecars attach to requests and replies.
// Each sender sets the fields that it has: Load, Running, Draining and Down are set
// only by sidecars.
type Control struct {
	// Load is the number of requests that a sidecar has admitted and not yet
	// finished. The reply to an admitted Submit reports the count without that
	// request.
	Load         int             `json:"load,omitempty"`
	Running      int             `json:"running,omitempty"`       // those of Load that run at the upstream
	Draining     bool            `json:"drain,omitempty"`         // the sidecar accepts no new requests
	Down         bool            `json:"down,omitempty"`          // the upstream does not respond to its sidecar
	Samples      []byte          `json:"samples,omitempty"`       // load samples of other upstreams, encoded by package load
	Config       topo.Version    `json:"config,omitempty"`        // version of the newest configuration object known; only between processes that keep a copy
	ConfigDigest uint64          `json:"config_digest,omitempty"` // digest of the whole configuration at that version
	Suspects     json.RawMessage `json:"suspects,omitempty"`      // requests that may crash upstreams, encoded by package quarantine
}

// Admission is the sidecar's decision on a Submit or Attach. With an Error the
// sidecar refuses it; otherwise the response follows as frames. A sidecar that fails
// to decide returns an error instead of an Admission.
type Admission struct {
	Joined    bool           `json:"joined,omitempty"` // the key was known; its response is joined or replayed
	Error     *verdict.Error `json:"err,omitempty"`
	Moved     *Key           `json:"moved,omitempty"` // with an Error of ReasonMoved: the key under which the request continues
	HasPermit bool           `json:"leave,omitempty"` // with Moved: value of Submit.HasPermit for the next submission
	Control   Control        `json:"ctl"`
}

// Attach requests the response for a key, starting at an offset.
type Attach struct {
	Key      Key      `json:"key"`
	Org      string   `json:"org"`
	Offset   int64    `json:"offset"`
	Stream   StreamID `json:"stream"` // set by Peer
	Window   int      `json:"window"`
	HeadSeen bool     `json:"-"` // the reader already has the Head, so it is not delivered again
}

// Cancel asks a sidecar to cancel a request.
type Cancel struct {
	Key Key    `json:"key"`
	Org string `json:"org"`
}

// StatusRequest asks for the state of the request with a key.
type StatusRequest struct {
	Key Key    `json:"key"`
	Org string `json:"org"`
}

// RequestState is the progress of a request.
type RequestState string

// States of a request.
const (
	StateQueued  RequestState = "queued"
	StateRunning RequestState = "running"
	StateDone    RequestState = "done"
)

// Status is the state of a request at a sidecar.
type Status struct {
	State   RequestState    `json:"state"`
	Verdict verdict.Verdict `json:"verdict"`
	Length  int64           `json:"length"` // bytes of the response so far
}

// Hello is the reply to MethodHello, in which a sidecar identifies itself.
type Hello struct {
	VM          string  `json:"vm"`
	Incarnation uint64  `json:"inc"`
	Control     Control `json:"ctl"`
}

// Notice tells a sidecar whether its VM is to leave or to stay. Notices for one VM
// are ordered by Version; a sidecar ignores one older than the newest it has seen.
type Notice struct {
	Leaving bool `json:"leaving"`
	// Version is that of the operators' order. It is zero if the notice follows from
	// the platform's list of VMs, which has no versions.
	Version topo.Version `json:"version"`
}

// ConfigSince asks for the configuration objects newer than a version.
type ConfigSince = config.Query

// ConfigDelta is one part of the reply to ConfigSince.
type ConfigDelta = config.Delta

// Import transfers the cached prefix of a session to the sidecar that will serve
// the session next.
type Import struct {
	Session     uint64 `json:"session"`
	Fingerprint uint64 `json:"print,omitempty"` // of the request whose prompt it is; zero: not known
	Cached      []byte `json:"cached"`          // in the format that the engine exported
}

// Joined asks a sidecar to transfer the cached prefixes of the sessions that now
// rank first at VM, whose upstream has joined the pool.
type Joined struct {
	VM string `json:"vm"`
}

// Report informs a sidecar about a request that may have crashed an upstream, or
// returns a permit. The suspects go to the sidecars to which a resend of the request
// is offered first, such as that of the session's home upstream.
type Report struct {
	Suspects     json.RawMessage `json:"suspects,omitempty"` // as in Control
	UnusedPermit *Permit         `json:"unused,omitempty"`   // permit of the receiving sidecar that will not be used
}

// Permit identifies a sidecar's permission for a submission to run alone at another VM.
type Permit struct {
	Fingerprint uint64      `json:"print"`
	Nonce       token.Nonce `json:"nonce"` // of the submitted key
}

// Empty is the result of a call that returns nothing.
type Empty struct{}
