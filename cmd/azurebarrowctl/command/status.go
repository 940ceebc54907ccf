package command

import (
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

type statusCommand struct {
	globals *globalOptions
}

// resourceStatus is the status of one resource, as the command prints it.
type resourceStatus struct {
	Key        v1.ResourceKey `json:"key"`
	Revision   int64          `json:"revision"`
	Generation int64          `json:"generation"`
	Status     v1.Status      `json:"status"`

	stored storedResource
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client, err := c.globals.platform()
	if err != nil {
		return err
	}
	stored, err := listAll(c.globals.ctx, client, v1.Kinds())
	if err != nil {
		return err
	}
	statuses := make([]resourceStatus, 0, len(stored))
	allInForce := true
	for _, resource := range stored {
		statuses = append(statuses, statusOf(resource))
		allInForce = allInForce && isInForce(resource)
	}
	if err := c.globals.printStatuses(statuses); err != nil {
		return err
	}
	if !allInForce {
		return exitError{ExitNotInForce}
	}
	return nil
}

func statusOf(stored storedResource) resourceStatus {
	status := resourceStatus{
		Key:        v1.ResourceKey{Kind: stored.object.Kind, Name: stored.object.Name},
		Revision:   stored.object.Revision,
		Generation: stored.generation(),
		stored:     stored,
	}
	if stored.document != nil {
		status.Status = *stored.document.Resource.State()
	}
	return status
}

// isInForce tells whether the newest spec is accepted and in force everywhere, as the system
// observed it for this generation.
func isInForce(stored storedResource) bool {
	accepted, known := stored.condition(v1.ConditionAccepted)
	inForce, _ := stored.condition(v1.ConditionInForce)
	return known && accepted.Status && inForce.Status && inForce.ObservedGeneration == stored.generation()
}

func (g *globalOptions) printStatuses(statuses []resourceStatus) error {
	if g.Output != outputTable {
		return g.printValue(statuses)
	}
	var rows [][]string
	for _, status := range statuses {
		rows = append(rows, append(resourceRow(status.stored), firstMessage(status.Status)))
	}
	return g.printTable(append(resourceHeader, "MESSAGE"), rows)
}

// firstMessage returns the message of the first condition that has one.
func firstMessage(status v1.Status) string {
	for _, condition := range status.Conditions {
		if condition.Message != "" {
			return condition.Message
		}
	}
	return ""
}
