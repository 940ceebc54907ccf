//go:build defect

package draining

import (
	"testing"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/matryer/is"
)

// dispatch does what a router does: it skips draining targets, and checks the invariant at the dispatch.
func dispatch(tracker *Tracker) (dispatched bool, err error) {
	if tracker.Draining("t") {
		return false, nil
	}
	return true, tracker.CheckNewWork("t")
}

func TestDefectDrainingIgnoredBreaksTheInvariant(t *testing.T) {
	is := is.New(t)
	reportedAt := time.Now().Add(-2 * PropagationLimit)
	tracker := NewTracker()
	tracker.SetTargets([]Target{{Name: "t", Address: "a"}})
	tracker.ObserveHealth("t", Health{Incarnation: "1", Draining: true}, reportedAt)
	dispatched, err := dispatch(tracker)
	is.True(!dispatched)
	is.NoErr(err)

	defer defect.Set(defect.Set(defect.DrainingIgnored))
	before := invariant.Violations()
	dispatched, err = dispatch(tracker)
	is.True(dispatched)
	is.True(err != nil)
	is.Equal(invariant.Violations(), before+1)
}
