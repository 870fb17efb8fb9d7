package config

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// kinds are the kinds of object that are configuration.
var kinds = []topo.Kind{
	topo.KindProfile,
	topo.KindOrganisation,
	topo.KindPool,
	topo.KindDrain,
	topo.KindDomainDrain,
	topo.KindLimits,
}

// Kinds returns the kinds of object that are configuration.
func Kinds() []topo.Kind {
	return slices.Clone(kinds)
}

// ChangeID tells changes apart. It is drawn at random by the one who makes the
// change, before it is written, so that its fate can be looked up when the
// answer to the write is lost.
type ChangeID string

// Change says who changed an object, when and why.
type Change struct {
	ID     ChangeID  `json:"id"`
	Author string    `json:"author,omitempty"`
	Time   time.Time `json:"time"`
	Reason string    `json:"reason,omitempty"`
	// Parent is the change that this one replaces; empty for an object's first.
	Parent ChangeID `json:"parent,omitempty"`
}

// Revision is the value of a configuration object in the store.
//
// A deletion is a revision without a spec rather than a removal from the store:
// its change id can be read back like any other, it has a history, and whoever
// lists the store learns of it.
type Revision struct {
	Change Change          `json:"change"`
	Spec   json.RawMessage `json:"spec,omitempty"`
}

// Deleted reports whether the revision deletes its object.
func (r Revision) Deleted() bool {
	return len(r.Spec) == 0
}

// Encode returns the revision as a value for the store.
func (r Revision) Encode() (json.RawMessage, error) {
	b, err := json.Marshal(r)
	return b, errors.WithStack(err)
}

// errNoChange is a value that is no revision.
var errNoChange = errors.New("config: the value carries no change: it was not written by parsleyctl")

// Decode reads a revision from the value of an object.
func Decode(value json.RawMessage) (Revision, error) {
	var r Revision
	if err := json.Unmarshal(value, &r); err != nil {
		return Revision{}, errors.Wrap(err, "config: malformed revision")
	}
	if r.Change.ID == "" {
		return Revision{}, errNoChange
	}
	return r, nil
}

// Spec returns the spec within an object of a Set: what the operator wrote.
func Spec(o topo.Object) (json.RawMessage, error) {
	r, err := Decode(o.Value)
	return r.Spec, err
}
