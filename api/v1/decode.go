package v1

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

const (
	// MaxDocumentBytes limits the size of the text passed to Decode.
	MaxDocumentBytes = 4 << 20
	// maxNesting limits the depth of nested lists and mappings.
	maxNesting = 64
)

// Decode decodes the resources of a YAML or JSON text, which may contain several documents. It
// returns the documents of known kinds, and findings such as unknown fields, wrong types and unknown
// kinds. It does not validate the values; see Validate.
func Decode(file string, text []byte) ([]Document, Findings) {
	root, finding := parse(file, text)
	if finding != nil {
		return nil, Findings{*finding}
	}
	var documents []Document
	var findings Findings
	for _, node := range root.Docs {
		if node.Body == nil || node.Body.Type() == ast.NullType || node.Body.Type() == ast.CommentType {
			continue
		}
		document, found := decodeDocument(file, node.Body)
		findings = append(findings, found...)
		if document != nil {
			documents = append(documents, *document)
		}
	}
	return documents, findings
}

func parse(file string, text []byte) (*ast.File, *Finding) {
	if len(text) > MaxDocumentBytes {
		return nil, fileFinding(file, 1, fmt.Sprintf("must not exceed %d bytes", MaxDocumentBytes))
	}
	tokens := lexer.Tokenize(string(text))
	if tooDeep := firstTooDeepToken(tokens); tooDeep != nil {
		return nil, fileFinding(file, tooDeep.Position.Line, fmt.Sprintf("nests deeper than %d levels", maxNesting))
	}
	root, err := parser.Parse(tokens, 0)
	if err != nil {
		return nil, syntaxFinding(file, err)
	}
	return root, nil
}

// fileFinding returns a finding that concerns the whole file rather than one field.
func fileFinding(file string, line int, message string) *Finding {
	return &Finding{File: file, Line: line, Scope: ScopeResource, Message: message}
}

func syntaxFinding(file string, err error) *Finding {
	var typed yaml.Error
	if !errors.As(err, &typed) {
		return fileFinding(file, 1, err.Error())
	}
	line := 1
	if errorToken := typed.GetToken(); errorToken != nil && errorToken.Position != nil {
		line = errorToken.Position.Line
	}
	return fileFinding(file, line, typed.GetMessage())
}

// firstTooDeepToken returns the first token at which the nesting exceeds maxNesting, or nil. The
// parser is recursive, so the nesting must be checked before parsing.
func firstTooDeepToken(tokens token.Tokens) *token.Token {
	// Count the open brackets and braces, and the consecutive list and key markers ("-" and "?"), each
	// of which opens a block.
	flowDepth, blockMarkers := 0, 0
	for _, next := range tokens {
		switch next.Type {
		case token.MappingStartType, token.SequenceStartType:
			flowDepth++
		case token.MappingEndType, token.SequenceEndType:
			flowDepth--
		case token.SequenceEntryType, token.MappingKeyType:
			blockMarkers++
		case token.SpaceType:
		default:
			blockMarkers = 0
		}
		if flowDepth > maxNesting || blockMarkers > maxNesting {
			return next
		}
	}
	return nil
}

func decodeDocument(file string, body ast.Node) (*Document, Findings) {
	d := &decoder{file: file, lines: map[string]int{}}
	line := lineOfNode(body)
	mapping, ok := asMapping(body)
	if !ok {
		d.addFinding(line, "", "must be a mapping with apiVersion, kind, metadata and spec")
		return nil, d.findings
	}
	kind, kindLine := stringField(mapping, "kind")
	resource := newResource(kind)
	if resource == nil {
		d.addFinding(max(kindLine, line), "kind", fmt.Sprintf("must be one of %v, is %q", Kinds(), kind))
		return nil, d.findings
	}
	d.decodeResource(mapping, resource)
	return &Document{File: file, Resource: resource, line: line, lines: d.lines}, d.findings
}

// stringField returns the value of a field of mapping and its line. The value is empty if the field
// is not a string, and the line is 0 if there is no such field.
func stringField(mapping []*ast.MappingValueNode, name string) (value string, line int) {
	for _, field := range mapping {
		if keyOf(field) != name {
			continue
		}
		if text, ok := field.Value.(*ast.StringNode); ok {
			return text.Value, lineOfNode(field.Value)
		}
		return "", lineOfNode(field.Value)
	}
	return "", 0
}
