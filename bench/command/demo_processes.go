package command

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/settings"
	"github.com/goccy/go-yaml"
)

// demo holds the processes of the demonstration, which listen on loopback.
type demo struct {
	bin       string
	directory string
	processes []*exec.Cmd
	engines   []demoEngine
	entries   []demoEntry
	// platform and vmList are the addresses of the stand-ins for these services.
	platform string
	vmList   string
}

type demoEngine struct {
	name, zone, address string
	process             *exec.Cmd
}

type demoEntry struct {
	name, zone                               string
	callerAddress, peerAddress, adminAddress string
}

func newDemo(bin string) (*demo, error) {
	if bin == "" {
		executable, err := os.Executable()
		if err != nil {
			return nil, err
		}
		bin = filepath.Dir(executable)
	}
	directory, err := os.MkdirTemp("", "azurebarrow-demo-")
	return &demo{bin: bin, directory: directory}, err
}

func (d *demo) close() {
	for _, process := range d.processes {
		_ = process.Process.Kill()
		_ = process.Wait()
	}
	_ = os.RemoveAll(d.directory)
}

// startProcess starts a program of d.bin whose output goes to the file log.
func (d *demo) startProcess(log string, program string, arguments ...string) (*exec.Cmd, error) {
	file, err := os.Create(filepath.Join(d.directory, log))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	process := exec.Command(filepath.Join(d.bin, program), arguments...)
	process.Stdout = file
	process.Stderr = file
	if err := process.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w (run \"make build\" first)", program, err)
	}
	d.processes = append(d.processes, process)
	return process, nil
}

func (d *demo) start(ctx context.Context) error {
	for _, step := range []func() error{d.startEngines, d.startPlatform, d.startEntries} {
		if err := step(); err != nil {
			return err
		}
	}
	for _, entry := range d.entries {
		if err := waitReady(ctx, entry); err != nil {
			return err
		}
	}
	fmt.Printf("%d entries, %d engines and the platform run as processes.\n", len(d.entries), len(d.engines))
	return nil
}

func zoneName(index int) string { return string(rune('a' + index)) }

func (d *demo) startEngines() error {
	for i := range demoEngines {
		address, err := cluster.FreeAddress()
		if err != nil {
			return err
		}
		e := demoEngine{name: fmt.Sprintf("e%d", i+1), zone: zoneName(i), address: address}
		e.process, err = d.startProcess(e.name+".log", "azurebarrow-standin", "engine", "--listen", address,
			"--name", e.name, "--zone", e.zone, "--divergent", "--fixed-length", fmt.Sprint(demoTokens))
		if err != nil {
			return err
		}
		d.engines = append(d.engines, e)
	}
	return nil
}

func (d *demo) startPlatform() error {
	resources := filepath.Join(d.directory, "resources")
	const ownerOnly, ownerOnlyFile = 0o700, 0o600
	if err := os.Mkdir(resources, ownerOnly); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(resources, "demo.yaml"), d.resources(), ownerOnlyFile); err != nil {
		return err
	}
	for _, standIn := range []struct {
		address *string
		kind    string
		flags   []string
	}{
		{&d.platform, "platform", []string{"--load", resources}},
		{&d.vmList, "vmlist", d.vmFlags()},
	} {
		address, err := cluster.FreeAddress()
		if err != nil {
			return err
		}
		*standIn.address = address
		arguments := append([]string{standIn.kind, "--listen", address}, standIn.flags...)
		if _, err := d.startProcess(standIn.kind+".log", "azurebarrow-standin", arguments...); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) vmFlags() []string {
	var list []string
	for _, e := range d.engines {
		list = append(list, "--vm", e.address+","+e.zone)
	}
	return list
}

// resources returns the YAML resources: the engines as targets, one model, one customer and one
// deployment.
func (d *demo) resources() []byte {
	var text bytes.Buffer
	var names []string
	for _, e := range d.engines {
		names = append(names, e.name)
		fmt.Fprintf(&text, "apiVersion: azurebarrow.dev/v1\nkind: Target\nmetadata: {name: %s}\n"+
			"spec:\n  type: engine\n  address: %q\n  availabilityZone: %s\n  concurrency: 16\n"+
			"  capabilities: {resume: true, cancelAcknowledged: true, cacheEvents: true}\n---\n", e.name, e.address, e.zone)
	}
	fmt.Fprintf(&text, "apiVersion: azurebarrow.dev/v1\nkind: Model\nmetadata: {name: ranch}\nspec:\n  versions: [{name: v1}]\n---\n")
	fmt.Fprintf(&text, "apiVersion: azurebarrow.dev/v1\nkind: Customer\nmetadata: {name: %s}\nspec:\n  apiKeyHashes: [%s]\n---\n",
		demoCustomer, config.HashAPIKey(cluster.APIKey(demoCustomer)))
	fmt.Fprintf(&text, "apiVersion: azurebarrow.dev/v1\nkind: Deployment\nmetadata: {name: drafting}\n"+
		"spec:\n  type: generation\n  model: ranch\n  version: v1\n  targets: [%s]\n"+
		"  customers: [{name: %s, priority: 5}]\n  recovery: {prefer: latency}\n", strings.Join(names, ", "), demoCustomer)
	return text.Bytes()
}

func (d *demo) startEntries() error {
	for i := range demoEntries {
		entry := demoEntry{name: fmt.Sprintf("n%d", i+1), zone: zoneName(i)}
		for _, address := range []*string{&entry.callerAddress, &entry.peerAddress, &entry.adminAddress} {
			free, err := cluster.FreeAddress()
			if err != nil {
				return err
			}
			*address = free
		}
		d.entries = append(d.entries, entry)
	}
	for _, entry := range d.entries {
		if err := d.startEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) startEntry(entry demoEntry) error {
	s := settings.Settings{
		Name:             entry.name,
		AvailabilityZone: entry.zone,
		CallerAddress:    entry.callerAddress,
		PeerAddress:      entry.peerAddress,
		AdminAddress:     entry.adminAddress,
		Platform:         settings.Platform{URL: "http://" + d.platform},
		VMList:           settings.VMList{URL: "http://" + d.vmList},
	}
	for _, peer := range d.entries {
		if peer.name != entry.name {
			s.Peers = append(s.Peers, settings.Peer{Name: peer.name, Address: peer.peerAddress, AvailabilityZone: peer.zone})
		}
	}
	text, err := yaml.Marshal(s)
	if err != nil {
		return err
	}
	file := filepath.Join(d.directory, entry.name+".yaml")
	const ownerOnly = 0o600
	if err := os.WriteFile(file, text, ownerOnly); err != nil {
		return err
	}
	_, err = d.startProcess(entry.name+".log", "azurebarrow", "run", "--settings", file)
	return err
}

func waitReady(ctx context.Context, entry demoEntry) error {
	for {
		response, err := http.Get("http://" + entry.adminAddress + "/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("entry %s is not ready: %w", entry.name, ctx.Err())
		case <-time.After(demoReadyPoll):
		}
	}
}
