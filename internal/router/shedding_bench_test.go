package router

import "testing"

// BenchmarkNothingIsShed measures what a request costs at a pool that is not shared: the question whether
// it is, as often as a request with one attempt asks it.
func BenchmarkNothingIsShed(b *testing.B) {
	for _, mode := range []ShareMode{ShareNever, ShareAuto} {
		b.Run([]string{ShareNever: "never", ShareAuto: "auto"}[mode], func(b *testing.B) {
			m := newTestMesh("a")
			m.router.tuning.Store(&Tuning{SharePools: mode})
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					resp := Response{router: m.router, pool: m.pool()}
					for range 3 {
						if resp.shedder() != nil {
							b.Fail()
						}
					}
				}
			})
		})
	}
}
