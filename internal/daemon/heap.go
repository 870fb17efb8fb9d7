package daemon

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
)

const (
	// routerHeapGrowthFloor is the minimum growth of a router's heap from one garbage
	// collection to the next, in bytes. A router with a small heap would otherwise collect
	// dozens of times a second at peak load.
	routerHeapGrowthFloor = 64 << 20

	// defaultGCPercent is Go's default of GOGC: the heap grows by its live size.
	defaultGCPercent = 100

	// minLiveHeap is the smallest live heap, in bytes, for which the percentage is computed.
	// It must be below the live heap of a process that has just started, about 500 KB.
	// Otherwise such a process would grow by less than the floor.
	minLiveHeap = 256 << 10

	liveHeapMetric    = "/gc/heap/live:bytes"
	totalMemoryMetric = "/memory/classes/total:bytes"
)

// setMinHeapGrowth makes the heap grow by at least floor bytes between collections, unless
// the environment sets GOGC.
func setMinHeapGrowth(floor uint64) {
	if os.Getenv("GOGC") == "" {
		adjustGC(floor)
	}
}

// adjustGC sets the collector's percentage and memory limit for the current live heap. It
// runs again after each collection: it allocates an unreachable object and registers itself
// as its cleanup, which the runtime calls after the next collection.
func adjustGC(floor uint64) {
	live, nonHeap := processMemory()
	debug.SetGCPercent(gcPercent(live, floor))
	debug.SetMemoryLimit(memoryLimit(live, nonHeap, floor))
	type marker struct{ _ [64]byte }
	runtime.AddCleanup(new(marker), adjustGC, floor)
}

// heapMemoryMetrics lists the metrics whose sum is the memory of the heap.
var heapMemoryMetrics = []string{
	"/memory/classes/heap/objects:bytes",
	"/memory/classes/heap/unused:bytes",
	"/memory/classes/heap/free:bytes",
	"/memory/classes/heap/released:bytes",
}

// processMemory returns the live heap after the last collection and the memory that the
// process uses outside the heap, in bytes.
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

// gcPercent returns the percentage by which a heap of live bytes may grow until the next
// collection, so that it grows by at least floor bytes.
func gcPercent(live, floor uint64) int {
	return int(max(defaultGCPercent, 100*floor/max(live, minLiveHeap)))
}

// memoryLimit returns the memory use in bytes at which a collection starts regardless of
// the percentage. Go scales its minimum heap of 4 MiB by the percentage, so that a small
// heap would grow to many times the floor: to 1 GB with 256 KB in use and a floor of 64 MB.
func memoryLimit(live, nonHeap, floor uint64) int64 {
	return int64(2*live + floor + nonHeap)
}

// limitHeap makes the garbage of a process be collected more often as its memory approaches that of its machine, unless
// the environment sets GOMEMLIMIT. By the percentage alone the heap may be twice its live size, so that half of the
// machine's memory in use would be too much. memoryBytes is zero if the machine's memory is not known.
func limitHeap(memoryBytes int64) {
	if memoryBytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(heapLimitFraction * float64(memoryBytes)))
	}
}
