package generation

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
)

// listedVersions allows the versions that it lists; FallBack selects the next list.
type listedVersions struct{ lists [][]string }

func (l *listedVersions) Allows(version string) bool { return slices.Contains(l.lists[0], version) }

func (l *listedVersions) FallBack() bool {
	if len(l.lists) == 1 {
		return false
	}
	l.lists = l.lists[1:]
	return true
}

// Guards against streams that begin at a version that is not meant to get them, and against a begun stream that leaves its version since
// new streams go to another.
func TestStreamsBeginAtTheAllowedVersionsAndStayOnTheirOwn(t *testing.T) {
	is := is.New(t)
	targets := []*directory.Target{{ID: "a", Version: "v1"}, {ID: "b", Version: "v2"}, {ID: "c", Version: "v2"}}
	relay := &Relay{options: RelayOptions{Targets: func(string) []*directory.Target { return targets }}}
	run := &relayRun{relay: relay, request: &RelayRequest{Versions: &listedVersions{[][]string{{"v1"}, {"v2"}}}}}
	allowed := func() []string {
		query := run.placementQuery()
		var ids []string
		for _, target := range query.Engines {
			if query.Allows(target) {
				ids = append(ids, target.ID)
			}
		}
		return ids
	}
	is.Equal(allowed(), []string{"a"})
	is.True(run.fallBack())
	is.Equal(allowed(), []string{"b", "c"})
	is.True(!run.fallBack())
	run.version = versionOf(targets[0])
	is.Equal(allowed(), []string{"a"})
	is.True(!run.fallBack())
}
