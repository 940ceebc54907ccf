package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
)

// outOfStep is how one entry is out of step while engines of a new version join.
type outOfStep struct {
	name string
	// isStale reports that the entry doesn't hear of the new version.
	isStale bool
	// cutFromPeers and cutFromStore report that the entry doesn't reach them.
	cutFromPeers, cutFromStore bool
	// storeDown reports that the store is down for all.
	storeDown bool
	// joins reports that a new version joins.
	joins bool
	// mayRefuse reports that the entry may refuse streams whose version serves.
	mayRefuse bool
}

// Guards against an entry that is cut off, or lags behind, and joins streams of a new version, of which it has not heard, to the one that it
// knows.
func TestStreamsTakenUpAtAnEntryOutOfStepKeepTheirVersion(t *testing.T) {
	const streams, beforeBreak = 60, 2 * time.Second
	for _, each := range []outOfStep{
		{name: "cut off", isStale: true, cutFromPeers: true, cutFromStore: true, joins: true, mayRefuse: true},
		{name: "lags behind", isStale: true, joins: true, mayRefuse: true}, // those of the version whose engines it doesn't know
		{name: "cut off from peers, lags behind", isStale: true, cutFromPeers: true, joins: true, mayRefuse: true},
		{name: "cut off from peers", cutFromPeers: true},
		{name: "cut off from the store", cutFromStore: true},
		{name: "the store is down for all", storeDown: true},
		{name: "in step", joins: true},
	} {
		for _, size := range []int{2, 8, 59} {
			t.Run(fmt.Sprintf("%s/%d entries", each.name, size), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					is := is.NewRelaxed(t)
					ctx, cancel := context.WithCancel(t.Context())
					f := newLossFleet(ctx, size)
					f.setVersions("v1")
					time.Sleep(modelHistoryTime)
					late := f.order[size-1]
					var stale []*directory.Target
					if each.isStale {
						stale = f.targets()
					}
					late.setOutOfStep(stale, each.cutFromPeers, each.cutFromStore)
					f.store.set(func(s *modelStore) { s.down = each.storeDown })
					if each.joins {
						f.setVersions("v1", "v2")
					}
					time.Sleep(time.Second)
					joined, refused, goOn, lost := 0, 0, 0, 0
					for number := range streams {
						go func() {
							caller := &versionCaller{}
							send := func(e *fleetEntry, ctx context.Context, id, resumes string) error {
								request := &generation.RelayRequest{
									ID: id, Fingerprint: id, Service: "drafts", Customer: "ranch", LastEvent: -1, Resumes: resumes,
									Deadline: time.Now().Add(25 * time.Second), FirstEventObjective: 4500 * time.Millisecond, GapObjective: 700 * time.Millisecond,
									MaxAttempts: 5, Resumable: true,
								}
								if caller.last > 0 {
									request.LastEvent = caller.last
								}
								return e.relay.Run(ctx, request, caller)
							}
							first, stop := context.WithTimeout(ctx, beforeBreak)
							defer stop()
							id := fmt.Sprint("s", number)
							_ = send(f.order[number%(size-1)], first, id, "")
							had := caller.last
							if had == 0 {
								return
							}
							err := send(late, ctx, id+"-again", id)
							f.mu.Lock()
							defer f.mu.Unlock()
							switch {
							case len(caller.versions) > 1:
								joined++
							case caller.last > had && err == nil:
								goOn++
							case caller.last == had:
								refused++
							default:
								lost++
							}
						}()
					}
					time.Sleep(30 * time.Second)
					cancel()
					time.Sleep(time.Minute) // until all goroutines have ended
					f.mu.Lock()
					defer f.mu.Unlock()
					t.Logf("of %d streams taken up %d are joined, %d go on, %d are refused, %d lost", streams, joined, goOn, refused, lost)
					is.Equal(joined, 0)
					is.True(joined+goOn+refused+lost > streams/2)
					is.True(each.mayRefuse || refused == 0)
				})
			})
		}
	}
}
