// Command azurebarrow runs an entry, checks a settings file or prints the version of the build.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadUsage = 2
)

func main() { os.Exit(execute(os.Args[1:])) }

func execute(args []string) int {
	parser := flags.NewNamedParser("azurebarrow", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "Serves long generations and plain calls on targets that fail."
	commands := []struct {
		name, short, long string
		command           any
	}{
		{"run", "Run an entry", "Runs an entry until SIGTERM or SIGINT, which start a graceful shutdown; a second signal ends it at once.", &runCommand{}},
		{"check", "Check a settings file", "Reports every finding as file:line: field: what is wrong. Exits 1 if there is one.", &checkCommand{}},
		{"version", "Print the version", "Prints the version of this build.", &versionCommand{}},
	}
	for _, subcommand := range commands {
		if _, err := parser.AddCommand(subcommand.name, subcommand.short, subcommand.long, subcommand.command); err != nil {
			panic(err) // AddCommand fails only if the table above is wrong
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			os.Stdout.WriteString(err.Error() + "\n")
			return exitOK
		}
		os.Stderr.WriteString(err.Error() + "\n")
		return exitBadUsage
	}
	os.Stderr.WriteString("azurebarrow: " + err.Error() + "\n")
	return exitFailed
}
