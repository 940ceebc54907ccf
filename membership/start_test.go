package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against starts of a whole fleet that never end on slow processors: answers come late, so that each probe goes through
// three helpers too, which makes seven calls of one and the answers later still. Entries that know all others by their settings
// start within 160 ms. The processor takes four times the messages of the fleet at rest; two seconds after the last entry has
// joined, answers must not be late any more.
func TestStartOfAllOnSlowProcessorsEnds(t *testing.T) {
	const (
		allCreated  = 160 * time.Millisecond
		restingRate = 8 // messages of an entry a second: four probes and their answers
		spareFactor = 4
	)
	for _, size := range []int{8, 76, 195, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(8)
				n.messageCost = time.Second / time.Duration(spareFactor*restingRate*size)
				defer n.stop()
				seeds := make([]Peer, size)
				for i := range seeds {
					seeds[i] = testPeer(i)
					seeds[i].Incarnation = 0
				}
				for i := range size {
					n.startSeeded(t, i, 1, seeds)
					time.Sleep(allCreated / time.Duration(size))
				}
				joined := waitFor(joiningPeriod, func() bool { return n.everyoneSees(size) })
				is.True(joined < joiningPeriod)
				time.Sleep(2 * time.Second)
				n.mutex.Lock()
				defer n.mutex.Unlock()
				t.Logf("all see all after %v, %d messages of an entry, %d refuted suspicions", joined, n.messages/size, n.refutedSuspicions())
				is.True(time.Until(n.processorFree) < DefaultIndirectAfter)
			})
		})
	}
}
