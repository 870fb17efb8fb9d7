package config

import (
	"sort"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Summary describes the contents of a node's Set. Two nodes compare their summaries to
// find out whether they differ. A zero Digest means that there is none to compare.
type Summary struct {
	Version      topo.Version `json:"version"`
	CompleteUpTo topo.Version `json:"complete,omitempty"`
	Digest       uint64       `json:"digest,omitempty"`
	Edition      int64        `json:"edition,omitempty"` // number of the configuration's Edition
}

// Query requests the objects newer than Since. Summary is that of the requesting node,
// so that the node that answers learns whether it lacks something itself.
type Query struct {
	Since   topo.Version `json:"since"`
	After   topo.Version `json:"after,omitempty"` // version of the last object in the previous piece
	Summary Summary      `json:"mark"`
}

// Delta is a piece of the answer to a Query. Objects are sorted by version.
type Delta struct {
	Objects []topo.Object `json:"objects,omitempty"`
	More    bool          `json:"more,omitempty"` // more pieces follow: query again with After set to the last object's version
	Summary Summary       `json:"mark"`
	// DeletionHorizon is the version up to which the sender holds all objects that exist:
	// an object that it does not hold, and that changed last at or before DeletionHorizon,
	// has been deleted. Objects may lack deletions up to there, because the sender has
	// forgotten them or has learnt of them from a listing.
	DeletionHorizon topo.Version `json:"known,omitempty"`
	// WholeUpTo is set if Objects may leave out a change, because the sender may have
	// skipped the state that the requesting node is in, see span, and in answers to queries
	// for all objects, which show what that node holds and the sender does not. It is the
	// version of the sender's newest object.
	WholeUpTo topo.Version `json:"whole,omitempty"`
}

// PiggybackedSummary returns the summary of a node whose version and digest arrived with
// other traffic. The node is complete at least up to its version.
func PiggybackedSummary(v topo.Version, digest uint64) Summary {
	return Summary{Version: v, CompleteUpTo: v, Digest: digest}
}

// Summary returns the summary of the Set. It has no digest while the Set holds objects
// newer than the version up to which it is complete: equal sets would seem to differ.
func (s *Set) Summary() Summary {
	m := Summary{Version: s.version, CompleteUpTo: s.completeUpTo, Edition: s.edition.Number}
	if s.newest <= s.completeUpTo {
		m.Digest = s.digest
	}
	return m
}

// Answer returns a piece of what the requesting node lacks. It never divides the objects of
// one version between two pieces: the next piece begins after the last version sent, so the
// remaining objects of that version would never be sent.
func (s *Set) Answer(q Query) Delta {
	d := Delta{Summary: s.Summary(), DeletionHorizon: s.deletionHorizon()}
	if s.edition.Number != 0 && !s.isExactFor(q) {
		d.WholeUpTo = s.newest
	}
	from := max(q.Since, q.After)
	size := 0
	start := sort.Search(len(s.order), func(i int) bool { return s.order[i].Version > from })
	for _, o := range s.order[start:] {
		if !s.isCurrent(o) {
			continue
		}
		full := size > 0 && size+len(o.Value)+objectOverheadBytes > s.maxPieceBytes
		if full && o.Version > d.Objects[len(d.Objects)-1].Version {
			d.More = true
			break
		}
		size += len(o.Value) + objectOverheadBytes
		d.Objects = append(d.Objects, *o)
	}
	return d
}

// versionBefore returns the version n changes before the newest, or zero.
func (s *Set) versionBefore(n int) topo.Version {
	if n >= len(s.order) {
		return 0
	}
	return s.order[len(s.order)-1-n].Version
}

// deletionHorizon returns the DeletionHorizon of the Set, see Delta.
func (s *Set) deletionHorizon() topo.Version {
	return max(s.forgottenUpTo, s.listedUpTo)
}

// CaughtUp reports whether a node with summary m holds everything that other describes.
func (m Summary) CaughtUp(other Summary) bool {
	return m.Version >= other.Version || m.sameObjects(other)
}

// sameObjects reports whether two nodes hold the same objects.
func (m Summary) sameObjects(other Summary) bool {
	return m.Digest != 0 && m.Digest == other.Digest
}

// isComparableTo reports whether each node is complete up to the newest object of the
// other, so that they hold the same objects unless a change was missed. Their versions
// may differ even then: the removal of an object from the store is the newest change at a
// node that saw it in a watch, and has no version at a node that listed the store later.
func (m Summary) isComparableTo(other Summary) bool {
	bothHaveDigests := m.Digest != 0 && other.Digest != 0
	return bothHaveDigests && m.CompleteUpTo >= other.Version && other.CompleteUpTo >= m.Version
}
