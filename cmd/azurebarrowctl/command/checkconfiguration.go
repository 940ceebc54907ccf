package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/goccy/go-yaml"

	"github.com/azurebarrow/azurebarrow/configcheck"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/platform"
)

type checkConfigurationCommand struct {
	globals *globalOptions
	InForce string `long:"in-force" value-name:"FILE" description:"the configuration in force; default: that of the store, if --platform-url is given"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// configurationReport is the output of the command.
type configurationReport struct {
	Findings []configcheck.Finding `json:"findings"`
	Changes  []configcheck.Change  `json:"changes"`
}

// hasErrors reports whether the configuration must not be sent.
func (r configurationReport) hasErrors() bool {
	return slices.ContainsFunc(r.Findings, func(f configcheck.Finding) bool { return f.Severity == configcheck.Error })
}

// Execute implements flags.Commander.
func (c *checkConfigurationCommand) Execute([]string) error {
	draft, err := readDraft(c.Args.File)
	if finding := (*syntaxError)(nil); errors.As(err, &finding) {
		return c.finish(configurationReport{Findings: []configcheck.Finding{{Severity: configcheck.Error, Place: finding.place, Text: finding.cause.Error()}}}, false)
	}
	if err != nil {
		return err
	}
	report := configurationReport{Findings: configcheck.Check(draft)}
	inForce, known, err := c.readInForce()
	if err != nil {
		return err
	}
	if known {
		report.Findings = append(report.Findings, configcheck.CheckVersion(draft, inForce)...)
		report.Changes = configcheck.Compare(draft, inForce)
	}
	return c.finish(report, known)
}

func (c *checkConfigurationCommand) finish(report configurationReport, compared bool) error {
	if err := c.print(report, compared); err != nil {
		return err
	}
	if report.hasErrors() {
		return exitError{ExitFindings}
	}
	return nil
}

func (c *checkConfigurationCommand) print(report configurationReport, compared bool) error {
	if c.globals.Output != outputTable {
		return c.globals.printValue(report)
	}
	for _, finding := range report.Findings {
		fmt.Fprintf(c.globals.out, "%s: %s\n", c.Args.File, finding)
	}
	for _, change := range report.Changes {
		fmt.Fprintf(c.globals.out, "change: %s\n", change)
	}
	if len(report.Findings) == 0 {
		fmt.Fprintln(c.globals.out, "no findings")
	}
	if compared && len(report.Changes) == 0 {
		fmt.Fprintln(c.globals.out, "no difference from the configuration in force")
	}
	return nil
}

// readInForce reads the configuration in force from a file or from the store; known is false if neither is given, or the store has none.
func (c *checkConfigurationCommand) readInForce() (draft directory.Draft, known bool, err error) {
	if c.InForce != "" {
		draft, err = readDraft(c.InForce)
		return draft, err == nil, err
	}
	if c.globals.PlatformURL == "" {
		return draft, false, nil
	}
	ctx, cancel := context.WithTimeout(c.globals.ctx, inForceTimeout)
	defer cancel()
	list, err := platform.NewStore(c.globals.PlatformURL, platform.StoreOptions{}).List(ctx, directory.KindConfiguration)
	if err != nil {
		return draft, false, err
	}
	for _, item := range list.Items {
		each, err := platform.Decoder{}.Draft(item.Value)
		if err != nil {
			return draft, false, fmt.Errorf("configuration %s, revision %d: %w", item.Name, item.Revision, err)
		}
		if !known || each.Configuration.Version > draft.Configuration.Version {
			draft, known = each, true
		}
	}
	return draft, known, nil
}

// syntaxError is a file that can't be decoded, with the place in it.
type syntaxError struct {
	place string
	cause error
}

// Error implements error.
func (e *syntaxError) Error() string { return e.place + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *syntaxError) Unwrap() error { return e.cause }

// readDraft reads a configuration from a file in JSON or YAML. Its error is a *syntaxError if the file can be read but not decoded.
func readDraft(path string) (directory.Draft, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return directory.Draft{}, err
	}
	value := text
	isJSON := bytes.HasPrefix(bytes.TrimSpace(text), []byte("{"))
	if !isJSON {
		if value, err = yaml.YAMLToJSON(text); err != nil {
			return directory.Draft{}, &syntaxError{path, err}
		}
	}
	draft, err := platform.Decoder{}.Draft(value)
	if err == nil {
		return draft, nil
	}
	place := path
	if offset, known := offsetOf(err); known && isJSON {
		place = fmt.Sprintf("%s:%d", path, 1+bytes.Count(text[:min(offset, int64(len(text)))], []byte("\n")))
	}
	return draft, &syntaxError{place, err}
}

// offsetOf returns the byte offset of an error of the JSON decoder.
func offsetOf(err error) (offset int64, known bool) {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return syntax.Offset, true
	case errors.As(err, &mismatch):
		return mismatch.Offset, true
	}
	return 0, false
}
