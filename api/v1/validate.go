package v1

import (
	"fmt"
	"regexp"
)

// maxNameBytes is the maximum length of a resource's name.
const maxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9.]*[a-z0-9])?$`)

// Validate validates each document in itself (ScopeResource) and against the others (ScopeReference)
// and returns all findings. azurebarrowctl, the entries and the tests all use it; its result depends
// only on its argument.
func Validate(documents []Document) Findings {
	var findings Findings
	for _, document := range documents {
		c := &checker{document: document, scope: ScopeResource}
		c.checkResource()
		findings = append(findings, c.findings...)
	}
	findings = append(findings, validateReferences(documents)...)
	findings.Sort()
	return findings
}

// checker validates one document and collects its findings.
type checker struct {
	document Document
	scope    FindingScope
	findings Findings
}

func (c *checker) addFinding(path, format string, args ...any) {
	c.findings = append(c.findings, Finding{
		File:    c.document.File,
		Line:    c.document.lineOf(path),
		Path:    path,
		Scope:   c.scope,
		Message: fmt.Sprintf(format, args...),
	})
}

// require adds the finding if ok is false.
func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.addFinding(path, format, args...)
	}
}

func (c *checker) checkName(path, name string) {
	if name == "" {
		c.addFinding(path, "is required")
		return
	}
	ok := len(name) <= maxNameBytes && namePattern.MatchString(name)
	c.require(ok, path, "must be at most %d lower-case letters, digits, dots and dashes, is %q", maxNameBytes, name)
}

func (c *checker) checkResource() {
	schema := c.document.Resource.Type()
	c.require(schema.APIVersion == APIVersion, "apiVersion", "must be %q, is %q", APIVersion, schema.APIVersion)
	c.checkName("metadata.name", c.document.Resource.Meta().Name)
	switch resource := c.document.Resource.(type) {
	case *Deployment:
		c.checkDeployment(resource.Spec)
	case *Model:
		c.checkModel(resource.Spec)
	case *Target:
		c.checkTarget(resource.Spec)
	case *Customer:
		c.checkCustomer(resource.Spec)
	}
}

// uniqueValues maps each value of a list to the path of its first occurrence.
type uniqueValues[T comparable] map[T]string

// check adds a finding if the value has occurred before.
func (u uniqueValues[T]) check(c *checker, path string, value T) {
	if first, ok := u[value]; ok {
		c.addFinding(path, "repeats %s", first)
		return
	}
	u[value] = path
}
