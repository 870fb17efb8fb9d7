package gateway

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

const (
	// orgBodyShare is the largest share of the budget that the bodies of one organisation may
	// take, so that an organisation whose callers send slowly does not use it up for all.
	orgBodyShare = 0.5
	// bodyReserve is how many bytes of a body of unknown length are reserved at a time.
	bodyReserve = 16 << 10
	// bodyRetryAfter is when a caller may return whose body there was no memory for. Bodies are
	// held for as long as their requests, some seconds.
	bodyRetryAfter = time.Second
)

var (
	bodyBytes = telemetry.NewGauge("gateway_body_bytes",
		"Bytes of memory that the bodies of callers' requests take now.")
	bodyRefusals = telemetry.NewFamily[bodyRefusal]("gateway_body_refusals_total", "by",
		"Requests that were refused because there was no memory for their bodies: of the router, or of the organisation's share.", telemetry.Alert)
)

// bodyRefusal is the limit by which a body was refused.
type bodyRefusal string

const (
	bodyRefusedInAll        bodyRefusal = "router"
	bodyRefusedOrganisation bodyRefusal = "organisation"
)

// errNoBodyMemory is returned for a body that does not fit into the budget.
var errNoBodyMemory = errors.New("gateway: no memory for the body")

// BodyBudget bounds the memory that the bodies of requests take at one router. A router keeps a body
// until its request has ended, because another attempt may need it. Without a bound, callers and
// upstreams that are slow at the same time would make it grow until the VM's memory is used up, and
// every request of the router would be lost. It is safe for concurrent use.
type BodyBudget struct {
	limit int64 // in bytes; zero: unlimited

	mu    sync.Mutex
	held  int64
	byOrg map[string]int64
}

// NewBodyBudget returns a BodyBudget of so many bytes; zero: unlimited.
func NewBodyBudget(limit int64) *BodyBudget {
	return &BodyBudget{limit: limit, byOrg: make(map[string]int64)}
}

// reserve takes n bytes for a body of an organisation, which is empty for anonymous requests. It
// returns errNoBodyMemory, and takes nothing, if that would exceed the limit.
func (b *BodyBudget) reserve(org string, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.limit <= 0:
	case b.held+n > b.limit:
		bodyRefusals.Inc(bodyRefusedInAll)
		return errNoBodyMemory
	case float64(b.byOrg[org]+n) > orgBodyShare*float64(b.limit):
		bodyRefusals.Inc(bodyRefusedOrganisation)
		return errNoBodyMemory
	}
	b.held += n
	b.byOrg[org] += n
	bodyBytes.Set(b.held)
	return nil
}

// release returns n bytes that reserve has taken.
func (b *BodyBudget) release(org string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
	if b.byOrg[org] -= n; b.byOrg[org] <= 0 {
		delete(b.byOrg, org)
	}
	bodyBytes.Set(b.held)
}

// reservation is the part of a BodyBudget that one body takes.
type reservation struct {
	budget *BodyBudget
	org    string
	bytes  int64
}

// grow reserves n more bytes.
func (r *reservation) grow(n int64) error {
	if err := r.budget.reserve(r.org, n); err != nil {
		return err
	}
	r.bytes += n
	return nil
}

// release returns all reserved bytes.
func (r *reservation) release() {
	r.budget.release(r.org, r.bytes)
	r.bytes = 0
}

// reservedReader reads a body of unknown length and reserves its bytes before it reads them.
type reservedReader struct {
	io.Reader
	reservation *reservation
	read        int64
}

// Read implements io.Reader. It returns errNoBodyMemory if the budget is used up.
func (r *reservedReader) Read(p []byte) (int, error) {
	if r.read >= r.reservation.bytes {
		if err := r.reservation.grow(bodyReserve); err != nil {
			return 0, err
		}
	}
	n, err := r.Reader.Read(p[:min(int64(len(p)), r.reservation.bytes-r.read)])
	r.read += int64(n)
	return n, err
}

// noBodyMemory returns the refusal of a request whose body does not fit into the budget.
func noBodyMemory() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "there is no memory for the body now").WithRetryAfter(bodyRetryAfter)
}
