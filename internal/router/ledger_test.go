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

// An operator's machine runs a newer release and writes a profile that this
// router holds to be invalid. Were it taken, its traffic would be treated by a
// bound that cannot work; were it dropped, callers would be told that their
// profile does not exist; were it passed over without a word, apply --wait
// would say that it is in force.
func TestInvalidObjectKeepsPreviousVersionInForce(t *testing.T) {
	s, l := NewState("r", placement.Locality{}, config.DefaultPace(), 1), ledger.New()
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
				l.Take(followed.Followed)
			}
		}
	}
	good := profile.Profile{Name: "chat", Pool: "notes", Model: "m", Deadline: profile.Duration(time.Second)}
	bad := good
	bad.LoadMultiple = 0.5

	step(7, good)
	step(8, bad)
	if p := s.View().Profiles["chat"]; p == nil || p.LoadMultiple != profile.DefaultLoadMultiple {
		t.Errorf("in force is %+v, want the version before", p)
	}
	if in := l.InForce(good.Ref()); in.Version != 7 || in.Problem == "" || len(l.Status().Rejected) != 1 {
		t.Errorf("operators are told %+v, %+v", in, l.Status())
	}
	step(9, good)
	if in := l.InForce(good.Ref()); in.Version != 9 || in.Problem != "" {
		t.Errorf("after a valid version operators are told %+v", in)
	}
	gone := topo.Ref{Kind: topo.KindPool, Name: "gone"}
	if in := l.InForce(gone); in.Version != 9 {
		t.Errorf("an object that does not exist is said to be followed to %d, want 9", in.Version)
	}
}
