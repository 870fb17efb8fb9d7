package ctl

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/config/change"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// completeTimeout bounds the call to the platform for shell completion.
const completeTimeout = time.Second

// refArg is a reference to an object on the command line, as kind/name.
type refArg topo.Ref

// UnmarshalFlag implements flags.Unmarshaler.
func (r *refArg) UnmarshalFlag(text string) error {
	kind, name, ok := strings.Cut(text, "/")
	if !ok || name == "" || profile.New(topo.Kind(kind)) == nil {
		return errors.Errorf("%q names no object: write kind/name, such as profile/halftime-notes; kinds are %s", text, kindList())
	}
	*r = refArg{Kind: topo.Kind(kind), Name: name}
	return nil
}

// Complete implements flags.Completer. Names are read from the platform if
// PARSLEYCTL_PLATFORM is set.
func (r *refArg) Complete(match string) []flags.Completion {
	kind, name, named := strings.Cut(match, "/")
	var out []flags.Completion
	if !named {
		for _, k := range profile.Kinds {
			if strings.HasPrefix(string(k), kind) {
				out = append(out, flags.Completion{Item: string(k) + "/"})
			}
		}
		return out
	}
	base := os.Getenv("PARSLEYCTL_PLATFORM")
	if base == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
	defer cancel()
	objects, err := change.NewEditor(topo.NewHTTP(base)).List(ctx, topo.Kind(kind))
	if err != nil {
		return nil
	}
	for _, o := range objects {
		if strings.HasPrefix(o.Ref.Name, name) {
			out = append(out, flags.Completion{Item: o.Ref.String()})
		}
	}
	return out
}

// kindArg is a kind of object on the command line.
type kindArg topo.Kind

// UnmarshalFlag implements flags.Unmarshaler.
func (k *kindArg) UnmarshalFlag(text string) error {
	if profile.New(topo.Kind(text)) == nil {
		return errors.Errorf("%q is not a kind: write one of %s", text, kindList())
	}
	*k = kindArg(text)
	return nil
}

// Complete implements flags.Completer.
func (k *kindArg) Complete(match string) []flags.Completion {
	var out []flags.Completion
	for _, kind := range profile.Kinds {
		if strings.HasPrefix(string(kind), match) {
			out = append(out, flags.Completion{Item: string(kind)})
		}
	}
	return out
}

func kindList() string {
	names := make([]string, len(profile.Kinds))
	for i, k := range profile.Kinds {
		names[i] = string(k)
	}
	return strings.Join(names, ", ")
}
