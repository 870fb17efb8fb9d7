package config

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// kinds are the kinds of configuration objects.
var kinds = []topo.Kind{
	topo.KindProfile,
	topo.KindOrganisation,
	topo.KindPool,
	topo.KindDrain,
	topo.KindDomainDrain,
	topo.KindLimits,
}

// Kinds returns the kinds of configuration objects.
func Kinds() []topo.Kind {
	return slices.Clone(kinds)
}

// ChangeID identifies a change. It is generated at random before the write, so that the
// outcome can be looked up if the answer to the write is lost.
type ChangeID string

// Change records who changed an object, when and why.
type Change struct {
	ID     ChangeID  `json:"id"`
	Author string    `json:"author,omitempty"`
	Time   time.Time `json:"time"`
	Reason string    `json:"reason,omitempty"`
	// Parent is the change that this one replaces; empty for the first change of an object.
	Parent ChangeID `json:"parent,omitempty"`
}

// Revision is the value of a configuration object in the store.
//
// A deletion is a revision without a spec rather than a removal from the store: its change
// ID can be read back like any other, it has a history, and a listing of the store shows it.
type Revision struct {
	Change Change          `json:"change"`
	Spec   json.RawMessage `json:"spec,omitempty"`
}

// Deleted reports whether the revision deletes its object.
func (r Revision) Deleted() bool {
	return len(r.Spec) == 0
}

// Encode returns the revision as a value to store.
func (r Revision) Encode() (json.RawMessage, error) {
	b, err := json.Marshal(r)
	return b, errors.WithStack(err)
}

// errNoChange reports a value that is not a revision.
var errNoChange = errors.New("config: the value carries no change: it was not written by parsleyctl")

// Decode parses the value of an object as a revision.
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

// Spec returns the spec of an object in a Set, as its operator wrote it.
func Spec(o topo.Object) (json.RawMessage, error) {
	r, err := Decode(o.Value)
	return r.Spec, err
}
