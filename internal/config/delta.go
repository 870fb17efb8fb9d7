package config

import (
	"sort"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Summary is a node's summary of its Set, by which two nodes find that they
// differ. A zero Digest says nothing.
type Summary struct {
	Version      topo.Version `json:"version"`
	CompleteUpTo topo.Version `json:"complete,omitempty"`
	Digest       uint64       `json:"digest,omitempty"`
	Edition      int64        `json:"edition,omitempty"` // of a configuration that is written as a whole
}

// Query asks a node for the objects newer than Since. Mark is the asker's, so
// that the node asked learns in passing when it is the one behind.
type Query struct {
	Since   topo.Version `json:"since"`
	After   topo.Version `json:"after,omitempty"` // the last object of the former piece
	Summary Summary      `json:"mark"`
}

// Delta is a piece of the answer to a Query. Objects are in order of version.
type Delta struct {
	Objects []topo.Object `json:"objects,omitempty"`
	More    bool          `json:"more,omitempty"` // ask again, after the last of Objects
	Summary Summary       `json:"mark"`
	// DeletionHorizon is the version up to which an object that the sender does not hold
	// does not exist. Deletions up to there are not among Objects.
	DeletionHorizon topo.Version `json:"known,omitempty"`
}

// PiggybackedSummary returns the mark of a node as it travels on the back of traffic: its
// version and digest. The node is complete at least up to its version.
func PiggybackedSummary(v topo.Version, digest uint64) Summary {
	return Summary{Version: v, CompleteUpTo: v, Digest: digest}
}

// Summary returns the Set's summary. The digest is left out while the Set holds
// objects beyond those up to which it is complete: equal sets would differ.
func (s *Set) Summary() Summary {
	m := Summary{Version: s.version, CompleteUpTo: s.completeUpTo, Edition: s.edition.Number}
	if s.newest <= s.completeUpTo {
		m.Digest = s.digest
	}
	return m
}

// Answer returns a piece of what the asker lacks. Objects of one version come in
// one piece: the next piece begins behind a version, so that those of it that are
// left would never be told.
func (s *Set) Answer(q Query) Delta {
	d := Delta{Summary: s.Summary(), DeletionHorizon: s.deletionHorizon()}
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

// versionBefore returns the version that lies n changes before the newest, or zero.
func (s *Set) versionBefore(n int) topo.Version {
	if n >= len(s.order) {
		return 0
	}
	return s.order[len(s.order)-1-n].Version
}

// deletionHorizon is the version up to which what is not held does not exist.
func (s *Set) deletionHorizon() topo.Version {
	return max(s.forgottenUpTo, s.listedUpTo)
}

// CaughtUp reports whether a node lacks nothing that another one knows.
func (m Summary) CaughtUp(other Summary) bool {
	return m.Version >= other.Version || m.sameObjects(other)
}

// sameObjects reports whether two nodes hold the sameObjects objects.
func (m Summary) sameObjects(other Summary) bool {
	return m.Digest != 0 && m.Digest == other.Digest
}

// isComparableTo reports whether both nodes are complete up to the newest object of
// the other, so that they hold the same objects unless something went missing.
// The versions may differ even so: a removal from the store is the newest object of
// a node that has watched it, and unknown to one that has listed since.
func (m Summary) isComparableTo(other Summary) bool {
	bothHaveDigests := m.Digest != 0 && other.Digest != 0
	return bothHaveDigests && m.CompleteUpTo >= other.Version && other.CompleteUpTo >= m.Version
}
