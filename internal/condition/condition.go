// Package condition is the account of what speaks against sending to an upstream: each kind of
// condition, what a set of them allows, and a Book of those that a router notes on the path of
// its requests.
//
// Package router collects the conditions of an upstream from the list of upstreams, operators'
// orders, outcomes and its Book, and asks a Set before each choice and each first byte. Nothing
// here knows a clock or a connection. It may be assumed that an id names one incarnation of an
// upstream: nothing that holds for a former life holds for the next one.
package condition

import "strings"

// Kind is something that speaks against sending to an upstream.
type Kind uint8

// Kinds of conditions. Of several, the first is named as the reason.
const (
	Gone        Kind = iota // it is not listed any more
	OutOfRegion             // the request may not run where it is
	Drained                 // operators have ordered that it takes nothing new
	Leaving                 // it has said that it leaves, in an answer or in its entry
	Resting                 // it wants nothing from this router for a time
	Cold                    // it has started lately, and has got what it bears
	Unreachable             // no connection to it could be opened a moment ago
	Suspected               // it fails more of its requests than others do
	kindCount
)

var kindNames = [kindCount]string{
	"gone", "out of region", "drained", "leaving", "resting", "cold", "unreachable", "suspected",
}

// String returns the name of the kind, as in lines and tables.
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

// Use is what an upstream is wanted for.
type Use uint8

// Uses of an upstream.
const (
	// Work is a request: a first try, a retry, a hedge, or a stream that goes on.
	Work Use = iota
	// Prompt is a cached prompt that another upstream gets from it.
	Prompt
	useCount
)

var useNames = [useCount]string{"work", "prompt"}

// String returns the name of the use.
func (u Use) String() string { return useNames[u] }

// Uses returns all uses.
func Uses() []Use { return []Use{Work, Prompt} }

// Permission is how far an upstream may be used, the least first.
type Permission uint8

// Degrees of Leave.
const (
	Never  Permission = iota // not at all
	Last                     // after all others
	Freely                   // like any other
)

var permissionNames = [...]string{"never", "last", "freely"}

// String returns the name of the degree.
func (p Permission) String() string { return permissionNames[p] }

// permissions is what each kind allows by itself.
var permissions = [useCount][kindCount]Permission{
	Work: {
		Gone: Never, OutOfRegion: Never, Drained: Never, Leaving: Never, Resting: Never, Cold: Never,
		Unreachable: Last, Suspected: Last,
	},
	// A transfer takes nothing of what an upstream wants to be spared: no place and no token.
	Prompt: {
		Gone: Never, OutOfRegion: Never, Drained: Freely, Leaving: Freely, Resting: Freely, Cold: Freely,
		Unreachable: Never, Suspected: Freely,
	},
}

// Set is the conditions of an upstream at a moment. Its zero value is none.
type Set uint16

// Of returns the Set of some kinds.
func Of(kinds ...Kind) Set {
	var s Set
	for _, k := range kinds {
		s |= 1 << k
	}
	return s
}

// Union returns the conditions of both.
func (s Set) Union(other Set) Set { return s | other }

// Has reports whether a kind is in the Set.
func (s Set) Has(k Kind) bool { return s&(1<<k) != 0 }

// Allows returns how far the upstream may be used, and what says so: the kind that allows
// least, the first of several.
func (s Set) Allows(u Use) (Permission, Kind) {
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

// String names the kinds of the Set.
func (s Set) String() string {
	var names []string
	for _, k := range Kinds() {
		if s.Has(k) {
			names = append(names, k.String())
		}
	}
	return strings.Join(names, ", ")
}
