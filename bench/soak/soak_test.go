package soak

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/bench/cluster"
)

// buildPrograms builds the programs into a temporary directory and returns options with their paths.
func buildPrograms(t *testing.T, flags ...string) Options {
	t.Helper()
	directory := t.TempDir()
	arguments := append([]string{"build", "-tags", "linkfault", "-o", directory + string(filepath.Separator)}, flags...)
	arguments = append(arguments, "../../cmd/azurebarrow", "../../cmd/"+cluster.StandInProgram)
	if output, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	return Options{
		Binary:  filepath.Join(directory, "azurebarrow"),
		StandIn: filepath.Join(directory, cluster.StandInProgram),
		Entries: 4, Engines: 6, Records: 3, Logf: t.Logf,
	}
}

// runAndCheck runs the programs and returns the violations and the evidence.
func runAndCheck(t *testing.T, options Options) ([]Violation, *Evidence) {
	t.Helper()
	options.Directory = t.TempDir()
	evidence, err := Run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	return Check(evidence), evidence
}

// TestShortSoak runs one seed with programs that are built with the race detector.
func TestShortSoak(t *testing.T) {
	is := is.New(t)
	options := buildPrograms(t, "-race")
	options.Seed = 1
	options.Faulty = true
	options.Steps = Schedule(options.Seed, []Theme{Planned, Verdicts, Partitions, Losses, Everything})
	violations, evidence := runAndCheck(t, options)
	for _, violation := range violations {
		t.Error(violation)
	}
	shares := evidence.ServedShares()
	t.Logf("%d attempts, %d faults, served %v", len(evidence.Attempts), len(evidence.Disturbances), shares)
	is.True(len(evidence.Attempts) > 300)
	for _, class := range []Class{Stream, Booking, Lookup} {
		is.True(shares[class] >= minServedShare)
	}
}

// TestShortSoakOfLastThemes runs the themes of last phases, with programs that are built without the race detector: its memory would
// exceed the bound of a crowd.
func TestShortSoakOfLastThemes(t *testing.T) {
	options := buildPrograms(t)
	options.Seed = 2
	options.Steps = append(Schedule(options.Seed, []Theme{Crowds}), Step{At: 2*phasePause + phaseLength, Kind: Rollout})
	violations, evidence := runAndCheck(t, options)
	for _, violation := range violations {
		t.Error(violation)
	}
	is := is.New(t)
	is.True(len(evidence.Crowds) >= options.Entries)
	is.Equal(len(evidence.Rollouts), 1)
}

func TestScheduleIsAFunctionOfItsSeed(t *testing.T) {
	is := is.New(t)
	phases := DrawThemes(7, 4)
	is.Equal(phases, DrawThemes(7, 4))
	is.Equal(Schedule(7, phases), Schedule(7, phases))
	is.True(len(Schedule(7, phases)) > 0)
}
