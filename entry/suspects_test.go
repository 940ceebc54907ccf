package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/membership"
)

// suspectFleet returns entries whose notices reach all others at once, several times and their sender.
func suspectFleet(count int) []*sharedSuspects {
	fleet := make([]*sharedSuspects, count)
	for i := range fleet {
		fleet[i] = newSharedSuspects()
		fleet[i].broadcast = func(notice membership.Notice) {
			for range 2 {
				for _, entry := range fleet {
					entry.take(notice)
				}
			}
		}
	}
	return fleet
}

func TestRequestThatKillsThreeTargetsIsRefusedEverywhere(t *testing.T) {
	is := is.New(t)
	fleet := suspectFleet(4)
	fleet[0].Charge(t.Context(), "f", "t1")
	fleet[1].Charge(t.Context(), "f", "t2")
	is.Equal(health.StandingOf(fleet[3].Deaths("f")), health.StandingIsolated)
	fleet[2].Charge(t.Context(), "f", "t3")
	for _, entry := range fleet {
		is.Equal(health.StandingOf(entry.Deaths("f")), health.StandingRefused)
	}
	is.Equal(fleet[0].Deaths("other"), 0)
}

func TestRequestThatRunsIsClearedEverywhere(t *testing.T) {
	is := is.New(t)
	fleet := suspectFleet(3)
	fleet[0].Charge(t.Context(), "f", "t1")
	fleet[1].Clear(t.Context(), "f")
	for _, entry := range fleet {
		is.Equal(entry.Deaths("f"), 0)
	}
}

// A zone that is lost kills many requests' targets at once; each entry sees one of them.
func TestLossOfAZoneIsNobodysFault(t *testing.T) {
	is := is.New(t)
	fleet := suspectFleet(4)
	for i, fingerprint := range []string{"f0", "f1", "f2", "f3"} {
		fleet[i].Charge(t.Context(), fingerprint, "t"+fingerprint)
	}
	for _, entry := range fleet {
		for _, fingerprint := range []string{"f0", "f1", "f2", "f3"} {
			is.Equal(entry.Deaths(fingerprint), 0)
		}
	}
}
