// Package command implements the command line of azurebarrow-standin. It is a package of its own so that the
// scenario tests can run it from their test binary.
package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"text/tabwriter"

	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/server"
	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// root lists the commands.
type root struct {
	Engine   engineCommand   `command:"engine" description:"run a stand-in model engine"`
	Service  serviceCommand  `command:"service" description:"run a stand-in service"`
	Platform platformCommand `command:"platform" description:"run a stand-in of the platform's object API"`
	Store    storeCommand    `command:"store" description:"run a stand-in of the users' store, which speaks the format of their platform"`
	Target   targetCommand   `command:"target" description:"run a stand-in of a target on the users' platform"`
	VMList   vmListCommand   `command:"vmlist" description:"run a stand-in of the VM list"`
	Faults   faultsCommand   `command:"faults" description:"list the kinds of faults"`
}

// Main runs the command line with the arguments and returns the exit code.
func Main(arguments []string) int {
	parser := flags.NewNamedParser("azurebarrow-standin", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &root{}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	_, err := parser.ParseArgs(arguments)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, usage.Message)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
}

// listenOptions are the flags for the addresses on which a stand-in listens.
type listenOptions struct {
	Listen  string `long:"listen" required:"true" description:"host:port of the protocol, the host an IP number"`
	Control string `long:"control" description:"host:port where /faults and /stats answer even while the stand-in is dead"`
}

// serve starts main, which serves handler, and the control server if it has an address. It returns on SIGINT or
// SIGTERM, or when a server fails.
func (o listenOptions) serve(kind string, main *server.Server, handler http.Handler) error {
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true})
	if err := main.Start(); err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{"standin": kind, "address": main.Address()}).Info("listening")
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	addServer(&group, main)
	if o.Control != "" {
		addServer(&group, server.New(o.Control, controlHandler(main, handler)))
	}
	err := group.Run()
	var signalled run.SignalError
	if errors.As(err, &signalled) {
		return nil
	}
	return err
}

func addServer(group *run.Group, s *server.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return s.Run(ctx) }, func(error) { cancel() })
}

// controlHandler serves the faults and counters of a stand-in, and POST /start, which makes it listen again
// after a Die fault.
func controlHandler(main *server.Server, handler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", handler)
	mux.Handle("/stats", handler)
	mux.HandleFunc("POST /start", func(w http.ResponseWriter, _ *http.Request) {
		if err := main.Start(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

type faultsCommand struct{}

// Execute prints the kinds of faults.
func (*faultsCommand) Execute([]string) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, d := range fault.Descriptions() {
		fmt.Fprintf(table, "%s\t%s\t%s\n", d.Kind, d.SupportedBy, d.Text)
	}
	return table.Flush()
}
