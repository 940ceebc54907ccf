package routing

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/generation"
)

const deploymentName = "d"

// staticConfiguration is a Configuration with one deployment over all its targets.
type staticConfiguration struct{ snapshot *config.Snapshot }

func (c *staticConfiguration) Snapshot() *config.Snapshot { return c.snapshot }

func targetName(i int) string { return fmt.Sprintf("t%05d", i) }

func newStaticConfiguration(targets int) *staticConfiguration {
	snapshot := config.NewSnapshot(1)
	deployment := &v1.Deployment{Metadata: v1.Metadata{Name: deploymentName}}
	for i := range targets {
		name := targetName(i)
		spec := v1.TargetSpec{Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), AvailabilityZone: "a", Concurrency: 16}
		snapshot.Targets[name] = &v1.Target{Metadata: v1.Metadata{Name: name}, Spec: spec}
		deployment.Spec.Targets = append(deployment.Spec.Targets, name)
	}
	snapshot.Deployments[deploymentName] = deployment
	return &staticConfiguration{snapshot}
}

func targetQuery(prompt string, exclude ...string) generation.TargetQuery {
	request := &generation.Request{Deployment: deploymentName, Prompt: prompt}
	return generation.TargetQuery{Request: request, Exclude: exclude}
}

func prompt(subject string, blocks int) string {
	return strings.Repeat(fmt.Sprintf("%-256s", subject), blocks)
}

func newTestRouter(targets int) *Router {
	return NewRouter(Options{Configuration: newStaticConfiguration(targets), AvailabilityZone: "a", Seed: 1})
}

func mustChoose(t *testing.T, r *Router, c generation.TargetQuery) *generation.Lease {
	t.Helper()
	lease, err := r.Choose(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

func TestRequestGetsTargetThatCachesItsPrefix(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(100)
	first := mustChoose(t, r, targetQuery(prompt("line notes", 40)))
	first.Done(generation.Usage{Tokens: 1})
	for range 20 {
		lease := mustChoose(t, r, targetQuery(prompt("line notes", 40)+"a question"))
		is.Equal(lease.Target.Metadata.Name, first.Target.Metadata.Name)
		lease.Done(generation.Usage{Tokens: 1})
	}
}

func TestResumedStreamsOfOneTargetSpreadByLoad(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(24)
	counts := map[string]int{}
	dead := targetName(0)
	for range 16 * 12 { // half of the total concurrency, all with the same prefix
		lease := mustChoose(t, r, targetQuery(prompt("shared", 40), dead))
		counts[lease.Target.Metadata.Name]++
	}
	is.Equal(counts[dead], 0)
	for name, count := range counts {
		if count > 16 {
			t.Errorf("%s got %d streams at a concurrency of 16", name, count)
		}
	}
}

// drainingSet is a DrainState port that reports the targets in the set as draining.
type drainingSet map[string]bool

func (l drainingSet) Draining(name string) bool { return l[name] }
func (l drainingSet) CheckNewWork(name string) error {
	if l[name] {
		return errors.New("new work to a leaving target")
	}
	return nil
}

func TestDrainingTargetsGetNoNewWork(t *testing.T) {
	is := is.New(t)
	draining := drainingSet{targetName(0): true, targetName(2): true}
	r := NewRouter(Options{Configuration: newStaticConfiguration(3), DrainState: draining})
	for range 50 {
		lease := mustChoose(t, r, targetQuery("x"))
		is.Equal(lease.Target.Metadata.Name, targetName(1))
	}
	draining[targetName(1)] = true
	_, err := r.Choose(t.Context(), targetQuery("x"))
	is.True(errors.Is(err, generation.ErrNoTarget))
}

func TestFailingTargetIsEjectedAndStartsSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRouter(10)
		others := make([]string, 0, 9)
		for i := 1; i < 10; i++ {
			others = append(others, targetName(i))
		}
		for range failuresToEject {
			mustChoose(t, r, targetQuery("x", others...)).Done(generation.Usage{Failed: true})
		}
		_, err := r.Choose(t.Context(), targetQuery("x", others...))
		is.True(errors.Is(err, generation.ErrNoTarget))
		time.Sleep(ejectionTime)
		is.Equal(attemptCounts(t, r, 1000)[targetName(0)] < 1000/10/2, true) // well under an even share
		time.Sleep(slowStartTime)
		is.True(attemptCounts(t, r, 1000)[targetName(0)] > 1000/10/2)
	})
}

// attemptCounts makes n attempts that all run at once, ends them and returns how many each target got.
func attemptCounts(t *testing.T, r *Router, n int) map[string]int {
	counts := map[string]int{}
	var leases []*generation.Lease
	for range n {
		lease := mustChoose(t, r, targetQuery("x"))
		counts[lease.Target.Metadata.Name]++
		leases = append(leases, lease)
	}
	for _, lease := range leases {
		lease.Done(generation.Usage{})
	}
	return counts
}

func TestEjectionKeepsMinimumShareAvailable(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(10)
	for range 200 {
		lease := mustChoose(t, r, targetQuery("x")) // ErrNoTarget would fail the test
		lease.Done(generation.Usage{Failed: true})
	}
	ejected := 0
	for _, target := range r.fleet.byName {
		if target.outlier.ejected(time.Now()) {
			ejected++
		}
	}
	is.Equal(ejected, 5)
}

func TestDelayedLoadReportAccountsForLaterAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRouter(1)
		for range 4 {
			mustChoose(t, r, targetQuery("x"))
		}
		time.Sleep(time.Second)
		for range 3 {
			mustChoose(t, r, targetQuery("x"))
		}
		time.Sleep(200 * time.Millisecond)
		// A second ago 10 streams were running: 4 from this entry, 6 from others.
		r.ReportLoad(targetName(0), LoadReport{Running: 10, Concurrency: 16, Age: time.Second})
		target := r.fleet.byName[targetName(0)]
		is.Equal(target.peerLoad.streams, 6.0)
		is.Equal(target.inFlight, 7)
	})
}

func TestSequenceGapNeedsResyncUntilTheSummary(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2)
	name := targetName(0)
	hashes := PrefixHashes(prompt("p", 3))
	is.True(!r.ReportCacheEvents(name, []CacheEvent{{1, CacheAdded, hashes[0]}, {2, CacheAdded, hashes[1]}}, 2))
	is.True(r.ReportCacheEvents(name, []CacheEvent{{4, CacheAdded, hashes[2]}}, 4)) // event 3 is lost
	is.True(r.ReportCacheEvents(name, nil, 4))                                      // and remains lost
	r.ReportCacheSummary(name, 4, hashes[:1])
	is.True(!r.ReportCacheEvents(name, []CacheEvent{{5, CacheEvicted, hashes[0]}}, 5))
	is.Equal(r.fleet.index.cachedBlocks(r.fleet.byName[name].id, []promptPrefix{{hashes[0], 1}}), 0)
}

func TestIndexIsBoundedPerTarget(t *testing.T) {
	is := is.New(t)
	x := newPrefixIndex()
	x.setFleetSize(10_000)
	is.Equal(x.maxPerTarget, maxIndexedPrefixes/10_000)
	is.Equal(x.sampling, maxSampling)
	for i := range 100_000 {
		x.add(targetID(i%7), PrefixHash(i*31))
		if i%3 == 0 {
			x.remove(targetID(i%7), PrefixHash(i*31))
		}
	}
	total := 0
	for _, targets := range x.targetsByPrefix {
		total += len(targets)
	}
	cached := 0
	for _, target := range x.prefixesByTarget {
		is.True(len(target.set) <= x.maxPerTarget)
		is.True(len(target.order) <= 2*len(target.set)+minPrefixesPerTarget)
		cached += len(target.set)
	}
	is.Equal(total, cached)
	for id := range targetID(7) {
		x.removeTarget(id)
	}
	is.Equal(len(x.targetsByPrefix), 0)
}

func TestPrefixHashCoversTheWholePrefix(t *testing.T) {
	is := is.New(t)
	text := prompt("a", 1) + prompt("b", 1) + "rest"
	hashes := PrefixHashes(text)
	is.Equal(len(hashes), 2)
	is.Equal(hashes[0], PrefixHash(xxhash.Sum64String(text[:256])))
	is.Equal(hashes[1], PrefixHash(xxhash.Sum64String(text[:512])))
}

func TestAddressChangeResetsTheTargetState(t *testing.T) {
	is := is.New(t)
	configuration := newStaticConfiguration(2)
	r := NewRouter(Options{Configuration: configuration, Seed: 1})
	mustChoose(t, r, targetQuery(prompt("p", 4), targetName(1)))
	next := newStaticConfiguration(2)
	next.snapshot.Targets[targetName(0)].Spec.Address = "10.9.9.9:80"
	configuration.snapshot = next.snapshot
	r.ReportLoad(targetName(0), LoadReport{})
	is.Equal(r.fleet.byName[targetName(0)].inFlight, 0)
	is.Equal(len(r.fleet.index.targetsByPrefix), 0)
}

func TestIsolatedRequestGetsTheLeastLoadedTarget(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(3)
	long := prompt("shared", 40)
	idle := mustChoose(t, r, targetQuery("short", targetName(0), targetName(1)))
	idle.Done(generation.Usage{})
	mustChoose(t, r, targetQuery(long, targetName(1), targetName(2)))
	mustChoose(t, r, targetQuery("short", targetName(0), targetName(2)))
	isolated := targetQuery(long)
	isolated.Isolated = true
	is.Equal(mustChoose(t, r, isolated).Target.Metadata.Name, targetName(2)) // not the one that caches its prompt
}

// servingTargets is an Inventory in which the targets of the set serve every request and others none.
type servingTargets map[string]bool

func (s servingTargets) Serves(name string, _ *generation.Request) bool { return s[name] }

func TestTargetsThatServeTheRequestArePreferred(t *testing.T) {
	is := is.New(t)
	inventory := servingTargets{targetName(7): true}
	r := NewRouter(Options{Configuration: newStaticConfiguration(20), Inventory: inventory, Seed: 1})
	for range 50 {
		is.Equal(mustChoose(t, r, targetQuery("x")).Target.Metadata.Name, targetName(7))
	}
	// If no remaining target is known to serve the request, the inventory may be outdated and one is tried.
	is.True(mustChoose(t, r, targetQuery("x", targetName(7))) != nil)
}
