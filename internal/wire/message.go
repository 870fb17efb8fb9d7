// Package wire is the protocol between routers and sidecars, over one TCP
// connection a pair: calls as JSON-RPC 2.0, answers and their flow control as
// frames in CBOR beside it.
//
// Either side calls. A sidecar sends the frames of the streams that a router
// has open. A frame names its stream, the nonce of the request key and its
// offset in the answer, so a receiver can tell a late, crossed, repeated or
// missing frame from the one it waits for.
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

// Calls that either side makes of the other.
const (
	MethodConfigSince Method = "config.since"
	// MethodMembersSince is the same for entries of upstreams, between routers.
	MethodMembersSince Method = "members.since"
)

// Calls from a sidecar that leaves or has joined to another.
const (
	MethodImport Method = "import"
	MethodJoined Method = "joined"
)

// Key is a request key without its signature.
type Key = idempotency.Key

// Call is the request to be made of the upstream.
type Call struct {
	Method string      `json:"method"`
	Path   string      `json:"path"` // with the query, if any
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Treatment is what the profile and the organisation ask for one request. It
// travels with the request, so a sidecar needs no configuration of its own.
type Treatment struct {
	Profile       string        `json:"profile"`
	Priority      int           `json:"prio,omitempty"`  // higher runs earlier
	LoadMultiple  float64       `json:"mult,omitempty"`  // of the pool's mean load; zero: unbounded
	QueueBound    int           `json:"queue,omitempty"` // requests waiting, of this profile
	OrgWeight     int           `json:"weight,omitempty"`
	OrgQueueBound int           `json:"org_queue,omitempty"`
	Idempotent    bool          `json:"idem,omitempty"`
	KeepAnswer    time.Duration `json:"keep,omitempty"`
	FirstByte     time.Duration `json:"first,omitempty"`    // left until the first byte is due
	Deadline      time.Duration `json:"deadline,omitempty"` // left for the whole answer
}

// Submit asks a sidecar to run a request once.
type Submit struct {
	Key         Key       `json:"key"`
	Successor   *Key      `json:"succ,omitempty"` // where the request goes on if it is refused here
	Home        string    `json:"home,omitempty"` // VM that ranks first for the session
	Org         string    `json:"org"`
	Session     uint64    `json:"session,omitempty"`
	Fingerprint uint64    `json:"print,omitempty"` // of the organisation and the call
	Treatment   Treatment `json:"treat"`
	Call        Call      `json:"call"`
	Stream      StreamID  `json:"stream"` // set by Peer
	Window      int       `json:"window"` // bytes that may be sent ahead of credit
	Trace       string    `json:"trace,omitempty"`
	Control     Control   `json:"ctl"`

	// HasPermit is the word of the sidecar that saw the upstream crash under this
	// request: it may run alone at another VM (package quarantine).
	HasPermit bool `json:"leave,omitempty"`
}

// Control is what nodes tell each other on the back of a request or a reply.
type Control struct {
	// Load is, of sidecars, the requests admitted and not yet ended. The reply to
	// a Submit that has been admitted tells them as it found them.
	Load         int             `json:"load,omitempty"`
	Running      int             `json:"running,omitempty"`       // those of them at the upstream
	Draining     bool            `json:"drain,omitempty"`         // the sidecar takes no new work
	Down         bool            `json:"down,omitempty"`          // the upstream does not answer its sidecar
	Samples      []byte          `json:"samples,omitempty"`       // loads of other upstreams, packed by package load
	Config       topo.Version    `json:"config,omitempty"`        // newest configuration object known; only between nodes that keep a copy
	ConfigDigest uint64          `json:"config_digest,omitempty"` // of all configuration at that version
	Suspects     json.RawMessage `json:"suspects,omitempty"`
}

// Admission is the reply to a Submit or Attach. Without an Error the answer
// follows as frames.
type Admission struct {
	Joined    bool           `json:"joined,omitempty"` // the key was known; its answer is joined or replayed
	Error     *verdict.Error `json:"err,omitempty"`
	Moved     *Key           `json:"moved,omitempty"` // with an Error of ReasonMoved: follow this key
	HasPermit bool           `json:"leave,omitempty"` // with Moved: for Submit.Leave along the chain
	Control   Control        `json:"ctl"`
}

// Attach asks for the answer to a key from an offset on.
type Attach struct {
	Key      Key      `json:"key"`
	Org      string   `json:"org"`
	Offset   int64    `json:"offset"`
	Stream   StreamID `json:"stream"` // set by Peer
	Window   int      `json:"window"`
	HeadSeen bool     `json:"-"` // the reader has the Head and is not given it again
}

// Cancel asks a sidecar to end a request.
type Cancel struct {
	Key Key    `json:"key"`
	Org string `json:"org"`
}

// StatusRequest asks what became of a key.
type StatusRequest struct {
	Key Key    `json:"key"`
	Org string `json:"org"`
}

// RequestState says how far a request has come.
type RequestState string

// States of a request.
const (
	StateQueued  RequestState = "queued"
	StateRunning RequestState = "running"
	StateDone    RequestState = "done"
)

// Status is what a sidecar knows of a request.
type Status struct {
	State   RequestState    `json:"state"`
	Verdict verdict.Verdict `json:"verdict"`
	Length  int64           `json:"length"` // bytes of the answer so far
}

// Hello is a sidecar's introduction.
type Hello struct {
	VM          string  `json:"vm"`
	Incarnation uint64  `json:"inc"`
	Control     Control `json:"ctl"`
}

// Notice tells a sidecar that its VM is to leave or to stay. Notices of one VM
// are ordered by Version; a sidecar ignores one that is older than it knows.
type Notice struct {
	Leaving bool         `json:"leaving"`
	Version topo.Version `json:"version"` // zero: from the list of VMs, which has no versions
}

// ConfigSince asks for the configuration objects newer than a version.
type ConfigSince = config.Query

// ConfigDelta is a piece of the answer to ConfigSince.
type ConfigDelta = config.Delta

// Import hands the cached prefix of a session to the sidecar that serves the
// session next.
type Import struct {
	Session uint64 `json:"session"`
	Cached  []byte `json:"cached"` // as the engine exported it
}

// Joined asks a sidecar to hand over the cached prefixes of the sessions that
// rank first at an upstream that has joined the pool.
type Joined struct {
	VM string `json:"vm"`
}

// Report tells a sidecar of suspects for which it is the home: a resend of the
// request would be offered to it first.
type Report struct {
	Suspects     json.RawMessage `json:"suspects,omitempty"`
	UnusedPermit *Permit         `json:"unused,omitempty"`
}

// Permit names the leave to run alone elsewhere that a sidecar gave a submission.
type Permit struct {
	Fingerprint uint64      `json:"print"`
	Nonce       token.Nonce `json:"nonce"` // of the key that was submitted
}

// Empty is the result of a call that returns nothing.
type Empty struct{}
