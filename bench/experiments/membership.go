package experiments

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/peermembership"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/membership"
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "membership",
		Summary: "probes between 8, 32 and 128 entries over loopback: detection, false deaths, cost and its slope",
		Run:     runMembership,
	})
}

// The membership experiment's scenario.
const (
	membershipJoin        = 10500 * time.Millisecond
	membershipQuiet       = 3 * time.Second
	membershipDetect      = 6 * time.Second
	membershipVictims     = 2
	membershipLoss        = 0.05
	membershipPause       = 200 * time.Millisecond
	membershipPauseEvery  = 500 * time.Millisecond
	extrapolatedEntries   = 1800
	detectBoundMs         = 3000
	controlBytesBound     = 5000
	controlCPUBound       = 0.024
	controlMemoryBound    = 32 << 20
	membershipSampleEvery = 10 * time.Millisecond
)

var membershipSizes = []int{8, 32, 128}

// memberNode is one entry's membership with its own listener.
type memberNode struct {
	peer    membership.Peer
	manager *membership.Manager
	server  *http.Server
	gate    *lossyGate
	cancel  context.CancelFunc
}

// lossyGate loses a share of the probes that a node sends, pauses it, and cuts it off.
type lossyGate struct {
	inner       membership.Prober
	lossy       *atomic.Bool
	cut         atomic.Bool
	pausedUntil atomic.Int64
	counter     atomic.Int64
}

// lossEvery loses one message of that many.
const lossEvery = int64(1 / membershipLoss)

func (g *lossyGate) pass(ctx context.Context) error {
	if wait := time.Until(time.UnixMilli(g.pausedUntil.Load())); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	lost := g.lossy.Load() && g.counter.Add(1)%lossEvery == 0
	if lost || g.cut.Load() {
		<-ctx.Done()
	}
	return ctx.Err()
}

// Probe implements membership.Prober.
func (g *lossyGate) Probe(ctx context.Context, peer membership.Peer, message membership.Message) (membership.Message, error) {
	if err := g.pass(ctx); err != nil {
		return membership.Message{}, err
	}
	answer, err := g.inner.Probe(ctx, peer, message)
	if err == nil {
		err = g.pass(ctx)
	}
	return answer, err
}

// ProbeVia implements membership.Prober.
func (g *lossyGate) ProbeVia(ctx context.Context, via, peer membership.Peer, message membership.Message) (membership.Message, error) {
	if err := g.pass(ctx); err != nil {
		return membership.Message{}, err
	}
	answer, err := g.inner.ProbeVia(ctx, via, peer, message)
	if err == nil {
		err = g.pass(ctx)
	}
	return answer, err
}

// countedConnection counts the bytes written to a connection.
type countedConnection struct {
	net.Conn
	written *atomic.Int64
}

// Write implements net.Conn.
func (c countedConnection) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// countedListener counts the bytes written to the connections that it accepts.
type countedListener struct {
	net.Listener
	written *atomic.Int64
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConnection{connection, l.written}, nil
}

// memberFleet is the nodes of one size.
type memberFleet struct {
	nodes   []*memberNode
	written atomic.Int64
	lossy   atomic.Bool
	waiting sync.WaitGroup
}

func startMemberFleet(size int, seed uint64) (*memberFleet, error) {
	fleet := &memberFleet{}
	listeners := make([]net.Listener, size)
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners[i] = listener
	}
	seeds := []membership.Peer{{Address: listeners[0].Addr().String()}, {Address: listeners[1].Addr().String()}}
	for i, listener := range listeners {
		fleet.startNode(i, listener, seeds, seed)
	}
	return fleet, nil
}

func (f *memberFleet) startNode(i int, listener net.Listener, seeds []membership.Peer, seed uint64) {
	transport := peermembership.NewTransport()
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConnection{connection, &f.written}, nil
	}
	gate := &lossyGate{inner: peermembership.NewProber(&http.Client{Transport: transport}), lossy: &f.lossy}
	peer := membership.Peer{
		Name:             fmt.Sprintf("entry%03d", i),
		Address:          listener.Addr().String(),
		AvailabilityZone: string(rune('a' + i%3)),
		Incarnation:      1,
	}
	manager := membership.NewManager(membership.Options{Self: peer, Prober: gate, Seeds: seeds, Seed: seed*1000 + uint64(i)})
	mux := http.NewServeMux()
	mux.Handle(peermembership.NewHandler(manager))
	ctx, cancel := context.WithCancel(context.Background())
	node := &memberNode{peer: peer, manager: manager, server: &http.Server{Handler: mux}, gate: gate, cancel: cancel}
	f.nodes = append(f.nodes, node)
	f.waiting.Add(2)
	go func() {
		defer f.waiting.Done()
		_ = manager.Run(ctx)
	}()
	go func() {
		defer f.waiting.Done()
		_ = node.server.Serve(countedListener{listener, &f.written})
	}()
}

func (f *memberFleet) stop() {
	for _, node := range f.nodes {
		node.gate.cut.Store(true)
		node.cancel()
		_ = node.server.Close()
	}
	f.waiting.Wait()
}

// missing counts the pairs of living nodes of which the first does not see the second as alive.
func (f *memberFleet) missing(victim int) int {
	living := len(f.nodes)
	if victim >= 0 {
		living--
	}
	count := 0
	for i, node := range f.nodes {
		if i != victim {
			count += max(0, living-len(node.manager.Live()))
		}
	}
	return count
}

// detect cuts a node off and returns how long each other takes to see it, in order.
func (f *memberFleet) detect(victim int) experiment.Samples {
	node := f.nodes[victim]
	node.gate.cut.Store(true)
	node.cancel()
	_ = node.server.Close()
	var samples experiment.Samples
	start := time.Now()
	waiting := map[int]bool{}
	for i := range f.nodes {
		if i != victim && !f.nodes[i].gate.cut.Load() {
			waiting[i] = true
		}
	}
	for len(waiting) > 0 && time.Since(start) < membershipDetect {
		for i := range waiting {
			if !f.sees(i, node.peer.Name) {
				samples.Add(time.Since(start))
				delete(waiting, i)
			}
		}
		time.Sleep(membershipSampleEvery)
	}
	for range waiting {
		samples.Add(membershipDetect)
	}
	return samples
}

func (f *memberFleet) sees(viewer int, name string) bool {
	for _, peer := range f.nodes[viewer].manager.Live() {
		if peer.Name == name {
			return true
		}
	}
	return false
}

// disturb loses messages and pauses nodes, and returns how many false deaths were seen.
func (f *memberFleet) disturb(span time.Duration) int {
	f.lossy.Store(true)
	defer f.lossy.Store(false)
	falseDeaths := 0
	for turn, start := 0, time.Now(); time.Since(start) < span; turn++ {
		paused := f.nodes[turn%len(f.nodes)]
		paused.gate.pausedUntil.Store(time.Now().Add(membershipPause).UnixMilli())
		time.Sleep(membershipPauseEvery)
		falseDeaths += f.missing(-1)
	}
	return falseDeaths
}

// membershipCost is what one node costs.
type membershipCost struct{ bytesPerSecond, cpuShare, memory float64 }

func (f *memberFleet) cost(span time.Duration) membershipCost {
	bytes, cpu, start := f.written.Load(), processCPU(), time.Now()
	time.Sleep(span)
	elapsed := time.Since(start).Seconds()
	size := float64(len(f.nodes))
	return membershipCost{
		bytesPerSecond: float64(f.written.Load()-bytes) / elapsed / size,
		cpuShare:       (processCPU() - cpu).Seconds() / elapsed / size,
		memory:         float64(heapInUse()) / size,
	}
}

func processCPU() time.Duration {
	var usage syscall.Rusage
	// It fails only for a bad argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

func runMembership(_ context.Context, env experiment.Environment, result *experiment.Result) error {
	var costs []membershipCost
	for _, size := range membershipSizes {
		cost, err := measureMembership(size, uint64(env.Seed), env, result)
		if err != nil {
			return err
		}
		costs = append(costs, cost)
	}
	addExtrapolation(result, costs)
	result.AddNote("entries in one process over loopback with Twirp; bytes are what entries write, requests and answers, without TCP/IP headers; a death is a closed listener and silence")
	return nil
}

func measureMembership(size int, seed uint64, env experiment.Environment, result *experiment.Result) (membershipCost, error) {
	fleet, err := startMemberFleet(size, seed)
	if err != nil {
		return membershipCost{}, err
	}
	defer fleet.stop()
	env.Logf("%d entries join", size)
	time.Sleep(membershipJoin)
	unjoined := fleet.missing(-1)
	cost := fleet.cost(membershipQuiet)
	falseDeaths := fleet.disturb(membershipQuiet)
	var detections experiment.Samples
	for victim := range membershipVictims {
		detections = append(detections, fleet.detect(size-1-victim)...)
	}
	name := func(figure string) string { return fmt.Sprintf("%s_%d", figure, size) }
	result.Add(
		experiment.AtMost(name("detect_p99"), detections.QuantileMs(0.99), experiment.Milliseconds, detectBoundMs),
		experiment.AtMost(name("false_deaths"), float64(falseDeaths), experiment.Count, 0),
		experiment.AtMost(name("control_bytes_per_second"), cost.bytesPerSecond, experiment.PerSecond, controlBytesBound),
		experiment.AtMost(name("control_cpu_share"), cost.cpuShare, experiment.Fraction, controlCPUBound),
		experiment.AtMost(name("control_bytes_of_memory"), cost.memory, experiment.Bytes, controlMemoryBound),
		experiment.Unbounded(name("pairs_not_joined"), float64(unjoined), experiment.Count),
	)
	return cost, nil
}

// addExtrapolation continues the line from the smallest to the largest size to the large fleet.
func addExtrapolation(result *experiment.Result, costs []membershipCost) {
	first, last := costs[0], costs[len(costs)-1]
	smallest, largest := membershipSizes[0], membershipSizes[len(membershipSizes)-1]
	line := func(a, b float64) (slope, far float64) {
		slope = (b - a) / float64(largest-smallest)
		return slope, b + slope*float64(extrapolatedEntries-largest)
	}
	bytesSlope, bytesFar := line(first.bytesPerSecond, last.bytesPerSecond)
	cpuSlope, cpuFar := line(first.cpuShare, last.cpuShare)
	memorySlope, memoryFar := line(first.memory, last.memory)
	result.Add(
		experiment.Unbounded("control_bytes_per_second_per_entry", bytesSlope, experiment.PerSecond),
		experiment.Unbounded("control_cpu_share_per_entry", cpuSlope, experiment.Fraction),
		experiment.Unbounded("control_bytes_of_memory_per_entry", memorySlope, experiment.Bytes),
		experiment.AtMost("control_bytes_per_second_1800_extrapolated", bytesFar, experiment.PerSecond, controlBytesBound),
		experiment.AtMost("control_cpu_share_1800_extrapolated", cpuFar, experiment.Fraction, controlCPUBound),
		experiment.AtMost("control_bytes_of_memory_1800_extrapolated", memoryFar, experiment.Bytes, controlMemoryBound),
	)
}
