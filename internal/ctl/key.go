package ctl

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"slices"

	"github.com/parsleyfront/parsleyfront/internal/config/change"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// keyPrefix makes keys that leak into a log or a repository easy to find.
const keyPrefix = "pfk_"

// newKey is a new key with its hash. It is shown only once.
type newKey struct {
	Key    string `json:"key"`
	SHA256 string `json:"sha256"`
}

func (k newKey) table(w io.Writer) {
	fmt.Fprintf(w, "key\t%s\nsha256\t%s\n", k.Key, k.SHA256)
}

// generateKey returns a key with at least 128 random bits.
func generateKey() newKey {
	key := keyPrefix + rand.Text()
	return newKey{Key: key, SHA256: profile.HashKey(key)}
}

func (a *app) keyNew(context.Context) error {
	return a.print(generateKey())
}

// keyAdd stores the hash of a new key and prints the key. It also prints the key
// if it is unknown whether the hash was stored: otherwise a change whose
// response was lost could leave a valid key that nobody has.
func (a *app) keyAdd(ctx context.Context) error {
	o := a.options.Key.Add
	base, org, err := a.organisation(ctx, o.Args.Organisation)
	if err != nil {
		return err
	}
	key := generateKey()
	org.Keys = append(org.Keys, profile.APIKey{ID: o.Args.ID, SHA256: key.SHA256})
	if problems := profile.Check(org); len(problems) > 0 {
		return problems
	}
	e, err := keysEdit(base, org)
	if err != nil {
		return err
	}
	r, failed := a.commitEdits(ctx, o.changeOptions, []edit{e})
	if r.Objects[0].changed() || r.Objects[0].State == stateUnknown {
		r.Key = &key
	}
	if err := a.print(r); err != nil {
		return err
	}
	return failed
}

func (a *app) keyRemove(ctx context.Context) error {
	o := a.options.Key.Remove
	base, org, err := a.organisation(ctx, o.Args.Organisation)
	if err != nil {
		return err
	}
	remaining := slices.DeleteFunc(slices.Clone(org.Keys), func(k profile.APIKey) bool { return k.ID == o.Args.ID })
	if len(remaining) == len(org.Keys) {
		return newExitError(ExitNotFound, fmt.Sprintf("see 'parsleyctl get %s'", org.Ref()), "%s has no key %q", org.Ref(), o.Args.ID)
	}
	org.Keys = remaining
	e, err := keysEdit(base, org)
	if err != nil {
		return err
	}
	return a.applyEdits(ctx, o.changeOptions, []edit{e})
}

func keysEdit(base change.StoredObject, org *profile.Organisation) (edit, error) {
	spec, err := profile.Encode(org)
	return edit{base: base, spec: spec, label: "with its keys changed"}, err
}

func (a *app) organisation(ctx context.Context, name string) (change.StoredObject, *profile.Organisation, error) {
	base, err := a.readExisting(ctx, topo.Ref{Kind: topo.KindOrganisation, Name: name})
	if err != nil {
		return base, nil, err
	}
	o, err := profile.Decode(base.Ref, base.Revision.Spec)
	if err != nil {
		return base, nil, err
	}
	return base, o.(*profile.Organisation), nil
}
