package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Requests with parts in common are left, answered, lost at crashes and expire, in any order. Guards against an index of
// them that still names a request which has ended, or names one that is there no more: routers would hold requests back
// for nothing, or send those that crash upstreams.
func TestWhereaboutsAreThoseOfTheRequestsThatAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount()
		now := time.Unix(1000, 0)
		upstreams := []string{"a", "b", "c"}
		parts := []Fingerprint{PartFingerprint(1), PartFingerprint(2), PartFingerprint(3)}
		var sent []*Sent
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			upstream := rapid.SampledFrom(upstreams).Draw(t, "upstream")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				own := rapid.SliceOfN(rapid.SampledFrom(parts), 0, 3).Draw(t, "parts")
				sent = append(sent, a.Send(now, upstream, Copy{Fingerprint: ContentFingerprint(uint64(len(sent) + 10)), Parts: own}))
			case 2:
				a.Sign(now, upstream)
			case 3:
				a.Crashed(now, upstream)
			case 4:
				a.Expire(now)
			case 5:
				if len(sent) > 0 {
					s := rapid.SampledFrom(sent).Draw(t, "request")
					rapid.SampledFrom([]func(){
						func() { a.Left(now, s) }, func() { a.Lost(now, s) }, func() { a.Answered(s) },
					}).Draw(t, "end")()
				}
			}
			checkIndex(t, a)
		}
	})
}

// checkIndex checks that the index of ended requests names each of those in the lists of upstreams once by each of its
// fingerprints, and no others.
func checkIndex(t *rapid.T, a *Account) {
	want := make(map[Fingerprint]map[*Sent]bool)
	size := 0
	for _, r := range a.upstreams {
		for _, s := range r.ended {
			size++
			for _, p := range s.copy.prints() {
				if want[p] == nil {
					want[p] = make(map[*Sent]bool)
				}
				want[p][s] = true
			}
		}
	}
	if size != a.size || len(want) != len(a.ended) {
		t.Fatalf("size %d, %d fingerprints, want %d and %d", a.size, len(a.ended), size, len(want))
	}
	for p, all := range a.ended {
		got := make(map[*Sent]bool)
		for _, s := range all {
			if got[s] || !want[p][s] {
				t.Fatalf("fingerprint %x names a request twice, or one that is not kept", p)
			}
			got[s] = true
		}
		if len(got) != len(want[p]) {
			t.Fatalf("fingerprint %x names %d requests, want %d", p, len(got), len(want[p]))
		}
	}
}
