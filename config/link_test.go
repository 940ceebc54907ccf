package config

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

// slowLink is the link of one entry: it carries one transfer at a time, and each object takes objectTransfer.
type slowLink struct {
	objectTransfer time.Duration
	mu             sync.Mutex
	// last is closed at the end of the transfer that began or was queued last; nil before the first.
	last chan struct{}
	// asked is the number of objects that the link had to transfer so far, cut transfers included.
	asked int
}

// transfer waits until the link has transferred the objects, or until ctx ends: then the rest is not sent.
func (l *slowLink) transfer(ctx context.Context, objects int) error {
	if objects == 0 {
		return nil
	}
	l.mu.Lock()
	l.asked += objects
	former, ended := l.last, make(chan struct{})
	l.last = ended
	l.mu.Unlock()
	if former != nil {
		select {
		case <-former:
		case <-ctx.Done():
			go func() { <-former; close(ended) }()
			return ctx.Err()
		}
	}
	defer close(ended)
	return wait.For(ctx, time.Duration(objects)*l.objectTransfer)
}

// slowPlatform is a platform behind a slowLink.
type slowPlatform struct {
	*fakePlatform
	link *slowLink
}

func (p *slowPlatform) Watch(ctx context.Context, kinds []string, after int64, wait time.Duration) (objects.List, error) {
	list, err := p.fakePlatform.Watch(ctx, kinds, after, wait)
	if err != nil {
		return list, err
	}
	return list, p.link.transfer(ctx, len(list.Items))
}

// slowPeers are peers behind a slowLink.
type slowPeers struct {
	*fakePeers
	link *slowLink
}

func (p *slowPeers) Follow(ctx context.Context, peer membership.Peer, positions []Position, wait time.Duration) (Update, error) {
	update, err := p.fakePeers.Follow(ctx, peer, positions, wait)
	if err != nil {
		return update, err
	}
	count := 0
	for _, delta := range update.Deltas {
		count += len(delta.Items)
	}
	return update, p.link.transfer(ctx, count)
}

const manyObjects = 100

func writeManyModels(platform *fakePlatform, version string) {
	for i := range manyObjects {
		name := fmt.Sprint("m", i)
		platform.write(v1.KindModel, name, modelJSON(name, version))
	}
}

// Guards against a watch that is cut while the changes arrive, and repeated from the same revision for ever.
func TestManyChangesArriveOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		platform := newFakePlatform()
		writeManyModels(platform, "v1")
		// 10,000 targets are 2.9 MB, which take 2.3 s at 1.25 MB/s; here beside as much callers' traffic.
		link := &slowLink{objectTransfer: 4600 * time.Millisecond / manyObjects}
		manager := newFakePeers().start(ctx, &slowPlatform{platform, link}, testEntries(1), 0)
		is.NoErr(manager.WaitReady(ctx))
		platform.update(func() { platform.down = true })
		time.Sleep(time.Minute)
		writeManyModels(platform, "v2")
		platform.update(func() { platform.down = false })
		time.Sleep(13 * time.Second) // the time in which a change must be in force
		is.Equal(modelVersion(manager, "m0"), "v2")
	})
}

// Guards against a starting entry whose queries of peers are all cut, and ask for everything again for ever.
func TestEntryStartsFromPeersOverASlowLinkDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		platform, peers, all := newFakePlatform(), newFakePeers(), testEntries(4)
		writeManyModels(platform, "v1")
		for i := range 3 {
			is.NoErr(peers.start(ctx, platform, all, i).WaitReady(ctx))
		}
		down := newFakePlatform()
		down.down = true
		// 10,000 targets are 2.4 MB, which take 1.9 s at 1.25 MB/s.
		link := &slowLink{objectTransfer: 1900 * time.Millisecond / manyObjects}
		starting := NewManager(Options{
			Platform:     down,
			Peers:        &slowPeers{peers, link},
			View:         membership.Static{This: all[3], Peers: all},
			Registration: Registration{Name: all[3].Name, AvailabilityZone: all[3].AvailabilityZone},
		})
		go starting.Run(ctx)
		time.Sleep(13 * time.Second)
		is.True(starting.Ready())
		is.Equal(modelVersion(starting, "m0"), "v1")
	})
}

// sendingPeers are peers of which each sends over a slowLink of its own.
type sendingPeers struct {
	*fakePeers
	objectTransfer time.Duration

	mu    sync.Mutex
	links map[string]*slowLink
}

func (p *sendingPeers) Follow(ctx context.Context, peer membership.Peer, positions []Position, wait time.Duration) (Update, error) {
	p.mu.Lock()
	if p.links[peer.Name] == nil {
		p.links[peer.Name] = &slowLink{objectTransfer: p.objectTransfer}
	}
	sender := slowPeers{p.fakePeers, p.links[peer.Name]}
	p.mu.Unlock()
	return sender.Follow(ctx, peer, positions, wait)
}

// asked returns, by peer, the number of objects that its link had to transfer so far.
func (p *sendingPeers) asked() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[string]int{}
	for name, link := range p.links {
		link.mu.Lock()
		counts[name] = link.asked
		link.mu.Unlock()
	}
	return counts
}

// Guards against a watcher whose link is full of its followers' copies of one large change.
func TestLargeChangeIsInForceInTimeAtEveryFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		platform, all := newFakePlatform(), testEntries(76)
		writeManyModels(platform, "v1")
		// 10,000 targets are 2.4 MB, which take 1.9 s at 1.25 MB/s.
		peers := &sendingPeers{newFakePeers(), 1900 * time.Millisecond / manyObjects, sync.Mutex{}, map[string]*slowLink{}}
		var managers []*Manager
		for i := range all {
			manager := NewManager(Options{
				Platform:     platform,
				Peers:        peers,
				View:         membership.Static{This: all[i], Peers: all},
				Registration: Registration{Name: all[i].Name, AvailabilityZone: all[i].AvailabilityZone},
				// Five objects, as DefaultMaxUpdateBytes holds of objects of 24 KB.
				MaxUpdateBytes: 5 * len(modelJSON("m10", "v2")),
			})
			peers.managers[all[i].Name] = manager
			managers = append(managers, manager)
		}
		for _, manager := range managers {
			go manager.Run(ctx)
		}
		time.Sleep(time.Minute)
		before := peers.asked()
		writeManyModels(platform, "v2")
		time.Sleep(13 * time.Second)
		busiest := 0
		for name, asked := range peers.asked() {
			busiest = max(busiest, asked-before[name])
		}
		is.Equal(max(busiest, 6*manyObjects), 6*manyObjects) // six copies of 1.9 s fit into 13 s
		late := 0
		for _, manager := range managers {
			if modelVersion(manager, fmt.Sprint("m", manyObjects-1)) != "v2" {
				late++
			}
		}
		is.Equal(late, 0)
	})
}

// Guards against a change of so many objects that the log of changes lacks some, which followers get whole and pass on only then.
func TestChangeOfAllTargetsIsPassedOnInParts(t *testing.T) {
	is := is.New(t)
	const targets = 3000
	changed := func(from int64) Delta {
		delta := Delta{Kind: v1.KindModel, Revision: from + targets}
		for i := range int64(targets) {
			name := fmt.Sprint("m", i)
			object := objects.Object{Kind: v1.KindModel, Name: name, Value: []byte(modelJSON(name, "v1")), Revision: from + i + 1, UID: name}
			delta.Items = append(delta.Items, Item{Object: object})
		}
		return delta
	}
	sender, receiver := newStore(), newStore()
	for _, s := range []*store{sender, receiver} {
		s.apply([]Delta{{Kind: v1.KindModel, Revision: 0, Full: true}})
		s.apply([]Delta{changed(0)})
	}
	sender.apply([]Delta{changed(targets)})
	parts := 0
	for receiver.positions()[0] != sender.positions()[0] || receiver.positions()[1] != sender.positions()[1] {
		positions := receiver.positions()
		deltas := limitDeltas(sender.changesSince(positions), positions, DefaultMaxUpdateBytes)
		bytes := 0
		for _, delta := range deltas {
			is.True(!delta.Full)
			for _, item := range delta.Items {
				bytes += item.size()
			}
		}
		is.True(bytes < 2*DefaultMaxUpdateBytes)
		is.True(receiver.apply(deltas))
		parts++
	}
	is.True(parts > 1)
	is.Equal(receiver.changesSince(nil), sender.changesSince(nil))
}

// Guards against entries that a change reaches late, or never, since those on its way to them are gone.
func TestPlainChangeReachesAllEntriesInASecondBesideLostOnes(t *testing.T) {
	for _, entries := range []int{30, 76, 195, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				platform, peers, all := newFakePlatform(), newFakePeers(), testEntries(entries)
				platform.write(v1.KindModel, "m", modelJSON("m", "v1"))
				var managers []*Manager
				for i := range all {
					managers = append(managers, peers.start(ctx, platform, all, i))
				}
				time.Sleep(10 * time.Second)
				peers.mu.Lock()
				for i := range entries / 3 {
					peers.unreachable[all[3*i].Name] = true // all of one zone
				}
				peers.mu.Unlock()
				time.Sleep(2 * followWait)
				platform.write(v1.KindModel, "m", modelJSON("m", "v2"))
				time.Sleep(time.Second)
				for i, manager := range managers {
					if i%3 != 0 && modelVersion(manager, "m") != "v2" {
						t.Errorf("%s has no new configuration", all[i].Name)
					}
				}
				is.True(modelVersion(managers[1], "m") == "v2")
			})
		})
	}
}

// Guards against an entry that sends each change to many others, and against entries that no chain of sources leads to a watcher.
func TestEntriesFollowATreeOfFewFollowersEach(t *testing.T) {
	for _, entries := range []int{3, 8, 30, 76, 195, 300, 600} {
		live := testEntries(entries)
		followers := map[sourceGroup]map[string]int{ownZone: {}, otherZones: {}}
		for _, self := range live {
			for group := range sourceGroups {
				for _, source := range rankedSources(live, self, group) {
					if source.Name != self.Name {
						followers[group][source.Name]++
						break
					}
				}
			}
		}
		for group, most := range map[sourceGroup]int{ownZone: followersPerEntry + 1, otherZones: 2} {
			for name, count := range followers[group] {
				if count > most {
					t.Errorf("%d entries, group %d: %s has %d followers", entries, group, name, count)
				}
			}
		}
		for _, self := range live {
			tree := treesByZone(live)[self.AvailabilityZone]
			place := 0
			for tree[place].Name != self.Name {
				place++
			}
			if above := ancestors(tree, place); len(above) > 12 {
				t.Errorf("%d entries: %s is %d entries below a watcher", entries, self.Name, len(above))
			}
		}
	}
}
