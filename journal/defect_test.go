//go:build defect

package journal

import (
	"testing"

	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// TestDefectTermCheckOffIsFoundByExploration checks that the exhaustive exploration finds a store that
// accepts appends of an older term.
func TestDefectTermCheckOffIsFoundByExploration(t *testing.T) {
	former := defect.Set(defect.TermCheckOff)
	defer defect.Set(former)
	_, err := explore(bounds{entries: 2, tokens: 2})
	if err == nil {
		t.Fatal("the defect was not found")
	}
	t.Log(err)
}
