package daemon

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
)

const (
	// routerHeapFloor is how far the heap of a router grows at least from one
	// garbage collection to the next, in bytes. A router that holds little
	// would otherwise collect dozens of times a second at its peak.
	routerHeapFloor = 64 << 20

	// defaultGCPercent is Go's own setting: as much as is in use.
	defaultGCPercent = 100

	// smallestHeap bounds the setting where next to nothing is in use, in bytes.
	smallestHeap = 1 << 20

	liveHeap = "/gc/heap/live:bytes"
)

// growBetweenCollections keeps the heap's growth at floor or more. It leaves
// the operator's own GOGC alone.
func growBetweenCollections(floor uint64) {
	if os.Getenv("GOGC") == "" {
		adjustGC(floor)
	}
}

// adjustGC sets the pace by what is in use now, and again after each collection:
// an object that nobody refers to is cleaned up by the next one.
func adjustGC(floor uint64) {
	sample := []metrics.Sample{{Name: liveHeap}}
	metrics.Read(sample)
	debug.SetGCPercent(gcPercent(sample[0].Value.Uint64(), floor))
	type marker struct{ _ [64]byte }
	runtime.AddCleanup(new(marker), adjustGC, floor)
}

// gcPercent returns by how many percent a heap with live bytes in use may grow.
func gcPercent(live, floor uint64) int {
	return int(max(defaultGCPercent, 100*floor/max(live, smallestHeap)))
}
