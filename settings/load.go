package settings

import (
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Load reads and validates a settings file. It returns all findings at once; the settings are usable
// only when there are none. The error is of reading the file.
func Load(path string) (Settings, []Finding, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, err
	}
	loaded, findings := Parse(path, data)
	return loaded, findings, nil
}

// Parse reads and validates settings in YAML; file is the file name that the findings show.
func Parse(file string, data []byte) (Settings, []Finding) {
	document, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Settings{}, []Finding{{File: file, Line: lineOfError(err), Field: "(document)", Message: firstLine(err)}}
	}
	reader := reader{file: file, lines: map[string]int{}}
	var parsed Settings
	for _, doc := range document.Docs {
		if doc.Body != nil {
			reader.read(doc.Body, reflect.ValueOf(&parsed).Elem(), "")
		}
	}
	parsed = parsed.WithDefaults()
	for _, fault := range parsed.validate() {
		if reader.reported[fault.field] {
			continue // already reported: the value could not be read
		}
		reader.findings = append(reader.findings, Finding{file, reader.lines[fault.field], fault.field, fault.message})
	}
	return parsed, reader.findings
}

// reader decodes a YAML tree into a struct and collects all findings and the line of each field.
type reader struct {
	file     string
	lines    map[string]int
	reported map[string]bool
	findings []Finding
}

func (r *reader) report(node ast.Node, field, message string) {
	if r.reported == nil {
		r.reported = map[string]bool{}
	}
	r.reported[field] = true
	r.findings = append(r.findings, Finding{r.file, node.GetToken().Position.Line, field, message})
}

func (r *reader) read(node ast.Node, dest reflect.Value, field string) {
	if field != "" {
		r.lines[field] = node.GetToken().Position.Line
	}
	switch dest.Kind() {
	case reflect.Struct:
		r.readStruct(node, dest, field)
	case reflect.Slice:
		r.readSlice(node, dest, field)
	default:
		if err := yaml.NodeToValue(node, dest.Addr().Interface()); err != nil {
			r.report(node, field, "cannot read "+node.String()+" as "+dest.Type().String())
		}
	}
}

func (r *reader) readStruct(node ast.Node, dest reflect.Value, field string) {
	var entries []*ast.MappingValueNode
	switch typed := node.(type) {
	case *ast.MappingNode:
		entries = typed.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{typed}
	case *ast.NullNode:
		return
	default:
		r.report(node, field, "want a mapping")
		return
	}
	for _, entry := range entries {
		name := entry.Key.String()
		path := name
		if field != "" {
			path = field + "." + name
		}
		index, known := fieldByYAMLName(dest.Type(), name)
		if !known {
			r.report(entry.Key, path, "unknown setting")
			continue
		}
		r.read(entry.Value, dest.Field(index), path)
	}
}

func (r *reader) readSlice(node ast.Node, dest reflect.Value, field string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		r.report(node, field, "want a list")
		return
	}
	for i, value := range sequence.Values {
		element := reflect.New(dest.Type().Elem()).Elem()
		r.read(value, element, field+"["+strconv.Itoa(i)+"]")
		dest.Set(reflect.Append(dest, element))
	}
}

func fieldByYAMLName(typ reflect.Type, name string) (int, bool) {
	for i := range typ.NumField() {
		if typ.Field(i).Tag.Get("yaml") == name {
			return i, true
		}
	}
	return 0, false
}

func lineOfError(err error) int {
	if syntax, ok := err.(*yaml.SyntaxError); ok {
		return syntax.Token.Position.Line
	}
	return 0
}

func firstLine(err error) string {
	if syntax, ok := err.(*yaml.SyntaxError); ok {
		return syntax.Message
	}
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// Check validates settings that don't come from a file alone, such as after flags have overridden
// them; place is what the findings show instead of a file name.
func Check(place string, s Settings) []Finding {
	var findings []Finding
	for _, fault := range s.validate() {
		findings = append(findings, Finding{File: place, Field: fault.field, Message: fault.message})
	}
	return findings
}
