package generation

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/matryer/is"
)

func TestGenerationMovesBeforeItsTargetsDeadline(t *testing.T) {
	for _, prefer := range []v1.RecoveryPreference{v1.PreferLatency, v1.PreferCost} {
		synctest.Test(t, func(t *testing.T) { testMoveBeforeDeadline(t, prefer) })
	}
}

// testMoveBeforeDeadline drains the first target in the middle of an answer, and ends it at its
// deadline.
func testMoveBeforeDeadline(t *testing.T, prefer v1.RecoveryPreference) {
	is := is.New(t)
	engine := newFakeEngine("t0", "t1")
	deadline := time.Now().Add(2200 * time.Millisecond) // the answer takes longer
	manager := NewManager(Options{
		Engine:        engine,
		Chooser:       &fakeChooser{engine: engine},
		Target:        engine.target,
		EntryName:     "e0",
		DrainDeadline: func(target string) (time.Time, bool) { return deadline, target == "t0" },
	})
	defer func() {
		manager.Close()
		engine.kill("t0")
		engine.kill("t1")
		time.Sleep(time.Second) // the streams end
	}()
	cancelled := 0
	time.AfterFunc(time.Until(deadline)-time.Millisecond, func() {
		engine.mu.Lock()
		defer engine.mu.Unlock()
		for _, stream := range engine.targets["t0"].streams {
			if stream.canceled {
				cancelled++
			}
		}
		engine.targets["t0"].kill()
	})
	reader, err := manager.Open(t.Context(), testRequest("k", prefer), nil)
	is.NoErr(err)
	defer reader.Close()
	var got answer
	is.NoErr(got.read(t.Context(), reader, -1))
	got.check(is, 60)
	is.Equal(engine.generatedCount(), 2)
	is.Equal(cancelled, 1) // the former attempt was cancelled before its target ended
	is.Equal(manager.Stats().Broken.Load(), int64(0))
	is.True(slices.Max([]time.Duration{got.slowest, 0}) < time.Second)
}
