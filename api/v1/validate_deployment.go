package v1

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

const (
	// MaxPriority is the highest priority of a request; the lowest is 0.
	MaxPriority = 9
	// MaxDetachedGrace is the maximum of Recovery.DetachedGrace.
	MaxDetachedGrace = 24 * time.Hour
	// MaxCallTimeout is the maximum of Route.Timeout.
	MaxCallTimeout = 24 * time.Hour
)

var methodPattern = regexp.MustCompile(`^[A-Z]*$`)

func (c *checker) checkDeployment(spec DeploymentSpec) {
	switch spec.Type {
	case DeploymentGeneration:
		c.checkGenerationDeployment(spec)
	case DeploymentService:
		c.checkServiceDeployment(spec)
	default:
		c.addFinding("spec.type", "must be generation or service, is %q", spec.Type)
	}
	c.checkTargetNames(spec.Targets)
	c.checkCustomerAccess(spec.Customers)
	c.checkRecovery(spec.Recovery)
	c.checkFencing(spec.Fencing)
	c.checkObjectives(spec.Objectives)
}

func (c *checker) checkGenerationDeployment(spec DeploymentSpec) {
	c.checkName("spec.model", spec.Model)
	c.checkName("spec.version", spec.Version)
	c.require(len(spec.Routes) == 0, "spec.routes", "applies to services only")
	names := uniqueValues[string]{}
	for i, adapter := range spec.Adapters {
		path := fmt.Sprintf("spec.adapters[%d]", i)
		c.checkName(path+".name", adapter.Name)
		names.check(c, path+".name", adapter.Name)
		c.require(adapter.Weight >= 0, path+".weight", "must not be negative, is %d", adapter.Weight)
	}
}

func (c *checker) checkServiceDeployment(spec DeploymentSpec) {
	c.require(spec.Model == "", "spec.model", "applies to generations only")
	c.require(spec.Version == "", "spec.version", "applies to generations only")
	c.require(len(spec.Adapters) == 0, "spec.adapters", "applies to generations only")
	c.require(len(spec.Routes) > 0, "spec.routes", "must class at least one route")
	type match struct{ method, prefix string }
	matches := uniqueValues[match]{}
	for i, route := range spec.Routes {
		path := fmt.Sprintf("spec.routes[%d]", i)
		c.checkRoute(path, route)
		matches.check(c, path, match{route.Method, route.Prefix})
	}
}

func (c *checker) checkRoute(path string, route Route) {
	c.require(methodPattern.MatchString(route.Method), path+".method", "must be an HTTP method in capitals, is %q", route.Method)
	c.require(strings.HasPrefix(route.Prefix, "/"), path+".prefix", "must begin with /, is %q", route.Prefix)
	switch route.Class {
	case ClassInteractive, ClassIdempotent, ClassAtMostOnce:
	default:
		c.addFinding(path+".class", "must be interactive, idempotent or at-most-once, is %q", route.Class)
	}
	c.checkDuration(path+".timeout", route.Timeout, MaxCallTimeout)
}

func (c *checker) checkDuration(path string, value Duration, limit time.Duration) {
	ok := value >= 0 && time.Duration(value) <= limit
	c.require(ok, path, "must be between 0s and %s, is %s", limit, time.Duration(value))
}

func (c *checker) checkTargetNames(targets []string) {
	c.require(len(targets) > 0, "spec.targets", "must name at least one target")
	names := uniqueValues[string]{}
	for i, target := range targets {
		path := fmt.Sprintf("spec.targets[%d]", i)
		c.checkName(path, target)
		names.check(c, path, target)
	}
}

func (c *checker) checkCustomerAccess(customers []CustomerAccess) {
	names := uniqueValues[string]{}
	for i, customer := range customers {
		path := fmt.Sprintf("spec.customers[%d]", i)
		c.checkName(path+".name", customer.Name)
		names.check(c, path+".name", customer.Name)
		ok := customer.Priority >= 0 && customer.Priority <= MaxPriority
		c.require(ok, path+".priority", "must be between 0 and %d, is %d", MaxPriority, customer.Priority)
	}
}

func (c *checker) checkRecovery(recovery Recovery) {
	switch recovery.Prefer {
	case "", PreferLatency, PreferCost:
	default:
		c.addFinding("spec.recovery.prefer", "must be latency or cost, is %q", recovery.Prefer)
	}
	budget := recovery.DuplicationBudget
	c.require(budget >= 0 && budget <= 1, "spec.recovery.duplicationBudget", "must be between 0 and 1, is %v", budget)
	c.checkDuration("spec.recovery.detachedGrace", recovery.DetachedGrace, MaxDetachedGrace)
}

func (c *checker) checkFencing(mode FencingMode) {
	switch mode {
	case "", FencingEnforced, FencingIgnored:
	default:
		c.addFinding("spec.fencing", "must be enforced or ignored, is %q", mode)
	}
}

func (c *checker) checkObjectives(objectives []Objective) {
	kinds := uniqueValues[ObjectiveKind]{}
	for i, objective := range objectives {
		path := fmt.Sprintf("spec.objectives[%d]", i)
		kinds.check(c, path+".kind", objective.Kind)
		c.checkObjective(path, objective)
	}
}

func (c *checker) checkObjective(path string, objective Objective) {
	c.require(objective.Share > 0 && objective.Share < 1, path+".share", "must be above 0 and below 1, is %v", objective.Share)
	switch objective.Kind {
	case ObjectiveAnswered:
		c.require(objective.Threshold == 0, path+".threshold", "applies to latency objectives only")
	case ObjectiveTimeToFirstToken, ObjectiveResumeLatency, ObjectiveInteractiveLatency:
		c.require(objective.Threshold > 0, path+".threshold", "must be above 0s")
	default:
		c.addFinding(path+".kind", "must be answered, timeToFirstToken, resumeLatency or interactiveLatency, is %q", objective.Kind)
	}
}
