package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/settings"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// Sizes of a world. Streams last 0.6 s, so that a phase of faults meets many of them.
const (
	streamEvents  = 40
	eventInterval = 15 * time.Millisecond
	engineSlots   = 16
	recordSlots   = 6
	// heartbeat is a third of the deployments', so that entries of targets lapse within a phase.
	heartbeat = 400 * time.Millisecond
	// targetDrainTime is twice the time after which a leaving target may get nothing new.
	targetDrainTime = 2 * drainTime
	startTimeout    = 15 * time.Second
	pollInterval    = 20 * time.Millisecond
	callTimeout     = time.Second
)

// Names of a world.
const (
	subjectStore  = "store"
	engineService = "drafts"
	recordService = "records"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// world is the processes of one run and the links between them.
type world struct {
	options Options
	store   *program
	entries []*entry
	targets []*soakTarget

	// operator is held while a configuration is written: versions reach the store in order.
	operator sync.Mutex

	mu           sync.Mutex
	version      int
	keys         []string
	keyLives     map[string]KeyLife
	disturbances []Disturbance
	incarnations int
	logs         []string
}

// program is a process with the command that starts it again.
type program struct {
	name        string
	binary      string
	args        func() []string
	environment []string
	logFile     string

	mu      sync.Mutex
	process *cluster.Process
}

func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.binary, p.args()...)
	command.Env = append(os.Environ(), p.environment...)
	process, err := cluster.StartProcess(command, p.logFile)
	if err != nil {
		return err
	}
	p.process = process
	return nil
}

func (p *program) signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		return cluster.ErrNotRunning
	}
	return p.process.Signal(signal)
}

// ended waits until the process has ended.
func (p *program) ended(ctx context.Context) error {
	p.mu.Lock()
	done := p.process.Done()
	p.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *program) kill() {
	if p.signal(syscall.SIGKILL) == nil {
		_ = p.ended(context.Background())
	}
}

// entry is an entry with the links around it.
type entry struct {
	program
	ready string
	// callers and toStore are the links from callers and to the store.
	callers, toStore *cluster.Forwarder
	// inRotation is the balancer's view.
	inRotation atomic.Bool
	// busy is held by a fault that stops the process.
	busy sync.Mutex
}

// soakTarget is a target with the link from the entries.
type soakTarget struct {
	program
	service string
	link    *cluster.Forwarder
	listen  string
	busy    sync.Mutex
}

// newWorld starts the store, the targets and the entries, and waits until all are ready.
func newWorld(ctx context.Context, options Options) (*world, error) {
	w := &world{options: options, keyLives: map[string]KeyLife{}}
	address, err := cluster.FreeAddress()
	if err != nil {
		return nil, err
	}
	w.store = &program{name: subjectStore, binary: options.StandIn, logFile: w.file("store.log"), args: func() []string {
		return []string{"store", "--listen", address, "--heartbeat", heartbeat.String()}
	}}
	if err := w.store.start(); err != nil {
		return nil, err
	}
	w.options.store = "http://" + address
	if err := w.configure(ctx, "key-0"); err != nil {
		return w, err
	}
	for i := range options.Engines {
		if err := w.addTarget(engineService, i); err != nil {
			return w, err
		}
	}
	for i := range options.Records {
		if err := w.addTarget(recordService, i); err != nil {
			return w, err
		}
	}
	if err := w.addEntries(address); err != nil {
		return w, err
	}
	for _, e := range w.entries {
		if err := w.waitReady(ctx, e); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) file(name string) string { return filepath.Join(w.options.Directory, name) }

// close ends every process that the world has started.
func (w *world) close() {
	if w == nil {
		return
	}
	for _, e := range w.entries {
		e.kill()
		e.callers.Close()
		e.toStore.Close()
	}
	for _, t := range w.targets {
		t.kill()
		t.link.Close()
	}
	w.store.kill()
}

func (w *world) addTarget(service string, index int) error {
	listen, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	link, err := cluster.NewForwarder(listen)
	if err != nil {
		return err
	}
	t := &soakTarget{service: service, link: link, listen: listen}
	t.program = program{name: fmt.Sprintf("%s-%d", service, index), binary: w.options.StandIn, logFile: w.file(fmt.Sprintf("%s-%d.log", service, index))}
	w.targets = append(w.targets, t)
	t.args = func() []string { return w.targetArguments(t, zones[index%len(zones)]) }
	return t.start()
}

// targetArguments gives each start of a target an identity of its own.
func (w *world) targetArguments(t *soakTarget, zone string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnations++
	id := fmt.Sprintf("%s.%d", t.name, w.incarnations)
	log := w.file(id + ".records")
	w.logs = append(w.logs, log)
	arguments := []string{"target", "--id", id, "--listen", t.listen, "--advertise", t.link.Address(), "--service", t.service,
		"--zone", zone, "--store", w.options.store, "--heartbeat", heartbeat.String(), "--drain-time", targetDrainTime.String(), "--log", log}
	if t.service == engineService {
		return append(arguments, "--slots", fmt.Sprint(engineSlots), "--events", fmt.Sprint(streamEvents), "--event-interval", eventInterval.String())
	}
	return append(arguments, "--slots", fmt.Sprint(recordSlots))
}

func (w *world) addEntries(store string) error {
	var seeds []string
	for i := range w.options.Entries {
		name := fmt.Sprintf("entry-%d", i)
		e := &entry{}
		addresses := make([]string, 4)
		for j := range addresses {
			address, err := cluster.FreeAddress()
			if err != nil {
				return err
			}
			addresses[j] = address
		}
		var err error
		if e.callers, err = cluster.NewForwarder(addresses[0]); err != nil {
			return err
		}
		if e.toStore, err = cluster.NewForwarder(store); err != nil {
			return err
		}
		e.ready = addresses[2]
		if len(seeds) < 3 {
			seeds = append(seeds, addresses[1])
		}
		file := w.file(name + ".yaml")
		if err := writeSettings(file, settings.Settings{
			Name: name, AvailabilityZone: zones[i%len(zones)], Interface: settings.InterfacePassthrough,
			CallerAddress: addresses[0], PeerAddress: addresses[1], AdminAddress: addresses[3],
			Platform: settings.Platform{URL: "http://" + e.toStore.Address()},
			Passthrough: settings.Passthrough{
				ReadyAddress: e.ready, Seeds: seeds, RetryRatio: retryRatio, RetrySlack: retrySlack,
				RetryWindow: budgetWindow, StopGrace: stopGrace,
			},
		}); err != nil {
			return err
		}
		e.program = program{name: name, binary: w.options.Binary, environment: w.options.Environment, logFile: w.file(name + ".log"), args: func() []string {
			return []string{"run", "--settings", file}
		}}
		w.entries = append(w.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

func writeSettings(file string, s settings.Settings) error {
	text, err := yaml.Marshal(s)
	if err != nil {
		return err
	}
	const ownerOnly = 0o600
	return os.WriteFile(file, text, ownerOnly)
}

var errNotReady = errors.New("entry is not ready in time")

func (w *world) waitReady(ctx context.Context, e *entry) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		if isReady(ctx, e.ready) {
			return nil
		}
		if err := wait.For(ctx, pollInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: %s, see %s", errNotReady, e.name, e.logFile)
}

func isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// watchReadiness keeps the balancer's view of the entries until ctx ends.
func (w *world) watchReadiness(ctx context.Context) {
	var entries sync.WaitGroup
	for _, e := range w.entries {
		entries.Go(func() {
			misses := 0
			for {
				misses++
				if isReady(ctx, e.ready) {
					misses = 0
				}
				e.inRotation.Store(misses < missesOut)
				if wait.For(ctx, readinessInterval) != nil {
					return
				}
			}
		})
	}
	entries.Wait()
}

// The balancer asks each entry once a second, and takes it out after two misses.
const (
	readinessInterval = time.Second
	missesOut         = 2
)

// pickEntry returns the entry that the balancer gives a connection of the given number.
func (w *world) pickEntry(number int) *entry {
	for i := range w.entries {
		if e := w.entries[(number+i)%len(w.entries)]; e.inRotation.Load() {
			return e
		}
	}
	return w.entries[number%len(w.entries)]
}

// configure writes the next version of the configuration, which knows one key, until the store accepts it. Whatever
// key held before is revoked from then on.
func (w *world) configure(ctx context.Context, key string) error {
	w.operator.Lock()
	defer w.operator.Unlock()
	w.mu.Lock()
	w.version++
	version := w.version
	former := ""
	if len(w.keys) > 0 {
		former = w.keys[len(w.keys)-1]
		life := w.keyLives[former]
		life.RevokeSent = time.Now()
		w.keyLives[former] = life
	}
	w.mu.Unlock()
	spec := fmt.Sprintf(`{"version":%d,"routes":[
	 {"name":"stream","hostname":%[2]q,"path_prefix":"/stream/","kind":"streaming","timeout_ms":10000,"target_latency_ms":1000,"service":%[3]q,"max_attempts":5,"stream_resume":true,"target_gap_ms":300},
	 {"name":"booking","hostname":%[2]q,"path_prefix":"/booking/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":100,"service":%[4]q,"max_attempts":3},
	 {"name":"lookup","hostname":%[2]q,"path_prefix":"/lookup/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":100,"service":%[4]q,"max_attempts":3}],
	 "services":[{"name":%[3]q,"engine":{"slots":%[5]d,"kv_capacity":55000,"backups":true,"stride":5,"models":[{"name":"m"}]}},{"name":%[4]q}],
	 "limits":{"idle_timeout_ms":15000},"tenants":[{"name":%[6]q,"api_keys":[%[7]q]}]}`,
		version, hostName, engineService, recordService, engineSlots, customerName, key)
	for w.putConfiguration(ctx, spec) != nil {
		if err := wait.For(ctx, pollInterval); err != nil {
			return err
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if former != "" {
		life := w.keyLives[former]
		life.Revoked = time.Now()
		w.keyLives[former] = life
	}
	w.keys = append(w.keys, key)
	w.keyLives[key] = KeyLife{Accepted: time.Now()}
	return nil
}

// key returns the key that callers use now.
func (w *world) key() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[len(w.keys)-1]
}

// chooseKey returns a key for a call: mostly the present one. chance is between 0 and 1.
func (w *world) chooseKey(chance float64) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := len(w.keys) - 1
	switch {
	case chance < strangerShare:
		return strangerKey
	case chance < strangerShare+formerShare && last > 0:
		return w.keys[last-1]
	}
	return w.keys[last]
}

func (w *world) putConfiguration(ctx context.Context, spec string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return target.PutObject(ctx, w.options.store, "config", "main", json.RawMessage(spec))
}

// switchFault switches a fault of a stand-in on.
func switchFault(ctx context.Context, baseURL string, f fault.Fault) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return target.Send(ctx, http.MethodPost, baseURL+"/faults", body)
}

// records reads what all targets wrote.
func (w *world) records() ([]target.Record, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []target.Record
	for _, file := range w.logs {
		records, err := target.ReadLog(file)
		if errors.Is(err, os.ErrNotExist) {
			continue // ended before it opened its log
		}
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}
