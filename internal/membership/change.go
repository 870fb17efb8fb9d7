package membership

import "github.com/parsleyfront/parsleyfront/internal/topo"

// ChangeKind is the kind of a change of an entry.
type ChangeKind uint8

// Kinds of changes.
const (
	Written  ChangeKind = iota // the entry exists and describes an upstream
	Removed                    // the entry no longer exists
	Unusable                   // the entry exists and describes no usable upstream
)

// Change is a change of one entry.
type Change struct {
	Kind  ChangeKind
	Entry Entry // only Name is set unless Kind is Written
}

// ApplyResult is the outcome of State.Apply.
type ApplyResult struct {
	// Replaced are the VMs whose upstreams have restarted: their requests are lost,
	// although connections to them may not show it.
	Replaced []topo.VM
	// Outdated is the number of ignored writes: made by former incarnations, overtaken by later
	// writes of the same one, or repeated by a restored store.
	Outdated int
}
