package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/azurebarrow/azurebarrow/settings"
	"github.com/goccy/go-yaml"
)

// Entry is one entry of the cluster.
type Entry struct {
	Name          string
	Zone          string
	CallerAddress string
	PeerAddress   string
	AdminAddress  string
	// PlatformLink forwards this entry's connections to the platform.
	PlatformLink *Forwarder

	cluster      *Cluster
	settings     settings.Settings
	settingsFile string
	runner       runner
}

// runner controls a running entry, in this process or as a separate one.
type runner interface {
	running() bool
	// terminate starts a graceful shutdown.
	terminate() error
	// wait waits until the entry has ended.
	wait(ctx context.Context) error
	kill() error
	stop() error
	resume() error
	pid() int
}

// ErrNotRunning is returned for an entry or process that is not running.
var ErrNotRunning = errors.New("cluster: the entry does not run")

// prepareEntries adds entries without starting them.
func (c *Cluster) prepareEntries(count int) error {
	for i := range count {
		name := fmt.Sprintf("n%d", i+1)
		if _, err := c.AddEntry(name, c.options.Zones[i%len(c.options.Zones)]); err != nil {
			return err
		}
	}
	return nil
}

// AddEntry adds an entry without starting it. Entries added before the first start name each other
// as peers in their settings. An entry added later names all the others, which learn of it from its
// gossip.
func (c *Cluster) AddEntry(name, zone string) (*Entry, error) {
	e := &Entry{Name: name, Zone: zone, cluster: c}
	for _, address := range []*string{&e.CallerAddress, &e.PeerAddress, &e.AdminAddress} {
		free, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	link, err := NewForwarder(c.PlatformServer.Address())
	if err != nil {
		return nil, err
	}
	e.PlatformLink = link
	e.settingsFile = filepath.Join(c.options.Directory, name+".yaml")
	c.Entries = append(c.Entries, e)
	return e, nil
}

// Start runs the entry with settings that name all entries added so far as its peers.
func (e *Entry) Start() error {
	if e.Running() {
		return nil
	}
	if err := e.writeSettings(); err != nil {
		return err
	}
	var err error
	if e.cluster.options.Processes {
		e.runner, err = startProcess(e)
	} else {
		e.runner, err = startInProcess(e)
	}
	return err
}

func (e *Entry) writeSettings() error {
	e.settings = settings.Settings{
		Name:             e.Name,
		AvailabilityZone: e.Zone,
		CallerAddress:    e.CallerAddress,
		PeerAddress:      e.PeerAddress,
		AdminAddress:     e.AdminAddress,
		Platform:         settings.Platform{URL: "http://" + e.PlatformLink.Address()},
		VMList:           settings.VMList{URL: e.cluster.VMListServer.URL()},
	}
	for _, peer := range e.cluster.Entries {
		if peer == e {
			continue
		}
		e.settings.Peers = append(e.settings.Peers, settings.Peer{
			Name:             peer.Name,
			Address:          peer.PeerAddress,
			AvailabilityZone: peer.Zone,
		})
	}
	text, err := yaml.Marshal(e.settings)
	if err != nil {
		return err
	}
	const ownerOnly = 0o600
	return os.WriteFile(e.settingsFile, text, ownerOnly)
}

// Running reports whether the entry runs; a process that is stopped by Stop counts as running.
func (e *Entry) Running() bool { return e.runner != nil && e.runner.running() }

// Kill ends the entry's process with SIGKILL and waits for its end.
func (e *Entry) Kill() error {
	return e.withRunner(func(r runner) error {
		if err := r.kill(); err != nil {
			return err
		}
		return r.wait(context.Background())
	})
}

// KillWith kills the entry's process and a target at the same time.
func (e *Entry) KillWithTarget(t *Target) error {
	return e.withRunner(func(r runner) error {
		if err := r.kill(); err != nil {
			return err
		}
		t.Kill()
		return r.wait(context.Background())
	})
}

// Stop suspends the entry's process with SIGSTOP.
func (e *Entry) Stop() error { return e.withRunner(runner.stop) }

// Continue resumes a suspended process with SIGCONT.
func (e *Entry) Continue() error { return e.withRunner(runner.resume) }

// Terminate starts a graceful shutdown (SIGTERM for a process). Wait waits for its end.
func (e *Entry) Terminate() error { return e.withRunner(runner.terminate) }

// Wait waits until the entry has ended.
func (e *Entry) Wait(ctx context.Context) error {
	return e.withRunner(func(r runner) error { return r.wait(ctx) })
}

func (e *Entry) withRunner(act func(runner) error) error {
	if e.runner == nil {
		return ErrNotRunning
	}
	return act(e.runner)
}

// LogFile returns the path of the entry's log.
func (e *Entry) LogFile() string {
	return filepath.Join(e.cluster.options.Directory, e.Name+".log")
}

const readyPoll = 10 * time.Millisecond

// WaitReady waits until the entry's /readyz answers 200.
func (e *Entry) WaitReady(ctx context.Context) error {
	for {
		if e.ready(ctx) {
			return nil
		}
		if !e.Running() {
			return fmt.Errorf("entry %s ended before it was ready; see %s", e.Name, e.LogFile())
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("entry %s is not ready: %w", e.Name, ctx.Err())
		case <-time.After(readyPoll):
		}
	}
}

func (e *Entry) ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.AdminAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (e *Entry) close() {
	if e.Running() {
		_ = e.runner.kill()
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		_ = e.runner.wait(ctx)
	}
	e.PlatformLink.Close()
}

// closeTimeout limits how long Close waits for an entry to end.
const closeTimeout = 5 * time.Second
