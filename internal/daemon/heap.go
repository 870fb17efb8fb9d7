package daemon

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
)

const (
	// routerHeapGrowthFloor is how far the heap of a router grows at least from one
	// garbage collection to the next, in bytes. A router that holds little
	// would otherwise collect dozens of times a second at its peak.
	routerHeapGrowthFloor = 64 << 20

	// defaultGCPercent is Go's own setting: as much as is in use.
	defaultGCPercent = 100

	// minLiveHeap bounds the setting where next to nothing is in use, in bytes.
	// It lies under the heap of a process that has done no more than start, about
	// 500 KB, for which the setting would otherwise fall short of the floor.
	minLiveHeap = 256 << 10

	liveHeapMetric    = "/gc/heap/live:bytes"
	totalMemoryMetric = "/memory/classes/total:bytes"
)

// setMinHeapGrowth keeps the heap's growth at floor or more. It leaves
// the operator's own GOGC alone.
func setMinHeapGrowth(floor uint64) {
	if os.Getenv("GOGC") == "" {
		adjustGC(floor)
	}
}

// adjustGC sets the pace by what is in use now, and again after each collection:
// an object that nobody refers to is cleaned up by the next one.
func adjustGC(floor uint64) {
	live, nonHeap := processMemory()
	debug.SetGCPercent(gcPercent(live, floor))
	debug.SetMemoryLimit(memoryLimit(live, nonHeap, floor))
	type marker struct{ _ [64]byte }
	runtime.AddCleanup(new(marker), adjustGC, floor)
}

// heapMemoryMetrics is the memory of the heap, by what it is used for.
var heapMemoryMetrics = []string{
	"/memory/classes/heap/objects:bytes",
	"/memory/classes/heap/unused:bytes",
	"/memory/classes/heap/free:bytes",
	"/memory/classes/heap/released:bytes",
}

// processMemory returns what the last collection left in the heap, and the memory
// of the process beside the heap, in bytes.
func processMemory() (live, nonHeap uint64) {
	samples := []metrics.Sample{{Name: liveHeapMetric}, {Name: totalMemoryMetric}}
	for _, name := range heapMemoryMetrics {
		samples = append(samples, metrics.Sample{Name: name})
	}
	metrics.Read(samples)
	nonHeap = samples[1].Value.Uint64()
	for _, heap := range samples[2:] {
		nonHeap -= min(nonHeap, heap.Value.Uint64())
	}
	return samples[0].Value.Uint64(), nonHeap
}

// gcPercent returns by how many percent a heap with live bytes in use may grow.
func gcPercent(live, floor uint64) int {
	return int(max(defaultGCPercent, 100*floor/max(live, minLiveHeap)))
}

// memoryLimit returns the memory at which a collection starts whatever the
// percentage says. Go scales its smallest heap of 4 MiB by the percentage, so
// that a small one would grow to many times the floor: 1 GB for 256 KB in use
// and a floor of 64 MB.
func memoryLimit(live, nonHeap, floor uint64) int64 {
	return int64(2*live + floor + nonHeap)
}
