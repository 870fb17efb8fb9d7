// Package condition defines the conditions that restrict the use of an upstream: the kinds of
// conditions, what a set of them permits, and the Observations of conditions that a router makes
// while it forwards requests.
//
// Package router collects the conditions of an upstream from the list of upstreams, operators'
// orders, outcomes and its Observations. It checks their Set when it chooses an upstream, and again
// before it sends the first byte of a request. This package reads no clock and opens no connection:
// callers pass the time and report what they observe. An id names one incarnation of an upstream, so
// no condition of a former incarnation applies to the next one.
package condition

import "strings"

// Kind is a reason not to use an upstream, or to use it last.
type Kind uint8

// Kinds of conditions. If several kinds restrict a use equally, the first of them in this order is
// named as the reason.
const (
	Gone        Kind = iota // not listed any more
	OutOfRegion             // the request may not run in its region
	Drained                 // operators have ordered that it receives no new work
	Leaving                 // it has announced that it leaves, in an answer or in its entry
	Resting                 // it has asked this router to send it no requests for some time
	Cold                    // it has started recently and is at its warm-up limit
	Unreachable             // no connection to it could be opened recently
	Suspected               // it fails more of its requests than the others
	kindCount
)

var kindNames = [kindCount]string{
	"gone", "out of region", "drained", "leaving", "resting", "cold", "unreachable", "suspected",
}

// String returns the name of the kind, as in log lines and tables.
func (k Kind) String() string {
	if k >= kindCount {
		return "none"
	}
	return kindNames[k]
}

// Kinds returns all kinds.
func Kinds() []Kind {
	out := make([]Kind, kindCount)
	for k := range out {
		out[k] = Kind(k)
	}
	return out
}

// Use is a way of using an upstream.
type Use uint8

// Uses of an upstream.
const (
	// Work is a request: a first attempt, a retry, a hedge, or a stream that is resumed.
	Work Use = iota
	// PromptTransfer is the transfer of a cached prompt to another upstream.
	PromptTransfer
	useCount
)

var useNames = [useCount]string{"work", "prompt"}

// String returns the name of the use.
func (u Use) String() string { return useNames[u] }

// Uses returns all uses.
func Uses() []Use { return []Use{Work, PromptTransfer} }

// Permission is how freely an upstream may be used, from the strictest to the least strict.
type Permission uint8

// Permissions.
const (
	Never  Permission = iota // not at all
	Last                     // only after all others
	Freely                   // like any other
)

var permissionNames = [...]string{"never", "last", "freely"}

// String returns the name of the permission.
func (p Permission) String() string { return permissionNames[p] }

// permissions is the permission for each use with a single condition.
var permissions = [useCount][kindCount]Permission{
	Work: {
		Gone: Never, OutOfRegion: Never, Drained: Never, Leaving: Never, Resting: Never, Cold: Never,
		Unreachable: Last, Suspected: Last,
	},
	// Upstreams that are drained, leaving, resting, cold or suspected may still provide a prompt: a
	// transfer occupies no slot of the upstream and makes it generate no token.
	PromptTransfer: {
		Gone: Never, OutOfRegion: Never, Drained: Freely, Leaving: Freely, Resting: Freely, Cold: Freely,
		Unreachable: Never, Suspected: Freely,
	},
}

// Set is a set of conditions of an upstream. The zero value is empty.
type Set uint16

// Of returns the Set of the given kinds.
func Of(kinds ...Kind) Set {
	var s Set
	for _, k := range kinds {
		s |= 1 << k
	}
	return s
}

// Union returns the conditions in either set.
func (s Set) Union(other Set) Set { return s | other }

// Has reports whether a kind is in the Set.
func (s Set) Has(k Kind) bool { return s&(1<<k) != 0 }

// Permission returns the permission for a use and the kind that determines it: the kind with the
// strictest permission, the first of several with the same one. If no kind restricts the use, the
// permission is Freely and the name of the kind is "none".
func (s Set) Permission(u Use) (Permission, Kind) {
	strictest, by := Freely, kindCount
	if s == 0 {
		return strictest, by
	}
	for k, permission := range permissions[u] {
		if s.Has(Kind(k)) && permission < strictest {
			strictest, by = permission, Kind(k)
		}
	}
	return strictest, by
}

// String returns the names of the kinds, separated by commas.
func (s Set) String() string {
	var names []string
	for _, k := range Kinds() {
		if s.Has(k) {
			names = append(names, k.String())
		}
	}
	return strings.Join(names, ", ")
}
