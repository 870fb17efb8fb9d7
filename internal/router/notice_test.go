package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// tickNotices passes a tick to a state and returns the notices among its effects.
func tickNotices(s *State, now time.Time) []Notify {
	var out []Notify
	for _, e := range s.Step(ConfigEvent{Event: config.Ticked{Now: now}}) {
		if n, ok := e.(Notify); ok {
			out = append(out, n)
		}
	}
	return out
}

// Guards against a leaving upstream that gets no notice because no router is
// connected to it: a router with an outdated list would connect to it and have its
// work accepted. It also guards against all routers connecting, which would cost
// the sidecar hundreds of connections each time an upstream leaves.
func TestThreeRoutersConnectToALeavingVM(t *testing.T) {
	const routers = 40
	list := topo.VMs{Entries: []topo.VM{{ID: "engine", Role: topo.RoleUpstream, Leaving: true}}}
	for i := range routers {
		list.Entries = append(list.Entries, topo.VM{ID: fmt.Sprint("router-", i), Role: topo.RoleRouter})
	}
	now := time.Unix(1000, 0)
	connecting := 0
	for i := range routers {
		s := NewState(fmt.Sprint("router-", i), placement.Locality{}, config.DefaultTiming(), 1)
		s.Step(VMsChanged{Now: now, VMs: list})
		sent := tickNotices(s, now)
		if len(sent) != 1 {
			t.Fatalf("router %d sends %v", i, sent)
		}
		if sent[0].Connect {
			connecting++
		}
	}
	if connecting != noticeConnectors {
		t.Fatalf("%d routers connect to send the notice", connecting)
	}
}

// Guards against a notice that has no effect because it was lost on its way, or
// because the sidecar restarted after it had accepted the notice.
func TestNoticeIsRepeatedUntilAccepted(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewState("r", placement.Locality{}, config.DefaultTiming(), 1)
	s.Step(VMsChanged{Now: now, VMs: topo.VMs{Entries: []topo.VM{{ID: "engine", Role: topo.RoleUpstream, Leaving: true}}}})
	first := tickNotices(s, now)
	if len(first) != 1 || len(tickNotices(s, now)) != 0 {
		t.Fatal("a new notice is not sent exactly once")
	}
	now = now.Add(noticeRetryInterval)
	if len(tickNotices(s, now)) != 1 {
		t.Fatal("not sent again although it was not accepted")
	}
	s.Step(NoticeAccepted{VM: "engine", Notice: first[0].Notice})
	now = now.Add(noticeRetryInterval)
	if len(tickNotices(s, now)) != 0 {
		t.Fatal("sent again although it was accepted")
	}
	s.Step(NoticeLost{VM: "engine"})
	if len(tickNotices(s, now)) != 1 {
		t.Fatal("not sent again to a sidecar that has restarted")
	}
	s.Step(NoticeAccepted{VM: "engine", Notice: first[0].Notice})
	if len(tickNotices(s, now.Add(noticeRepeatInterval))) != 1 {
		t.Fatal("a notice from the list is not repeated before it expires at the sidecar")
	}
}
