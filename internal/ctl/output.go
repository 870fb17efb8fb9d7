package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// format is the output format of results.
type format string

const (
	formatJSON format = "json"
	formatYAML format = "yaml"
)

// diffContext is the number of unchanged lines shown around a change.
const diffContext = 3

// result is the output of a command. Its JSON fields are stable.
type result interface {
	table(w io.Writer)
}

// print writes r to standard output in the chosen format.
func (a *app) print(r result) error {
	switch a.options.Output {
	case formatJSON:
		text, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return errors.WithStack(err)
		}
		fmt.Fprintf(a.out, "%s\n", text)
	case formatYAML:
		text, err := toYAML(r)
		if err != nil {
			return err
		}
		fmt.Fprintf(a.out, "%s", text)
	default:
		w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
		r.table(w)
		return errors.WithStack(w.Flush())
	}
	return nil
}

// toYAML encodes v as YAML, with the names and the order of its JSON fields.
func toYAML(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	out, err := yaml.JSONToYAML(text)
	return out, errors.WithStack(err)
}

// object is a configuration object as shown to operators.
type object struct {
	Kind    topo.Kind       `json:"kind"`
	Name    string          `json:"name"`
	Version topo.Version    `json:"version,omitempty"`
	Change  *config.Change  `json:"change,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
}

// document returns an object as a file for apply. If the file has a change id,
// apply fails when the object has been changed since.
func document(kind topo.Kind, id config.ChangeID, spec json.RawMessage) (string, error) {
	if len(spec) == 0 {
		return "", nil
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "kind: %s\n", kind)
	if id != "" {
		fmt.Fprintf(&b, "change: %s\n", id)
	}
	text, err := yaml.JSONToYAML(spec)
	if err != nil {
		return "", errors.WithStack(err)
	}
	b.Write(text)
	return b.String(), nil
}

// diffSpecs returns the unified diff of two contents of an object. It is empty
// if they are equal.
func diffSpecs(ref topo.Ref, from, to json.RawMessage, fromName, toName string) (string, error) {
	before, err := document(ref.Kind, "", from)
	if err != nil {
		return "", err
	}
	after, err := document(ref.Kind, "", to)
	if err != nil {
		return "", err
	}
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: lines(before), B: lines(after),
		FromFile: ref.String() + " " + fromName, ToFile: ref.String() + " " + toName,
		Context: diffContext,
	})
	return text, errors.WithStack(err)
}

// lines splits text after each newline. Unlike difflib.SplitLines it returns no
// line for an empty text.
func lines(text string) []string {
	if text == "" {
		return nil
	}
	split := difflib.SplitLines(text)
	return split[:len(split)-1]
}
