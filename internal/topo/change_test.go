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
