package router

import (
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// samplesPerMessage is how many loads of other upstreams go with each message.
const samplesPerMessage = 5

// loadReports are the loads of one pool's upstreams as this router has heard them.
// They outlive the views that refer to them, so a new sample costs one entry
// of a table and no new view.
type loadReports struct {
	mu    sync.Mutex
	table *load.Table
}

func newLoadReports() *loadReports {
	return &loadReports{table: load.NewTable()}
}

// choose writes the indices of the upstreams to which to offer a request.
func (b *loadReports) choose(now time.Time, p *placement.Pool, q placement.Query, out *[placement.MaxCandidates]int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return p.Choose(now, b.table, q, out)
}

// observe takes in what a sidecar says of itself and of others.
func (b *loadReports) observe(now time.Time, vm load.VM, weight int, c wire.Control) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Observe(now, vm, load.Report{Load: c.Load, Weight: weight, State: loadState(c)})
	// Samples that cannot be read are a peer of another version: its own load
	// above is what matters.
	_ = b.table.Merge(now, c.Samples)
}

// samples returns what to tell a VM's sidecar.
func (b *loadReports) samples(now time.Time, vm load.VM) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Pack(now, samplesPerMessage, vm)
}

func (b *loadReports) retain(members []load.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Keep(members)
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
