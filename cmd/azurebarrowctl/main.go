// Command azurebarrowctl checks, compares, applies, shows and watches azurebarrow's resources. It also shows
// which configuration entries have in force, and how fast error budgets are spent.
package main

import (
	"os"

	"github.com/azurebarrow/azurebarrow/cmd/azurebarrowctl/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }
