//go:build defect

package generation

import (
	"errors"
	"testing"

	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/matryer/is"
)

func TestDefectOutputCommitOffLosesWhatTheCallerSaw(t *testing.T) {
	defer defect.Set(defect.Set(defect.OutputCommitOff))
	scenario(t, 2, func(t *testing.T, is *is.I, c *fakeCluster) {
		err := crashBeforeReplication(t.Context(), is, c)
		is.True(errors.Is(err, ErrLineageLost))
	})
}

func TestDefectIndexCheckOffBreaksTheInvariant(t *testing.T) {
	defer defect.Set(defect.Set(defect.IndexCheckOff))
	scenario(t, 1, func(t *testing.T, is *is.I, c *fakeCluster) {
		var violation *invariant.Violation
		is.True(errors.As(readWithLostToken(t.Context(), is, c), &violation))
		is.Equal(violation.Invariant, invariant.NextIndexContiguous)
	})
}
