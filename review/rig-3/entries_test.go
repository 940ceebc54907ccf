//go:build review

package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		endEntries()
		os.Exit(exitUnable)
	}
}

// The entries' ports are drawn from a block of the range from firstPort, below the ports of outgoing connections. A process of the rig has
// a block to itself, whose first port it keeps, so that cases that run at once don't take the ports of each other's entries.
const firstPort, blocks, blockPorts = 15000, 16, 1000

// block is the listener at the first port of the block of this process.
var block net.Listener

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// takeBlock finds a block that no other process of the rig has.
func takeBlock() {
	var err error
	for _, i := range rand.Perm(blocks) {
		if block, err = net.Listen("tcp", loopback(firstPort+i*blockPorts)); err == nil {
			return
		}
	}
	check(err)
}

// reserved are the listeners that hold addresses until their entry starts.
var reserved = map[string]net.Listener{}

// freeAddress returns a loopback address and reserves it.
func freeAddress() string {
	if block == nil {
		takeBlock()
	}
	first := block.Addr().(*net.TCPAddr).Port
	var err error
	for range 100 {
		var listener net.Listener
		if listener, err = net.Listen("tcp", loopback(first+1+rand.IntN(blockPorts-1))); err == nil {
			reserved[listener.Addr().String()] = listener
			return listener.Addr().String()
		}
	}
	check(err)
	return ""
}

// checkReady ends the case unless all entries say that they are ready.
func checkReady(entries []*entryProcess) {
	for _, e := range entries {
		response, err := http.Get("http://" + e.ready + "/v1/ready")
		check(err)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			check(fmt.Errorf("%s is not ready: status %d", e.name, response.StatusCode))
		}
	}
}

// entryProcess is an entry of the system, a process with the command of the deploy file.
type entryProcess struct {
	name, zone                    string
	front, control, ready, admin  string
	settingsFile, binary, logFile string
	environment                   []string
	command                       *exec.Cmd
	exited                        chan struct{}
	misses                        int
}

var allEntries []*entryProcess

func endEntries() {
	for _, e := range allEntries {
		e.kill()
	}
}

// newEntries prepares entries with the settings of deploy/settings.yaml.tmpl.
func newEntries(directory, storeAddress string, zones []string, environment []string) []*entryProcess {
	var entries []*entryProcess
	for i, zone := range zones {
		e := &entryProcess{
			name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, front: freeAddress(), control: freeAddress(), ready: freeAddress(), admin: freeAddress(),
			binary: os.Getenv("RIG_BINARY"), environment: environment,
		}
		e.settingsFile = filepath.Join(directory, e.name+".yaml")
		e.logFile = filepath.Join(directory, e.name+".log")
		entries = append(entries, e)
	}
	var seeds []string
	for _, e := range entries[:min(3, len(entries))] {
		seeds = append(seeds, fmt.Sprintf("%q", e.control))
	}
	for _, e := range entries {
		text := fmt.Sprintf(`name: %q
availabilityZone: %q
interface: passthrough
callerAddress: %q
peerAddress: %q
adminAddress: %q
platform:
  url: "http://%s"
passthrough:
  readyAddress: %q
  seeds: [%s]
  retryRatio: 0.8
  retrySlack: 150
  retryWindow: 10s
  stopGrace: 8s
  linkMbps: 200.0
`, e.name, e.zone, e.front, e.control, e.admin, storeAddress, e.ready, strings.Join(seeds, ","))
		check(os.WriteFile(e.settingsFile, []byte(text), 0o600))
	}
	allEntries = append(allEntries, entries...)
	return entries
}

func (e *entryProcess) start() {
	for _, address := range []string{e.front, e.control, e.ready, e.admin} {
		if listener := reserved[address]; listener != nil {
			_ = listener.Close()
			delete(reserved, address)
		}
	}
	log, err := os.OpenFile(e.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer log.Close()
	e.command = exec.Command(e.binary, "run", "--settings", e.settingsFile)
	e.command.Stdout, e.command.Stderr = log, log
	e.command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, e.environment...)
	check(e.command.Start())
	exited := make(chan struct{})
	e.exited = exited
	command := e.command
	go func() { _ = command.Wait(); close(exited) }()
}

// kill ends the process with SIGKILL.
func (e *entryProcess) kill() {
	if e.command == nil || e.command.Process == nil {
		return
	}
	_ = e.command.Process.Kill()
	<-e.exited
}

// watchReady asks once a second whether the entry is ready, as the platform does.
func (e *entryProcess) watchReady(set func(out bool)) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ; ; time.Sleep(time.Second) {
		response, err := client.Get("http://" + e.ready + "/v1/ready")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		if e.misses++; ready {
			e.misses = 0
		}
		set(e.misses >= 2)
	}
}
