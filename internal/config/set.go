// Package config decides which configuration a node has in force.
//
// A Set holds the newest version that the node has seen of each object, whether it came
// from the store, a router or a sidecar. A Follower decides which node to query for missing
// objects. Both are free of I/O, goroutines and clocks; package follow carries out the
// effects of a Follower, and package change writes configuration.
//
// Versions order the changes of the whole store, across objects. This is an assumption
// about the platform, see docs/design/0004-configuration.md.
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
	// maxPieceBytes bounds a Delta. It is small for a connection that also carries
	// responses, and large compared with the cost of a round trip.
	maxPieceBytes = 128 << 10
	// maxSpans bounds the versions that a Set remembers to have held, see span.
	maxSpans = 64
	// objectOverheadBytes is the size of an object's name and version in a Delta.
	objectOverheadBytes = 64
	// emptyDigest is the digest of a Set without objects. Zero means no digest.
	emptyDigest = 1
)

// Set holds the configuration objects that a node has received. Use NewSet; the zero value
// is not usable. A Set is owned by one goroutine.
//
// The Set is complete up to a version: of every object, it holds the last change at or
// before that version, or a later one.
type Set struct {
	objects   map[topo.Ref]*topo.Object // includes deletions, without values
	order     []*topo.Object            // sorted by version; may include replaced objects
	replaced  int                       // number of replaced objects in order
	deletions int                       // number of deletions in objects
	bytes     int                       // total size of the values

	newest        topo.Version // of all objects held
	version       topo.Version // see Version
	completeUpTo  topo.Version
	forgottenUpTo topo.Version // deletions at or below this version may have been forgotten
	listedUpTo    topo.Version // version of the newest listing of the store, by this node or one that it pulled from
	wholeReadAt   topo.Version // version of the newest reading of all objects, by this node from a source that is whole
	digest        uint64       // of the live objects
	edition       Edition      // of a configuration written as a whole
	wholeEdition  topo.Version // of the newest edition of which the Set holds all parts
	spans         []span       // of versions that the Set has held, the latest last; none without an edition

	maxTombstones int // deletions that are remembered
	maxPieceBytes int // upper bound of the size of a Delta
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

// Version returns the version of the newest change of an object up to which the Set is
// complete. It never decreases. Two nodes that are up to date have the same Version.
func (s *Set) Version() topo.Version {
	return s.version
}

// CompleteUpTo returns the store's version up to which the Set is complete. It is at least
// Version: most changes in the store concern other objects, and raise only CompleteUpTo.
func (s *Set) CompleteUpTo() topo.Version {
	return s.completeUpTo
}

// Len returns the number of objects that exist.
func (s *Set) Len() int {
	return len(s.objects) - s.deletions
}

// Bytes returns the total size of all values.
func (s *Set) Bytes() int {
	return s.bytes
}

// Get returns an object and whether it exists. Its version shows which change is in force.
func (s *Set) Get(ref topo.Ref) (topo.Object, bool) {
	o := s.objects[ref]
	if o == nil || o.Deleted {
		return topo.Object{}, false
	}
	return *o, true
}

// HeldVersion returns the version in force of an object, deleted or not; zero if the
// object is unknown.
func (s *Set) HeldVersion(ref topo.Ref) topo.Version {
	if o := s.objects[ref]; o != nil {
		return o.Version
	}
	return 0
}

// Objects calls f for each object that exists, in no particular order.
func (s *Set) Objects(f func(topo.Object)) {
	for _, o := range s.objects {
		if !o.Deleted {
			f(*o)
		}
	}
}

// Claim states which changes a source has returned: every object whose newest change is
// after From and at or below To.
type Claim struct {
	From, To topo.Version
}

// Batch is a set of objects from one source. A nil Claim claims nothing.
type Batch struct {
	Objects []topo.Object
	Claim   *Claim
	// Raw is set if Objects are as the store holds them, where a deletion may be a
	// revision without a spec. Objects from other nodes are already normalised.
	Raw bool
	// DeletionHorizon is that of the source, see Delta. For a listing of the store, it is
	// the version of the listing. It is zero for a source that may have missed a deletion.
	DeletionHorizon topo.Version
}

// Apply adds the objects in b that are newer than those held and returns the ones that have
// changed. An object that has the same value in a later era of the store has not changed.
// An object is never replaced by an older version, so no stale source can bring a former
// version back into force. See isSuperseded for objects that are part of an edition.
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
	if b.Claim != nil {
		s.recordSpan()
	}
	s.trim()
	return changed
}

// normalise returns o in the form of a deletion by the store if it is a revision without
// a spec, and unchanged otherwise. A deletion has no value.
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
	if s.isSuperseded(o) {
		return false
	}
	if have != nil && !have.Deleted {
		return true
	}
	// An object that does not exist here and is older than the forgotten deletions or the
	// last listing has been deleted, and its source has missed the deletion. Accepting it
	// would, for example, make a deleted organisation work again. Only a source that has
	// listed the store later can prove that the object exists.
	horizon := max(s.deletionHorizon(), s.wholeReadAt)
	return o.Version > horizon || (b.DeletionHorizon >= horizon && !o.Deleted)
}

// isRepeat reports whether o repeats the value held, in a later era of the store.
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

// uncount subtracts o from the counts, before it is replaced or dropped.
func (s *Set) uncount(o *topo.Object) {
	if o.Deleted {
		s.deletions--
		return
	}
	s.digest ^= fingerprint(*o)
	s.bytes -= len(o.Value)
}

// fingerprint covers the value of an object and not its version: nodes that hold the same
// value may have received it at different versions if a source always returns all objects.
func fingerprint(o topo.Object) uint64 {
	h := xxh3.New()
	_, _ = h.WriteString(string(o.Kind))
	_, _ = h.WriteString("/")
	_, _ = h.WriteString(o.Name)
	_, _ = h.WriteString("/")
	_, _ = h.Write(o.Value)
	return h.Sum64()
}

// applyClaim raises completeUpTo if the claim begins at or before it. A claim that begins
// later would skip the changes between.
func (s *Set) applyClaim(c Claim) {
	if c.From <= s.completeUpTo {
		s.completeUpTo = max(s.completeUpTo, c.To)
	}
	if s.edition.Version <= s.completeUpTo {
		s.wholeEdition = max(s.wholeEdition, s.edition.Version)
	}
}

// advanceVersion updates the result of Version.
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

// sortOrder sorts order by version and drops replaced objects.
func (s *Set) sortOrder() {
	s.order = slices.DeleteFunc(s.order, func(o *topo.Object) bool { return !s.isCurrent(o) })
	slices.SortFunc(s.order, func(x, y *topo.Object) int { return cmp.Compare(x.Version, y.Version) })
	s.replaced = 0
}

// trim bounds the memory used by replaced objects and tombstones.
func (s *Set) trim() {
	if s.deletions > s.maxTombstones {
		s.dropTombstones()
	}
	const minReplaced = 64
	if s.replaced > minReplaced && s.replaced > len(s.order)/4 {
		s.sortOrder()
	}
}

// dropTombstones forgets the older half of the deletions. A node that queries for the
// changes since before forgottenUpTo then needs all objects.
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

// RemoveUnseen removes the objects at or below upTo that are not in seen, and returns a
// deletion for each of them. seen names the objects of a source that holds all objects up to
// that version. Parts of a complete edition that is newer than upTo stay: such a source may be
// in a state that was replaced since.
func (s *Set) RemoveUnseen(seen map[topo.Ref]struct{}, upTo topo.Version) []topo.Object {
	var removed []topo.Object
	for ref, o := range s.objects {
		if _, ok := seen[ref]; ok || o.Deleted || o.Version > upTo {
			continue
		}
		if isPartOfEdition(*o) && upTo < s.wholeEdition {
			continue
		}
		s.uncount(o)
		s.replaced++
		delete(s.objects, ref)
		removed = append(removed, topo.Object{Ref: ref, Version: upTo, Deleted: true})
	}
	if len(removed) > 0 {
		// A removal has no tombstone, so it cannot be sent to nodes that query for the
		// changes since before it.
		s.forgottenUpTo = max(s.forgottenUpTo, upTo)
	}
	s.listedUpTo = max(s.listedUpTo, upTo)
	return removed
}

// difference returns the changes after which the Set holds exactly the given objects, which
// are all that exist at a version: objects that are new or have another value, and deletions
// of those that are not among them.
//
// An object whose value is the one held keeps its version, so that a change of one object is
// not sent as a change of all. Its version may be too low: the Set may have skipped a state
// in which the object had another value, see span. Two exceptions: an order has a version of
// its own; and a later era of the store gives each object a new version, since nodes that
// started in that era do not accept versions of the era before as newer.
//
// A new object has the version that the source gives it, which is that of the last change of
// the source, so that nodes that begin to read it at different times agree. If the source
// gives none, it has the given version. A deletion has the version of the newest object if
// that is higher than the deleted object's, for the same reason.
func (s *Set) difference(objects []topo.Object, version topo.Version) []topo.Object {
	var out []topo.Object
	var newest topo.Version
	seen := make(map[topo.Ref]bool, len(objects))
	for _, o := range objects {
		seen[o.Ref] = true
		if o.Version == 0 {
			o.Version = version
		}
		newest = max(newest, o.Version)
		have, ok := s.Get(o.Ref)
		if ok && bytes.Equal(have.Value, o.Value) && !isRewritten(have, o) {
			continue
		}
		// The value may be part of a larger text, which it would keep in memory.
		o.Value = bytes.Clone(o.Value)
		out = append(out, o)
	}
	s.Objects(func(o topo.Object) {
		if seen[o.Ref] {
			return
		}
		deletion := topo.Object{Ref: o.Ref, Version: version, Deleted: true}
		if o.Version < newest {
			deletion.Version = newest
		}
		out = append(out, deletion)
	})
	return out
}

// isRewritten reports whether an object that the source holds has to take the place of the
// one held, although it has the same value.
func isRewritten(have, o topo.Object) bool {
	return o.Version.Era() > have.Version.Era() || (isOrder(o.Kind) && o.Version > have.Version)
}
