package topo

import (
	"slices"
	"testing"
)

// Guards against missed or duplicate reports of VMs that join, start to leave or leave.
func TestChanges(t *testing.T) {
	vm := func(id string, leaving bool) VM { return VM{ID: id, Leaving: leaving} }
	before := []VM{vm("stays", false), vm("leaves", false), vm("goes", true), vm("left", true)}
	after := []VM{vm("stays", false), vm("leaves", true), vm("goes", true), vm("new", false), vm("comes leaving", true)}
	want := []VMChange{
		{VM: vm("leaves", true), State: VMLeaving},
		{VM: vm("new", false), State: VMJoined},
		{VM: vm("comes leaving", true), State: VMLeaving},
		{VM: vm("left", true), State: VMLeft},
	}
	if got := Changes(before, after); !slices.Equal(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Guards against VMs that are taken for replaced though nobody has joined at their address, and against those
// that go unnoticed until their entries end.
func TestSuperseded(t *testing.T) {
	at := func(id, addr string) VM { return VM{ID: id, Addr: addr} }
	before := []VM{at("a", "1"), at("b", "2")}
	after := []VM{at("a", "1"), at("b", "2"), at("c", "2"), at("d", "3")}
	if got := Superseded(Changes(before, after), after); !slices.Equal(got, []VM{at("b", "2")}) {
		t.Errorf("%+v", got)
	}
	if got := Superseded(Changes(after, after), after); len(got) > 0 {
		t.Errorf("nobody has joined: %+v", got)
	}
}
