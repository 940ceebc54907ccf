package slo

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
)

type fixedConfiguration struct{ snapshot *config.Snapshot }

func (f fixedConfiguration) Snapshot() *config.Snapshot { return f.snapshot }

func testConfiguration() fixedConfiguration {
	snapshot := config.NewSnapshot(1)
	snapshot.Deployments["booking"] = &v1.Deployment{Spec: v1.DeploymentSpec{Objectives: []v1.Objective{
		{Kind: v1.ObjectiveAnswered, Share: 0.99},
		{Kind: v1.ObjectiveInteractiveLatency, Share: 0.9, Threshold: v1.Duration(50 * time.Millisecond)},
	}}}
	return fixedConfiguration{snapshot}
}

func TestBurnRateOfEachWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		configuration := testConfiguration()
		recorder := NewRecorder(configuration)
		for range 100 { // 90 minutes ago: all bad
			recorder.RecordAnswer("booking", false)
		}
		time.Sleep(90 * time.Minute)
		for i := range 100 { // now: one in five bad
			recorder.RecordAnswer("booking", i%5 != 0)
		}
		burn := Summarise(recorder.Report("e1", "a"), configuration.snapshot).Burns[0]
		is.Equal(burn.Counts, []Counts{{100, 80}, {100, 80}, {100, 80}, {200, 80}})
		near := func(got, want float64) bool { return got > want-1e-9 && got < want+1e-9 }
		is.True(near(burn.Rates[0], 20)) // 1/5 bad, 1/100 allowed
		is.True(near(burn.Rates[3], 60)) // 120 of 200 bad
		is.True(near(burn.BudgetLeft, -59))
		is.Equal(burn.Alert, AlertFast)

		time.Sleep(10 * time.Minute) // the 5-minute window has no events: the fast alert ends
		burn = Summarise(recorder.Report("e1", "a"), configuration.snapshot).Burns[0]
		is.Equal(burn.Alert, AlertSlow)
	})
}

func TestLatencyObjectiveCountsByThreshold(t *testing.T) {
	is := is.New(t)
	configuration := testConfiguration()
	recorder := NewRecorder(configuration)
	for _, took := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 51 * time.Millisecond, time.Hour} {
		recorder.RecordLatency("booking", v1.ObjectiveInteractiveLatency, took)
	}
	recorder.RecordLatency("booking", v1.ObjectiveTimeToFirstToken, time.Second) // not declared by the deployment
	recorder.RecordLatency("unknown", v1.ObjectiveInteractiveLatency, time.Second)
	report := recorder.Report("e1", "a")
	is.Equal(len(report.Measurements), 1)
	is.Equal(report.Measurements[0].WindowCounts[0], Counts{Total: 4, Good: 2})
	is.Equal(report.Measurements[0].Latencies.TotalCount(), int64(4))
}

func TestMergeMarksMissingEntries(t *testing.T) {
	is := is.New(t)
	merged := Merge(Report{AvailabilityZone: "a", Reported: []string{"e2"}}, Report{AvailabilityZone: "b", Missing: []string{"e1"}})
	is.Equal(merged.AvailabilityZone, "")
	is.True(merged.Partial())
	is.Equal(merged.Missing, []string{"e1"})
}

// TestMergeIsTheSameInAnyGrouping checks that merging by availability zone first and merging all
// reports at once give the same burn rates.
func TestMergeIsTheSameInAnyGrouping(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configuration := testConfiguration()
		recorders := make([]*Recorder, 4)
		for i := range recorders {
			recorders[i] = NewRecorder(configuration)
		}
		for range rapid.IntRange(0, 50).Draw(t, "events") {
			recorder := recorders[rapid.IntRange(0, 3).Draw(t, "entry")]
			recorder.RecordAnswer("booking", rapid.Bool().Draw(t, "good"))
			recorder.RecordLatency("booking", v1.ObjectiveInteractiveLatency, time.Duration(rapid.IntRange(1, 1e9).Draw(t, "took")))
		}
		var reports []Report
		for i, recorder := range recorders {
			reports = append(reports, recorder.Report("e"+string(rune('0'+i)), "a"))
		}
		atOnce := Summarise(Merge(reports...), configuration.snapshot)
		grouped := Summarise(Merge(Merge(reports[0], reports[2]), Merge(reports[3], reports[1])), configuration.snapshot)
		is.New(t).Equal(atOnce, grouped)
	})
}
