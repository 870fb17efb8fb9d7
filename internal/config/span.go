package config

import (
	"bytes"
	"slices"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// span is a range of versions of the store, between two changes, at which a Set has held
// exactly what existed.
//
// A configuration that is written as a whole is also read as a whole, and a node that reads it
// may skip states: those that were replaced while it stood still, paused after a change, or
// received its configuration from a peer. If an object had another value only in a skipped
// state, it keeps its version, which is then lower than that of the other value at nodes that
// have not skipped the state. Therefore, the objects of this node that are newer than a version
// are all that has changed since that version only if the version is in one of its spans.
type span struct {
	from topo.Version // of the newest change
	to   topo.Version // up to which the Set was complete
}

// recordSpan records what the Set holds now, if it holds exactly one state of a configuration
// that is written as a whole.
func (s *Set) recordSpan() {
	if s.edition.Number == 0 || s.newest > s.completeUpTo {
		return
	}
	if n := len(s.spans); n > 0 && s.spans[n-1].from == s.version {
		s.spans[n-1].to = s.completeUpTo
		return
	}
	s.spans = append(s.spans, span{from: s.version, to: s.completeUpTo})
	if len(s.spans) > maxSpans {
		s.spans = slices.Delete(s.spans, 0, len(s.spans)-maxSpans)
	}
}

// hasHeld reports whether the Set is known to have held exactly what existed at a version.
func (s *Set) hasHeld(v topo.Version) bool {
	return slices.ContainsFunc(s.spans, func(p span) bool { return p.from <= v && v <= p.to })
}

// isExactFor reports whether the objects that are newer than those of the requesting node are
// all in which it differs from this one. A node that holds objects beyond the version up to
// which it is complete may have them from a state that this one has skipped.
func (s *Set) isExactFor(q Query) bool {
	return q.Since > 0 && q.Summary.Digest != 0 && s.hasHeld(q.Summary.Version)
}

// isSuperseded reports whether o is part of an edition before the one of which the Set holds all
// parts. It has been replaced or deleted since, even if the Set holds the object at a lower version
// or not at all.
func (s *Set) isSuperseded(o topo.Object) bool {
	return isPartOfEdition(o) && o.Version < s.wholeEdition
}

func isPartOfEdition(o topo.Object) bool {
	return o.Ref != editionRef && !isOrder(o.Kind)
}

// markWhole records that the Set is complete up to a version of its source's newest change, if it
// holds a configuration written as a whole. The Set can't tell by itself once it holds later
// versions of the objects that were changed then.
func (s *Set) markWhole(v topo.Version) {
	if s.edition.Number != 0 && v <= s.completeUpTo {
		s.version, s.wholeEdition = max(s.version, v), max(s.wholeEdition, v)
	}
}

// restate returns the objects of a node that holds exactly these at version v. A part of an
// edition that the Set would not accept, although it is to take the place of what the Set
// holds, gets v as its version: the node has skipped the state that the Set is in.
func (s *Set) restate(objects []topo.Object, v topo.Version) []topo.Object {
	if v <= s.version {
		return objects // the Set is in the state of the node or a later one
	}
	out := slices.Clone(objects)
	for i, o := range out {
		if s.isOutdatedBy(o, v) {
			out[i].Version = v
		}
	}
	return out
}

// isOutdatedBy reports whether the Set holds another value than o, or none, from a state
// before v, although o has a lower version than that state.
func (s *Set) isOutdatedBy(o topo.Object, v topo.Version) bool {
	have := s.objects[o.Ref]
	switch {
	case o.Deleted || !isPartOfEdition(o):
		return false
	case have == nil:
		return s.isSuperseded(o)
	case !have.Deleted && bytes.Equal(have.Value, o.Value):
		return false
	}
	return have.Version < v && (o.Version <= have.Version || s.isSuperseded(o))
}
