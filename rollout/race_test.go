//go:build race

package rollout

// defaultRuns is lower with the race detector, which makes the modelled traffic ten times as slow; the model runs in one
// goroutine for each rollout. make test runs the package without it too.
const defaultRuns = 8
