package cluster

import (
	"context"
	"errors"
	"net"
	"os"

	"github.com/azurebarrow/azurebarrow"
	"github.com/sirupsen/logrus"
)

// ErrInProcess is returned by Kill, Stop and Continue of an entry that runs in this process.
var ErrInProcess = errors.New("cluster: the entry runs in this process; use Options.Processes")

// inProcess runs an azurebarrow.Entry in this process.
type inProcess struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
	log    *os.File
}

func startInProcess(e *Entry) (runner, error) {
	log, err := os.Create(e.LogFile())
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(log)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true})
	options := azurebarrow.Options{Log: logger, DrainNotice: e.cluster.options.DrainNotice}
	if dial := e.cluster.options.DialTarget; dial != nil {
		options.DialTarget = func(ctx context.Context, network, address string) (net.Conn, error) {
			return dial(ctx, e.Name, network, address)
		}
	}
	node, err := azurebarrow.New(e.settings, options)
	if err != nil {
		log.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &inProcess{cancel: cancel, done: make(chan struct{}), log: log}
	go func() {
		defer close(r.done)
		defer log.Close()
		r.err = node.Run(ctx)
	}()
	return r, nil
}

func (r *inProcess) running() bool {
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

func (r *inProcess) terminate() error {
	r.cancel()
	return nil
}

func (r *inProcess) wait(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// kill starts a graceful shutdown, which is all that Cluster.Close needs. It returns ErrInProcess
// because a sudden death can't be simulated in this process.
func (r *inProcess) kill() error {
	r.cancel()
	return ErrInProcess
}

func (r *inProcess) stop() error   { return ErrInProcess }
func (r *inProcess) resume() error { return ErrInProcess }
func (r *inProcess) pid() int      { return os.Getpid() }
