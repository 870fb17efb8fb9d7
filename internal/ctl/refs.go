package ctl

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/config/change"
	"github.com/parsleyfront/parsleyfront/internal/platform"
	"github.com/parsleyfront/parsleyfront/internal/profile"
)

// completeTimeout bounds how long a shell's completion may ask the platform.
const completeTimeout = time.Second

// refArg is kind/name on the command line.
type refArg platform.Ref

// UnmarshalFlag implements flags.Unmarshaler.
func (r *refArg) UnmarshalFlag(text string) error {
	kind, name, ok := strings.Cut(text, "/")
	if !ok || name == "" || profile.New(platform.Kind(kind)) == nil {
		return errors.Errorf("%q names no object: write kind/name, such as profile/halftime-notes; kinds are %s", text, kindList())
	}
	*r = refArg{Kind: platform.Kind(kind), Name: name}
	return nil
}

// Complete implements flags.Completer. Names come from the platform when the
// environment says where it is.
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
	objects, err := change.NewEditor(platform.NewHTTP(base)).List(ctx, platform.Kind(kind))
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

// kindArg is a kind on the command line.
type kindArg platform.Kind

// UnmarshalFlag implements flags.Unmarshaler.
func (k *kindArg) UnmarshalFlag(text string) error {
	if profile.New(platform.Kind(text)) == nil {
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

// neighbours reads the stored objects that docs refer to or that refer to
// them, as far as a check of docs needs them: a store holds very many
// organisations, and most changes concern few.
func (a *app) neighbours(ctx context.Context, docs []profile.Document) (profile.Set, error) {
	n := neighbourhood{app: a, set: make(profile.Set), read: make(map[platform.Ref]bool)}
	for _, d := range docs {
		n.read[d.Object.Ref()] = true
	}
	for _, d := range docs {
		if err := n.around(ctx, d.Object); err != nil {
			return nil, err
		}
	}
	return n.set, nil
}

type neighbourhood struct {
	app  *app
	set  profile.Set
	read map[platform.Ref]bool // objects that need not be read
}

func (n *neighbourhood) around(ctx context.Context, o profile.Object) error {
	switch o := o.(type) {
	case *profile.Profile:
		return n.get(ctx, platform.Ref{Kind: platform.KindPool, Name: o.Pool})
	case *profile.Pool:
		return n.list(ctx, platform.KindProfile)
	case *profile.Organisation:
		return n.aroundOrganisation(ctx, o)
	}
	return nil
}

func (n *neighbourhood) aroundOrganisation(ctx context.Context, o *profile.Organisation) error {
	for _, name := range o.Profiles {
		if err := n.get(ctx, platform.Ref{Kind: platform.KindProfile, Name: name}); err != nil {
			return err
		}
	}
	now, err := n.app.editor.Read(ctx, o.Ref())
	if err != nil {
		return err
	}
	if hasNewKey(o, now) {
		// Only a new key can be another organisation's.
		return n.list(ctx, platform.KindOrganisation)
	}
	return nil
}

// hasNewKey reports whether o has a key that the stored object has not.
func hasNewKey(o *profile.Organisation, now change.Current) bool {
	known := make(map[string]bool)
	if stored, err := profile.Decode(now.Ref, now.Revision.Spec); err == nil {
		for _, k := range stored.(*profile.Organisation).Keys {
			known[k.SHA256] = true
		}
	}
	for _, k := range o.Keys {
		if !known[k.SHA256] {
			return true
		}
	}
	return false
}

func (n *neighbourhood) get(ctx context.Context, ref platform.Ref) error {
	if n.read[ref] {
		return nil
	}
	n.read[ref] = true
	now, err := n.app.editor.Read(ctx, ref)
	if err != nil || !now.Exists() {
		return err
	}
	n.take(now)
	return nil
}

func (n *neighbourhood) list(ctx context.Context, kind platform.Kind) error {
	all := platform.Ref{Kind: kind} // no object has an empty name
	if n.read[all] {
		return nil
	}
	n.read[all] = true
	objects, err := n.app.editor.List(ctx, kind)
	if err != nil {
		return err
	}
	for _, o := range objects {
		if n.read[o.Ref] {
			continue
		}
		n.read[o.Ref] = true
		n.take(o)
	}
	return nil
}

// take adds a stored object unless it is invalid, which routers refuse too.
func (n *neighbourhood) take(now change.Current) {
	o, err := profile.Decode(now.Ref, now.Revision.Spec)
	if err != nil {
		n.app.note("warning: the stored %s is invalid: %s", now.Ref, err)
		return
	}
	n.set[now.Ref] = o
}
