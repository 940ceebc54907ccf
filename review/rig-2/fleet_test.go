//go:build review

package rig2

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// entryProcess is one process of the system.
type entryProcess struct {
	name, zone                       string
	callers, peers, admin, readiness string
	settings, log                    string
	command                          *exec.Cmd
	exited                           chan struct{}
}

// fleet is the system's processes with their store.
type fleet struct {
	folder  string
	binary  string
	store   *store
	entries []*entryProcess
}

// hostAddress returns a loopback address of this run, which no other run uses.
func hostAddress(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%199, 1+pid/199%199, n)
}

// Addresses of a run: that of the store, and the first ones of entries and engines.
const (
	storeHost   = 2
	entryHosts  = 10
	engineHosts = 50
)

// newFleet prepares entries; settings are those of deploy/settings.yaml.tmpl for balanza-serrana.
func newFleet(folder string, s *store, count int, zones []string) (*fleet, error) {
	binary, err := filepath.Abs("target/azurebarrow")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, binary: binary, store: s}
	for i := range count {
		ip := hostAddress(entryHosts + i)
		e := &entryProcess{
			name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i), zone: zones[i%len(zones)],
			callers: ip + ":8740", peers: ip + ":8748", admin: ip + ":9464", readiness: ip + ":8749",
		}
		e.settings, e.log = filepath.Join(folder, e.name+".yaml"), filepath.Join(folder, e.name+".log")
		f.entries = append(f.entries, e)
	}
	var seeds []string
	for _, e := range f.entries[:min(3, count)] {
		seeds = append(seeds, fmt.Sprintf("%q", e.peers))
	}
	for _, e := range f.entries {
		text := fmt.Sprintf("name: %q\navailabilityZone: %q\ninterface: passthrough\ncallerAddress: %q\npeerAddress: %q\nadminAddress: %q\n"+
			"platform:\n  url: \"http://%s\"\npassthrough:\n  readyAddress: %q\n  seeds: [%s]\n  retryRatio: 0.8\n  retrySlack: 150\n  retryWindow: 10s\n  stopGrace: 8s\n  linkMbps: 1000.0\n",
			e.name, e.zone, e.callers, e.peers, e.admin, s.address, e.readiness, strings.Join(seeds, ","))
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// start starts a process with the command of the deploy file.
func (f *fleet) start(e *entryProcess) error {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	e.command = exec.Command(f.binary, "run", "--settings", e.settings)
	e.command.Stdout, e.command.Stderr = log, log
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder}
	if err := e.command.Start(); err != nil {
		return err
	}
	command, exited := e.command, make(chan struct{})
	e.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (f *fleet) startAll() error {
	for _, e := range f.entries {
		if err := f.start(e); err != nil {
			return err
		}
	}
	return f.awaitReady(10 * time.Second)
}

// awaitReady waits until all entries say that they are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, e := range f.entries {
		for !e.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (e *entryProcess) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.readiness + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (e *entryProcess) signal(signal syscall.Signal) { _ = e.command.Process.Signal(signal) }

// kill ends a process at once.
func (e *entryProcess) kill() {
	e.signal(syscall.SIGKILL)
	<-e.exited
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, e := range f.entries {
		if e.command != nil {
			e.kill()
		}
	}
	_ = f.store.server.Close()
}

// restartEnded starts processes again that end by themselves, as the platform does, until stop is closed. The returned function returns
// how often that was.
func (f *fleet) restartEnded(r *record, delay time.Duration, stop <-chan struct{}) (count func() int) {
	var watchers sync.WaitGroup
	var ended atomic.Int64
	for _, e := range f.entries {
		watchers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-e.exited:
				}
				ended.Add(1)
				r.note("%s has ended by itself: %v", e.name, e.command.ProcessState)
				select {
				case <-stop:
					return
				case <-time.After(delay):
				}
				if err := f.start(e); err != nil {
					r.note("%s can't be started: %v", e.name, err)
					return
				}
			}
		})
	}
	return func() int {
		watchers.Wait()
		return int(ended.Load())
	}
}
