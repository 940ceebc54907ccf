// Package command implements the command line of azurebarrow-bench.
package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/jessevdk/go-flags"
)

// Exit codes. A run with a figure outside its bound still exits with exitOK; a violation or an
// error exits with exitViolated, a wrong command line with exitUsage.
const (
	exitOK       = 0
	exitViolated = 1
	exitUsage    = 2
)

var (
	errViolated          = errors.New("an invariant broke")
	errUnknownExperiment = errors.New("unknown experiment")
)

type commandLine struct {
	List listCommand `command:"list" description:"list the experiments"`
	Run  runCommand  `command:"run" description:"run one experiment"`
	Load loadCommand `command:"load" description:"open-loop load against running entries"`
	Demo demoCommand `command:"demo" description:"stream an answer, kill its engine, and show the answer go on"`
}

// Main runs the command line and returns the exit code.
func Main(arguments []string) int {
	parser := flags.NewNamedParser("azurebarrow-bench", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &commandLine{}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitViolated
	}
	_, err := parser.ParseArgs(arguments)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return exitOK
	case errors.As(err, &usage), errors.Is(err, errUnknownExperiment):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, err)
		return exitViolated
	}
}

type listCommand struct{}

// Execute lists the experiments.
func (*listCommand) Execute([]string) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, e := range experiment.All() {
		fmt.Fprintf(table, "%s\t%s\n", e.Name, e.Summary)
	}
	return table.Flush()
}

type runCommand struct {
	Seed      int64   `long:"seed" default:"1" description:"seed of everything random"`
	JSON      bool    `long:"json" description:"print one JSON object and nothing else on standard output"`
	Plot      string  `long:"plot" value-name:"FILE.png" description:"draw a plot"`
	Minutes   float64 `long:"minutes" description:"length of experiments that can be prolonged"`
	Processes bool    `long:"processes" description:"run entries as processes where there is a choice"`
	Binary    string  `long:"binary" description:"the azurebarrow program; found beside this one, in bin/ or on the path"`
	Keep      string  `long:"keep" value-name:"DIRECTORY" description:"keep logs and settings there"`
	Quiet     bool    `long:"quiet" description:"no remarks on standard error"`
	Arguments struct {
		Experiment string `positional-arg-name:"EXPERIMENT"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the experiment and prints its result.
func (c *runCommand) Execute([]string) error {
	chosen, known := experiment.Find(c.Arguments.Experiment)
	if !known {
		return fmt.Errorf("%w %q; see azurebarrow-bench list", errUnknownExperiment, c.Arguments.Experiment)
	}
	env, cleanUp, err := c.environment()
	if err != nil {
		return err
	}
	defer cleanUp()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result := &experiment.Result{Experiment: chosen.Name, Seed: c.Seed, Figures: []experiment.Figure{}}
	if err := chosen.Run(ctx, env, result); err != nil {
		return err
	}
	if count := invariant.Violations(); count > 0 {
		result.AddViolation("%d violations of invariants in this process", count)
	}
	return printResult(result, c.JSON)
}

func printResult(result *experiment.Result, asJSON bool) error {
	if asJSON {
		if err := result.WriteJSON(os.Stdout); err != nil {
			return err
		}
	} else {
		result.WriteTable(os.Stdout)
	}
	if len(result.Violations) > 0 {
		return errViolated
	}
	return nil
}

func (c *runCommand) environment() (experiment.Environment, func(), error) {
	env := experiment.Environment{
		Seed:        c.Seed,
		Binary:      c.Binary,
		BinaryGiven: c.Binary != "",
		Directory:   c.Keep,
		Minutes:     c.Minutes,
		Processes:   c.Processes,
		Plot:        c.Plot,
	}
	if !c.Quiet {
		env.Progress = os.Stderr
	}
	if env.Binary == "" {
		// Not an error here: an experiment that needs the program reports that it is missing.
		env.Binary, _ = cluster.FindBinary()
	}
	if c.Keep != "" {
		const ownerOnly = 0o700
		return env, func() {}, os.MkdirAll(c.Keep, ownerOnly)
	}
	directory, err := os.MkdirTemp("", "azurebarrow-bench-")
	env.Directory = directory
	return env, func() { _ = os.RemoveAll(directory) }, err
}
