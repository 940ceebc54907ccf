package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestScheduleIsAFunctionOfItsSeed(t *testing.T) {
	is := is.New(t)
	inventory := Inventory{Engines: []string{"e1", "e2"}, Services: []string{"s1"}, Entries: []string{"n1"}, EntryProcesses: true}
	first := Schedule(4, time.Minute, inventory)
	is.Equal(first, Schedule(4, time.Minute, inventory))
	kinds := map[FailureKind]bool{}
	for _, f := range Schedule(4, time.Hour, inventory) {
		kinds[f.Kind] = true
	}
	for _, c := range inventory.choices() {
		is.True(kinds[c.kind]) // every kind occurs
	}
	for _, f := range Schedule(4, time.Hour, Inventory{Engines: []string{"e1"}, Entries: []string{"n1"}}) {
		is.True(f.Kind != EntryDeath && f.Kind != EntryPause && f.Kind != ServiceDeath)
	}
}
