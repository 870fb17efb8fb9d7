package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// tickNotices steps a state through a tick and returns its notices.
func tickNotices(s *State, now time.Time) []Notify {
	var out []Notify
	for _, e := range s.Step(ConfigEvent{Event: config.Ticked{Now: now}}) {
		if n, ok := e.(Notify); ok {
			out = append(out, n)
		}
	}
	return out
}

// An upstream is to leave that no router happens to be connected to. The first
// router with old news connects, and its work is accepted: nobody has told the
// sidecar. Were all routers to tell it, each leaving would cost it hundreds of
// connections.
func TestThreeRoutersConnectToALeavingVM(t *testing.T) {
	const routers = 40
	list := topo.VMs{Entries: []topo.VM{{ID: "engine", Role: topo.RoleUpstream, Leaving: true}}}
	for i := range routers {
		list.Entries = append(list.Entries, topo.VM{ID: fmt.Sprint("router-", i), Role: topo.RoleRouter})
	}
	now := time.Unix(1000, 0)
	seekers := 0
	for i := range routers {
		s := NewState(fmt.Sprint("router-", i), placement.Locality{}, config.DefaultPace(), 1)
		s.Step(VMsChanged{Now: now, VMs: list})
		sent := tickNotices(s, now)
		if len(sent) != 1 {
			t.Fatalf("router %d sends %v", i, sent)
		}
		if sent[0].Connect {
			seekers++
		}
	}
	if seekers != noticeConnectors {
		t.Fatalf("%d routers connect on purpose", seekers)
	}
}

// The notice is lost on its way, or the sidecar restarts after it has taken it
// and takes new work again.
func TestNoticeIsRepeatedUntilAccepted(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewState("r", placement.Locality{}, config.DefaultPace(), 1)
	s.Step(VMsChanged{Now: now, VMs: topo.VMs{Entries: []topo.VM{{ID: "engine", Role: topo.RoleUpstream, Leaving: true}}}})
	first := tickNotices(s, now)
	if len(first) != 1 || len(tickNotices(s, now)) != 0 {
		t.Fatal("not sent once at first")
	}
	now = now.Add(noticeRetryInterval)
	if len(tickNotices(s, now)) != 1 {
		t.Fatal("not sent again although it was not taken")
	}
	s.Step(NoticeAccepted{VM: "engine", Notice: first[0].Notice})
	now = now.Add(noticeRetryInterval)
	if len(tickNotices(s, now)) != 0 {
		t.Fatal("sent again although it was taken")
	}
	s.Step(NoticeLost{VM: "engine"})
	if len(tickNotices(s, now)) != 1 {
		t.Fatal("not sent again to a sidecar that has restarted")
	}
	s.Step(NoticeAccepted{VM: "engine", Notice: first[0].Notice})
	if len(tickNotices(s, now.Add(noticeRepeatInterval))) != 1 {
		t.Fatal("word from the list lapses at the sidecar")
	}
}
