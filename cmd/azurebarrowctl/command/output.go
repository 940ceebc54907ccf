package command

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
)

// Output formats.
const (
	outputTable = "table"
	outputYAML  = "yaml"
	outputJSON  = "json"
)

// printValue prints a value as YAML or JSON, both with the field names of its JSON tags.
func (g *globalOptions) printValue(value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	if g.Output == outputYAML {
		if text, err = yaml.JSONToYAML(text); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(g.out, strings.TrimSuffix(string(text), "\n"))
	return err
}

// printTable prints a header and rows with aligned columns.
func (g *globalOptions) printTable(header []string, rows [][]string) error {
	table := tabwriter.NewWriter(g.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}
