// Package configcheck checks a configuration before it is written to the store: errors, entries that can never match, limits that
// contradict each other, and what differs from the version in force.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/azurebarrow/azurebarrow/directory"
)

// Severity is how grave a finding is.
type Severity string

// Severities.
const (
	// Error: the configuration does not do what one of its entries says.
	Error Severity = "error"
	// Warning: an entry has no effect, or is probably not meant so.
	Warning Severity = "warning"
)

// Finding is something that is wrong with a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place names the entry, by its list, index and name.
	Place string `json:"place"`
	Text  string `json:"text"`
}

// String returns the finding as a line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Place, f.Severity, f.Text) }

// maxPriority is the lowest priority that engines distinguish; larger values count as it.
const maxPriority = 9

// checker collects findings.
type checker struct {
	draft    directory.Draft
	findings []Finding
}

// Check returns what is wrong with a configuration, in the order of its entries.
func Check(draft directory.Draft) []Finding {
	c := &checker{draft: draft}
	if draft.Configuration.Version < 1 {
		c.add(Error, "version", "%d is not positive", draft.Configuration.Version)
	}
	c.checkRoutes()
	c.checkServices()
	c.checkCustomers()
	c.checkLimits()
	return c.findings
}

func (c *checker) add(severity Severity, place, format string, arguments ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Place: place, Text: fmt.Sprintf(format, arguments...)})
}

func place(list string, index int, name string) string {
	return fmt.Sprintf("%s[%d] (%s)", list, index, cmp.Or(name, "without a name"))
}

func (c *checker) checkRoutes() {
	names, matches := map[string]string{}, map[[2]string]string{}
	for i, route := range c.draft.Routes {
		at := place("routes", i, route.Name)
		if first, exists := names[route.Name]; exists {
			c.add(Error, at, "has the name of %s", first)
		} else {
			names[route.Name] = at
		}
		key := [2]string{route.Host, route.PathPrefix}
		if first, exists := matches[key]; exists {
			c.add(Error, at, "never matches: %s has the same host and path prefix", first)
		} else {
			matches[key] = at
		}
		c.checkMatch(at, route)
		c.checkTimes(at, route)
		c.checkRouteServices(at, route)
		if route.Priority < 0 || route.Priority > maxPriority {
			c.add(Warning, at, "priority %d is outside 0 to %d, and counts as the nearest of these", route.Priority, maxPriority)
		}
	}
}

// checkMatch checks which requests a route matches.
func (c *checker) checkMatch(at string, route *directory.Route) {
	if route.Host == "" {
		c.add(Error, at, "never matches: it has no host")
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		c.add(Error, at, "path prefix %q doesn't begin and end with a slash", route.PathPrefix)
	}
	if strings.ContainsAny(route.PathPrefix, "?#") {
		c.add(Error, at, "never matches: path prefix %q is more than a path", route.PathPrefix)
	}
}

func (c *checker) checkTimes(at string, route *directory.Route) {
	if route.Timeout <= 0 {
		c.add(Error, at, "timeout %v: every request would time out at once", route.Timeout)
		return
	}
	if route.LatencyObjective > route.Timeout {
		c.add(Error, at, "latency objective %v exceeds the timeout %v", route.LatencyObjective, route.Timeout)
	}
	switch {
	case route.Class != directory.Stream && route.GapObjective > 0:
		c.add(Warning, at, "the objective for the gap between events has no effect, since the route has no streams")
	case route.GapObjective > route.Timeout:
		c.add(Error, at, "objective %v for the gap between events exceeds the timeout %v", route.GapObjective, route.Timeout)
	}
	if route.Class != directory.Stream && route.Resumable {
		c.add(Warning, at, "is resumable, which has no effect, since the route has no streams")
	}
	if route.Class == directory.Stream && !route.Resumable && route.MaxAttempts > 1 {
		c.add(Warning, at, "%d attempts: a stream that can't be resumed is sent again only if it has not run", route.MaxAttempts)
	}
}

func (c *checker) checkRouteServices(at string, route *directory.Route) {
	total := 0.0
	for _, each := range route.Services {
		total += max(0, each.Weight)
		service, known := c.draft.Configuration.Services[each.Service]
		switch {
		case each.Service == "":
			c.add(Error, at, "names no service")
			continue
		case !known:
			c.add(Error, at, "service %s is not among the services", each.Service)
		case route.Class == directory.Stream && service.Engine == nil:
			c.add(Warning, at, "has streams, but service %s has no engines", each.Service)
		case route.Class != directory.Stream && service.Engine != nil:
			c.add(Warning, at, "has no streams, but service %s has engines", each.Service)
		}
		if each.Weight < 0 {
			c.add(Error, at, "weight %v of service %s is negative", each.Weight, each.Service)
		} else if each.Weight == 0 {
			c.add(Warning, at, "service %s has weight 0 and gets no requests", each.Service)
		}
	}
	if total == 0 && len(route.Services) > 0 && route.Services[0].Service != "" {
		c.add(Error, at, "the weights of its services add up to 0")
	}
}

func (c *checker) checkServices() {
	used := map[string]bool{}
	for _, route := range c.draft.Routes {
		for _, each := range route.Services {
			used[each.Service] = true
		}
	}
	names := map[string]string{}
	for i, service := range c.draft.Services {
		at := place("services", i, service.Name)
		if first, exists := names[service.Name]; exists {
			c.add(Error, at, "has the name of %s, which has no effect therefore", first)
		}
		names[service.Name] = at
		if !used[service.Name] {
			c.add(Warning, at, "no route leads to it")
		}
		if service.MaxConnections < 0 {
			c.add(Error, at, "%d connections", service.MaxConnections)
		}
		engine := service.Engine
		if engine == nil {
			continue
		}
		if engine.Slots <= 0 {
			c.add(Error, at, "its engines have %d slots", engine.Slots)
		}
		if engine.MemoryTokens <= 0 {
			c.add(Error, at, "its engines have a KV cache of %d tokens", engine.MemoryTokens)
		}
		if service.MaxConnections > 0 && service.MaxConnections < engine.Slots {
			c.add(Error, at, "%d connections contradict %d slots: a stream takes a connection", service.MaxConnections, engine.Slots)
		}
	}
}

func (c *checker) checkCustomers() {
	names, keys := map[string]string{}, map[string]string{}
	count := 0
	for i, customer := range c.draft.Customers {
		at := place("customers", i, customer.Name)
		if first, exists := names[customer.Name]; exists {
			c.add(Error, at, "has the name of %s", first)
		}
		names[customer.Name] = at
		if len(customer.Keys) == 0 {
			c.add(Warning, at, "has no keys: its callers get 401")
		}
		for j, key := range customer.Keys {
			count++
			if key == "" {
				c.add(Error, at, "key %d is empty", j)
			} else if first, exists := keys[key]; exists {
				c.add(Error, at, "key %d is also a key of %s", j, first)
			}
			keys[key] = at
		}
		if p := customer.Priority; p != nil && (*p < 0 || *p > maxPriority) {
			c.add(Warning, at, "priority %d is outside 0 to %d, and counts as the nearest of these", *p, maxPriority)
		}
	}
	if len(c.draft.Customers) > 0 && count == 0 && slices.ContainsFunc(c.draft.Routes, func(r *directory.Route) bool { return !r.Public }) {
		c.add(Error, "customers", "there are customers and no keys: every route that is not public answers 401")
	}
}

func (c *checker) checkLimits() {
	limits := c.draft.Configuration.Limits
	for _, each := range []struct {
		name  string
		value int64
	}{
		{"header bytes", int64(limits.HeaderBytes)}, {"body bytes", limits.BodyBytes}, {"header timeout", int64(limits.HeaderTimeout)}, {"idle timeout", int64(limits.IdleTimeout)},
	} {
		if each.value < 0 {
			c.add(Error, "limits", "the limit of %s is negative", each.name)
		}
	}
	if limits.HeaderTimeout > 0 && limits.IdleTimeout > 0 && limits.IdleTimeout < limits.HeaderTimeout {
		c.add(Error, "limits", "idle timeout %v contradicts header timeout %v: a connection would be idle before its head has timed out", limits.IdleTimeout, limits.HeaderTimeout)
	}
	if limits.HeaderTimeout == 0 {
		return
	}
	for i, route := range c.draft.Routes {
		if route.Timeout > 0 && route.Timeout < limits.HeaderTimeout/10 {
			c.add(Warning, place("routes", i, route.Name), "timeout %v is less than a tenth of the header timeout %v", route.Timeout, limits.HeaderTimeout)
		}
	}
}
