package service

import (
	"slices"
	"testing"

	"github.com/matryer/is"
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

// Guards against calls at targets of a version that is not meant to get them, and against a call that finds no target although one of
// another allowed version serves.
func TestCallsGoToTheAllowedVersions(t *testing.T) {
	for _, each := range []struct {
		name  string
		lists [][]string
		want  string
	}{
		{"old", [][]string{{"v1"}}, "a"},
		{"new", [][]string{{"v2"}}, "b"},
		{"fallen back", [][]string{{"v3"}, {"v2"}}, "b"},
		{"none", [][]string{{"v3"}}, ""},
	} {
		t.Run(each.name, func(t *testing.T) {
			is := is.New(t)
			forwarder := NewForwarder(ForwarderOptions{Directory: versionedTargets{{Name: "a", Version: "v1"}, {Name: "b", Version: "v2"}}})
			run := &forwardRun{forwarder: forwarder, pool: forwarder.pool("s"), call: &ForwardedCall{Versions: &listedVersions{each.lists}}}
			for range 20 {
				run.tried = nil
				lease, found := run.chooseTarget(t.Context())
				is.Equal(found, each.want != "")
				if found {
					is.Equal(lease.target.Name, each.want)
				}
			}
		})
	}
}

type versionedTargets []Target

func (v versionedTargets) Targets(string) []Target { return v }
