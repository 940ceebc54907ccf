package soak

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/bench/cluster"
)

// buildPrograms builds the programs into a directory of the test.
func buildPrograms(t *testing.T, flags ...string) Options {
	t.Helper()
	directory := t.TempDir()
	arguments := append([]string{"build", "-o", directory + string(filepath.Separator)}, flags...)
	arguments = append(arguments, "../../cmd/azurebarrow", "../../cmd/"+cluster.StandInProgram)
	if output, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	return Options{
		Binary:  filepath.Join(directory, "azurebarrow"),
		StandIn: filepath.Join(directory, cluster.StandInProgram),
		Entries: 4, Engines: 6, Records: 3, Say: t.Logf,
	}
}

// play runs one seed and returns the broken promises; it keeps the logs of a run that broke some.
func play(t *testing.T, options Options) ([]Violation, *Evidence) {
	t.Helper()
	options.Directory = t.TempDir()
	evidence, err := Run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	return Check(evidence), evidence
}

// TestShortSoak plays one seed with the programs under the race detector.
func TestShortSoak(t *testing.T) {
	is := is.New(t)
	options := buildPrograms(t, "-race")
	options.Seed = 1
	options.Steps = Schedule(options.Seed, []Theme{Planned, Everything})
	broken, evidence := play(t, options)
	for _, violation := range broken {
		t.Error(violation)
	}
	shares := evidence.ServedShares()
	t.Logf("%d attempts, %d faults, served %v", len(evidence.Attempts), len(evidence.Disturbances), shares)
	is.True(len(evidence.Attempts) > 300)
	for _, class := range []Class{Stream, Booking, Lookup} {
		is.True(shares[class] >= recoveredShare)
	}
}

func TestScheduleIsAFunctionOfItsSeed(t *testing.T) {
	is := is.New(t)
	phases := DrawThemes(7, 4)
	is.Equal(phases, DrawThemes(7, 4))
	is.Equal(Schedule(7, phases), Schedule(7, phases))
	is.True(len(Schedule(7, phases)) > 0)
}
