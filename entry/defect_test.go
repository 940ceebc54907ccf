//go:build defect

package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/internal/defect"
)

func TestDefectCutEvidenceBelievedAccusesSoundRequests(t *testing.T) {
	is := is.New(t)
	defer defect.Set(defect.Set(defect.CutEvidenceBelieved))
	c := playPopularCalls(t, &partitions[1])
	t.Logf("%d crashes recorded, %d refusals", c.eventCount("crash-recorded"), c.eventCount("request-refused"))
	is.True(c.eventCount("crash-recorded") > 0)
	is.True(c.eventCount("request-refused") > 0)
}

func TestDefectBrittleIgnoredHasTargetsTurnManyAway(t *testing.T) {
	is := is.New(t)
	defer defect.Set(defect.Set(defect.BrittleIgnored))
	most, served := playBrittleTargets(t, brittleBears)
	t.Logf("at most %d turned away in a second, %d served", most, served)
	is.True(most > brittleBears)
}
