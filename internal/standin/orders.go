package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// OrdersConfig configures how a stand-in engine handles orders.
type OrdersConfig struct {
	Loaded             wire.ModelSpec // model loaded initially
	ChecksFencingToken bool           // reject an order whose fencing token is lower than the last one
	Weights            string         // URL of the weight store; if empty, loads do not fetch weights
	LoadDuration       time.Duration  // added to the time of fetching the weights
}

// Orders is the part of a stand-in engine that accepts and runs orders.
type Orders struct {
	config OrdersConfig

	mu       sync.Mutex
	status   wire.OrderStatus
	accepted []wire.Order
}

// NewOrders returns an Orders with the given configuration.
func NewOrders(c OrdersConfig) *Orders {
	return &Orders{config: c, status: wire.OrderStatus{Loaded: c.Loaded}}
}

// Register adds the routes for orders to mux.
func (o *Orders) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, o.Status()) })
	mux.HandleFunc("POST /orders", o.serveOrder)
	mux.HandleFunc("GET /debug/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, o.Accepted()) })
}

// Status returns the status of the latest order and the loaded model.
func (o *Orders) Status() wire.OrderStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.status
}

// Accepted returns the orders that were started, oldest first.
func (o *Orders) Accepted() []wire.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]wire.Order{}, o.accepted...)
}

func (o *Orders) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order wire.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	w.WriteHeader(o.start(order, wire.FencingToken(token)))
}

// start starts an order and returns the HTTP status code. An order with the ID of the
// latest one is not started again.
func (o *Orders) start(order wire.Order, token wire.FencingToken) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.config.ChecksFencingToken && token < o.status.Token:
		return http.StatusPreconditionFailed
	case order.ID == o.status.ID:
		return http.StatusOK
	case o.status.Phase == wire.PhaseRunning:
		return http.StatusConflict
	}
	o.status.ID, o.status.Phase, o.status.Token = order.ID, wire.PhaseRunning, token
	o.accepted = append(o.accepted, order)
	go o.load(order)
	return http.StatusAccepted
}

// load runs an order and updates the status at its end.
func (o *Orders) load(order wire.Order) {
	phase := wire.PhaseDone
	if o.config.Weights != "" {
		resp, err := http.Get(o.config.Weights + "/weights/" + order.Want.Model + "/" + order.Want.Version)
		if err == nil {
			_ = resp.Body.Close()
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			phase = wire.PhaseFailed
		}
	}
	time.Sleep(o.config.LoadDuration)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.status.Phase = phase
	if phase == wire.PhaseDone {
		o.status.Loaded = order.Want
	}
}
