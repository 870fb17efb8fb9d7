package fleetmodel

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// small returns the shipped file with smaller fleets.
func small(t *testing.T, sizes ...int) Config {
	t.Helper()
	r, err := os.Open("../../deploy/fleets/sizes.yaml")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	c, err := Read(r)
	if err != nil {
		t.Fatal(err)
	}
	c.Sizes = sizes
	return c
}

// Guards against loads that grow faster than the fleet: calls of the store in a start, listings of the
// whole store after a start and after the loss of the reader, what a router without subscribers sends
// and receives, and times.
func TestLoadsDoNotGrowFasterThanTheFleet(t *testing.T) {
	const (
		callsPerStart = 2 // a write and a listing of the register
		listings      = 24
		watchCalls    = 40 // of the readers during the start
		leafBytes     = 4 * kilobyte
	)
	c := small(t, 20, 60, 180)
	for _, r := range Play(c) {
		leaf := r.Steady[Leaf]
		calls := r.StartCalls * float64(r.Routers)
		limit := callsPerStart*r.Routers + listings*(configKinds+1) + watchCalls
		if calls > float64(limit) || r.StartListings > listings || r.LossListings > c.FailureDomains+1 {
			t.Errorf("%d routers: %.0f calls in a start, %d listings, %d after the loss of the reader", r.Routers, calls, r.StartListings, r.LossListings)
		}
		if leaf.BytesReceived+leaf.BytesSent > leafBytes {
			t.Errorf("%d routers: a leaf sends %.0f and receives %.0f bytes a second", r.Routers, leaf.BytesSent, leaf.BytesReceived)
		}
		if r.StartToCurrent > c.Bound || r.ChangeToAll > c.Bound || r.LossToAll > c.Bound {
			t.Errorf("%d routers: a start took %v, a change %v, a change at the loss of the reader %v", r.Routers, r.StartToCurrent, r.ChangeToAll, r.LossToAll)
		}
	}
}

// A seed must give the same figures each time, or two versions of the code could not be compared.
func TestPlayIsRepeatable(t *testing.T) {
	c := small(t, 30)
	if a, b := Play(c), Play(c); a[0] != b[0] {
		t.Errorf("two plays of one file differ:\n%+v\n%+v", a[0], b[0])
	}
}

// Guards against a file whose mistakes are played as zeros.
func TestReadRejectsInvalidFiles(t *testing.T) {
	valid, err := os.ReadFile("../../deploy/fleets/sizes.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"unknown field": string(valid) + "\nrouters: 5\n",
		"no sizes":      strings.Replace(string(valid), "sizes: [", "sizes: [] # [", 1),
		"negative size": strings.Replace(string(valid), "sizes: [", "sizes: [-1, ", 1),
		"no bound":      strings.Replace(string(valid), "bound: 5s", "", 1),
	} {
		if _, err := Read(strings.NewReader(text)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if paths, _ := filepath.Glob("../../deploy/fleets/*.yaml"); len(paths) == 0 {
		t.Error("no fleets are shipped")
	}
}

func TestWriteNamesEachRole(t *testing.T) {
	var b bytes.Buffer
	if err := Write(&b, Play(small(t, 60))); err != nil {
		t.Fatal(err)
	}
	for _, role := range roleNames {
		if !strings.Contains(b.String(), role) {
			t.Errorf("the table has no line for a %s:\n%s", role, b.String())
		}
	}
}
