package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/service"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// Bounds of the users' deployments for a single request that crashes targets.
const (
	// evidenceCallCrashes is the number of crashes under one request that must be enough evidence.
	evidenceCallCrashes = 3
	// maxLateCalls is the number of sends of it that may reach targets later than stableWindow after that.
	maxLateCalls = 3
	// minAnsweredShare is the share of sound calls that must be answered once there is evidence.
	minAnsweredShare = 0.5
)

// Behavior of the modelled targets of plain calls.
const (
	modelDesks    = 3
	modelWork     = 15 * time.Millisecond
	modelBadWork  = 50 * time.Millisecond
	modelDeadline = 600 * time.Millisecond
	modelAim      = 100 * time.Millisecond
	callService   = "desk"
)

// modelCall is the payload of a modelled call.
type modelCall struct {
	// bad names the call if it crashes each target that runs it; empty for a sound one.
	bad string
}

// modelCallSender implements service.Sender and service.Directory.
type modelCallSender struct{ fleet *crashFleet }

// Targets implements service.Directory. A target that has crashed stays listed until its successor starts.
func (s modelCallSender) Targets(string) []service.Target {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	var listed []service.Target
	for _, desk := range s.fleet.desks {
		listed = append(listed, service.Target{Name: desk.target.ID, Address: desk.target.Address, StartedMs: desk.target.StartedMs, Concurrency: 6})
	}
	return listed
}

// Send implements service.Sender.
func (s modelCallSender) Send(ctx context.Context, target service.Target, call *service.ForwardedCall) service.SendResult {
	desk := s.fleet.desk(target.Name)
	if desk == nil {
		return service.SendResult{Verdict: service.SendNotRun, Err: errors.New("connection refused")}
	}
	bad, work := call.Payload.(*modelCall).bad, modelWork
	if bad != "" {
		work = modelBadWork
		s.fleet.mu.Lock()
		s.fleet.arrivals[bad] = append(s.fleet.arrivals[bad], time.Now())
		s.fleet.mu.Unlock()
	}
	select {
	case <-time.After(work):
	case <-desk.crashed:
		return service.SendResult{Verdict: service.SendUnknown, Err: io.ErrUnexpectedEOF, ConnectionLost: true}
	case <-ctx.Done():
		return service.SendResult{Verdict: service.SendUnknown, Err: ctx.Err()}
	}
	if s.fleet.breaksConnection() {
		return service.SendResult{Verdict: service.SendUnknown, Err: syscall.ECONNRESET, ConnectionLost: true}
	}
	if bad != "" {
		s.fleet.crashDesk(desk, bad)
		return service.SendResult{Verdict: service.SendUnknown, Err: io.ErrUnexpectedEOF, ConnectionLost: true}
	}
	return service.SendResult{Verdict: service.SendAnswered, Answer: "answer"}
}

// desk returns the target of plain calls with the ID; nil if it has crashed.
func (f *crashFleet) desk(id string) *modelEngine {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, desk := range f.desks {
		select {
		case <-desk.crashed:
			continue
		default:
		}
		if desk.target.ID == id {
			return desk
		}
	}
	return nil
}

// crashDesk ends a target of plain calls; its successor replaces it after modelRestart.
func (f *crashFleet) crashDesk(desk *modelEngine, bad string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-desk.crashed:
		return // another call has crashed it meanwhile
	default:
	}
	f.crashes[bad] = append(f.crashes[bad], time.Now())
	close(desk.crashed)
	time.AfterFunc(modelRestart, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for i := range f.desks {
			if f.desks[i] != desk {
				continue
			}
			f.desks[i] = f.newEngine()
			if f.keepsIDs {
				f.desks[i].target.ID, f.desks[i].target.Address = desk.target.ID, desk.target.Address
			}
		}
	})
}

// callKind is a kind of plain call.
type callKind struct {
	name        string
	repeatable  bool
	maxAttempts int
}

var callKinds = []callKind{{"repeatable", true, 2}, {"at_most_once", false, 1}}

// breaksConnection reports whether a target that lives breaks a connection now.
func (f *crashFleet) breaksConnection() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < f.brokenShare
}

// call sends a call of a kind to an entry and reports whether it was answered. It counts sound calls that are refused.
func (f *crashFleet) call(e *fleetEntry, kind callKind, id, fingerprint, bad string) bool {
	_, err := e.forwarder.Do(f.ctx, &service.ForwardedCall{
		ID: id, Fingerprint: fingerprint, Service: callService, Repeatable: kind.repeatable, MaxAttempts: kind.maxAttempts,
		Deadline: time.Now().Add(modelDeadline), Objective: modelAim, Payload: &modelCall{bad: bad},
	})
	var poison *generation.PoisonError
	if bad == "" && errors.As(err, &poison) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.soundRefused[fingerprint]++
	}
	return err == nil
}

// generateCalls sends calls of a kind at random entries until the fleet's context ends.
func (f *crashFleet) generateCalls(kind callKind, perSecond float64, name func(number int) (fingerprint, bad string), ended func(sent time.Time, answered bool)) {
	for number := 0; f.ctx.Err() == nil; number++ {
		f.mu.Lock()
		pause := time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))
		e := f.order[f.random.IntN(len(f.order))]
		f.mu.Unlock()
		time.Sleep(pause)
		sent := time.Now()
		fingerprint, bad := name(number)
		go func() {
			ended(sent, f.call(e, kind, fmt.Sprintf("%s-%d", fingerprint, number), fingerprint, bad))
		}()
	}
}

// lateCalls returns how many sends of a bad call reached targets later than stableWindow after the crash that completed
// the evidence.
func (f *crashFleet) lateCalls(bad string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes[bad]) < evidenceCallCrashes {
		return 0
	}
	from := f.crashes[bad][evidenceCallCrashes-1].Add(stableWindow)
	late := 0
	for _, at := range f.arrivals[bad] {
		if at.After(from) {
			late++
		}
	}
	return late
}

// A call that crashes each target that runs it comes again and again, at any entry, and crashes all targets of its
// service in turn.
func TestCallThatCrashesTargetsIsRefusedByTheWholeFleet(t *testing.T) {
	for _, size := range []int{8, 59, 76} {
		for _, kind := range callKinds {
			t.Run(fmt.Sprintf("%d_entries/%s", size, kind.name), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					ctx, cancel := context.WithCancel(t.Context())
					f := newCrashFleet(ctx, size)
					sound := &soundCalls{fleet: f}
					for _, each := range callKinds {
						go f.generateCalls(each, 10, func(number int) (string, string) { return fmt.Sprint(each.name, number), "" }, sound.ended)
					}
					time.Sleep(modelHistoryTime)
					go f.generateCalls(kind, 2, func(int) (string, string) { return "bad call", "bad call" }, func(time.Time, bool) {})
					time.Sleep(2 * stableWindow)
					sound.countFromNow()
					time.Sleep(modelDay)
					cancel()
					time.Sleep(time.Minute) // until all goroutines have ended
					t.Logf("%d crashes, %d sends later than %v after the third; %d of %d sound calls answered",
						len(f.crashes["bad call"]), f.lateCalls("bad call"), stableWindow, sound.answered, sound.sent)
					is.True(f.lateCalls("bad call") <= maxLateCalls)
					is.True(float64(sound.answered) >= minAnsweredShare*float64(sound.sent))
				})
			})
		}
	}
}

// Guards against targets that start again under their IDs, of which a small service has too few for the evidence.
func TestCallIsRefusedWhenTargetsStartAgainUnderTheirIDs(t *testing.T) {
	for _, desks := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d_targets", desks), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := newCrashFleet(ctx, 8)
				f.desks, f.keepsIDs = f.desks[:desks], true
				time.Sleep(modelHistoryTime)
				go f.generateCalls(callKinds[0], 2, func(int) (string, string) { return "bad call", "bad call" }, func(time.Time, bool) {})
				time.Sleep(2*stableWindow + modelDay)
				cancel()
				time.Sleep(time.Minute) // until all goroutines have ended
				t.Logf("%d crashes, %d sends later than %v after the third", len(f.crashes["bad call"]), f.lateCalls("bad call"), stableWindow)
				is.True(len(f.crashes["bad call"]) >= evidenceCallCrashes)
				is.True(f.lateCalls("bad call") <= maxLateCalls)
			})
		})
	}
}

// soundCalls counts the sound calls sent from a time on and those of them that were answered.
type soundCalls struct {
	fleet          *crashFleet
	from           time.Time
	sent, answered int
}

func (s *soundCalls) countFromNow() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.from = time.Now()
}

func (s *soundCalls) ended(sent time.Time, answered bool) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.from.IsZero() || sent.Before(s.from) || s.fleet.ctx.Err() != nil {
		return
	}
	s.sent++
	if answered {
		s.answered++
	}
}

// crashingTargets are the targets of a service on loopback that crash under requests of a path, and their successors.
type crashingTargets struct {
	cluster *testCluster
	// restarts is closed at the end of the test, after which no successor starts.
	restarts context.Context

	mu      sync.Mutex
	started []*standinTarget
}

const (
	// crashPath begins the paths that crash the targets.
	crashPath = "/find/bad"
	// loopbackRestart is the time until the successor of a crashed target starts.
	loopbackRestart = 500 * time.Millisecond
)

// start starts one target, which a successor with another ID replaces once it has crashed.
func (c *crashingTargets) start(t *testing.T, index, incarnation int) {
	options := target.Options{
		ID: fmt.Sprintf("i-%d-%d", index, incarnation), Service: "desk", AvailabilityZone: "a", Slots: 6, WorkTime: modelWork, CrashPath: "bad",
	}
	var once sync.Once
	var self *standinTarget
	ready := make(chan struct{})
	options.Exit = func() {
		<-ready
		once.Do(func() {
			_ = self.server.Listener.Close()
			self.server.CloseClientConnections()
			c.cluster.register(self, options, "draining") // no entry sends anything there from now on
			time.AfterFunc(loopbackRestart, func() {
				if c.restarts.Err() == nil {
					c.start(t, index, incarnation+1)
				}
			})
		})
		panic(http.ErrAbortHandler)
	}
	self = c.cluster.startTarget(t, options)
	close(ready)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = append(c.started, self)
}

// times returns when requests of the path reached the targets, and when they crashed them.
func (c *crashingTargets) times(t *testing.T) (arrived, crashed []time.Time) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, each := range c.started {
		records, err := target.ReadLog(each.log)
		if err != nil {
			t.Fatal(err)
		}
		for _, record := range records {
			if !strings.HasPrefix(record.Path, crashPath) {
				continue
			}
			switch record.What {
			case target.Began:
				arrived = append(arrived, record.At)
			case target.Crashed:
				crashed = append(crashed, record.At)
			}
		}
	}
	slices.SortFunc(crashed, time.Time.Compare)
	return arrived, crashed
}

// The same look-up comes again at eight entries and crashes the three targets of its service in turn.
func TestLookupThatCrashesTargetsIsRefusedOnLoopback(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 8)
	ctx, cancel := context.WithCancel(t.Context())
	targets := &crashingTargets{cluster: cluster, restarts: ctx}
	for i := range modelDesks {
		targets.start(t, i, 0)
	}
	defer cancel()
	var calls sync.WaitGroup
	for number := range 32 {
		calls.Go(func() {
			// A call under which its target crashes ends without an answer of a target, which is no fault here.
			_, _, _ = cluster.request(number%len(cluster.entries), "GET", crashPath, fmt.Sprintf("f%d", number), "k1", "")
		})
		time.Sleep(250 * time.Millisecond)
	}
	calls.Wait()
	arrived, crashed := targets.times(t)
	is.True(len(crashed) >= evidenceCallCrashes)
	late := 0
	for _, at := range arrived {
		if at.After(crashed[evidenceCallCrashes-1].Add(stableWindow)) {
			late++
		}
	}
	t.Logf("%d crashes, %d arrivals later than %v after the third", len(crashed), late, stableWindow)
	is.True(late <= maxLateCalls)
}
