package experiments

import (
	"context"

	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	passthroughsoak "github.com/azurebarrow/azurebarrow/bench/soak"
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "soak-passthrough",
		Summary: "the passthrough interface as processes, with faults injected from outside and promises checked",
		Run: func(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
			return runSoakPassthrough(ctx, env, result, false)
		},
	})
	experiment.Register(experiment.Experiment{
		Name:    "soak-faulty",
		Summary: "soak-passthrough beside targets that repeat refusals and answer streams with errors, and an odd object in the store",
		Run: func(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
			return runSoakPassthrough(ctx, env, result, true)
		},
	})
}

// soakProgram is the entry program that can cut its links to targets; another one can't, and is not cut.
const soakProgram = "soak/azurebarrow"

// Sizes of the soak of the passthrough interface.
const (
	passthroughPhases  = 4
	passthroughEntries = 4
	passthroughEngines = 6
	passthroughRecords = 3
)

func runSoakPassthrough(ctx context.Context, env experiment.Environment, result *experiment.Result, faulty bool) error {
	if env.Binary == "" {
		return cluster.ErrNoBinary
	}
	standIn, err := cluster.FindProgram(cluster.StandInProgram)
	if err != nil {
		return err
	}
	binary := env.Binary
	if soakBinary, err := cluster.FindProgram(soakProgram); err == nil && !env.BinaryGiven {
		binary = soakBinary
	}
	evidence, err := passthroughsoak.Run(ctx, passthroughsoak.Options{
		Binary: binary, StandIn: standIn, Directory: env.Directory, Seed: env.Seed, Logf: env.Logf,
		Steps:   passthroughsoak.Schedule(env.Seed, passthroughsoak.DrawThemes(env.Seed, passthroughPhases)),
		Entries: passthroughEntries, Engines: passthroughEngines, Records: passthroughRecords, Faulty: faulty,
	})
	if err != nil {
		return err
	}
	broken := passthroughsoak.Check(evidence)
	for _, violation := range broken {
		result.AddViolation("%v", violation)
	}
	result.Add(
		experiment.Unbounded("attempts", float64(len(evidence.Attempts)), experiment.Count),
		experiment.Unbounded("faults", float64(len(evidence.Disturbances)), experiment.Count),
		experiment.AtMost("broken_promises", float64(len(broken)), experiment.Count, 0),
	)
	for class, part := range evidence.ServedShares() {
		result.Add(experiment.Unbounded("served_"+string(class), part, experiment.Fraction))
	}
	return nil
}
