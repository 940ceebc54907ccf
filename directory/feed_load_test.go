package directory

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

// The modelled fleet: the entries and their links as in the smallest VMs of the users' grown deployments.
const (
	modelEntries      = 59
	linkBytesPerMs    = 1250 // 10 Mbit/s
	connWindowBytes   = 64 << 10
	segmentBytes      = 8 << 10
	largeConfigBytes  = 570 << 10 // 2,800 routes
	targetsInStore    = 224
	targetObjectBytes = 300
	pacedFromBytes    = 16 << 10 // platform.pacedFromBytes
	// maxEventDelay is the users' bound on passing an event of a stream on; maxApplyTime and maxStretch are
	// their bounds on applying a configuration, the second one added while the store turns entries away.
	maxEventDelay = 120 * time.Millisecond
	maxApplyTime  = 2 * time.Second
	maxStretch    = 5 * time.Second
)

// modelLink is the link of a VM. Its bytes leave one after the other, whichever connection they belong to.
type modelLink struct {
	bytesPerMs int // 0 means linkBytesPerMs
	mu         sync.Mutex
	freeAt     time.Time
	maxBacklog time.Duration
}

// send queues a segment and returns when it has left.
func (l *modelLink) send(bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Millisecond / time.Duration(cmp.Or(l.bytesPerMs, linkBytesPerMs)))
	l.maxBacklog = max(l.maxBacklog, l.freeAt.Sub(now))
	return l.freeAt
}

// transfer sends bytes over one connection, with connWindowBytes on their way at most.
func (l *modelLink) transfer(ctx context.Context, bytes int) error {
	var left []time.Time
	for ; bytes > 0; bytes -= segmentBytes {
		if len(left) == connWindowBytes/segmentBytes {
			if err := wait.For(ctx, time.Until(left[0])); err != nil {
				return err
			}
			left = left[1:]
		}
		left = append(left, l.send(min(bytes, segmentBytes)))
	}
	if len(left) == 0 {
		return nil
	}
	return wait.For(ctx, time.Until(left[len(left)-1]))
}

func sizeOf(parts ...[]objects.Object) int {
	bytes := 0
	for _, part := range parts {
		for _, object := range part {
			bytes += len(object.Value) + len(object.Name)
		}
	}
	return bytes
}

// modelStore holds one configuration and the targets. Its own link is never full; what a reader gets takes
// as long as the reader's link needs.
type modelStore struct {
	// changeBytesPerMs is the rate at which readers take changes; 0 means that of their links.
	changeBytesPerMs int
	// pageObjects is the number of objects in a page of a list, which takes a round trip; link carries all answers. Zero values
	// mean one page and a link that is never full.
	pageObjects int
	link        *modelLink
	// mixed has every second entry read it as a former build does.
	mixed bool

	mu            sync.Mutex
	revision      int64
	configuration objects.Object
	targets       []objects.Object
	changed       chan struct{}
	configuredAt  time.Time
	// calls counts the calls by kind of object, and taken those of them that takeCalls has returned.
	calls, taken map[string]int
	bytes        map[string]int
	// lostBefore is the revision from which the store has its history.
	lostBefore int64
	// era is named in all answers; 0 names none. away is how calls are answered, and outages counts its changes: a call that began
	// before one is never answered.
	era     int64
	away    storeAbsence
	outages int
}

// storeAbsence is how a store that is away answers.
type storeAbsence int

const (
	storeAnswers storeAbsence = iota
	storeSilent
	storeRejects
)

func (s *modelStore) setAway(away storeAbsence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.outages++
}

func (s *modelStore) absence() (away storeAbsence, outages int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away, s.outages
}

func newModelStore() *modelStore {
	s := &modelStore{revision: 1, changed: make(chan struct{}), calls: map[string]int{}, taken: map[string]int{}, bytes: map[string]int{}}
	for i := range targetsInStore {
		value, _ := json.Marshal(map[string]any{"Service": "drafts", "Address": fmt.Sprintf("10.0.0.%d:1", i), "StartedMs": 1, "Padding": strings.Repeat("x", targetObjectBytes)})
		s.targets = append(s.targets, objects.Object{Kind: KindTarget, Name: fmt.Sprintf("i-%d", i), Revision: 1, Value: value})
	}
	s.configure(1, 0)
	return s
}

// configure stores a configuration of the given version and size.
func (s *modelStore) configure(version int64, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := fmt.Sprintf(`{"Version":%d,"Padding":%q}`, version, strings.Repeat("r", bytes))
	s.revision++
	s.configuration = objects.Object{Kind: KindConfiguration, Name: "main", Revision: s.revision, Value: []byte(value)}
	s.configuredAt = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// replaceTarget stores a change of a target.
func (s *modelStore) replaceTarget(number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.targets[number%len(s.targets)].Revision = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// loseHistory makes the store forget its changes so far.
func (s *modelStore) loseHistory() {
	s.replaceTarget(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostBefore = s.revision
}

// takeCalls returns the calls by kind since it was last called.
func (s *modelStore) takeCalls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = map[string]int{}
	for kind, count := range calls {
		s.taken[kind] += count
	}
	return calls
}

// list returns the objects that changed after a revision; those that exist if it is 0.
func (s *modelStore) list(kind string, after int64) (objects.List, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after > 0 && after < s.lostBefore {
		return objects.List{}, nil, objects.ErrTooOld
	}
	list := objects.List{Era: s.era, Revision: s.revision}
	all := s.targets
	if kind == KindConfiguration {
		all = []objects.Object{s.configuration}
	}
	for _, object := range all {
		if object.Revision > after && !(object.Deleted && after == 0) {
			list.Items = append(list.Items, object)
		}
	}
	return list, s.changed, nil
}

// storeClient is one entry's access to the store. An entry that is turned away gets errors only.
type storeClient struct {
	store      *modelStore
	turnedAway bool
}

func (c storeClient) List(ctx context.Context, kind string) (objects.List, error) {
	return c.Watch(ctx, kind, 0, 0)
}

// Watch ends calls that are not answered as platform.Store does.
func (c storeClient) Watch(ctx context.Context, kind string, after int64, limit time.Duration) (objects.List, error) {
	const silenceTimeout = 1500 * time.Millisecond
	away, outages := c.store.absence()
	began := time.Now()
	list, err := objects.List{}, objects.ErrUnavailable
	switch away {
	case storeAnswers:
		list, err = c.watch(ctx, kind, after, limit)
	case storeRejects:
		_ = wait.For(ctx, 4*time.Millisecond)
		return list, err
	}
	if _, now := c.store.absence(); away == storeSilent || now != outages {
		_ = wait.For(ctx, limit+silenceTimeout-time.Since(began))
		return objects.List{}, objects.ErrUnavailable
	}
	return list, err
}

func (c storeClient) watch(ctx context.Context, kind string, after int64, limit time.Duration) (objects.List, error) {
	const roundTrip = 4 * time.Millisecond
	c.store.mu.Lock()
	c.store.calls[kind]++
	c.store.mu.Unlock()
	if err := wait.For(ctx, roundTrip); err != nil {
		return objects.List{}, err
	}
	if c.turnedAway {
		return objects.List{}, objects.ErrUnavailable
	}
	list, changed, err := c.store.list(kind, after)
	if err != nil {
		return list, err
	}
	if after > list.Revision {
		return objects.List{}, objects.ErrTooOld
	}
	if len(list.Items) == 0 && limit > 0 {
		select {
		case <-changed:
		case <-time.After(limit):
		case <-ctx.Done():
			return objects.List{}, ctx.Err()
		}
		if list, _, err = c.store.list(kind, after); err != nil {
			return list, err
		}
	}
	bytesPerMs := linkBytesPerMs
	if limit > 0 && c.store.changeBytesPerMs > 0 {
		bytesPerMs = c.store.changeBytesPerMs
		if sizeOf(list.Items) > pacedFromBytes {
			objects.NotifyLargeAnswer(ctx)
		}
	}
	size := sizeOf(list.Items)
	c.store.mu.Lock()
	c.store.bytes[kind] += size
	c.store.mu.Unlock()
	if c.store.link == nil {
		return list, wait.For(ctx, time.Duration(size)*time.Millisecond/time.Duration(bytesPerMs))
	}
	for range (len(list.Items) - 1) / c.store.pageObjects {
		c.store.mu.Lock()
		c.store.calls[kind]++
		c.store.mu.Unlock()
		_ = wait.For(ctx, roundTrip)
	}
	for ; size > 0 && ctx.Err() == nil; size -= connWindowBytes {
		segment := min(size, connWindowBytes)
		_ = wait.For(ctx, time.Until(c.store.link.send(segment))+time.Duration(segment)*time.Millisecond/time.Duration(bytesPerMs))
		objects.NotifyReadProgress(ctx)
	}
	return list, ctx.Err()
}

// modelFleet is the view of one entry and its access to the feeds of the others.
type modelFleet struct {
	self     membership.Peer
	live     []membership.Peer
	managers map[string]*Manager
	links    map[string]*modelLink
}

func (f *modelFleet) Self() membership.Peer   { return f.self }
func (f *modelFleet) Live() []membership.Peer { return f.live }

func (f *modelFleet) Since(ctx context.Context, peer membership.Peer, query FeedQuery) ([]Part, error) {
	parts := f.managers[peer.Name].Feed().Since(ctx, query)
	var contents [][]objects.Object
	for _, part := range parts {
		contents = append(contents, part.Objects)
	}
	return parts, f.links[peer.Name].transfer(ctx, sizeOf(contents...))
}

// startFleet runs the entries; turnedAway tells which of them the store turns away. stop ends them.
func startFleet(ctx context.Context, store *modelStore, turnedAway func(number int) bool) (fleet *modelFleet, stop func()) {
	return startFleetOf(ctx, modelEntries, store, turnedAway)
}

func startFleetOf(ctx context.Context, entries int, store *modelStore, turnedAway func(number int) bool) (fleet *modelFleet, stop func()) {
	return startFleetWith(ctx, entries, store, turnedAway, nil)
}

// startFleetWith is startFleetOf with the views that viewOf returns, if it is not nil.
func startFleetWith(ctx context.Context, entries int, store *modelStore, turnedAway func(int) bool, viewOf func(int) membership.View) (fleet *modelFleet, stop func()) {
	fleet = &modelFleet{managers: map[string]*Manager{}, links: map[string]*modelLink{}}
	for i := range entries {
		fleet.live = append(fleet.live, peer(fmt.Sprintf("e%d", i), string(rune('a'+i%3))))
	}
	ctx, cancel := context.WithCancel(ctx)
	var ended sync.WaitGroup
	for i, self := range fleet.live {
		view := &modelFleet{self: self, live: fleet.live, managers: fleet.managers, links: fleet.links}
		fleet.links[self.Name] = &modelLink{}
		var client Store = storeClient{store: store, turnedAway: turnedAway(i)}
		if store.mixed && i%2 == 0 {
			client = &formerBuild{storeClient: client.(storeClient)}
		}
		options := Options{Store: client, Decoder: jsonDecoder{}, Peers: view, View: view}
		if viewOf != nil {
			options.View = viewOf(i)
		}
		fleet.managers[self.Name] = NewManager(options)
	}
	for _, manager := range fleet.managers {
		ended.Go(func() { _ = manager.Run(ctx) })
	}
	return fleet, func() { cancel(); ended.Wait() }
}

// maxBacklog returns the longest time that a packet of a caller would have waited for an entry's link.
func (f *modelFleet) maxBacklog() time.Duration {
	var longest time.Duration
	for _, link := range f.links {
		longest = max(longest, link.maxBacklog)
	}
	return longest
}

func (f *modelFleet) resetBacklog() {
	for _, link := range f.links {
		link.maxBacklog = 0
	}
}

// entriesAt returns how many entries have a configuration of at least the version in force.
func (f *modelFleet) entriesAt(version int64) int {
	count := 0
	for _, manager := range f.managers {
		if configuration := manager.Snapshot().Configuration; configuration != nil && configuration.Version >= version {
			count++
		}
	}
	return count
}

func TestFeedOfLargeConfigurationDelaysCallersOfTheEntry(t *testing.T) {
	const settled = 5 * time.Second
	for _, test := range []struct {
		name       string
		turnedAway func(number int) bool
		applyTime  time.Duration
	}{
		{"store answers all", func(int) bool { return false }, maxApplyTime},
		{"store turns a third away", func(number int) bool { return number%3 == 1 }, maxApplyTime + maxStretch},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newModelStore()
				fleet, stop := startFleet(t.Context(), store, test.turnedAway)
				defer stop()
				time.Sleep(settled)
				is.Equal(fleet.entriesAt(1), modelEntries)
				fleet.resetBacklog()
				store.configure(2, largeConfigBytes)
				time.Sleep(test.applyTime)
				t.Logf("%d of %d entries have it, backlog of a link %v", fleet.entriesAt(2), modelEntries, fleet.maxBacklog())
				is.Equal(fleet.entriesAt(2), modelEntries)
				is.True(fleet.maxBacklog() <= maxEventDelay)
			})
		})
	}
}

// Followers learn of a large configuration only when their watcher has read all of it at the limited rate, and
// then read it at that rate themselves.
func TestFollowersGetLargestConfigurationTooLate(t *testing.T) {
	const (
		changeBytesPerMs = linkBytesPerMs * 45 / 100 // entry.watchLinkShare
		largestConfig    = 1<<20 - 64                // with its name and version
		grownApplyTime   = 3 * time.Second           // the users' bound where links carry 10 Mbit/s
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newModelStore()
		store.changeBytesPerMs = changeBytesPerMs
		fleet, stop := startFleet(t.Context(), store, func(int) bool { return false })
		defer stop()
		time.Sleep(5 * time.Second)
		is.Equal(fleet.entriesAt(1), modelEntries)
		store.configure(2, largestConfig)
		inTime := 0
		for time.Since(store.configuredAt) < time.Minute && fleet.entriesAt(2) < modelEntries {
			time.Sleep(10 * time.Millisecond)
			if time.Since(store.configuredAt) <= grownApplyTime {
				inTime = fleet.entriesAt(2)
			}
		}
		t.Logf("%d of %d entries have it in time, all after %v", inTime, modelEntries, time.Since(store.configuredAt))
		is.Equal(inTime, modelEntries)
	})
}
