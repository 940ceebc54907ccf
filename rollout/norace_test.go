//go:build !race

package rollout

const defaultRuns = 100
