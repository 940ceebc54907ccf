package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/generation"
)

// Course of the losses of all entries.
const (
	lossInterval = 15 * time.Second
	lossDuration = 2 * time.Second
	lossCount    = 3
	// maxEntriesOfLosses is the size up to which all of them are played: larger fleets take minutes under the race detector.
	maxEntriesOfLosses = 100
	// silentTakeUp is the time after which a caller gives up a connection that fell silent when its entry lost power.
	silentTakeUp = 18 * time.Second
	// lossStreams is the number of streams that are sent a second.
	lossStreams = 12
	// minGoOnShare is the share of taken-up streams that must go on where engines of their version serve.
	minGoOnShare = 0.95
)

// lossFleet is a versionFleet that loses all entries at once, several times.
type lossFleet struct {
	*versionFleet
	// down reports that the entries are without power.
	down bool
	// servedTakenUp and servedResumed count the take-ups of streams whose version serves, and those that went on.
	servedTakenUp, servedResumed int
}

func newLossFleet(ctx context.Context, size int) *lossFleet {
	fleet := newFleet(ctx, size, func(f *crashFleet) generation.RelayEngine {
		f.store, f.version = newModelStore(), "v1"
		return versionClient{f}
	})
	return &lossFleet{versionFleet: &versionFleet{crashFleet: fleet}}
}

// setVersions gives the engines the versions in turn. Engines whose version changes are replaced by others.
func (f *lossFleet) setVersions(versions ...string) {
	f.crashFleet.mu.Lock()
	defer f.crashFleet.mu.Unlock()
	for i, engine := range f.engines {
		version := versions[i%len(versions)]
		if engine.target.Version == version {
			continue
		}
		successor := f.newEngine()
		successor.target.Version = version
		f.engines[i] = successor
		close(engine.crashed)
	}
}

// serves reports whether an engine of the version serves.
func (f *lossFleet) serves(version string) bool {
	for _, target := range f.targets() {
		if target.Version == version {
			return true
		}
	}
	return false
}

// awaitEntry returns an entry once the entries have power.
func (f *lossFleet) awaitEntry() *fleetEntry {
	for {
		f.crashFleet.mu.Lock()
		e, down := f.order[f.random.IntN(len(f.order))], f.down
		f.crashFleet.mu.Unlock()
		if !down {
			return e
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// stream sends a stream and takes it up, up to twice, when its entry is lost: every other caller notices at once, the others
// after silentTakeUp.
func (f *lossFleet) stream(number int) {
	caller := &versionCaller{}
	resumes, sentAt := "", time.Now()
	for try := range 3 {
		e := f.awaitEntry()
		request := &generation.RelayRequest{
			ID: fmt.Sprintf("s%d-%d", number, try), Fingerprint: fmt.Sprint("f", number), Service: "drafts", Customer: "ranch", LastEvent: -1, Resumes: resumes,
			Deadline: sentAt.Add(40 * time.Second), FirstEventObjective: 4500 * time.Millisecond, GapObjective: 700 * time.Millisecond,
			MaxAttempts: 5, Resumable: true,
		}
		had := caller.last
		if had > 0 {
			request.LastEvent = had
		}
		served := had > 0 && f.serves(caller.versions[0])
		err := e.relay.Run(e.ctx, request, caller)
		if f.ctx.Err() != nil {
			return
		}
		f.countTakeUp(served, had, caller)
		if err == nil || e.ctx.Err() == nil {
			break
		}
		if resumes == "" && caller.last > 0 {
			resumes = request.ID
		}
		if number%2 == 0 && had == 0 {
			time.Sleep(silentTakeUp)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(caller.versions) > 1 {
		f.joined++
	}
}

func (f *lossFleet) countTakeUp(served bool, had int64, caller *versionCaller) {
	f.count(had, caller)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !served {
		return
	}
	f.servedTakenUp++
	if caller.last > had {
		f.servedResumed++
	}
}

// loseAll takes the power from all entries, and gives it back.
func (f *lossFleet) loseAll(meanwhile, after func()) {
	f.crashFleet.mu.Lock()
	f.down = true
	for _, e := range f.order {
		e.stop()
	}
	f.crashFleet.mu.Unlock()
	meanwhile()
	time.Sleep(lossDuration)
	for i := range f.order {
		f.startEntry(i)
	}
	time.AfterFunc(3*time.Second, after)
	for f.store.isDown() { // an entry serves once it has read the configuration
		time.Sleep(100 * time.Millisecond)
	}
	f.crashFleet.mu.Lock()
	f.down = false
	f.crashFleet.mu.Unlock()
}

// lossCourse is what serves before, during and after each loss of all entries.
type lossCourse struct {
	name string
	// before is called 1.5 s before a loss and during while no entry runs; n counts the losses.
	start, before, during func(f *lossFleet, n int)
	// after is called 3 s after the power is back; nil for nothing.
	after func(f *lossFleet, n int)
	// minGoOn is the share of taken-up streams that must go on where engines of their version serve.
	minGoOn float64
	// onlyOne reports that one version has ever served.
	onlyOne bool
	sizes   []int
}

// Numbers of entries; the largest takes seconds of processor time a second of the model.
var (
	allSizes   = []int{8, 59, 76, 195}
	smallSizes = []int{8, 59}
	oneSize    = []int{8}
)

func version(n int) string { return fmt.Sprint("v", n) }

func unchanged(*lossFleet, int) {}

var lossCourses = []lossCourse{
	{name: "two versions serve", minGoOn: minGoOnShare, sizes: allSizes, before: unchanged, during: unchanged,
		start: func(f *lossFleet, _ int) { f.setVersions("v1", "v2") }},
	{name: "the old version has just left", minGoOn: minGoOnShare, sizes: allSizes, during: unchanged,
		start:  func(f *lossFleet, _ int) { f.setVersions("v1") },
		before: func(f *lossFleet, n int) { f.setVersions(version(n + 2)) }},
	{name: "the old version leaves meanwhile", minGoOn: minGoOnShare, sizes: smallSizes, before: unchanged,
		start:  func(f *lossFleet, _ int) { f.setVersions("v1") },
		during: func(f *lossFleet, n int) { f.setVersions(version(n + 2)) }},
	{name: "a third version comes meanwhile", minGoOn: minGoOnShare, sizes: oneSize, before: unchanged,
		start:  func(f *lossFleet, _ int) { f.setVersions("v1", "v2") },
		during: func(f *lossFleet, _ int) { f.setVersions("v1", "v2", "v3") }},
	{name: "a release begins just before", minGoOn: minGoOnShare, sizes: oneSize, during: unchanged,
		start:  func(f *lossFleet, _ int) { f.setVersions("v1") },
		before: func(f *lossFleet, n int) { f.setVersions(version(n+1), version(n+2)) }},
	{name: "one version only", minGoOn: minGoOnShare, sizes: oneSize, before: unchanged, during: unchanged, onlyOne: true,
		start: func(f *lossFleet, _ int) { f.setVersions("v1") }},
	{name: "the store is down from before the second loss until after it", sizes: smallSizes, minGoOn: minResumedShare, during: unchanged,
		start: twoVersions, before: storeAtSecondLoss(func(s *modelStore) { s.down = true }), after: soundStore},
	{name: "the store is slow around the second loss", sizes: oneSize, minGoOn: minGoOnShare, during: unchanged,
		start: twoVersions, before: storeAtSecondLoss(func(s *modelStore) { s.latency = 60 * modelStoreLatency }), after: soundStore},
	{name: "the store turns a third of the entries away", sizes: smallSizes, minGoOn: minGoOnShare, during: unchanged, before: unchanged,
		start: func(f *lossFleet, n int) {
			f.store.set(func(s *modelStore) { s.deniedShare = 0.33 })
			twoVersions(f, n)
		}},
	{name: "the store loses a third of its answers", sizes: oneSize, minGoOn: minResumedShare, during: unchanged, before: unchanged,
		start: func(f *lossFleet, n int) {
			f.store.set(func(s *modelStore) { s.lostShare = 0.35 })
			twoVersions(f, n)
		}},
	{name: "the old version leaves while the store is down", sizes: oneSize, minGoOn: minResumedShare,
		start:  func(f *lossFleet, _ int) { f.setVersions("v1") },
		before: storeAtSecondLoss(func(s *modelStore) { s.down = true }),
		during: func(f *lossFleet, n int) { f.setVersions(version(n + 2)) }, after: soundStore},
}

func twoVersions(f *lossFleet, _ int) { f.setVersions("v1", "v2") }

func storeAtSecondLoss(change func(*modelStore)) func(*lossFleet, int) {
	return func(f *lossFleet, n int) {
		if n == 1 {
			f.store.set(change)
		}
	}
}

func soundStore(f *lossFleet, _ int) {
	f.store.set(func(s *modelStore) { s.down, s.latency = false, modelStoreLatency })
}

// play runs a course to its end.
func (f *lossFleet) play(course lossCourse) {
	course.start(f, 0)
	time.Sleep(modelHistoryTime)
	go func() {
		for number := 0; f.ctx.Err() == nil; number++ {
			go f.stream(number)
			time.Sleep(time.Second / lossStreams)
		}
	}()
	losses := lossCount
	if len(f.order) > maxEntriesOfLosses {
		losses = 1
	}
	for n := range losses {
		time.Sleep(lossInterval - 1500*time.Millisecond)
		course.before(f, n)
		time.Sleep(1500 * time.Millisecond)
		f.loseAll(func() { course.during(f, n) }, func() {
			if course.after != nil {
				course.after(f, n)
			}
		})
	}
	time.Sleep(silentTakeUp + lossInterval)
}

// Guards against streams that are joined from two versions, or not taken up although their version serves, after the loss
// of all entries: then nobody remembers what began them, and an entry that has just started sees only what serves now.
func TestStreamsKeepTheirVersionOverTheLossOfAllEntries(t *testing.T) {
	for _, course := range lossCourses {
		for _, size := range course.sizes {
			t.Run(fmt.Sprintf("%s/%d_entries", course.name, size), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					is := is.NewRelaxed(t)
					ctx, cancel := context.WithCancel(t.Context())
					f := newLossFleet(ctx, size)
					f.play(course)
					cancel()
					time.Sleep(time.Minute) // until all goroutines have ended
					f.mu.Lock()
					defer f.mu.Unlock()
					f.store.set(func(s *modelStore) {
						t.Logf("%d writes to the store, %d reads, %d objects", s.writes, s.reads, len(s.objects))
					})
					t.Logf("%d of %d streams begun; taken up %d, go on %d, of those whose version serves %d of %d; %d joined",
						f.begun, f.sent, f.takenUp, f.resumed, f.servedResumed, f.servedTakenUp, f.joined)
					is.True(f.takenUp > 0)
					is.Equal(f.joined, 0)
					is.True(f.servedTakenUp > 0 || !course.onlyOne)
					is.True(float64(f.servedResumed) >= course.minGoOn*float64(f.servedTakenUp))
				})
			})
		}
	}
}
