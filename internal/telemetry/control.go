package telemetry

// ControlKind is what control traffic is for.
type ControlKind string

// Kinds of control traffic. A package that sends another kind adds it here.
const (
	ControlLoad      ControlKind = "load"      // samples on the back of traffic
	ControlConfig    ControlKind = "config"    // configuration, from the store or from peers
	ControlSuspects  ControlKind = "suspects"  // requests that may crash upstreams
	ControlNotice    ControlKind = "notice"    // of leaving
	ControlHeartbeat ControlKind = "heartbeat" // pings of quiet connections
	ControlHello     ControlKind = "hello"     // introductions on new connections
	ControlHandshake ControlKind = "handshake" // TLS handshakes with sidecars
	ControlCredit    ControlKind = "credit"    // flow control of streams
	ControlReport    ControlKind = "report"    // crashes, to a session's home
	ControlOrder     ControlKind = "order"     // to upstreams
	ControlVMs       ControlKind = "vms"       // readings of the list of VMs
	ControlLease     ControlKind = "lease"     // calls of the store for leases and claims
	ControlStatus    ControlKind = "status"    // asked by operators
)

// ControlBytes counts the control traffic of this process, sent and received,
// by kind. Requests and answers themselves are not in it.
var ControlBytes = NewFamily[ControlKind]("control_bytes_total", "kind",
	"Control traffic sent and received, in bytes, without requests and answers.")
