package config

import (
	"strconv"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// editionRef names the object that holds the edition of a configuration that operators
// write as a whole.
var editionRef = topo.Ref{Kind: topo.KindEdition, Name: "main"}

// Edition is the number that operators give to a configuration that they write as a
// whole, and the version of that write. Each write has a higher number than the one
// before. A zero Number means that the configuration has no edition.
type Edition struct {
	Number  int64
	Version topo.Version
}

// Object returns the edition as an object, to be stored with the rest of its configuration.
func (e Edition) Object() topo.Object {
	return topo.Object{Ref: editionRef, Version: e.Version, Value: strconv.AppendInt(nil, e.Number, 10)}
}

func decodeEdition(o topo.Object) Edition {
	number, err := strconv.ParseInt(string(o.Value), 10, 64)
	if err != nil || o.Deleted {
		return Edition{}
	}
	return Edition{Number: number, Version: o.Version}
}

// editionOf returns the edition found among objects, or a zero Edition.
func editionOf(objects []topo.Object) Edition {
	for _, o := range objects {
		if o.Ref == editionRef {
			return decodeEdition(o)
		}
	}
	return Edition{}
}

// isFromOlderCopyThan reports whether e is the edition of a store that was restored from a copy
// older than the held edition: the era of e is later and its number is lower.
func (e Edition) isFromOlderCopyThan(held Edition) bool {
	return e.Number < held.Number && e.Version.Era() > held.Version.Era()
}

// isOrder reports whether objects of a kind are operators' orders: drains of an upstream or of
// a failure domain. Orders are written one by one and have no edition.
func isOrder(kind topo.Kind) bool {
	return kind == topo.KindDrain || kind == topo.KindDomainDrain
}

// withOrdersOf returns the objects that the Set holds, but with the orders among fromCopy in
// place of its own.
func (s *Set) withOrdersOf(fromCopy []topo.Object) []topo.Object {
	var out []topo.Object
	s.Objects(func(o topo.Object) {
		if !isOrder(o.Kind) {
			out = append(out, o)
		}
	})
	for _, o := range fromCopy {
		if isOrder(o.Kind) {
			out = append(out, o)
		}
	}
	return out
}

// ordersBefore returns the orders in the Set that were written before an era.
func (s *Set) ordersBefore(era topo.Era) []topo.Object {
	var out []topo.Object
	s.Objects(func(o topo.Object) {
		if isOrder(o.Kind) && o.Version.Era() < era {
			out = append(out, o)
		}
	})
	return out
}
