package router

import (
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// samplesPerMessage is how many loads of other upstreams are sent with each message.
const samplesPerMessage = 5

// loadReports holds the reported loads of one pool's upstreams. It outlives the views
// that refer to it, so that a new sample changes an entry of its table and needs no
// new view. It is safe for concurrent use.
type loadReports struct {
	mu    sync.Mutex
	table *load.Table
}

func newLoadReports() *loadReports {
	return &loadReports{table: load.NewTable()}
}

// choose writes the indices of the upstreams to offer a request to, best first, and
// returns their number.
func (l *loadReports) choose(now time.Time, p *placement.Pool, q placement.Query, out *[placement.MaxCandidates]int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.Choose(now, l.table, q, out)
}

// observe records the load that a sidecar reports of its own upstream, and its samples
// of others.
func (l *loadReports) observe(now time.Time, vm load.VM, weight int, c wire.Control) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Observe(now, vm, load.Report{Load: c.Load, Weight: weight, State: loadState(c)})
	// Samples that can't be decoded come from a sidecar of another release. They are
	// ignored: the sidecar's own load, recorded above, matters more.
	_ = l.table.Merge(now, c.Samples)
}

// samples returns encoded loads of other upstreams for the sidecar of a VM.
func (l *loadReports) samples(now time.Time, vm load.VM) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Pack(now, samplesPerMessage, vm)
}

// retain drops the reports of all upstreams but members.
func (l *loadReports) retain(members []load.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Keep(members)
}

func loadState(c wire.Control) load.State {
	switch {
	case c.Draining:
		return load.Draining
	case c.Down:
		return load.Down
	default:
		return load.Serving
	}
}
