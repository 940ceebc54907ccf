package experiments

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/azurebarrow/azurebarrow/adapters/enginecontrol"
	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/control"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/azurebarrow/azurebarrow/standin/engine"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

// Sizes of the experiment.
const (
	controlHolders       = 4
	controlEngines       = 4 // of each kind
	controlPauses        = 2
	controlLease         = 4500 * time.Millisecond
	controlPause         = 13 * time.Second // longer than the lease
	controlPauseInterval = time.Second
	controlTakeover      = 8 * time.Second // by when another one holds the lease
	controlChangeEvery   = 3 * time.Second
	controlSettle        = 25 * time.Second
	controlLoadsPerSec   = 2.0
	controlLoadBurst     = 2
	controlVersions      = 9
	controlSample        = 20 * time.Millisecond
	controlModel         = "steered"
)

// Names of the deployments.
const (
	enforcingDeployment = "enforcing"
	ignoringDeployment  = "ignoring"
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "control",
		Summary: "holders paused past their lease and racing operators, on targets that check fencing tokens and on others",
		Run:     runControl,
	})
}

func runControl(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	violations := invariant.Violations()
	w, err := startControlWorld(ctx, env)
	if err != nil {
		return err
	}
	defer w.close()
	operating, stop := context.WithCancel(ctx)
	var operators sync.WaitGroup
	for i := range 2 {
		operators.Go(func() { w.operate(operating, i) })
	}
	for i := range controlPauses {
		time.Sleep(controlPauseInterval)
		w.pauseHolder(ctx, []string{ignoringDeployment, enforcingDeployment}[(i+int(env.Seed))%2])
	}
	stop()
	operators.Wait()
	wrong := w.settle(ctx)
	w.report(result, wrong)
	if broken := invariant.Violations() - violations; broken > 0 {
		result.AddViolation("%d violations of an invariant", broken)
	}
	return nil
}

// controlWorld is a platform and engines, with several entries' controllers.
type controlWorld struct {
	env     experiment.Environment
	cluster *cluster.Cluster
	holders []*holder
	cancel  context.CancelFunc
	running sync.WaitGroup
	loads   *loadMeter

	mu        sync.Mutex
	changes   int
	conflicts int
	pauses    int
}

func startControlWorld(ctx context.Context, env experiment.Environment) (*controlWorld, error) {
	c, err := cluster.New(cluster.Options{Seed: env.Seed, Directory: env.Directory})
	if err != nil {
		return nil, err
	}
	w := &controlWorld{env: env, cluster: c, loads: &loadMeter{}}
	for _, name := range []string{enforcingDeployment, ignoringDeployment} {
		if err := w.addDeployment(name); err != nil {
			c.Close()
			return nil, err
		}
	}
	var versions []v1.ModelVersion
	for i := range controlVersions {
		versions = append(versions, v1.ModelVersion{Name: versionName(i)})
	}
	model := &v1.Model{Metadata: v1.Metadata{Name: controlModel}, Spec: v1.ModelSpec{Versions: versions}}
	if err := cluster.Apply(c, model); err != nil {
		c.Close()
		return nil, err
	}
	ctx, w.cancel = context.WithCancel(ctx)
	for i := range controlHolders {
		w.holders = append(w.holders, newHolder(w, i))
	}
	for _, h := range w.holders {
		w.running.Go(func() { h.run(ctx) })
	}
	w.running.Go(func() { w.loads.run(ctx, c) })
	return w, nil
}

func (w *controlWorld) close() {
	w.cancel()
	for _, h := range w.holders {
		h.resume()
	}
	w.running.Wait()
	w.cluster.Close()
}

// addDeployment starts the engines of one kind and declares them.
func (w *controlWorld) addDeployment(name string) error {
	options := engine.DefaultOptions()
	options.ServeAnyVersion = false
	options.WeightLoadTime = 300 * time.Millisecond
	options.CheckFence = name == enforcingDeployment
	err := w.cluster.AddDeployment(cluster.DeploymentOptions{
		Name: name, Prefix: name + "-", Targets: controlEngines, Engine: options, Model: controlModel, Version: "v1",
	})
	if err != nil {
		return err
	}
	return w.setVersion(context.Background(), w.client(), name, "v1")
}

func (w *controlWorld) client() *platformhttp.Client {
	return platformhttp.New(w.cluster.PlatformServer.URL(), platformhttp.Options{})
}

func (w *controlWorld) fencing(deployment string) v1.FencingMode {
	if deployment == enforcingDeployment {
		return v1.FencingEnforced
	}
	return v1.FencingIgnored
}

// setVersion declares a deployment's version, on condition that nobody else changed it meanwhile.
func (w *controlWorld) setVersion(ctx context.Context, client *platformhttp.Client, name, version string) error {
	present, err := client.Get(ctx, v1.KindDeployment, name)
	if err != nil {
		return err
	}
	documents, findings := v1.Decode(name, present.Value)
	if err := findings.Err(); err != nil {
		return err
	}
	deployment := documents[0].Resource.(*v1.Deployment)
	deployment.Spec.Version = version
	deployment.Spec.Fencing = w.fencing(name)
	deployment.Metadata.Generation++
	value, err := encodeResource(deployment)
	if err != nil {
		return err
	}
	_, err = client.Put(ctx, v1.KindDeployment, name, present.Revision, value)
	return err
}

func versionName(i int) string { return fmt.Sprintf("v%d", i+1) }

// operate changes versions now and then, in a race with the other operator.
func (w *controlWorld) operate(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(uint64(w.env.Seed), uint64(number)))
	ticker := time.NewTicker(controlChangeEvery)
	defer ticker.Stop()
	client := w.client()
	for {
		name := []string{enforcingDeployment, ignoringDeployment}[random.IntN(2)]
		err := w.setVersion(ctx, client, name, versionName(random.IntN(controlVersions)))
		w.note(err)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (w *controlWorld) note(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.changes++
	} else {
		w.conflicts++
	}
}

// pauseHolder freezes the present holder right before it sends its next order to a target of the
// deployment, for longer than its lease, so that the order arrives when another one holds it.
func (w *controlWorld) pauseHolder(ctx context.Context, deployment string) {
	targets := map[string]bool{}
	for _, target := range w.cluster.Engines() {
		targets[target.Address()] = target.Deployment == deployment
	}
	for _, h := range w.holders {
		if _, held := h.lease.Held(); held {
			w.env.Logf("%s is paused at its next order to the deployment %s", h.name, deployment)
			time.AfterFunc(controlTakeover, func() { _ = w.setVersion(ctx, w.client(), deployment, versionName(w.pauses)) })
			if h.pauseAtOrder(ctx, targets, controlPause) {
				w.pauses++
			}
			return
		}
	}
	time.Sleep(controlPause)
}

// settle waits until every engine holds what its deployment declares, and returns how many don't.
func (w *controlWorld) settle(ctx context.Context) (wrong map[string]int) {
	deadline := time.Now().Add(controlSettle)
	for {
		wrong = w.wrongEngines(ctx)
		if wrong[enforcingDeployment]+wrong[ignoringDeployment] == 0 || time.Now().After(deadline) {
			return wrong
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (w *controlWorld) wrongEngines(ctx context.Context) map[string]int {
	wrong := map[string]int{}
	engines := enginecontrol.New(nil)
	client := w.client()
	for _, name := range []string{enforcingDeployment, ignoringDeployment} {
		present, err := client.Get(ctx, v1.KindDeployment, name)
		if err != nil {
			wrong[name] += controlEngines
			continue
		}
		documents, _ := v1.Decode(name, present.Value)
		deployment := documents[0].Resource.(*v1.Deployment)
		desired := []control.Weights{{Model: controlModel, Version: deployment.Spec.Version}}
		for _, target := range w.cluster.Engines() {
			if target.Deployment != name {
				continue
			}
			inventory, err := engines.Inventory(ctx, target.Address())
			if err != nil || !slices.Equal(inventory.Loaded, desired) {
				wrong[name]++
			}
		}
	}
	return wrong
}

func (w *controlWorld) report(result *experiment.Result, wrong map[string]int) {
	var orders, staleEnforcing, refused, staleIgnoring int64
	for _, target := range w.cluster.Engines() {
		stats := target.Engine().Stats()
		orders += stats.Commands
		refused += stats.FencedCommands
		if target.Deployment == enforcingDeployment {
			staleEnforcing += stats.StaleCommands
		} else {
			staleIgnoring += stats.StaleCommands
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	result.Add(
		experiment.Unbounded("changes", float64(w.changes), experiment.Count),
		experiment.Unbounded("operators_conflicts", float64(w.conflicts), experiment.Count),
		experiment.Unbounded("holders_paused", float64(w.pauses), experiment.Count),
		experiment.AtMost("stale_orders_effective", float64(staleEnforcing), experiment.Count, 0),
		experiment.Unbounded("stale_orders_refused", float64(refused), experiment.Count),
		experiment.Unbounded("stale_orders_on_ignoring_targets", float64(staleIgnoring), experiment.Count),
		experiment.AtMost("final_state_wrong", float64(wrong[ignoringDeployment]), experiment.Count, 0),
		experiment.AtMost("final_state_wrong_enforcing", float64(wrong[enforcingDeployment]), experiment.Count, 0),
		experiment.Unbounded("orders_per_change", float64(orders)/float64(max(w.changes, 1)), experiment.Ratio),
		experiment.Unbounded("weight_loads", float64(w.loads.total), experiment.Count),
		experiment.AtMost("weight_store_over_rate", float64(w.loads.over), experiment.Count, 0),
	)
	result.AddNote("the weight store admits %g loads a second with a burst of %d", controlLoadsPerSec, controlLoadBurst)
	result.AddNote("%d engines of each kind; each change of a version asks for %d loads and as many unloads", controlEngines, controlEngines)
}

// loadMeter holds the loads that engines begin against the weight store's rate.
type loadMeter struct {
	total int64
	over  int64
}

// run samples the engines' counters. A load counts as over the rate when the store's token bucket
// would not have admitted it.
func (l *loadMeter) run(ctx context.Context, c *cluster.Cluster) {
	bucket := rate.NewLimiter(controlLoadsPerSec, controlLoadBurst)
	for ctx.Err() == nil {
		var sum int64
		for _, target := range c.Engines() {
			sum += target.Engine().Stats().WeightLoads
		}
		for ; l.total < sum; l.total++ {
			if !bucket.Allow() {
				l.over++
			}
		}
		time.Sleep(controlSample)
	}
}
