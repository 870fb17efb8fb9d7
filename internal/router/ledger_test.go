package router

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admin/ledger"
	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// An operator's tool of a newer release writes a profile that is invalid for this
// router. The test guards against three failures: the router applies the profile
// with a bound that cannot work; it drops the profile, and callers get the error
// that it does not exist; it ignores the profile silently, and apply --wait
// reports it as in force.
func TestInvalidObjectKeepsPreviousVersionInForce(t *testing.T) {
	s, l := NewState("r", placement.Locality{}, config.DefaultTiming(), 1), ledger.New()
	step := func(v topo.Version, p profile.Profile) {
		spec, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		value, err := config.Revision{Change: config.Change{ID: "c"}, Spec: spec}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		o := topo.Object{Ref: p.Ref(), Version: v, Value: value}
		listed := config.Listed{Now: time.Unix(int64(v), 0), Objects: []topo.Object{o}, Version: v}
		for _, e := range s.Step(ConfigEvent{Event: listed}) {
			if followed, ok := e.(ConfigApplied); ok {
				l.Apply(followed.Update)
			}
		}
	}
	good := profile.Profile{Name: "chat", Pool: "notes", Model: "m", Deadline: profile.Duration(time.Second)}
	bad := good
	bad.LoadMultiple = 0.5

	step(7, good)
	step(8, bad)
	if p := s.View().Profiles["chat"]; p == nil || p.LoadMultiple != profile.DefaultLoadMultiple {
		t.Errorf("profile in force is %+v, want the previous version", p)
	}
	if in := l.InForce(good.Ref()); in.Version != 7 || in.Problem == "" || len(l.Status().Rejected) != 1 {
		t.Errorf("reported to operators: %+v, %+v", in, l.Status())
	}
	step(9, good)
	if in := l.InForce(good.Ref()); in.Version != 9 || in.Problem != "" {
		t.Errorf("reported to operators after a valid version: %+v", in)
	}
	gone := topo.Ref{Kind: topo.KindPool, Name: "gone"}
	if in := l.InForce(gone); in.Version != 9 {
		t.Errorf("an object that does not exist is reported as followed to version %d, want 9", in.Version)
	}
}
