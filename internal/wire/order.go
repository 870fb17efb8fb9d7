package wire

import "github.com/parsleyfront/parsleyfront/internal/verdict"

// FencingToken orders the holders of the controller's lease. Each holder's is
// higher than all before.
type FencingToken int64

// OrderAction is what an order asks of an upstream.
type OrderAction string

// Actions of orders.
const (
	// OrderQuery asks what the upstream has loaded, and makes the sidecar turn
	// away orders with a lower fencing token from then on.
	OrderQuery OrderAction = "query"
	// OrderPrepare empties the upstream for a load: its sidecar takes no new
	// work and lets what runs finish.
	OrderPrepare OrderAction = "prepare"
	// OrderLoad makes an upstream that has been prepared under the same id load
	// what Order.Want says.
	OrderLoad OrderAction = "load"
)

// Loaded is what an upstream serves.
type Loaded struct {
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// Order is an instruction of the controller to an upstream.
type Order struct {
	ID     string       `json:"id"` // the same id is the same order: it is carried out once
	Token  FencingToken `json:"token"`
	Action OrderAction  `json:"action"`
	Want   Loaded       `json:"want"`
}

// OrderPhase says how far an order has come.
type OrderPhase string

// Phases of an order.
const (
	PhaseNone     OrderPhase = ""         // the upstream has had no order
	PhaseDraining OrderPhase = "draining" // requests are still running
	PhaseReady    OrderPhase = "ready"    // prepared, and waits for the load
	PhaseRunning  OrderPhase = "running"  // it loads
	PhaseDone     OrderPhase = "done"
	PhaseFailed   OrderPhase = "failed"
)

// OrderStatus is the reply to an Order: the latest order at the upstream, and
// what it serves.
type OrderStatus struct {
	ID     string         `json:"id,omitempty"`
	Phase  OrderPhase     `json:"phase,omitempty"`
	Loaded Loaded         `json:"loaded"`
	Token  FencingToken   `json:"token"`         // the highest that the sidecar knows
	Error  *verdict.Error `json:"err,omitempty"` // why the order was not taken
}
