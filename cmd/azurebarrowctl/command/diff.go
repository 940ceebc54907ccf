package command

import (
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

type diffCommand struct {
	globals *globalOptions
	Paths   []string `short:"f" long:"file" value-name:"FILE|DIR" required:"yes" description:"resource files; may be repeated"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	client, err := c.globals.platform()
	if err != nil {
		return err
	}
	documents, findings, err := readDocuments(c.Paths)
	if err != nil {
		return err
	}
	if len(findings) > 0 {
		return c.globals.printFindings(findings, len(documents))
	}
	stored, err := listAll(c.globals.ctx, client, v1.Kinds())
	if err != nil {
		return err
	}
	changes := compareResources(documents, stored)
	if err := c.globals.printChanges(changes); err != nil {
		return err
	}
	for _, change := range changes {
		if change.Kind != changeNone {
			return exitError{ExitDifferences}
		}
	}
	return nil
}
