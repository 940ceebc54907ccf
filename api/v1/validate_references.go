package v1

import "fmt"

// references indexes the resources of all documents to check their references and to find duplicates.
type references struct {
	models    map[string]ModelSpec
	targets   map[string]TargetSpec
	customers map[string]bool

	// The documents that have been checked, and the first user of each address and API key hash.
	documents map[ResourceKey]Document
	addresses map[string]ResourceKey
	keyHashes map[string]ResourceKey
}

func validateReferences(documents []Document) Findings {
	r := newReferences()
	for _, document := range documents {
		r.collect(document)
	}
	var findings Findings
	for _, document := range documents {
		c := &checker{document: document, scope: ScopeReference}
		r.check(c)
		findings = append(findings, c.findings...)
	}
	return findings
}

func newReferences() *references {
	return &references{
		models:    map[string]ModelSpec{},
		targets:   map[string]TargetSpec{},
		customers: map[string]bool{},
		documents: map[ResourceKey]Document{},
		addresses: map[string]ResourceKey{},
		keyHashes: map[string]ResourceKey{},
	}
}

func (r *references) collect(document Document) {
	name := document.Resource.Meta().Name
	switch resource := document.Resource.(type) {
	case *Model:
		r.models[name] = resource.Spec
	case *Target:
		r.targets[name] = resource.Spec
	case *Customer:
		r.customers[name] = true
	}
}

func (r *references) check(c *checker) {
	key := c.document.Key()
	if first, ok := r.documents[key]; ok {
		c.addFinding("metadata.name", "%s is already declared at %s:%d", key, first.File, first.line)
		return
	}
	r.documents[key] = c.document
	switch resource := c.document.Resource.(type) {
	case *Deployment:
		r.checkDeployment(c, resource.Spec)
	case *Target:
		r.checkUnused(c, r.addresses, "spec.address", resource.Spec.Address)
	case *Customer:
		for i, hash := range resource.Spec.APIKeyHashes {
			r.checkUnused(c, r.keyHashes, fmt.Sprintf("spec.apiKeyHashes[%d]", i), hash)
		}
	}
}

// checkUnused adds a finding if another resource already uses the value; otherwise it records the
// document's resource as the user.
func (r *references) checkUnused(c *checker, users map[string]ResourceKey, path, value string) {
	key := c.document.Key()
	if user, ok := users[value]; ok && user != key {
		c.addFinding(path, "is already used by %s", user)
		return
	}
	users[value] = key
}

func (r *references) checkDeployment(c *checker, spec DeploymentSpec) {
	if spec.Type == DeploymentGeneration {
		r.checkModelVersion(c, spec)
	}
	for i, name := range spec.Targets {
		r.checkDeploymentTarget(c, spec.Type, fmt.Sprintf("spec.targets[%d]", i), name)
	}
	for i, customer := range spec.Customers {
		path := fmt.Sprintf("spec.customers[%d].name", i)
		c.require(r.customers[customer.Name], path, "unknown customer %q", customer.Name)
	}
}

func (r *references) checkModelVersion(c *checker, spec DeploymentSpec) {
	model, ok := r.models[spec.Model]
	if !ok {
		c.addFinding("spec.model", "unknown model %q", spec.Model)
		return
	}
	for _, version := range model.Versions {
		if version.Name == spec.Version {
			return
		}
	}
	c.addFinding("spec.version", "model %q has no version %q", spec.Model, spec.Version)
}

func (r *references) checkDeploymentTarget(c *checker, deploymentType DeploymentType, path, name string) {
	target, ok := r.targets[name]
	if !ok {
		c.addFinding(path, "unknown target %q", name)
		return
	}
	required := TargetEngine
	if deploymentType == DeploymentService {
		required = TargetService
	}
	c.require(target.Type == required, path, "target %q must be of type %s, is %s", name, required, target.Type)
}
