package wire

import "github.com/parsleyfront/parsleyfront/internal/verdict"

// FencingToken orders the holders of the controller's lease. Each holder has a
// higher one than all holders before it.
type FencingToken int64

// OrderAction is the operation that an order requests from an upstream.
type OrderAction string

// Actions of orders.
const (
	// OrderQuery asks what the upstream has loaded. From then on the sidecar
	// rejects orders with a lower fencing token.
	OrderQuery OrderAction = "query"
	// OrderPrepare drains the upstream before a load: its sidecar accepts no new
	// requests and lets running ones finish.
	OrderPrepare OrderAction = "prepare"
	// OrderLoad makes an upstream that was prepared under the same id load
	// Order.Want.
	OrderLoad OrderAction = "load"
)

// ModelSpec describes the model that an upstream serves.
type ModelSpec struct {
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// Order is an instruction from the controller to an upstream.
type Order struct {
	ID     string       `json:"id"` // an order is executed once per id
	Token  FencingToken `json:"token"`
	Action OrderAction  `json:"action"`
	Want   ModelSpec    `json:"want"`
}

// OrderPhase is the progress of an order.
type OrderPhase string

// Phases of an order.
const (
	PhaseNone     OrderPhase = ""         // the upstream has received no order
	PhaseDraining OrderPhase = "draining" // requests are still running
	PhaseReady    OrderPhase = "ready"    // prepared, waiting for OrderLoad
	PhaseRunning  OrderPhase = "running"  // the upstream is loading
	PhaseDone     OrderPhase = "done"
	PhaseFailed   OrderPhase = "failed"
)

// OrderStatus is the reply to an Order: the state of the latest order at the
// upstream and the model that it serves.
type OrderStatus struct {
	ID     string         `json:"id,omitempty"`
	Phase  OrderPhase     `json:"phase,omitempty"`
	Loaded ModelSpec      `json:"loaded"`
	Token  FencingToken   `json:"token"`         // the highest that the sidecar has seen
	Error  *verdict.Error `json:"err,omitempty"` // why the order was rejected
}
