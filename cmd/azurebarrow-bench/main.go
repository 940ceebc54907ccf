// Command azurebarrow-bench runs measured experiments, an open-loop load and a demonstration.
package main

import (
	"os"

	"github.com/azurebarrow/azurebarrow/bench/command"
	_ "github.com/azurebarrow/azurebarrow/bench/experiments"
)

func main() { os.Exit(command.Main(os.Args[1:])) }
