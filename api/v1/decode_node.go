package v1

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// decoder sets the fields of a resource from the YAML nodes of one document and collects findings.
type decoder struct {
	file     string
	lines    map[string]int // by the path of the field
	findings Findings
}

func (d *decoder) addFinding(line int, path, message string) {
	finding := Finding{File: d.file, Line: line, Path: path, Scope: ScopeResource, Message: message}
	d.findings = append(d.findings, finding)
}

func (d *decoder) decodeResource(mapping []*ast.MappingValueNode, resource Resource) {
	d.decodeFields(mapping, reflect.ValueOf(resource).Elem(), "")
}

// decodeNode sets value, the field at path, from node. A null leaves it unchanged.
func (d *decoder) decodeNode(node ast.Node, value reflect.Value, path string) {
	d.lines[path] = lineOfNode(node)
	if node.Type() == ast.NullType {
		return
	}
	if text, ok := value.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(node, text, path)
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		d.decodeStruct(node, value, path)
	case reflect.Slice:
		d.decodeSlice(node, value, path)
	default:
		d.decodeScalar(node, value, path)
	}
}

func (d *decoder) decodeText(node ast.Node, value encoding.TextUnmarshaler, path string) {
	text, ok := stringOf(node)
	if !ok {
		d.addFinding(lineOfNode(node), path, "must be text such as 300ms")
		return
	}
	if err := value.UnmarshalText([]byte(text)); err != nil {
		d.addFinding(lineOfNode(node), path, err.Error())
	}
}

func (d *decoder) decodeStruct(node ast.Node, value reflect.Value, path string) {
	mapping, ok := asMapping(node)
	if !ok {
		d.addFinding(lineOfNode(node), path, "must be a mapping")
		return
	}
	d.decodeFields(mapping, value, path)
}

func (d *decoder) decodeFields(mapping []*ast.MappingValueNode, value reflect.Value, path string) {
	fields := fieldsOf(value)
	seen := map[string]bool{}
	for _, entry := range mapping {
		name := keyOf(entry)
		fieldPath := joinPath(path, name)
		field, known := fields[name]
		switch {
		case !known:
			d.addFinding(lineOfNode(entry.Key), fieldPath, "unknown field")
		case seen[name]:
			d.addFinding(lineOfNode(entry.Key), fieldPath, "is stated twice")
		default:
			d.decodeNode(entry.Value, field, fieldPath)
		}
		seen[name] = true
	}
}

func (d *decoder) decodeSlice(node ast.Node, value reflect.Value, path string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addFinding(lineOfNode(node), path, "must be a list")
		return
	}
	list := reflect.MakeSlice(value.Type(), len(sequence.Values), len(sequence.Values))
	for i, element := range sequence.Values {
		d.decodeNode(element, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	value.Set(list)
}

func (d *decoder) decodeScalar(node ast.Node, value reflect.Value, path string) {
	switch value.Kind() {
	case reflect.String:
		if text, ok := stringOf(node); ok {
			value.SetString(text)
			return
		}
		d.addFinding(lineOfNode(node), path, "must be text; put numbers and truth values in quotes")
	case reflect.Bool:
		if truth, ok := node.(*ast.BoolNode); ok {
			value.SetBool(truth.Value)
			return
		}
		d.addFinding(lineOfNode(node), path, "must be true or false")
	case reflect.Int, reflect.Int64:
		if number, ok := integerOf(node); ok {
			value.SetInt(number)
			return
		}
		d.addFinding(lineOfNode(node), path, "must be an integer")
	case reflect.Float64:
		if number, ok := floatOf(node); ok {
			value.SetFloat(number)
			return
		}
		d.addFinding(lineOfNode(node), path, "must be a finite number")
	default:
		d.addFinding(lineOfNode(node), path, "has a type that cannot be read: "+value.Type().String())
	}
}

// fieldsOf returns the fields of a struct by their JSON names, including those of embedded structs.
func fieldsOf(value reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.Anonymous {
			for name, embedded := range fieldsOf(value.Field(i)) {
				fields[name] = embedded
			}
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = value.Field(i)
	}
	return fields
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func keyOf(entry *ast.MappingValueNode) string {
	if text, ok := entry.Key.(*ast.StringNode); ok {
		return text.Value
	}
	return entry.Key.String()
}

func asMapping(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}, true
	}
	return nil, false
}

func stringOf(node ast.Node) (string, bool) {
	switch text := node.(type) {
	case *ast.StringNode:
		return text.Value, true
	case *ast.LiteralNode:
		return text.Value.Value, true
	}
	return "", false
}

func integerOf(node ast.Node) (int64, bool) {
	integer, ok := node.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch number := integer.Value.(type) {
	case int64:
		return number, true
	case uint64:
		return int64(number), number <= math.MaxInt64
	}
	return 0, false
}

func floatOf(node ast.Node) (float64, bool) {
	if number, ok := node.(*ast.FloatNode); ok {
		finite := !math.IsNaN(number.Value) && !math.IsInf(number.Value, 0)
		return number.Value, finite
	}
	integer, ok := integerOf(node)
	return float64(integer), ok
}

func lineOfNode(node ast.Node) int {
	first := node.GetToken()
	if first == nil || first.Position == nil {
		return 1
	}
	return first.Position.Line
}
