//go:build defect

package control

import (
	"testing"
	"testing/synctest"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/matryer/is"
)

// TestDefectFencingDroppedBreaksTheInvariant checks that the invariant CommandUnderLease reports a command
// that is sent after the lease expired.
func TestDefectFencingDroppedBreaksTheInvariant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestEnvironment(v1.FencingIgnored, "t1")
		controller := w.controller(0)
		is.NoErr(controller.options.Lease.Step(t.Context()))
		time.Sleep(LeaseDuration) // the process is paused until the lease expires
		before := invariant.Violations()
		controller.Reconcile(t.Context())
		is.Equal(invariant.Violations(), before)
		is.Equal(w.engines.engines["t1"].commands, 0)

		defer defect.Set(defect.Set(defect.FencingDropped))
		controller.Reconcile(t.Context()) // starts a term without the lease, with an empty load budget
		time.Sleep(time.Second)
		controller.Reconcile(t.Context())
		is.Equal(invariant.Violations(), before+1)
		is.Equal(w.engines.engines["t1"].commands, 1)
	})
}
