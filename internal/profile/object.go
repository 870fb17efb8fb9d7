package profile

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Kinds lists the kinds of objects that operators write.
var Kinds = []topo.Kind{topo.KindProfile, topo.KindOrganisation, topo.KindPool, topo.KindDrain, topo.KindDomainDrain, topo.KindLimits}

// Defaults of optional fields. A field that is left out gets its default when the
// object is read, before it is stored. So a release with other defaults does not
// change the meaning of objects written under an earlier one.
const (
	DefaultLoadMultiple    = 1.25
	DefaultPerUpstream     = 64
	DefaultPerOrganisation = 16
	DefaultRetryBudget     = 0.1
	DefaultKeepAnswer      = Duration(5 * time.Minute)
	DefaultMaxBody         = 1 * MiB
	DefaultWeight          = 1
	DefaultEngineRole      = EngineMixed
	DefaultMaxUnavailable  = 0.1

	DefaultLimits      = "callers" // name of the only object of kind limits
	DefaultHeaderBytes = 32 * KiB
	DefaultHeaderTime  = Duration(10 * time.Second)
	DefaultIdleTime    = Duration(2 * time.Minute)

	// AllProfiles in an organisation's list stands for every profile.
	AllProfiles = "*"
)

// Object is one of *Profile, *Organisation, *Pool, *Drain, *DomainDrain and
// *Limits.
type Object interface {
	// Ref returns the object's kind and name in the store.
	Ref() topo.Ref
	check(c *checker)
}

// Ref implements Object.
func (p *Profile) Ref() topo.Ref {
	return topo.Ref{Kind: topo.KindProfile, Name: p.Name}
}

// Ref implements Object.
func (o *Organisation) Ref() topo.Ref {
	return topo.Ref{Kind: topo.KindOrganisation, Name: o.Name}
}

// Ref implements Object.
func (p *Pool) Ref() topo.Ref {
	return topo.Ref{Kind: topo.KindPool, Name: p.Name}
}

// Ref implements Object.
func (d *Drain) Ref() topo.Ref {
	return topo.Ref{Kind: topo.KindDrain, Name: d.Name}
}

// Ref implements Object.
func (d *DomainDrain) Ref() topo.Ref {
	return topo.Ref{Kind: topo.KindDomainDrain, Name: d.Name}
}

// Ref implements Object.
func (l *Limits) Ref() topo.Ref {
	return topo.Ref{Kind: topo.KindLimits, Name: l.Name}
}

// New returns an object of kind with all defaults set, or nil if kind is not one
// of Kinds.
func New(kind topo.Kind) Object {
	switch kind {
	case topo.KindProfile:
		return &Profile{
			LoadMultiple: DefaultLoadMultiple,
			Queue:        Queue{PerUpstream: DefaultPerUpstream, PerOrganisation: DefaultPerOrganisation},
			RetryBudget:  DefaultRetryBudget,
			KeepAnswer:   DefaultKeepAnswer,
			MaxBody:      DefaultMaxBody,
		}
	case topo.KindOrganisation:
		return &Organisation{Weight: DefaultWeight}
	case topo.KindPool:
		return &Pool{Role: DefaultEngineRole, MaxUnavailable: DefaultMaxUnavailable}
	case topo.KindDrain:
		return &Drain{}
	case topo.KindDomainDrain:
		return &DomainDrain{}
	case topo.KindLimits:
		return &Limits{
			HeaderBytes: DefaultHeaderBytes,
			BodyBytes:   DefaultMaxBody,
			HeaderTime:  DefaultHeaderTime,
			IdleTime:    DefaultIdleTime,
		}
	}
	return nil
}

// Decode decodes an object in the form that the store holds and checks it. The error
// is a Problems with all mistakes. Fields that this release does not know are
// ignored: routers are upgraded one by one, and a router that rejected the whole
// object would have no profile at all for its traffic.
func Decode(ref topo.Ref, value json.RawMessage) (Object, error) {
	o := New(ref.Kind)
	if o == nil {
		return nil, Problems{{Ref: ref, Message: "unknown kind: write " + kindNames()}}
	}
	if err := json.Unmarshal(value, o); err != nil {
		return nil, Problems{{Ref: ref, Message: err.Error()}}
	}
	problems := Check(o)
	if o.Ref() != ref {
		problems = append(problems, Problem{Ref: ref, Field: "name", Message: "differs from the name under which the object is stored"})
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return o, nil
}

// Encode returns an object in the form that the store holds.
func Encode(o Object) (json.RawMessage, error) {
	return json.Marshal(o)
}

// kindNames returns the list of all kinds for use in a message.
func kindNames() string {
	names := make([]string, len(Kinds))
	for i, k := range Kinds {
		names[i] = string(k)
	}
	last := len(names) - 1
	return strings.Join(names[:last], ", ") + " or " + names[last]
}
