//go:build defect

package service

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/invariant"
)

func TestDefectClaimAfterDispatchIsFound(t *testing.T) {
	defer defect.Set(defect.Set(defect.ClaimAfterDispatch))
	withFixture(t, threeTargets(), func(is *is.I, w *fixture) {
		before := invariant.Violations()
		w.executor.Do(context.Background(), weighing("k", ""))
		is.True(invariant.Violations() > before)
		time.Sleep(time.Minute) // the late claim ends
	})
}

func TestDefectNotRunPerAttemptIsFound(t *testing.T) {
	defer defect.Set(defect.Set(defect.NotRunPerAttempt))
	withFixture(t, fakeDirectory{{Name: "t0"}}, func(is *is.I, w *fixture) {
		first := w.stop
		result := retryDuringOutage(w)
		is.Equal(result.Outcome, OutcomeNotRun) // the false outcome that TestNotRunIsAboutTheKey rules out
		is.Equal(w.transport.runCount("k"), 1)
		first()
		time.Sleep(2 * time.Hour)
	})
}
