package idempotency

import (
	"encoding/binary"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

const testIncarnation = 7

func testKey(inc uint64, id int, expires int64) Key {
	var n token.Nonce
	binary.BigEndian.PutUint64(n[:], uint64(id))
	return Key{VM: "vm", Incarnation: inc, Nonce: n, Expires: expires}
}

// keyHistory is what happened to one key, as seen from outside the table.
type keyHistory struct {
	attempt  Attempt
	admitted int  // how often the key was admitted, without an admission that was withdrawn
	live     bool // admitted, and not yet finished or withdrawn
	notRun   bool // the key's own organisation was told not-run
}

// Guards against a request running twice, or after its caller was told not-run. Copies of
// it arrive late and through other routers, while the table overflows and the clock steps
// back.
func TestKeyStartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := int64(1000)
		table := NewTable(testIncarnation, rapid.IntRange(1, 6).Draw(t, "limit"))
		keys := make([]*keyHistory, 10)
		for i := range keys {
			key := testKey(testIncarnation, i, rapid.Int64Range(990, 1040).Draw(t, "expires"))
			keys[i] = &keyHistory{attempt: Attempt{Key: key, Org: "a", Fingerprint: 1}}
		}
		draw := func() *keyHistory { return rapid.SampledFrom(keys).Draw(t, "key") }
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) { submitOnce(t, table, draw(), now) },
			"end": func(t *rapid.T) {
				if k := draw(); k.live {
					k.live = false
					table.Finish(k.attempt.Key.Nonce, verdict.Ran, time.Unix(now+rapid.Int64Range(0, 30).Draw(t, "keep"), 0))
				}
			},
			"withdraw": func(t *rapid.T) {
				if k := draw(); k.live {
					k.live, k.admitted, k.notRun = false, 0, true
					table.Withdraw(k.attempt.Key.Nonce, verdict.ReasonDeadline)
				}
			},
			"time": func(t *rapid.T) {
				now += rapid.Int64Range(-5, 10).Draw(t, "seconds")
				table.Expire(time.Unix(now, 0))
			},
		})
	})
}

func submitOnce(t *rapid.T, table *Table, k *keyHistory, now int64) {
	a := k.attempt
	a.Org = rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "org")
	a.Fingerprint = rapid.SampledFrom([]uint64{1, 1, 2}).Draw(t, "fingerprint")
	known := k.live || k.admitted > 0 || k.notRun
	if known && a.Org == "b" {
		checkOtherOrganisation(t, table, a, now)
		return
	}
	a.Org = "a"
	result := table.Lookup(time.Unix(now, 0), a)
	switch {
	case result.Outcome == Unseen && rapid.Bool().Draw(t, "admit"):
		k.attempt.Fingerprint = a.Fingerprint
		k.admitted++
		k.live = true
		table.Admit(a)
	case result.Outcome == Unseen:
		k.attempt.Fingerprint = a.Fingerprint
		k.notRun = true
		table.Reject(a, verdict.ReasonOverBound)
	case result.Outcome == Rejected && result.Err.Verdict == verdict.NotRun:
		k.notRun = true
	case a.Fingerprint != k.attempt.Fingerprint && result.Outcome != Rejected:
		t.Fatalf("lookup of a different request under a known key: %v, want a rejection", result.Outcome)
	}
	if k.admitted > 1 || (k.admitted > 0 && k.notRun) {
		t.Fatalf("key admitted %d times, answered not-run: %v", k.admitted, k.notRun)
	}
	if k.live && a.Fingerprint == k.attempt.Fingerprint && result.Outcome != Live && result.Outcome != Unseen {
		t.Fatalf("lookup of a running request: %v, want live", result)
	}
	if table.Len() > table.limit && len(table.evictable) > 0 {
		t.Fatalf("%d entries, limit %d", table.Len(), table.limit)
	}
}

func checkOtherOrganisation(t *rapid.T, table *Table, a Attempt, now int64) {
	result := table.Lookup(time.Unix(now, 0), a)
	if result.Outcome != Rejected || result.Successor != nil {
		t.Fatalf("lookup of another organisation's key: %v, want a rejection without a successor", result)
	}
}

// requestCopy is one copy of a request. Its router sends it under the first key, and then
// under the successor of each key that was rejected.
type requestCopy struct {
	key     Key  // that it is sent under next
	links   int  // number of keys so far
	done    bool // it reached a key that ran, or was rejected without a successor
	verdict verdict.Verdict
}

// Guards against a request that runs twice, or that runs although a router answered
// not-run. A caller without a response resends it. The copies go through different routers,
// which propose different successor keys where the request is rejected. Meanwhile sidecars
// restart and lose their tables.
func TestAtMostOneKeyOfAChainRuns(t *testing.T) {
	const sidecars, maxLinks = 4, 4
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*Table, sidecars)
		for i := range tables {
			tables[i] = NewTable(uint64(i), 2)
		}
		tableOf := func(k Key) *Table { return tables[k.Incarnation%sidecars] }
		keys, runs := 0, 0
		newKey := func() Key {
			keys++
			on := rapid.IntRange(0, sidecars-1).Draw(t, "sidecar")
			k := testKey(tables[on].incarnation, keys, rapid.Int64Range(1000, 1010).Draw(t, "expires"))
			return k
		}
		first := newKey()
		copies := make([]*requestCopy, 3)
		for i := range copies {
			copies[i] = &requestCopy{key: first, links: 1}
		}
		now := time.Unix(1000, 0)
		t.Repeat(map[string]func(*rapid.T){
			"forward": func(t *rapid.T) {
				c := rapid.SampledFrom(copies).Draw(t, "copy")
				if c.done {
					return
				}
				a := Attempt{Key: c.key, Org: "a"}
				if c.links < maxLinks {
					next := newKey()
					a.Successor = &next
				}
				result := tableOf(c.key).Lookup(now, a)
				if result.Outcome == Unseen && rapid.Bool().Draw(t, "admit") {
					tableOf(c.key).Admit(a)
					runs++
					c.done, c.verdict = true, verdict.Ran
					return
				}
				if result.Outcome == Unseen {
					tableOf(c.key).Reject(a, verdict.ReasonOverBound)
					result = tableOf(c.key).Lookup(now, a)
				}
				c.follow(result)
			},
			"traffic": func(t *rapid.T) {
				k := newKey()
				tableOf(k).Reject(Attempt{Key: k, Org: "b"}, verdict.ReasonQueueFull)
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, sidecars-1).Draw(t, "sidecar")
				tables[i] = NewTable(tables[i].incarnation+sidecars, 2)
			},
			"": func(t *rapid.T) { checkChain(t, copies, runs) },
		})
	})
}

func (c *requestCopy) follow(result Result) {
	switch result.Outcome {
	case Moved:
		c.key = *result.Successor
		c.links++
	case Rejected:
		c.done, c.verdict = true, result.Err.Verdict
	default:
		c.done, c.verdict = true, verdict.Ran
	}
}

func checkChain(t *rapid.T, copies []*requestCopy, runs int) {
	if runs > 1 {
		t.Fatalf("the request ran %d times", runs)
	}
	for i, c := range copies {
		if c.done && c.verdict == verdict.NotRun && runs > 0 {
			t.Fatalf("copy %d was answered not-run, but the request ran", i)
		}
	}
}

// BenchmarkTable measures the memory of one entry and the time of one attempt.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			table := NewTable(testIncarnation, n)
			next := Key{VM: "vm-0000"}
			id := 0
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				a := Attempt{Key: testKey(testIncarnation, id, 2000+int64(id/100)), Org: "a", Successor: &next}
				if table.Lookup(now, a).Outcome == Unseen {
					table.Admit(a)
					table.Finish(a.Key.Nonce, verdict.Ran, now)
				}
			}
		})
	}
}
