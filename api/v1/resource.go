package v1

// Resource is implemented by every kind of this package.
type Resource interface {
	// Type returns the resource's apiVersion and kind.
	Type() TypeMeta
	// Meta returns a pointer to the resource's metadata, through which it may be modified.
	Meta() *Metadata
	// State returns a pointer to the resource's status, through which it may be modified.
	State() *Status
	// SpecValue returns the resource's spec, to be compared or encoded.
	SpecValue() any
}

// Type implements Resource.
func (t TypeMeta) Type() TypeMeta { return t }

// Meta implements Resource.
func (d *Deployment) Meta() *Metadata { return &d.Metadata }

// State implements Resource.
func (d *Deployment) State() *Status { return &d.Status }

// SpecValue implements Resource.
func (d *Deployment) SpecValue() any { return d.Spec }

// Meta implements Resource.
func (m *Model) Meta() *Metadata { return &m.Metadata }

// State implements Resource.
func (m *Model) State() *Status { return &m.Status }

// SpecValue implements Resource.
func (m *Model) SpecValue() any { return m.Spec }

// Meta implements Resource.
func (t *Target) Meta() *Metadata { return &t.Metadata }

// State implements Resource.
func (t *Target) State() *Status { return &t.Status }

// SpecValue implements Resource.
func (t *Target) SpecValue() any { return t.Spec }

// Meta implements Resource.
func (c *Customer) Meta() *Metadata { return &c.Metadata }

// State implements Resource.
func (c *Customer) State() *Status { return &c.Status }

// SpecValue implements Resource.
func (c *Customer) SpecValue() any { return c.Spec }

// newResource returns an empty resource of the given kind, or nil if the kind is unknown.
func newResource(kind string) Resource {
	switch kind {
	case KindDeployment:
		return &Deployment{}
	case KindModel:
		return &Model{}
	case KindTarget:
		return &Target{}
	case KindCustomer:
		return &Customer{}
	}
	return nil
}

// Document is one decoded resource with the source line of each of its fields.
type Document struct {
	// File is the file name, or Kind/name for an object that was read from the platform.
	File     string
	Resource Resource

	line  int            // where the document begins
	lines map[string]int // by the path of the field
}

// Key returns the kind and name, which identify the resource.
func (d Document) Key() ResourceKey {
	return ResourceKey{Kind: d.Resource.Type().Kind, Name: d.Resource.Meta().Name}
}

// ResourceKey identifies a resource.
type ResourceKey struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// String returns k as Kind/name.
func (k ResourceKey) String() string { return k.Kind + "/" + k.Name }

// lineOf returns the line of the field at path or, if the document omits the field, the line of the
// nearest enclosing field that it has.
func (d Document) lineOf(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = parentPath(path)
	}
	return d.line
}

// parentPath drops the last element of a path: "spec.targets[2]" becomes "spec.targets". It returns
// an empty path for a top-level field.
func parentPath(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
