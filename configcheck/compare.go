package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/azurebarrow/azurebarrow/directory"
)

// Change is a difference between a configuration and the one in force.
type Change struct {
	// Place names the entry.
	Place string `json:"place"`
	// Text says what changes. It never holds a key.
	Text string `json:"text"`
}

// String returns the change as a line.
func (c Change) String() string { return c.Place + ": " + c.Text }

// CheckVersion returns a finding if entries would not follow the configuration, since the one in force is not older.
func CheckVersion(draft, inForce directory.Draft) []Finding {
	if draft.Configuration.Version > inForce.Configuration.Version {
		return nil
	}
	return []Finding{{Error, "version", fmt.Sprintf("%d is not newer than %d, which is in force", draft.Configuration.Version, inForce.Configuration.Version)}}
}

// Compare returns what differs from the configuration in force. Entries are told apart by their names.
func Compare(draft, inForce directory.Draft) []Change {
	var changes []Change
	compareNamed(&changes, "route", draft.Routes, inForce.Routes, func(r *directory.Route) string { return r.Name }, routeFields)
	compareNamed(&changes, "service", draft.Services, inForce.Services, func(s directory.Service) string { return s.Name }, serviceFields)
	compareNamed(&changes, "customer", draft.Customers, inForce.Customers, func(c directory.DraftCustomer) string { return c.Name }, customerFields)
	for _, customer := range draft.Customers {
		i := slices.IndexFunc(inForce.Customers, func(c directory.DraftCustomer) bool { return c.Name == customer.Name })
		if i < 0 {
			continue
		}
		before := inForce.Customers[i].Keys
		added, removed := countMissing(customer.Keys, before), countMissing(before, customer.Keys)
		if added+removed > 0 {
			changes = append(changes, Change{"customer " + customer.Name, fmt.Sprintf("%d keys added, %d removed", added, removed)})
		}
	}
	for _, each := range changedFields(limitFields(draft.Configuration.Limits), limitFields(inForce.Configuration.Limits)) {
		changes = append(changes, Change{"limits", each})
	}
	return changes
}

// field is a field of an entry and its value as text.
type field struct{ name, value string }

func compareNamed[T any](changes *[]Change, kind string, draft, inForce []T, nameOf func(T) string, fieldsOf func(T) []field) {
	find := func(list []T, name string) int {
		return slices.IndexFunc(list, func(each T) bool { return nameOf(each) == name })
	}
	for _, each := range draft {
		place := kind + " " + nameOf(each)
		i := find(inForce, nameOf(each))
		if i < 0 {
			*changes = append(*changes, Change{place, "added"})
			continue
		}
		for _, text := range changedFields(fieldsOf(each), fieldsOf(inForce[i])) {
			*changes = append(*changes, Change{place, text})
		}
	}
	for _, each := range inForce {
		if find(draft, nameOf(each)) < 0 {
			*changes = append(*changes, Change{kind + " " + nameOf(each), "removed"})
		}
	}
}

func changedFields(after, before []field) []string {
	var changed []string
	for i := range after {
		if after[i] != before[i] {
			changed = append(changed, fmt.Sprintf("%s: %s, in force %s", after[i].name, after[i].value, before[i].value))
		}
	}
	return changed
}

func routeFields(r *directory.Route) []field {
	var services []string
	for _, each := range r.Services {
		services = append(services, fmt.Sprintf("%s (weight %v)", each.Service, each.Weight))
	}
	return []field{
		{"match", r.Host + r.PathPrefix},
		{"class", r.Class.String()},
		{"services", strings.Join(services, " ")},
		{"timeout", r.Timeout.String()},
		{"latency objective", r.LatencyObjective.String()},
		{"gap objective", r.GapObjective.String()},
		{"priority", fmt.Sprint(r.Priority)},
		{"attempts", fmt.Sprint(r.MaxAttempts)},
		{"public", fmt.Sprint(r.Public)},
		{"resumable", fmt.Sprint(r.Resumable)},
	}
}

func serviceFields(s directory.Service) []field {
	engine := "none"
	if s.Engine != nil {
		engine = fmt.Sprintf("%+v", *s.Engine)
	}
	return []field{{"connections", fmt.Sprint(s.MaxConnections)}, {"engine", engine}}
}

func customerFields(c directory.DraftCustomer) []field {
	priority := "that of the route"
	if c.Priority != nil {
		priority = fmt.Sprint(*c.Priority)
	}
	return []field{{"priority", priority}}
}

func limitFields(l directory.Limits) []field {
	return []field{
		{"header bytes", fmt.Sprint(l.HeaderBytes)}, {"body bytes", fmt.Sprint(l.BodyBytes)},
		{"header timeout", l.HeaderTimeout.String()}, {"idle timeout", l.IdleTimeout.String()},
	}
}

// countMissing returns how many keys are not among others.
func countMissing(keys, others []string) int {
	count := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			count++
		}
	}
	return count
}
