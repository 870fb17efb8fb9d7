package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against every router of a large fleet calling the store for the lease: 330
// routers would use a noticeable part of its 2000 reads a second.
func TestStoreCallRateOfALargeFleet(t *testing.T) {
	const routers, minutes = 330, 10
	var names []string
	for i := range routers {
		names = append(names, fmt.Sprint("entry-", i))
	}
	sim := &simulation{}
	candidates := 0
	for _, n := range names {
		sim.candidates = append(sim.candidates, &candidate{id: n, state: NewState(n, DefaultTTL), clockPermille: 1000})
	}
	isCandidate := make(map[string]bool)
	for _, n := range names {
		isCandidate[n] = IsCandidate("controller", n, names)
		if isCandidate[n] {
			candidates++
		}
	}
	for range minutes * 60 {
		for _, c := range sim.candidates {
			sim.step(c, Tick{Now: sim.clock(c), IsCandidate: isCandidate[c.id]})
		}
		sim.answerAll()
		sim.now += time.Second
	}
	writes := len(slices.DeleteFunc(slices.Clone(sim.calls), func(k *call) bool { _, put := k.effect.(Put); return !put }))
	seconds := float64(minutes * 60)
	t.Logf("%d routers: %.2f reads and %.2f writes a second", routers, float64(len(sim.calls)-writes)/seconds, float64(writes)/seconds)
	if candidates != MaxCandidates || len(sim.holders()) != 1 {
		t.Fatalf("%d candidates and %d holders of the lease", candidates, len(sim.holders()))
	}
	if perSecond := float64(len(sim.calls)) / seconds; perSecond > 1 {
		t.Fatalf("%.2f store calls a second, want at most 1", perSecond)
	}
}
