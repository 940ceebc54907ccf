package control

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/matryer/is"
)

// fakeResources returns the stored resources, as a config.Manager without lag does; it is also the Reporter.
type fakeResources struct {
	store *fakeStore
	specs map[string]int64
	names []string
	// reported is the revision that the other entry reports.
	reported int64
}

func (f *fakeResources) KnownRevision() int64 { return f.store.revision }

func (f *fakeResources) Report(context.Context, membership.Peer) (int64, bool, error) {
	return f.reported, true, nil
}

func (f *fakeResources) States() []config.ResourceState {
	var states []config.ResourceState
	for _, name := range f.names {
		object := f.store.objects[v1.KindModel+"/"+name]
		states = append(states, config.ResourceState{
			Key:          v1.ResourceKey{Kind: v1.KindModel, Name: name},
			Revision:     object.Revision,
			Value:        object.Value,
			SpecRevision: f.specs[name],
			Generation:   3,
		})
	}
	return states
}

func (f *fakeResources) add(name string) {
	value := fmt.Sprintf(`{"kind":"Model","metadata":{"name":%q},"spec":{"later":1}}`, name)
	object, _ := f.store.Put(context.Background(), v1.KindModel, name, 0, []byte(value))
	f.names = append(f.names, name)
	f.specs[name] = object.Revision
}

func (f *fakeResources) status(name string) v1.Status {
	status, _ := storedStatus(f.store.objects[v1.KindModel+"/"+name].Value)
	return status
}

func newStatusTest(t *testing.T) (*fakeResources, *StatusWriter) {
	store := newFakeStore()
	resources := &fakeResources{store: store, specs: map[string]int64{}}
	lease := NewLease(store, LeaseName, "e1")
	if err := lease.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	peers := []membership.Peer{{Name: "e1"}, {Name: "e2"}}
	writer := NewStatusWriter(StatusOptions{
		Store: store, Resources: resources, Reporter: resources, Lease: lease,
		View: membership.Static{This: peers[0], Peers: peers},
	})
	return resources, writer
}

func TestStatusNamesLaggingEntriesAndKeepsTheSpec(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		resources, writer := newStatusTest(t)
		resources.add("m")
		writer.Step(t.Context())
		is.Equal(len(resources.status("m").Conditions), 0) // the writer first waits for the lagging entry
		time.Sleep(laggingTimeout)
		writer.Step(t.Context())
		status := resources.status("m")
		is.Equal(status.ObservedGeneration, int64(3))
		is.Equal(status.Conditions[0].Type, v1.ConditionAccepted)
		is.True(status.Conditions[0].Status)
		is.True(!status.Conditions[1].Status)
		is.Equal(status.Conditions[1].Message, "lagging: e2")

		resources.reported = resources.store.revision
		writer.Step(t.Context())
		is.True(resources.status("m").Conditions[1].Status)
		var value struct {
			Spec json.RawMessage `json:"spec"`
		}
		is.NoErr(json.Unmarshal(resources.store.objects["Model/m"].Value, &value))
		is.Equal(string(value.Spec), `{"later":1}`) // unknown fields are kept
		puts := resources.store.puts
		writer.Step(t.Context())
		is.Equal(resources.store.puts, puts) // an unchanged status is not written
	})
}

// Guards against an operator who is told that a change is in force everywhere by what a former process of an entry reported: the entry
// was lost right after, and its new process has an older configuration.
func TestStatusTakesNoReportOfAFormerProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		resources, writer := newStatusTest(t)
		resources.add("m")
		resources.reported = resources.specs["m"]
		writer.Step(t.Context())
		is.True(resources.status("m").Conditions[1].Status) // in force everywhere
		writer.options.View.(membership.Static).Peers[1].Incarnation++
		resources.reported = 0
		for range 2 {
			writer.Step(t.Context())
			time.Sleep(laggingTimeout)
		}
		is.True(!resources.status("m").Conditions[1].Status)
	})
}

func TestStatusNeverOverwritesANewerSpec(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		resources, writer := newStatusTest(t)
		resources.add("m")
		resources.reported = resources.store.revision
		state := resources.States()[0]
		newer, err := resources.store.Put(t.Context(), v1.KindModel, "m", state.Revision, []byte(`{"spec":{"newer":1}}`))
		is.NoErr(err)
		writer.write(t.Context(), state, v1.Status{ObservedGeneration: 1})
		is.Equal(resources.store.objects["Model/m"].Revision, newer.Revision)
	})
}

func TestStatusWritesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		resources, writer := newStatusTest(t)
		for i := range 100 {
			resources.add(fmt.Sprintf("m%d", i))
		}
		resources.reported = resources.store.revision
		before := resources.store.puts
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		_ = writer.Run(ctx)
		is.True(resources.store.puts-before <= statusBurst+4*statusWritesPerSecond)

		resources.store.down = true
		writer.Step(t.Context())
		before = resources.store.puts
		writer.Step(t.Context())
		is.Equal(resources.store.puts, before) // no write during the backoff after a failed one
	})
}

// Guards against one object without a JSON object as its value that ends each entry in turn which writes statuses.
func TestStatusOfAnOddValueLeavesTheOthersWritten(t *testing.T) {
	for _, value := range []string{`null`, ``, `[]`, `7`, `"text"`, `{`, strings.Repeat(`{"a":`, 20_000) + `1` + strings.Repeat(`}`, 20_000), `{"status":7}`, `{"status":1e999}`} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			resources, writer := newStatusTest(t)
			object, err := resources.store.Put(t.Context(), v1.KindModel, "odd", 0, []byte(value))
			is.NoErr(err)
			resources.names, resources.specs["odd"] = append(resources.names, "odd"), object.Revision
			resources.add("m")
			resources.reported = resources.store.revision
			writer.Step(t.Context())
			is.True(resources.status("m").Conditions[1].Status)
		})
	}
}
