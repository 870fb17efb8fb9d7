package load

import (
	"testing"
	"time"
)

// A third of the requests that a router receives within a few seconds belong to one session, the
// others to about a hundred sessions. The hot session must be distinguished from those that
// repeat by chance, and be forgotten after its surge.
func TestDemandDistinguishesHotSessions(t *testing.T) {
	d := NewDemand()
	now := start
	share, highestOther := 0.0, 0.0
	for i := range 120 {
		now = now.Add(40 * time.Millisecond)
		if i%3 == 0 {
			share = d.RecordRequest(now, 1, "chat")
			continue
		}
		highestOther = max(highestOther, d.RecordRequest(now, uint64(2+i%97), "chat"))
	}
	if share < 0.15 || share > 1.0/3 {
		t.Errorf("share %.2f of a session with a third of the requests", share)
	}
	if highestOther > 0.01 {
		t.Errorf("share %.2f of a session that repeated by chance", highestOther)
	}
	if share := d.RecordRequest(now.Add(5*demandDecay), 1, "chat"); share != 0 {
		t.Errorf("share %.2f long after the surge", share)
	}
}

// Guards against unbounded growth of the table through sessions that never return.
func TestDemandDropsOldSessions(t *testing.T) {
	d := NewDemand()
	now := start
	for i := range 200_000 {
		now = now.Add(40 * time.Millisecond)
		d.RecordRequest(now, uint64(i), "chat")
	}
	if n := len(d.counts); n > 2000 {
		t.Errorf("%d sessions are kept, want 2000 at most", n)
	}
}

// Tags and reports are equally frequent, but a report takes nine times as long. A session with a
// third of the reports therefore has a larger share of the requests in flight than one with a
// third of the tags.
func TestDemandWeighsByDuration(t *testing.T) {
	d := NewDemand()
	now := start
	shares := make(map[string]float64)
	for i := range 240 {
		now = now.Add(20 * time.Millisecond)
		kind, duration := "tag", 100*time.Millisecond
		if i%2 == 0 {
			kind, duration = "report", 900*time.Millisecond
		}
		d.RecordDuration(kind, duration)
		session := uint64(10 + i)
		if i%6 < 2 {
			session = uint64(i % 2)
		}
		share := d.RecordRequest(now, session, kind)
		if session < 2 {
			shares[kind] = share
		}
	}
	if ratio := shares["report"] / shares["tag"]; ratio < 6 || ratio > 12 {
		t.Errorf("shares %v, want the share of the reports to be about nine times as large", shares)
	}
}
