// Command azurebarrow-standin runs a stand-in for an engine, a service, the platform or the VM list
// as a process of its own, with fault switches over HTTP.
package main

import (
	"os"

	"github.com/azurebarrow/azurebarrow/standin/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }
