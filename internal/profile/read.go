package profile

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// MaxFileBytes is the size of the largest file that Load reads.
const MaxFileBytes = 16 << 20

// Fields that a document in a file has in addition to those of its object. They are
// not part of the object in the store.
const (
	kindField   = "kind"
	changeField = "change"
)

// Document is an object that has been read from a file.
type Document struct {
	Object Object
	File   string
	// Change is the id of the change after which the object was copied from the store
	// to the file; empty if the file has none. If the stored object has been changed
	// since, the document must not be written to the store.
	Change    string
	positions map[string]position // of each field in the file
}

// position is a line and a column of a file, both counted from 1.
type position struct{ line, column int }

// Load reads the files at paths and the .yaml and .yml files in the directories
// among them. It checks each object, but not the objects that it refers to. It
// returns the valid documents and the problems of the others; the error is that of
// reading a file.
func Load(paths ...string) ([]Document, Problems, error) {
	files, err := expand(paths)
	if err != nil {
		return nil, nil, err
	}
	var docs []Document
	var problems Problems
	for _, file := range files {
		text, err := readFile(file)
		if err != nil {
			return nil, nil, err
		}
		d, p := Read(file, text)
		docs, problems = append(docs, d...), append(problems, p...)
	}
	return docs, problems, nil
}

// expand replaces directories by the YAML files in them.
func expand(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		err := filepath.WalkDir(path, func(name string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return err
			}
			if name == path || slices.Contains([]string{".yaml", ".yml"}, filepath.Ext(name)) {
				files = append(files, name)
			}
			return nil
		})
		if err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return files, nil
}

func readFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if info.Size() > MaxFileBytes {
		return nil, errors.Errorf("%s is over %d bytes: split it", name, MaxFileBytes)
	}
	text, err := os.ReadFile(name)
	return text, errors.WithStack(err)
}

// Read reads and checks the documents in the text of one file, as Load does.
func Read(file string, text []byte) ([]Document, Problems) {
	parsed, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, Problems{syntaxProblem(file, err)}
	}
	var docs []Document
	var problems Problems
	for _, body := range parsed.Docs {
		if body.Body == nil || body.Body.Type() == ast.NullType || body.Body.Type() == ast.CommentType {
			continue
		}
		doc, found := readDocument(file, body.Body)
		if len(found) == 0 {
			docs = append(docs, doc)
		}
		problems = append(problems, found...)
	}
	return docs, problems
}

// tokenError is an error of the YAML library that has a position.
type tokenError interface {
	GetToken() *token.Token
	GetMessage() string
}

func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Message: "is not YAML: " + err.Error()}
	var tokenErr tokenError
	if errors.As(err, &tokenErr) && tokenErr.GetToken() != nil {
		pos := tokenErr.GetToken().Position
		p.Line, p.Column = pos.Line, pos.Column
		p.Message = "is not YAML: " + tokenErr.GetMessage()
	}
	return p
}

// readDocument reads one object and checks it.
func readDocument(file string, body ast.Node) (Document, Problems) {
	d := decoder{file: file, positions: make(map[string]position)}
	d.recordPosition("", body)
	fields, ok := mappingFields(body)
	if !ok {
		d.add("", "is not an object: write fields, beginning with kind: %s", kindNames())
		return Document{}, d.problems
	}
	object := New(d.decodeKind(fields))
	if object == nil {
		return Document{}, d.problems
	}
	d.decodeObject(fields, object)
	problems := d.problems
	for i := range problems {
		problems[i].Ref = object.Ref()
	}
	doc := Document{Object: object, File: file, Change: d.change, positions: d.positions}
	for _, p := range Check(object) {
		// A field that could not be read has its default or zero value, so further
		// problems of it would not be about what the operator wrote.
		if !d.unreadable[p.Field] {
			problems = append(problems, doc.locate(p))
		}
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return doc, problems
}

// locate adds the position of a problem's field in the document, or that of the
// nearest enclosing field if the field itself is not in the file.
func (d Document) locate(p Problem) Problem {
	field := p.Field
	at, ok := d.positions[field]
	for !ok && field != "" {
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
		at, ok = d.positions[field]
	}
	p.File, p.Line, p.Column = d.File, at.line, at.column
	return p
}

// Refs returns the kinds and names of the documents' objects.
func Refs(docs []Document) []topo.Ref {
	refs := make([]topo.Ref, len(docs))
	for i, d := range docs {
		refs[i] = d.Object.Ref()
	}
	return refs
}
