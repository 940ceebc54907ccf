package v1

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FindingScope distinguishes faults of a single resource from faults of its references.
type FindingScope string

// Scopes of findings.
const (
	// ScopeResource: the resource is invalid in itself; entries reject this revision.
	ScopeResource FindingScope = "resource"
	// ScopeReference: the resource conflicts with others or refers to a missing one; entries accept it
	// and report it as Degraded.
	ScopeReference FindingScope = "reference"
)

// Finding is one validation error of a resource and its location.
type Finding struct {
	// File is the file name, or Kind/name for an object that was read from the platform.
	File string `json:"file"`
	// Line is the line number, from 1; 0 if unknown.
	Line int `json:"line,omitempty"`
	// Path is the path of the field, such as spec.targets[2]; it is empty for a finding about the
	// whole document.
	Path    string       `json:"path,omitempty"`
	Scope   FindingScope `json:"scope"`
	Message string       `json:"message"`
}

// String returns f as "file:line: field.path: message".
func (f Finding) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s:%d: ", f.File, f.Line)
	if f.Path != "" {
		text.WriteString(f.Path + ": ")
	}
	text.WriteString(f.Message)
	return text.String()
}

// Findings are the findings of one validation. As an error, they are printed one per line.
type Findings []Finding

// Error implements error.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil if there are no findings.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// OfScope returns the findings of the given scope.
func (f Findings) OfScope(scope FindingScope) Findings {
	var matching Findings
	for _, finding := range f {
		if finding.Scope == scope {
			matching = append(matching, finding)
		}
	}
	return matching
}

// Sort sorts the findings by file, line and path.
func (f Findings) Sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Path, b.Path),
		)
	})
}
