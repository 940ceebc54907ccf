// Package command implements the command line of azurebarrowctl. It is a package of its own so that a test
// binary can run it as a subprocess.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	"github.com/azurebarrow/azurebarrow/objects"
)

// Exit codes.
const (
	// ExitOK: the command succeeded; check found no fault, diff no difference, and status and in-force
	// nothing that is not in force.
	ExitOK = 0
	// ExitFailed: an error without an exit code of its own.
	ExitFailed = 1
	// ExitUsage: the command line is invalid.
	ExitUsage = 2
	// ExitFindings: the resources are invalid; the findings were printed.
	ExitFindings = 3
	// ExitConflict: another writer changed a resource since it was read.
	ExitConflict = 4
	// ExitDifferences: diff found differences.
	ExitDifferences = 5
	// ExitUnavailable: the platform is unavailable, or it is unknown whether a write took effect.
	ExitUnavailable = 6
	// ExitNotInForce: status found a resource that is not accepted or not in force everywhere, or in-force
	// found an entry that does not have the stored configuration in force.
	ExitNotInForce = 7
)

// exitError ends the program with an exit code and prints nothing: the command already printed the reason as
// its output.
type exitError struct{ code int }

// Error implements error.
func (e exitError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

// globalOptions are the options of every command.
type globalOptions struct {
	PlatformURL string `long:"platform-url" env:"AZUREBARROW_PLATFORM_URL" value-name:"URL" description:"the platform's object API"`
	Output      string `short:"o" long:"output" choice:"table" choice:"yaml" choice:"json" default:"table" description:"the form of the output"`

	out io.Writer
	ctx context.Context
}

var errNoPlatform = errors.New("--platform-url or AZUREBARROW_PLATFORM_URL is required")

func (g *globalOptions) platform() (*platformhttp.Client, error) {
	if g.PlatformURL == "" {
		return nil, errNoPlatform
	}
	return platformhttp.New(g.PlatformURL, platformhttp.Options{}), nil
}

const description = `Checks, applies and watches resources.

Exit codes: 0 done, nothing to report; 1 failed; 2 bad usage; 3 findings; 4 conflict with another
writer; 5 differences; 6 platform unavailable or outcome unknown; 7 not accepted or not in force.`

// Main runs the command line and returns the exit code.
func Main(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	options := &globalOptions{out: os.Stdout, ctx: ctx}
	parser := flags.NewNamedParser("azurebarrowctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		panic(err) // invalid struct tags
	}
	for _, definition := range subcommands(options) {
		if _, err := parser.AddCommand(definition.name, definition.short, definition.long, definition.command); err != nil {
			panic(err) // invalid definition of the subcommand
		}
	}
	_, err := parser.ParseArgs(arguments)
	return reportError(err)
}

type subcommand struct {
	name, short, long string
	command           flags.Commander
}

func subcommands(options *globalOptions) []subcommand {
	return []subcommand{
		{"check", "Check resource files", "Reports every finding as file:line: field: what is wrong.", &checkCommand{globals: options}},
		{"diff", "Compare files with the platform", "Shows what apply would change.", &diffCommand{globals: options}},
		{"apply", "Apply resource files", "Writes what differs, on condition that nobody else changed it meanwhile. A file that states metadata.revision is applied to that revision only.", &applyCommand{globals: options}},
		{"get", "Show resources", "Shows the resources of a kind, or one of them.", &getCommand{globals: options}},
		{"watch", "Show changes as they come", "Shows each change of the given kinds, or of all.", &watchCommand{globals: options}},
		{"status", "Show what is not as declared", "Shows the conditions of every resource.", &statusCommand{globals: options}},
		{"in-force", "Compare entries with the users' store", "Shows the version of the configuration that entries of the passthrough interface have in force, beside the stored one.", &inForceCommand{globals: options}},
		{"check-config", "Check a configuration before it is sent", "Reports errors of a configuration of the passthrough interface, entries that can never match, limits that contradict each other, and what differs from the version in force.", &checkConfigurationCommand{globals: options}},
		{"rollout", "Show rollouts", "Asks entries of the passthrough interface for the rollouts that they know, and the coordinator among them for the verdict and the evidence.", &rolloutCommand{globals: options}},
		{"burn", "Show how fast error budgets are spent", "Asks an entry for the service-level objectives of every availability zone and of the whole.", &burnCommand{globals: options}},
	}
}

// reportError prints err, unless it is nil or an exitError, and returns the exit code for it.
func reportError(err error) int {
	var exit exitError
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return ExitOK
	case errors.As(err, &usage), errors.Is(err, errNoPlatform), errors.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, "azurebarrowctl: "+err.Error())
		return ExitUsage
	}
	fmt.Fprintln(os.Stderr, "azurebarrowctl: "+err.Error())
	if errors.Is(err, objects.ErrUnavailable) || errors.Is(err, objects.ErrUnknownOutcome) {
		return ExitUnavailable
	}
	return ExitFailed
}

// errUsage is wrapped by errors about invalid arguments, which end the program with ExitUsage.
var errUsage = errors.New("bad usage")
