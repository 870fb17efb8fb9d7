package profile

import (
	"fmt"
	"strings"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Problem is one mistake in what an operator wrote.
type Problem struct {
	File    string   `json:"file,omitempty"`   // empty for an object from the store
	Line    int      `json:"line,omitempty"`   // from 1; zero when not known
	Column  int      `json:"column,omitempty"` // from 1
	Ref     topo.Ref `json:"object,omitzero"`
	Field   string   `json:"field,omitempty"` // such as queue.per_upstream or keys[1].sha256
	Message string   `json:"message"`         // what is wrong and what to write instead
}

// String returns "file:line:column: kind/name: field: message", without the parts
// that are unknown.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:", p.File)
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", p.Line, p.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.Ref.Kind != "" {
		fmt.Fprintf(&b, "%s: ", p.Ref)
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems lists all mistakes found, in the order of files and lines. As an error
// it has one line for each.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
