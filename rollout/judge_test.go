package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	modelledEntries = []int{8, 73, 195}
	modelledRates   = []float64{10, 60, 300}
)

// The bounds of docs/design/caller-limits-and-rollouts.md, in 100 rollouts.
const (
	mostFalseAlarms = 2.0
	mostMisses      = 2.0
)

// canaryDurations are long enough for a version that fails in 20 of 100 responses to reach its 50th bad response at
// the second share of the stage Canary.
var canaryDurations = map[float64]time.Duration{10: 400 * time.Second, 60: 70 * time.Second, 300: 20 * time.Second}

// Guards against a judge that finds good versions bad, or bad ones too late, from the little traffic that the stage
// Canary gives: the share stays there, so that no stage helps.
func TestJudgeWithinTheStageCanary(t *testing.T) {
	for _, entries := range modelledEntries {
		for _, rate := range modelledRates {
			for _, fault := range []fault{noFault, failing, slow, routeFails} {
				got := measure(traffic{entries: entries, rate: rate, duration: canaryDurations[rate], fault: fault, baseFailures: 0.01, fixedShare: true})
				t.Logf("%d entries, %.0f/s, %s: %d of %d found bad, after %.1f s, at most %.1f s; %d late; bad responses %d, at most %d", entries, rate, fault.name,
					got.foundBad, got.runs, median(got.verdicts).Seconds(), last(got.verdicts).Seconds(), got.lateVerdicts, median(got.badSeen), last(got.badSeen))
				if fault.name == noFault.name {
					if got.exceeds(got.foundBad, mostFalseAlarms) {
						t.Errorf("%d entries, %.0f/s: %.1f false alarms in 100", entries, rate, got.percent(got.foundBad))
					}
				} else if missed := max(got.runs-got.foundBad, got.lateVerdicts); got.exceeds(missed, mostMisses) {
					t.Errorf("%d entries, %.0f/s, %s: %.1f in 100 found late or not at all", entries, rate, fault.name, got.percent(missed))
				}
			}
		}
	}
}

// troubles befall both versions: targets of a zone crash at once (also if the new version has all of its targets in
// that zone), a dependency fails for seconds, or the service fails often on either version.
var troubles = []struct {
	name    string
	traffic traffic
	faults  []fault
}{
	{"zones crash", traffic{zoneCrashes: true, baseFailures: 0.01}, []fault{failing, slow, routeFails, crashing}},
	{"zones crash, new version in one", traffic{zoneCrashes: true, newZones: 1, baseFailures: 0.01}, []fault{failing}},
	{"shared trouble", traffic{sharedTrouble: true, fixedShare: true, baseFailures: 0.01}, nil},
	{"10 in 100 fail", traffic{baseFailures: 0.1}, []fault{failing, slow}},
}

// Guards against good versions that are rolled back for what befalls both versions.
func TestTroubleOfBothVersionsIsNoFaultOfTheNewOne(t *testing.T) {
	for _, trouble := range troubles {
		for _, entries := range modelledEntries {
			for _, rate := range modelledRates {
				m := trouble.traffic
				m.entries, m.rate, m.duration, m.fault = entries, rate, time.Minute, noFault
				got := measure(m)
				t.Logf("%s: %d entries, %.0f/s: %d of %d found bad; %v", trouble.name, entries, rate, got.foundBad, got.runs, got)
				if got.exceeds(got.foundBad, mostFalseAlarms) {
					t.Errorf("%s: %d entries, %.0f/s: %.1f false alarms in 100", trouble.name, entries, rate, got.percent(got.foundBad))
				}
			}
		}
	}
}

// Guards against bad versions that hide behind what befalls both versions. A crashing version may be found late,
// but not succeed: its broken connections need seconds in which the old version's targets don't crash.
func TestBadVersionsAreFoundInTroubleOfBoth(t *testing.T) {
	for _, rate := range modelledRates {
		t.Run(fmt.Sprintf("rate-%.0f", rate), func(t *testing.T) {
			for _, trouble := range troubles {
				for _, entries := range modelledEntries {
					for _, fault := range trouble.faults {
						m := trouble.traffic
						m.entries, m.rate, m.duration, m.fault = entries, rate, time.Minute, fault
						got := measure(m)
						t.Logf("%s: %d entries, %.0f/s, %s: %v", trouble.name, entries, rate, fault.name, got)
						missed := got.succeeded
						if fault.broken == 0 {
							missed = max(missed, got.lateVerdicts)
						}
						if got.exceeds(missed, mostMisses) {
							t.Errorf("%s: %d entries, %.0f/s, %s: %.1f in 100 missed", trouble.name, entries, rate, fault.name, got.percent(missed))
						}
					}
				}
			}
		})
	}
}

func evidenceOf(route string, answered, failed, broken int, latency time.Duration) Evidence {
	var evidence Evidence
	for range answered {
		evidence.Record(route, Answered, latency)
	}
	for range failed {
		evidence.Record(route, Failed, 0)
	}
	for range broken {
		evidence.Record(route, Broken, 0)
	}
	return evidence
}

// Guards against a verdict without evidence, which would move all requests to an untried version.
func TestJudgeWithoutEvidenceIsUndecided(t *testing.T) {
	is := is.New(t)
	judge := NewJudge()
	is.Equal(judge.Verdict(), Verdict{})
	for second := range 100 {
		judge.Add(testStart.Add(time.Duration(second)*time.Second), evidenceOf("chat", 20, 0, 0, 50*time.Millisecond), Evidence{})
	}
	is.Equal(judge.Verdict(), Verdict{})
	judge.Add(testStart.Add(100*time.Second), Evidence{}, evidenceOf("chat", minGoodResponses-1, 0, 0, 50*time.Millisecond))
	is.Equal(judge.Verdict(), Verdict{})
}

// Guards against a verdict from one short fault, as of one target that pauses, and against one that changes after
// it was given.
func TestOneSecondOfFailuresDecidesNothingAndBadIsFinal(t *testing.T) {
	is := is.New(t)
	judge := NewJudge()
	now := testStart
	add := func(newer Evidence) {
		now = now.Add(time.Second)
		judge.Add(now, evidenceOf("chat", 100, 1, 0, 50*time.Millisecond), newer)
	}
	for range 20 {
		add(evidenceOf("chat", 5, 0, 0, 50*time.Millisecond))
	}
	is.Equal(judge.Verdict().Decision, Good)
	add(evidenceOf("chat", 0, 100, 0, 0))
	is.True(judge.Verdict().Decision != Bad)
	for range 3 {
		add(evidenceOf("chat", 0, 100, 0, 0))
	}
	is.Equal(judge.Verdict(), Verdict{Bad, "failures"})
	for range 100 {
		add(evidenceOf("chat", 100, 0, 0, 50*time.Millisecond))
	}
	is.Equal(judge.Verdict(), Verdict{Bad, "failures"})
}

// Guards against a route that is slower than the others and counts as a slow version, since the new version gets
// more of its requests: each route is compared with itself.
func TestAnotherMixOfRoutesIsNoFault(t *testing.T) {
	is := is.New(t)
	judge := NewJudge()
	for second := range 60 {
		older := evidenceOf("chat", 90, 0, 0, 50*time.Millisecond)
		older.Add(evidenceOf("report", 10, 1, 0, 3*time.Second))
		newer := evidenceOf("chat", 1, 0, 0, 50*time.Millisecond)
		newer.Add(evidenceOf("report", 9, second%10/9, 0, 3*time.Second))
		judge.Add(testStart.Add(time.Duration(second)*time.Second), older, newer)
	}
	is.Equal(judge.Verdict().Decision, Good)
}

// Guards against memory and work of the coordinator that grow with the names of routes.
func TestJudgeKeepsABoundedNumberOfRoutes(t *testing.T) {
	is := is.New(t)
	judge := NewJudge()
	for i := range 100 {
		judge.Add(testStart.Add(time.Duration(i)*time.Second), evidenceOf(string(rune('a'+i)), 1, 0, 0, 0), evidenceOf(string(rune('A'+i)), 1, 0, 0, 0))
	}
	is.Equal(len(judge.routes), MaxRoutes)
}
