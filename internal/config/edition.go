package config

import (
	"strconv"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// editionRef names the object that holds the edition of a configuration that its operators
// write as a whole.
var editionRef = topo.Ref{Kind: topo.KindEdition, Name: "main"}

// Edition is the number that operators give a configuration which they write as a whole,
// and the version of that write. The number rises with each. Zero: there is none.
type Edition struct {
	Number  int64
	Version topo.Version
}

// Object returns the edition as an object beside the parts of its configuration.
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

// editionOf returns the edition among the objects of a source.
func editionOf(objects []topo.Object) Edition {
	for _, o := range objects {
		if o.Ref == editionRef {
			return decodeEdition(o)
		}
	}
	return Edition{}
}

// isOlderCopyThan reports whether e is of an older copy of the store than held: a later era tells
// of it, and it has the lower number.
func (e Edition) isOlderCopyThan(held Edition) bool {
	return e.Number < held.Number && e.Version.Era() > held.Version.Era()
}

// isOrder reports whether objects of a kind are operators' orders, which have no edition:
// each is written by itself.
func isOrder(kind topo.Kind) bool {
	return kind == topo.KindDrain || kind == topo.KindDomainDrain
}

// withOrdersOf returns the held configuration with the orders among the objects of a copy.
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

// ordersBefore returns the orders that are held since before an era.
func (s *Set) ordersBefore(era topo.Era) []topo.Object {
	var out []topo.Object
	s.Objects(func(o topo.Object) {
		if isOrder(o.Kind) && o.Version.Era() < era {
			out = append(out, o)
		}
	})
	return out
}
