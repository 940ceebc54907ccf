//go:build defect

package scenarios

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/rogpeppe/go-internal/testscript"
)

// guards lists, for each scenario, the defects with which it must fail.
var guards = []struct {
	script string
	defect defect.Name
	// step begins the command at which the scenario must fail.
	step string
}{
	{"configuration.txtar", defect.StaleConfiguration, "expect clean"},
	{"graceful-shutdown.txtar", defect.AbortOnDrain, "expect c1 complete"},
	{"leaving.txtar", defect.DrainingIgnored, "no-new-work e1"},
	{"crossed-tokens.txtar", defect.IndexCheckOff, "expect "},
	{"at-most-once.txtar", defect.DeduplicatePerEntry, "expect "},
	{"at-most-once.txtar", defect.ClaimAfterDispatch, "expect "},
	{"not-run.txtar", defect.NotRunPerAttempt, "expect w"},
}

// TestDefectIsSeenByScenario runs scenarios over entries with one deliberate defect: each must fail.
func TestDefectIsSeenByScenario(t *testing.T) {
	for _, guard := range guards {
		t.Run(strings.TrimSuffix(guard.script, ".txtar")+"/"+string(guard.defect), func(t *testing.T) {
			t.Setenv(defectVariable, string(guard.defect))
			seen := &recorder{t: t}
			testscript.RunT(seen, params(guard.script))
			if !seen.failed {
				t.Fatalf("%s passes although %s is on", guard.script, guard.defect)
			}
			if !strings.Contains(seen.text.String(), ": "+guard.step) {
				t.Fatalf("%s does not fail at %q:\n%s", guard.script, guard.step, seen.text.String())
			}
			t.Logf("failed as it must:\n%s", seen.text.String())
		})
	}
}

// TestDefectFreeScenariosPass runs the same scripts in the same build without a defect.
func TestDefectFreeScenariosPass(t *testing.T) {
	done := map[string]bool{}
	for _, guard := range guards {
		if !done[guard.script] {
			testscript.Run(t, params(guard.script))
		}
		done[guard.script] = true
	}
}

// recorder is a testscript.T that notes a failure in place of failing.
type recorder struct {
	t      *testing.T
	failed bool
	text   strings.Builder
}

func (r *recorder) Skip(args ...any) { r.t.Skip(args...) }

func (r *recorder) Fatal(args ...any) {
	r.Log(args...)
	r.FailNow()
}

func (r *recorder) Parallel() {}

func (r *recorder) Log(args ...any) { fmt.Fprintln(&r.text, args...) }

func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

// Run runs f on a goroutine of its own, which FailNow may end.
func (r *recorder) Run(_ string, f func(testscript.T)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(r)
	}()
	<-done
}

func (r *recorder) Verbose() bool { return false }
