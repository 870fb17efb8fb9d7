package telemetry

// ControlKind is the purpose of control traffic.
type ControlKind string

// Kinds of control traffic. A package that sends another kind must add it here.
const (
	ControlLoad      ControlKind = "load"      // load samples piggybacked on traffic
	ControlConfig    ControlKind = "config"    // configuration, from the store or from peers
	ControlSuspects  ControlKind = "suspects"  // requests suspected of crashing upstreams
	ControlNotice    ControlKind = "notice"    // notices that a process is leaving
	ControlHeartbeat ControlKind = "heartbeat" // pings on idle connections
	ControlHello     ControlKind = "hello"     // hello messages on new connections
	ControlHandshake ControlKind = "handshake" // TLS handshakes with sidecars
	ControlCredit    ControlKind = "credit"    // flow control of streams
	ControlReport    ControlKind = "report"    // crash reports to a session's home
	ControlOrder     ControlKind = "order"     // orders to upstreams
	ControlVMs       ControlKind = "vms"       // reads of the list of VMs
	ControlLease     ControlKind = "lease"     // calls to the store for leases and claims
	ControlStatus    ControlKind = "status"    // status requests of operators
)

// ControlBytes counts the control traffic that this process sends and receives, by kind, in
// bytes. Requests and responses are not included.
var ControlBytes = NewFamily[ControlKind]("control_bytes_total", "kind",
	"Control traffic sent and received, in bytes, without requests and answers.")
