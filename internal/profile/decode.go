package profile

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// maxTypoDistance is the largest edit distance at which a similar name is suggested.
const maxTypoDistance = 3

// decoder reads YAML nodes into Go values by their json tags. Unlike the YAML
// library's decoder it continues after a mistake, so that operators see all
// mistakes at once.
type decoder struct {
	file       string
	positions  map[string]position
	unreadable map[string]bool // fields whose value could not be read
	change     string
	problems   Problems
}

func (d *decoder) recordPosition(field string, n ast.Node) {
	if m, ok := n.(*ast.MappingNode); ok && !m.IsFlowStyle && len(m.Values) > 0 {
		n = m.Values[0].Key // the mapping's own token is a colon
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		d.positions[field] = position{t.Position.Line, t.Position.Column}
	}
}

// add records a problem at a field whose position has been recorded.
func (d *decoder) add(field, format string, args ...any) {
	at := d.positions[field]
	d.problems = append(d.problems, Problem{
		File: d.file, Line: at.line, Column: at.column, Field: field, Message: fmt.Sprintf(format, args...),
	})
	if d.unreadable == nil {
		d.unreadable = make(map[string]bool)
	}
	d.unreadable[field] = true
}

// mappingFields returns the fields of a mappingFields.
func mappingFields(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	}
	return nil, false
}

// decodeKind returns the document's decodeKind, or "" if it has none. It records a problem if
// the decodeKind is missing or unknown.
func (d *decoder) decodeKind(fields []*ast.MappingValueNode) topo.Kind {
	for _, f := range fields {
		if keyName(f) != kindField {
			continue
		}
		d.recordPosition(kindField, f.Value)
		var kind string
		d.decodeValue(f.Value, reflect.ValueOf(&kind).Elem(), kindField)
		if New(topo.Kind(kind)) == nil && !d.unreadable[kindField] {
			d.add(kindField, "%q does not exist: write %s", kind, kindNames())
		}
		return topo.Kind(kind)
	}
	d.add("", "has no kind: write kind: %s", kindNames())
	return ""
}

func keyName(f *ast.MappingValueNode) string {
	if s, ok := f.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return f.Key.String()
}

// decodeObject reads the fields of a document into o.
func (d *decoder) decodeObject(fields []*ast.MappingValueNode, o Object) {
	objectFields := make([]*ast.MappingValueNode, 0, len(fields))
	for _, f := range fields {
		switch keyName(f) {
		case kindField:
		case changeField:
			d.decodeValue(f.Value, reflect.ValueOf(&d.change).Elem(), changeField)
		default:
			objectFields = append(objectFields, f)
		}
	}
	d.decodeFields(objectFields, reflect.ValueOf(o).Elem(), "")
}

func (d *decoder) decodeFields(fields []*ast.MappingValueNode, into reflect.Value, parent string) {
	index := fieldIndex(into.Type())
	for _, f := range fields {
		name := keyName(f)
		path := joinPath(parent, name)
		i, ok := index[name]
		if !ok {
			d.recordPosition(path, f.Key)
			d.add(path, "unknown field: %s", suggestField(name, into.Type()))
			continue
		}
		d.decodeValue(f.Value, into.Field(i), path)
	}
}

func (d *decoder) decodeValue(n ast.Node, v reflect.Value, path string) {
	d.recordPosition(path, n)
	switch n.(type) {
	case *ast.NullNode:
		d.add(path, "has no value: write one, or leave the field out")
		return
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		// Nested aliases would expand a short file until memory is exhausted.
		d.add(path, "uses an anchor, an alias or a tag: write the value out")
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(n, u, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v, path)
	case reflect.Slice:
		d.decodeSlice(n, v, path)
	default:
		d.decodeScalar(n, v, path)
	}
}

func (d *decoder) decodeText(n ast.Node, u encoding.TextUnmarshaler, path string) {
	s, ok := n.(ast.ScalarNode)
	if !ok {
		d.add(path, "is not a single value: write one with a unit")
		return
	}
	if err := u.UnmarshalText([]byte(fmt.Sprint(s.GetValue()))); err != nil {
		d.add(path, "%s", err)
	}
}

func (d *decoder) decodeStruct(n ast.Node, v reflect.Value, path string) {
	fields, ok := mappingFields(n)
	if !ok {
		d.add(path, "is not an object: write its fields, which are %s", fieldNames(v.Type()))
		return
	}
	d.decodeFields(fields, v, path)
}

func (d *decoder) decodeSlice(n ast.Node, v reflect.Value, path string) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.add(path, "is not a list: write each element on a line of its own, after a dash")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values)))
	for i, element := range s.Values {
		d.decodeValue(element, v.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
}

func (d *decoder) decodeScalar(n ast.Node, v reflect.Value, path string) {
	s, ok := n.(ast.ScalarNode)
	if !ok {
		d.add(path, "is not a single value: write one")
		return
	}
	switch v.Kind() {
	case reflect.String:
		switch n.(type) {
		case *ast.InfinityNode, *ast.NanNode:
			// The YAML library parses .inf and .nan without quotes as numbers, but
			// also writes strings with these values without quotes.
			v.SetString(n.GetToken().Value)
			return
		}
		if text, ok := s.GetValue().(string); ok {
			v.SetString(text)
			return
		}
		d.add(path, "is not text: write it in quotes, as %q", n.GetToken().Value)
	case reflect.Bool:
		if b, ok := s.GetValue().(bool); ok {
			v.SetBool(b)
			return
		}
		d.add(path, "%v is neither true nor false: write one of them", s.GetValue())
	case reflect.Int:
		i, err := strconv.Atoi(fmt.Sprint(s.GetValue()))
		if _, quoted := s.GetValue().(string); quoted || err != nil {
			d.add(path, "%v is not a whole number: write one, without quotes or unit", s.GetValue())
			return
		}
		v.SetInt(int64(i))
	case reflect.Float64:
		f, err := strconv.ParseFloat(fmt.Sprint(s.GetValue()), 64)
		if _, quoted := s.GetValue().(string); quoted || err != nil {
			d.add(path, "%v is not a number: write one such as 1.25, without quotes or unit", s.GetValue())
			return
		}
		v.SetFloat(f)
	}
}

func joinPath(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func fieldIndex(t reflect.Type) map[string]int {
	index := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		index[fieldName(t.Field(i))] = i
	}
	return index
}

func fieldNames(t reflect.Type) string {
	names := make([]string, t.NumField())
	for i := range t.NumField() {
		names[i] = fieldName(t.Field(i))
	}
	return strings.Join(names, ", ")
}

// suggestField returns advice for an unknown field: the most similar field of t, or
// all of them if none is similar.
func suggestField(name string, t reflect.Type) string {
	best, bestDistance := "", maxTypoDistance+1
	for i := range t.NumField() {
		known := fieldName(t.Field(i))
		if n := distance(name, known); n < bestDistance && n < len(known) {
			best, bestDistance = known, n
		}
	}
	if best != "" {
		return "write " + best
	}
	return "write one of " + fieldNames(t)
}

// distance returns the Levenshtein distance of a and b, in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
