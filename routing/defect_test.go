//go:build defect

package routing

import (
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/internal/defect"
)

func TestDefectDrainingIgnoredIsCaughtAtTheDispatch(t *testing.T) {
	is := is.New(t)
	draining := drainingSet{targetName(0): true}
	r := NewRouter(Options{Configuration: newStaticConfiguration(1), DrainState: draining})
	defer defect.Set(defect.Set(defect.DrainingIgnored))
	_, err := r.Choose(t.Context(), targetQuery("x"))
	is.True(err != nil)
	is.True(err.Error() != "generation: no target available") // rejected by CheckNewWork, not by the choice
}
