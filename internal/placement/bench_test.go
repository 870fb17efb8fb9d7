package placement

import (
	"fmt"
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// BenchmarkChoose measures one choice, with and without a session.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{130, 1000, 2900} {
		for _, weights := range []int{1, 3} {
			ms := newMembers(n)
			table := load.NewTable()
			for i := range ms {
				ms[i].Weight = 1 + i%weights
				table.Observe(start, ms[i].VM, load.Report{Load: 50 + i%7, Weight: ms[i].Weight})
			}
			p := NewPool(ms, Locality{})
			for _, kind := range []string{"session", "spread"} {
				b.Run(fmt.Sprintf("upstreams=%d/weights=%d/%s", n, weights, kind), func(b *testing.B) {
					b.ReportAllocs()
					var out [MaxCandidates]int
					q := Query{Ticket: None, LoadMultiple: 1.25}
					for i := range b.N {
						q.Random = uint64(i)
						if kind == "session" {
							q.Session = mix(uint64(i)) | 1
						}
						p.Choose(start, table, q, &out)
					}
				})
			}
		}
	}
}
