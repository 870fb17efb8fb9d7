package load

import (
	"testing"
	"time"
)

// Of a hundred requests that a router sees in a few seconds, thirty are of one chat,
// and the others of a hundred chats. The hot one is told from those that come twice
// by chance, and forgotten when its surge is over.
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
		t.Errorf("share %.2f of a session that came by chance", highestOther)
	}
	if share := d.RecordRequest(now.Add(5*demandDecay), 1, "chat"); share != 0 {
		t.Errorf("share %.2f long after the surge", share)
	}
}

// A day of sessions that never come back does not grow the table.
func TestDemandDropsOldSessions(t *testing.T) {
	d := NewDemand()
	now := start
	for i := range 200_000 {
		now = now.Add(40 * time.Millisecond)
		d.RecordRequest(now, uint64(i), "chat")
	}
	if n := len(d.counts); n > 2000 {
		t.Errorf("%d sessions are kept", n)
	}
}

// Tags and reports come equally often, and a report takes nine times as long: a chat
// with a third of the reports has more in flight than one with a third of the tags.
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
		t.Errorf("shares %v, want nine times as much of the reports", shares)
	}
}
