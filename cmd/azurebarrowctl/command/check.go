package command

import (
	"fmt"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

type checkCommand struct {
	globals *globalOptions
	Args    struct {
		Paths []string `positional-arg-name:"FILE|DIR" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	documents, findings, err := readDocuments(c.Args.Paths)
	if err != nil {
		return err
	}
	findings = append(findings, v1.Validate(documents)...)
	findings.Sort()
	return c.globals.printFindings(findings, len(documents))
}

// printFindings prints the findings, and returns an exitError with ExitFindings if there are any.
func (g *globalOptions) printFindings(findings v1.Findings, checked int) error {
	if err := g.printFindingList(findings, checked); err != nil {
		return err
	}
	if len(findings) > 0 {
		return exitError{ExitFindings}
	}
	return nil
}

func (g *globalOptions) printFindingList(findings v1.Findings, checked int) error {
	if g.Output != outputTable {
		return g.printValue(append(v1.Findings{}, findings...))
	}
	for _, finding := range findings {
		fmt.Fprintln(g.out, finding)
	}
	if len(findings) == 0 {
		fmt.Fprintf(g.out, "%d resources, no findings\n", checked)
	}
	return nil
}
