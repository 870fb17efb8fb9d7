// Package config decides which configuration a node has in force.
//
// A Set holds the newest version that the node has seen of each object, from
// whoever it came: the store, a router or a sidecar. A Follower decides whom to
// ask for what is missing. Both are free of I/O, goroutines and clocks; package
// follow carries out what a Follower asks for, and package change writes.
//
// Versions order the changes of the whole store, across objects. That is an
// assumption about the platform, see docs/design/0004-configuration.md.
package config

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// maxTombstones bounds the deletions that a Set remembers.
	maxTombstones = 4096
	// maxPieceBytes bounds a Delta: small against a connection that answers share,
	// large against the cost of a round trip.
	maxPieceBytes = 128 << 10
	// objectOverheadBytes is what an object's name and version add to a Delta.
	objectOverheadBytes = 64
	// emptyDigest is the digest of a Set without objects; zero is no digest.
	emptyDigest = 1
)

// Set is the configuration objects that a node knows. Its zero value is not
// usable; see NewSet. It is owned by one goroutine.
//
// The Set is complete up to a version: it holds the newest change of every
// object that is at or below that version, or a later one.
type Set struct {
	objects   map[topo.Ref]*topo.Object // deletions included, without value
	order     []*topo.Object            // by version; may hold replaced objects
	replaced  int                       // replaced objects in order
	deletions int                       // deletions in objects
	bytes     int                       // of the values

	newest        topo.Version // of all objects known
	version       topo.Version // see Version
	completeUpTo  topo.Version
	forgottenUpTo topo.Version // deletions at or below it may have been forgotten
	listedUpTo    topo.Version // of the newest listing of the store
	digest        uint64       // of the live objects
	edition       Edition      // of a configuration that is written as a whole

	maxTombstones int // how many deletions are remembered
	maxPieceBytes int // bound of a Delta
}

// NewSet returns an empty Set.
func NewSet() *Set {
	return &Set{
		objects:       make(map[topo.Ref]*topo.Object),
		digest:        emptyDigest,
		maxTombstones: maxTombstones,
		maxPieceBytes: maxPieceBytes,
	}
}

// Version is the newest object's version up to which the Set is complete. It
// never falls. Two nodes that are up to date have the same.
func (s *Set) Version() topo.Version {
	return s.version
}

// CompleteUpTo is the store's version up to which the Set is complete. It is at
// least Version, since most changes of the store are not configuration.
func (s *Set) CompleteUpTo() topo.Version {
	return s.completeUpTo
}

// Len is the number of objects that exist.
func (s *Set) Len() int {
	return len(s.objects) - s.deletions
}

// Bytes is the size of all values.
func (s *Set) Bytes() int {
	return s.bytes
}

// Get returns an object. Its version tells whether a change is in force.
func (s *Set) Get(ref topo.Ref) (topo.Object, bool) {
	o := s.objects[ref]
	if o == nil || o.Deleted {
		return topo.Object{}, false
	}
	return *o, true
}

// HeldVersion returns the version in force of an object, deleted or not; zero when it
// is not known.
func (s *Set) HeldVersion(ref topo.Ref) topo.Version {
	if o := s.objects[ref]; o != nil {
		return o.Version
	}
	return 0
}

// Objects calls f for each object that exists, in no order.
func (s *Set) Objects(f func(topo.Object)) {
	for _, o := range s.objects {
		if !o.Deleted {
			f(*o)
		}
	}
}

// Claim is what the source of objects says about them: with them it has told
// every object whose newest change is after From and at or below To.
type Claim struct {
	From, To topo.Version
}

// Batch is objects from one source. A nil Claim claims nothing.
type Batch struct {
	Objects []topo.Object
	Claim   *Claim
	// Raw tells that Objects are as the store holds them, where a deletion may be a
	// revision without a spec. Those of other nodes are past that.
	Raw bool
	// DeletionHorizon is the version up to which the source decides which objects exist:
	// that of a listing of the store. Zero for sources that may have missed a
	// deletion.
	DeletionHorizon topo.Version
}

// Apply takes what is newer in b and returns the objects that have changed; what another
// era of the store only tells again has not.
// An object is never replaced by an older one, so nothing that has been in
// force comes back, whichever stale source says so.
func (s *Set) Apply(b Batch) []topo.Object {
	var changed []topo.Object
	sorted := true
	for _, o := range b.Objects {
		if b.Raw {
			o = normalise(o)
		}
		if !s.accepts(o, b) {
			continue
		}
		if o.Version < s.newest {
			sorted = false
		}
		isChange := !s.isRepeat(o)
		s.insert(o)
		if isChange {
			changed = append(changed, o)
		}
	}
	if !sorted {
		s.sortOrder()
	}
	if b.Claim != nil {
		s.applyClaim(*b.Claim)
	}
	s.advanceVersion()
	s.trim()
	return changed
}

// normalise returns o with a deletion that is written as a revision without a
// spec in the same form as one that the store made.
func normalise(o topo.Object) topo.Object {
	if !o.Deleted {
		r, err := Decode(o.Value)
		o.Deleted = err == nil && r.Deleted()
	}
	if o.Deleted {
		o.Value = nil
	}
	return o
}

func (s *Set) accepts(o topo.Object, b Batch) bool {
	have := s.objects[o.Ref]
	if have != nil && o.Version <= have.Version {
		return false
	}
	if have != nil && !have.Deleted {
		return true
	}
	// An object that does not exist here and is older than what was forgotten
	// or listed has been deleted, and comes from a source that has missed it. It
	// shows as an organisation that works again after its deletion. Only one
	// who has listed the store later knows better.
	return o.Version > s.deletionHorizon() || (b.DeletionHorizon >= s.deletionHorizon() && !o.Deleted)
}

// isRepeat reports whether o is what is held, told anew in another era of the store.
func (s *Set) isRepeat(o topo.Object) bool {
	have, ok := s.Get(o.Ref)
	return ok && !o.Deleted && o.Version.Era() > have.Version.Era() && bytes.Equal(o.Value, have.Value)
}

func (s *Set) insert(o topo.Object) {
	if o.Ref == editionRef {
		s.edition = decodeEdition(o)
	}
	if have := s.objects[o.Ref]; have != nil {
		s.uncount(have)
		s.replaced++
	}
	s.objects[o.Ref] = &o
	s.order = append(s.order, &o)
	s.newest = max(s.newest, o.Version)
	if o.Deleted {
		s.deletions++
		return
	}
	s.digest ^= fingerprint(o)
	s.bytes += len(o.Value)
}

// uncount takes o out of the counts, before it is replaced or dropped.
func (s *Set) uncount(o *topo.Object) {
	if o.Deleted {
		s.deletions--
		return
	}
	s.digest ^= fingerprint(*o)
	s.bytes -= len(o.Value)
}

// fingerprint is of what an object holds and not of its version: two nodes that hold the
// same may have heard of it at different versions, where a source tells only the whole.
func fingerprint(o topo.Object) uint64 {
	h := xxh3.New()
	_, _ = h.WriteString(string(o.Kind))
	_, _ = h.WriteString("/")
	_, _ = h.WriteString(o.Name)
	_, _ = h.WriteString("/")
	_, _ = h.Write(o.Value)
	return h.Sum64()
}

// applyClaim raises complete when the applyClaim joins what the Set is complete up to. A
// applyClaim that begins later would skip the changes between.
func (s *Set) applyClaim(c Claim) {
	if c.From <= s.completeUpTo {
		s.completeUpTo = max(s.completeUpTo, c.To)
	}
}

// advanceVersion brings Version up to date.
func (s *Set) advanceVersion() {
	for i := len(s.order) - 1; i >= 0; i-- {
		o := s.order[i]
		if o.Version <= s.completeUpTo && s.isCurrent(o) {
			s.version = max(s.version, o.Version)
			return
		}
	}
}

func (s *Set) isCurrent(o *topo.Object) bool {
	return s.objects[o.Ref] == o
}

// sortOrder restores the order by version and drops what has been replaced.
func (s *Set) sortOrder() {
	s.order = slices.DeleteFunc(s.order, func(o *topo.Object) bool { return !s.isCurrent(o) })
	slices.SortFunc(s.order, func(x, y *topo.Object) int { return cmp.Compare(x.Version, y.Version) })
	s.replaced = 0
}

// trim bounds the memory: replaced objects, and tombstones.
func (s *Set) trim() {
	if s.deletions > s.maxTombstones {
		s.dropTombstones()
	}
	const minReplaced = 64
	if s.replaced > minReplaced && s.replaced > len(s.order)/4 {
		s.sortOrder()
	}
}

// dropTombstones forgets the older half of the deletions. Whoever asks for what
// has changed since before floor gets everything instead.
func (s *Set) dropTombstones() {
	drop := s.deletions - s.maxTombstones/2
	for _, o := range s.order {
		if drop == 0 {
			break
		}
		if !o.Deleted || !s.isCurrent(o) || o.Version > s.completeUpTo {
			continue
		}
		s.uncount(o)
		s.replaced++
		delete(s.objects, o.Ref)
		s.forgottenUpTo = max(s.forgottenUpTo, o.Version)
		drop--
	}
}

// Retain removes the objects at or below upTo that are not in seen: a source
// that knows all objects up to there did not name them. It returns them.
func (s *Set) Retain(seen map[topo.Ref]struct{}, upTo topo.Version) []topo.Object {
	var removed []topo.Object
	for ref, o := range s.objects {
		if _, ok := seen[ref]; ok || o.Deleted || o.Version > upTo {
			continue
		}
		s.uncount(o)
		s.replaced++
		delete(s.objects, ref)
		removed = append(removed, topo.Object{Ref: ref, Version: upTo, Deleted: true})
	}
	if len(removed) > 0 {
		// Without a tombstone of its own, a removal cannot be told to those who
		// ask for the changes since before it.
		s.forgottenUpTo = max(s.forgottenUpTo, upTo)
	}
	s.listedUpTo = max(s.listedUpTo, upTo)
	return removed
}

// difference returns what has changed when objects are all that exist at a
// version: those with another value than the Set holds, and as deleted those that
// are not among them. What is the same keeps the version at which it changed, so
// that nodes which have seen different stages of the source still agree. Only a later era of
// the store gives it another: nodes that have begun in that era take nothing for newer that
// has a version of the one before. What is new
// has the version that the source gives it, the one at which the source changed last:
// two nodes that begin to read it at different times agree as well.
func (s *Set) difference(objects []topo.Object, version topo.Version) []topo.Object {
	var out []topo.Object
	seen := make(map[topo.Ref]bool, len(objects))
	for _, o := range objects {
		seen[o.Ref] = true
		if o.Version == 0 {
			o.Version = version
		}
		have, ok := s.Get(o.Ref)
		if ok && bytes.Equal(have.Value, o.Value) && o.Version.Era() <= have.Version.Era() {
			continue
		}
		// The value may be a part of a text that would be kept for its sake.
		o.Value = bytes.Clone(o.Value)
		out = append(out, o)
	}
	s.Objects(func(o topo.Object) {
		if !seen[o.Ref] {
			out = append(out, topo.Object{Ref: o.Ref, Version: version, Deleted: true})
		}
	})
	return out
}
