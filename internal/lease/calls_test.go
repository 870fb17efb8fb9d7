package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// All 330 routers of a large fleet look after the lease. If each asked the
// store, it would spend a part of the two thousand reads a second on that alone.
func TestStoreCallRateOfALargeFleet(t *testing.T) {
	const routers, minutes = 330, 10
	var names []string
	for i := range routers {
		names = append(names, fmt.Sprint("entry-", i))
	}
	w := &simulation{}
	candidates := 0
	for _, n := range names {
		w.candidates = append(w.candidates, &candidate{id: n, state: NewState(n, DefaultTTL), clockPermille: 1000})
	}
	isCandidate := make(map[string]bool)
	for _, n := range names {
		isCandidate[n] = IsCandidate("controller", n, names)
		if isCandidate[n] {
			candidates++
		}
	}
	for range minutes * 60 {
		for _, c := range w.candidates {
			w.step(c, Tick{Now: w.clock(c), IsCandidate: isCandidate[c.id]})
		}
		w.answerAll()
		w.now += time.Second
	}
	writes := len(slices.DeleteFunc(slices.Clone(w.calls), func(k *call) bool { _, put := k.effect.(Put); return !put }))
	seconds := float64(minutes * 60)
	t.Logf("%d routers: %.2f reads and %.2f writes a second", routers, float64(len(w.calls)-writes)/seconds, float64(writes)/seconds)
	if candidates != MaxCandidates || len(w.holders()) != 1 {
		t.Fatalf("%d stand and %d hold", candidates, len(w.holders()))
	}
	if perSecond := float64(len(w.calls)) / seconds; perSecond > 1 {
		t.Fatalf("%.2f calls a second", perSecond)
	}
}
