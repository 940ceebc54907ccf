package command

import (
	"errors"
	"fmt"
	"strconv"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/objects"
)

type getCommand struct {
	globals *globalOptions
	Args    struct {
		Kind string `positional-arg-name:"KIND" required:"yes"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	client, err := c.globals.platform()
	if err != nil {
		return err
	}
	kind, err := parseKind(c.Args.Kind)
	if err != nil {
		return err
	}
	if c.Args.Name == "" {
		stored, err := listAll(c.globals.ctx, client, []string{kind})
		if err != nil {
			return err
		}
		return c.globals.printResources(stored)
	}
	object, err := client.Get(c.globals.ctx, kind, c.Args.Name)
	if errors.Is(err, objects.ErrNotFound) {
		return fmt.Errorf("%s/%s: not found", kind, c.Args.Name)
	}
	if err != nil {
		return err
	}
	stored := decodeStored(object)
	if c.globals.Output != outputTable {
		return c.globals.printValue(stored.printable())
	}
	return c.globals.printResources([]storedResource{stored})
}

var resourceHeader = []string{"KIND", "NAME", "REVISION", "GENERATION", "ACCEPTED", "IN-FORCE", "DEGRADED"}

func resourceRow(resource storedResource) []string {
	return []string{
		resource.object.Kind,
		resource.object.Name,
		strconv.FormatInt(resource.object.Revision, 10),
		strconv.FormatInt(resource.generation(), 10),
		resource.conditionText(v1.ConditionAccepted),
		resource.conditionText(v1.ConditionInForce),
		resource.conditionText(v1.ConditionDegraded),
	}
}

func (g *globalOptions) printResources(stored []storedResource) error {
	if g.Output != outputTable {
		shown := make([]any, len(stored))
		for i := range stored {
			shown[i] = stored[i].printable()
		}
		return g.printValue(shown)
	}
	var rows [][]string
	for _, resource := range stored {
		rows = append(rows, resourceRow(resource))
	}
	return g.printTable(resourceHeader, rows)
}
