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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/settings"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/linkfault"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// Settings of a deployment. Streams last 0.6 s, so that many of them run during a phase of faults.
const (
	streamEvents  = 40
	eventInterval = 15 * time.Millisecond
	engineSlots   = 16
	recordSlots   = 6
	// heartbeat is a third of the interval in the users' deployments, so that registrations of stopped targets
	// expire within a phase.
	heartbeat = 400 * time.Millisecond
	// targetDrainTime is twice the time after which a draining target may get no new requests.
	targetDrainTime = 2 * drainTime
	startTimeout    = 15 * time.Second
	pollInterval    = 20 * time.Millisecond
	controlTimeout  = time.Second
)

// Names of the store and the services.
const (
	subjectStore  = "store"
	engineService = "drafts"
	recordService = "records"
)

// engineVersions are the software versions of engines, which serve side by side.
var engineVersions = []string{"v1", "v2"}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// deployment is the processes of one run and the links between them.
type deployment struct {
	options Options
	store   *program
	entries []*entry
	targets []*soakTarget

	// configuring is held while a configuration is written, so that versions reach the store in order.
	configuring sync.Mutex

	mu           sync.Mutex
	version      int
	keys         []string
	keyLifetimes map[string]KeyLifetime
	disturbances []Disturbance
	targetStarts int
	recordFiles  []string
	// crowds are the results of crowds, crowdAttempts their requests.
	crowds        []CrowdResult
	crowdAttempts []*Attempt
	// rollouts are the results of rollouts, newTargets the targets of the new version. rolling is held from the first rollout on.
	rollouts   []RolloutResult
	newTargets []*soakTarget
	rolling    sync.Mutex
}

// program is a process that can be restarted with the same command.
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

// waitExit waits until the process has exited.
func (p *program) waitExit(ctx context.Context) error {
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
		_ = p.waitExit(context.Background())
	}
}

// entry is an entry process with the links from its callers and to the store.
type entry struct {
	program
	readyAddress string
	// callerAddress is where the entry listens for callers.
	callerAddress string
	// callers and toStore are the links from callers and to the store.
	callers, toStore *cluster.Forwarder
	// links is the file that says how the entry's links to targets are cut.
	links string
	// cutting is held while they are cut.
	cutting sync.Mutex
	// inRotation reports whether the load balancer sends new connections to the entry.
	inRotation atomic.Bool
	// busy is held by a fault that stops or pauses the process.
	busy sync.Mutex
}

// soakTarget is a target process with the link from the entries to it.
type soakTarget struct {
	program
	service string
	link    *cluster.Forwarder
	listen  string
	busy    sync.Mutex
	// releases counts the changes of the target's software version.
	releases atomic.Int64
	// callVersion is the version of a target of the records service, which has one in runs with a rollout.
	callVersion string
}

// version returns the version of the target's software.
func (t *soakTarget) version() string {
	return engineVersions[t.releases.Load()%int64(len(engineVersions))]
}

// newDeployment starts the store, the targets and the entries, and waits until all are ready.
func newDeployment(ctx context.Context, options Options) (*deployment, error) {
	d := &deployment{options: options, keyLifetimes: map[string]KeyLifetime{}}
	address, err := cluster.FreeAddress()
	if err != nil {
		return nil, err
	}
	d.store = &program{name: subjectStore, binary: options.StandIn, logFile: d.file("store.log"), args: func() []string {
		return []string{"store", "--listen", address, "--heartbeat", heartbeat.String()}
	}}
	if err := d.store.start(); err != nil {
		return nil, err
	}
	d.options.store = "http://" + address
	if err := d.configure(ctx, "key-0", 0); err != nil {
		return d, err
	}
	for i := range options.Engines {
		if err := d.addTarget(engineService, i); err != nil {
			return d, err
		}
	}
	for i := range options.Records {
		if err := d.addTarget(recordService, i); err != nil {
			return d, err
		}
	}
	if err := d.addEntries(address); err != nil {
		return d, err
	}
	for _, e := range d.entries {
		if err := d.waitReady(ctx, e); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) file(name string) string { return filepath.Join(d.options.Directory, name) }

// close kills every process of the deployment and closes the links.
func (d *deployment) close() {
	if d == nil {
		return
	}
	for _, e := range d.entries {
		e.kill()
		e.callers.Close()
		e.toStore.Close()
	}
	for _, t := range slices.Concat(d.targets, d.newTargets) {
		t.kill()
		t.link.Close()
	}
	d.store.kill()
}

func (d *deployment) addTarget(service string, index int) error {
	t, err := d.newTarget(service, fmt.Sprintf("%s-%d", service, index), index)
	if err != nil {
		return err
	}
	if service == recordService && d.options.withRollout() {
		t.callVersion = oldVersion
	}
	d.targets = append(d.targets, t)
	return t.start()
}

// newTarget returns a target that has not been started.
func (d *deployment) newTarget(service, name string, index int) (*soakTarget, error) {
	listen, err := cluster.FreeAddress()
	if err != nil {
		return nil, err
	}
	link, err := cluster.NewForwarder(listen)
	if err != nil {
		return nil, err
	}
	t := &soakTarget{service: service, link: link, listen: listen}
	t.releases.Store(int64(index))
	t.program = program{name: name, binary: d.options.StandIn, logFile: d.file(name + ".log")}
	t.args = func() []string { return d.targetArguments(t, zones[index%len(zones)]) }
	return t, nil
}

// targetArguments returns the arguments of a target process, with a new target ID for each start.
func (d *deployment) targetArguments(t *soakTarget, zone string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targetStarts++
	id := fmt.Sprintf("%s.%d", t.name, d.targetStarts)
	log := d.file(id + ".records")
	d.recordFiles = append(d.recordFiles, log)
	arguments := []string{"target", "--id", id, "--listen", t.listen, "--advertise", t.link.Address(), "--service", t.service,
		"--zone", zone, "--store", d.options.store, "--heartbeat", heartbeat.String(), "--drain-time", targetDrainTime.String(), "--log", log}
	if d.options.Faulty {
		arguments = append(arguments, "--faulty")
	}
	if t.service == engineService {
		return append(arguments, "--slots", fmt.Sprint(engineSlots), "--events", fmt.Sprint(streamEvents), "--event-interval", eventInterval.String(), "--crash-prefix", badPartPrefix,
			"--version", t.version())
	}
	arguments = append(arguments, "--slots", fmt.Sprint(recordSlots))
	if t.callVersion != "" {
		arguments = append(arguments, "--version", t.callVersion, "--work-time", rolloutWorkTime.String())
	}
	if t.callVersion == newVersion {
		return arguments // calls that crash its targets would make a good version bad
	}
	return append(arguments, "--crash-path", badPartPrefix)
}

func (d *deployment) addEntries(store string) error {
	// Every entry has the same seeds, as in the users' deployments: an entry that restarts finds the others by them.
	all, seeds, err := chooseAddresses(d.options.Entries)
	if err != nil {
		return err
	}
	for i, addresses := range all {
		name := fmt.Sprintf("entry-%d", i)
		e := &entry{}
		if e.callers, err = cluster.NewForwarder(addresses[0]); err != nil {
			return err
		}
		if e.toStore, err = cluster.NewForwarder(store); err != nil {
			return err
		}
		e.callerAddress, e.readyAddress = addresses[0], addresses[2]
		file := d.file(name + ".yaml")
		if err := writeSettings(file, settings.Settings{
			Name: name, AvailabilityZone: zones[i%len(zones)], Interface: settings.InterfacePassthrough,
			CallerAddress: addresses[0], PeerAddress: addresses[1], AdminAddress: addresses[3],
			Platform: settings.Platform{URL: "http://" + e.toStore.Address()},
			Passthrough: settings.Passthrough{
				ReadyAddress: e.readyAddress, Seeds: seeds, RetryRatio: retryRatio, RetrySlack: retrySlack,
				RetryWindow: budgetWindow, StopGrace: stopGrace, LinkMbps: linkMbps, Rollouts: d.rolloutBounds(),
			},
			Limits: settings.Limits{CallerMemoryBytes: callerMemoryBytes},
		}); err != nil {
			return err
		}
		e.links = d.file(name + ".links")
		environment := append(slices.Clone(d.options.Environment), linkfault.EnvironmentVariable+"="+e.links)
		e.program = program{name: name, binary: d.options.Binary, environment: environment, logFile: d.file(name + ".log"), args: func() []string {
			return []string{"run", "--settings", file}
		}}
		d.entries = append(d.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// maxSeeds is the number of entries that are seeds.
const maxSeeds = 3

// chooseAddresses returns four addresses for each entry: of callers, peers, readiness and administration; and the seeds.
func chooseAddresses(entries int) (all [][4]string, seeds []string, err error) {
	all = make([][4]string, entries)
	for i := range all {
		for j := range all[i] {
			if all[i][j], err = cluster.FreeAddress(); err != nil {
				return nil, nil, err
			}
		}
		if len(seeds) < maxSeeds {
			seeds = append(seeds, all[i][1])
		}
	}
	return all, seeds, nil
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

func (d *deployment) waitReady(ctx context.Context, e *entry) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		if isReady(ctx, e.readyAddress) {
			return nil
		}
		if err := wait.For(ctx, pollInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: %s, see %s", errNotReady, e.name, e.logFile)
}

func isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
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

// watchReadiness updates inRotation of all entries, as a load balancer does, until ctx ends.
func (d *deployment) watchReadiness(ctx context.Context) {
	var entries sync.WaitGroup
	for _, e := range d.entries {
		entries.Go(func() {
			failures := 0
			for {
				failures++
				if isReady(ctx, e.readyAddress) {
					failures = 0
				}
				e.inRotation.Store(failures < maxFailedProbes)
				if wait.For(ctx, readinessInterval) != nil {
					return
				}
			}
		})
	}
	entries.Wait()
}

// The load balancer probes each entry every second and takes it out of rotation after two failed probes.
const (
	readinessInterval = time.Second
	maxFailedProbes   = 2
)

// pickEntry returns the entry that the load balancer chooses for the connection with the given number.
func (d *deployment) pickEntry(number int) *entry {
	for i := range d.entries {
		if e := d.entries[(number+i)%len(d.entries)]; e.inRotation.Load() {
			return e
		}
	}
	return d.entries[number%len(d.entries)]
}

// largeRoutes is the number of routes, beyond those that callers use, of a large configuration, and linkMbps the
// bandwidth that entries are told: those of the users' grown deployments.
const (
	largeRoutes = 2800
	linkMbps    = 10
)

// unusedRoutes returns the JSON of further routes, each preceded by a comma.
func unusedRoutes(count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, `,{"name":"unused-%d","hostname":"unused-%d.example","path_prefix":"/unused/%d/","kind":"idempotent",`+
			`"timeout_ms":800,"target_latency_ms":120,"priority":2,"service":%q,"max_attempts":2}`, i, i%64, i, recordService)
	}
	return text.String()
}

// configure writes the next version of the configuration, with key as the only valid key and with unused further
// routes, and retries until the store accepts it. This revokes the previous key.
func (d *deployment) configure(ctx context.Context, key string, unused int) error {
	d.configuring.Lock()
	defer d.configuring.Unlock()
	d.mu.Lock()
	d.version++
	version := d.version
	previous := ""
	if len(d.keys) > 0 {
		previous = d.keys[len(d.keys)-1]
		life := d.keyLifetimes[previous]
		life.RevokeSent = time.Now()
		d.keyLifetimes[previous] = life
	}
	d.mu.Unlock()
	spec := fmt.Sprintf(`{"version":%d,"routes":[
	 {"name":"stream","hostname":%[2]q,"path_prefix":"/stream/","kind":"streaming","timeout_ms":10000,"target_latency_ms":1000,"service":%[3]q,"max_attempts":5,"stream_resume":true,"target_gap_ms":300},
	 {"name":"booking","hostname":%[2]q,"path_prefix":"/booking/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":100,"service":%[4]q,"max_attempts":3},
	 {"name":"lookup","hostname":%[2]q,"path_prefix":"/lookup/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":100,"service":%[4]q,"max_attempts":3}%[8]s],
	 "services":[{"name":%[3]q,"engine":{"slots":%[5]d,"kv_capacity":55000,"backups":true,"stride":5,"models":[{"name":"m"}]}},{"name":%[4]q}],
	 "limits":{"idle_timeout_ms":15000},"tenants":[{"name":%[6]q,"api_keys":[%[7]q]}]}`,
		version, hostName, engineService, recordService, engineSlots, customerName, key, unusedRoutes(unused))
	for d.putConfiguration(ctx, spec) != nil {
		if err := wait.For(ctx, pollInterval); err != nil {
			return err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if previous != "" {
		life := d.keyLifetimes[previous]
		life.Revoked = time.Now()
		d.keyLifetimes[previous] = life
	}
	d.keys = append(d.keys, key)
	d.keyLifetimes[key] = KeyLifetime{Accepted: time.Now()}
	return nil
}

// key returns the key that is valid now.
func (d *deployment) key() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keys[len(d.keys)-1]
}

// chooseKey returns the key for a call: in most cases the valid one, else an unknown or the previous key.
// chance is a random number between 0 and 1.
func (d *deployment) chooseKey(chance float64) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := len(d.keys) - 1
	switch {
	case chance < unknownKeyShare:
		return unknownKey
	case chance < unknownKeyShare+revokedKeyShare && last > 0:
		return d.keys[last-1]
	}
	return d.keys[last]
}

func (d *deployment) putConfiguration(ctx context.Context, spec string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return target.PutObject(ctx, d.options.store, "config", "main", json.RawMessage(spec))
}

// activateFault activates a fault in a stand-in.
func activateFault(ctx context.Context, baseURL string, f fault.Fault) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return target.Send(ctx, http.MethodPost, baseURL+"/faults", body)
}

// records reads the records of all targets.
func (d *deployment) records() ([]target.Record, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []target.Record
	for _, file := range d.recordFiles {
		records, err := target.ReadLog(file)
		if errors.Is(err, os.ErrNotExist) {
			continue // exited before it opened its record file
		}
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}
