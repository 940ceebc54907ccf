//go:build defect

package idempotency

import (
	"testing"

	"github.com/azurebarrow/azurebarrow/internal/defect"
)

func TestDefectDeduplicatePerEntryIsFound(t *testing.T) {
	defer defect.Set(defect.Set(defect.DeduplicatePerEntry))
	steps := []step{{kind: stepCall, entry: 0}, {kind: stepCall, entry: 1}}
	if randomRun(t, steps) == nil {
		t.Fatal("two entries ran the call of one key, and the check did not detect it")
	}
}
