package draining

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/invariant"
)

// pauseThreshold is the time between two ticks after which the tracker assumes that this entry was paused
// and may have missed renewals.
const pauseThreshold = 2 * time.Second

// Tracker records which targets are draining. It is safe for concurrent use.
type Tracker struct {
	mu      sync.RWMutex
	targets map[string]*targetState
	// lastTick is when expired reports were last removed.
	lastTick time.Time
}

// targetState is the record of one target.
type targetState struct {
	target Target
	// incarnation is the one in the target's last answer; empty before the first answer.
	incarnation string
	// formerIncarnations are the incarnations that have ended.
	formerIncarnations []string
	reports            map[Source]Report
	// drainingSince is when the first report about the draining target arrived; zero if it is not draining.
	drainingSince time.Time
	// vmListOutdated is set while the VM list still reports the target as draining although the report is
	// about a former incarnation.
	vmListOutdated bool
}

// NewTracker returns a Tracker without targets.
func NewTracker() *Tracker {
	return &Tracker{targets: map[string]*targetState{}}
}

// SetTargets replaces the targets to watch. It keeps the reports about targets that remain, unless their
// address changed.
func (t *Tracker) SetTargets(targets []Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*targetState, len(targets))
	for _, target := range targets {
		state := t.targets[target.Name]
		if state == nil || state.target.Address != target.Address {
			state = &targetState{reports: map[Source]Report{}}
		}
		state.target = target
		next[target.Name] = state
	}
	t.targets = next
}

// Draining reports whether the target is draining and must not get new work.
func (t *Tracker) Draining(name string) bool {
	if defect.Enabled(defect.DrainingIgnored) {
		return false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.isDraining(name)
}

// DrainingTargets returns the sorted names of the draining targets, which must not get new work.
func (t *Tracker) DrainingTargets() []string {
	if defect.Enabled(defect.DrainingIgnored) {
		return nil
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	var names []string
	for name := range t.targets {
		if t.isDraining(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (t *Tracker) isDraining(name string) bool {
	state := t.targets[name]
	return state != nil && len(state.reports) > 0
}

// Deadline returns when a draining target terminates. ok is false if it is not draining or no report contains
// a deadline.
func (t *Tracker) Deadline(name string) (deadline time.Time, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	state := t.targets[name]
	if state == nil {
		return time.Time{}, false
	}
	for _, report := range state.reports {
		if !report.Deadline.IsZero() && (!ok || report.Deadline.Before(deadline)) {
			deadline, ok = report.Deadline, true
		}
	}
	return deadline, ok
}

// CheckNewWork asserts that the target has not been known to be draining for longer than PropagationLimit.
// Call it for every dispatch of new work.
func (t *Tracker) CheckNewWork(name string) error {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if !t.isDraining(name) {
		return nil
	}
	drainingFor := time.Since(t.targets[name].drainingSince)
	return invariant.Check(drainingFor <= PropagationLimit, invariant.NoNewWorkToDrainingTarget,
		"target %s has been known to leave for %s", name, drainingFor)
}

// ObserveHealth records a target's answer to a health probe. It reports whether the answer is the first
// report that the target is draining. An answer that it is not draining removes the target's own report.
func (t *Tracker) ObserveHealth(name string, health Health, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.targets[name]
	if state == nil {
		return false
	}
	state.setIncarnation(health.Incarnation, now)
	if !health.Draining {
		delete(state.reports, SourceTarget)
		state.updateDrainingSince(now)
		return false
	}
	return state.storeReport(Report{
		Incarnation: health.Incarnation,
		Source:      SourceTarget,
		Deadline:    deadlineAfter(now, health.TerminatesIn),
		ValidUntil:  now.Add(reportValidity),
	}, now)
}

// ObserveRefusal records that a target refused a request because it is draining. It reports whether the
// refusal is the first report that the target is draining.
func (t *Tracker) ObserveRefusal(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.targets[name]
	if state == nil {
		return false
	}
	report := Report{Incarnation: state.incarnation, Source: SourceTarget, ValidUntil: now.Add(unverifiedValidity)}
	return state.storeReport(report, now)
}

// RenewTargetReport extends a target's own report while the target does not answer probes.
func (t *Tracker) RenewTargetReport(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.targets[name]
	if state == nil {
		return
	}
	if report, ok := state.reports[SourceTarget]; ok {
		report.ValidUntil = now.Add(reportValidity)
		state.reports[SourceTarget] = report
	}
}

// ObserveVMs records the platform's list of VMs, and removes earlier reports of the list that it no longer
// contains. It reports whether the list contains the first report that a target is draining.
func (t *Tracker) ObserveVMs(vms []VM, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	terminating := map[string]VM{}
	for _, vm := range vms {
		if vm.Terminating {
			terminating[vm.Address] = vm
		}
	}
	first := false
	for _, state := range t.targets {
		vm, ok := terminating[state.target.Address]
		if !ok {
			state.vmListOutdated = false
			delete(state.reports, SourceVMList)
			state.updateDrainingSince(now)
			continue
		}
		if !state.vmListOutdated {
			first = state.storeReport(state.vmListReport(vm, now), now) || first
		}
	}
	return first
}

func (s *targetState) vmListReport(vm VM, now time.Time) Report {
	return Report{
		Incarnation: s.incarnation,
		Source:      SourceVMList,
		Deadline:    deadlineAfter(now, vm.TerminatesIn),
		ValidUntil:  now.Add(reportValidity),
	}
}

// ObserveReports records the reports of another entry. It returns the targets that should be probed because a
// report is about another incarnation than the one known here, and whether one of the reports is the first
// that its target is draining.
func (t *Tracker) ObserveReports(reports []Report, now time.Time) (toProbe []string, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports {
		state := t.targets[report.Target]
		if state == nil || report.Address != state.target.Address || !report.ValidUntil.After(now) {
			continue
		}
		if slices.Contains(state.formerIncarnations, report.Incarnation) {
			continue
		}
		if report.Source == SourceVMList && state.vmListOutdated {
			continue
		}
		if state.isOtherIncarnation(report.Incarnation) {
			report.ValidUntil = earlier(report.ValidUntil, now.Add(unverifiedValidity))
			toProbe = append(toProbe, report.Target)
		}
		first = state.storeReport(report, now) || first
	}
	return toProbe, first
}

// isOtherIncarnation reports whether the incarnation differs from the one last seen, when both are known.
func (s *targetState) isOtherIncarnation(incarnation string) bool {
	return s.incarnation != "" && incarnation != "" && incarnation != s.incarnation
}

// Reports returns all reports, ordered by target, to be sent to other entries.
func (t *Tracker) Reports() []Report {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var reports []Report
	for _, name := range slices.Sorted(maps.Keys(t.targets)) {
		state := t.targets[name]
		for _, source := range []Source{SourceTarget, SourceVMList} {
			if report, ok := state.reports[source]; ok {
				reports = append(reports, report)
			}
		}
	}
	return reports
}

// missingReports returns the reports that are not among held, lack their deadline there, or are held for a shorter time by more
// than renewalTolerance.
func missingReports(reports, held []Report) []Report {
	type key struct {
		target      string
		source      Source
		incarnation string
	}
	known := map[key]Report{}
	for _, report := range held {
		known[key{report.Target, report.Source, report.Incarnation}] = report
	}
	var missing []Report
	for _, report := range reports {
		other, found := known[key{report.Target, report.Source, report.Incarnation}]
		lacksDeadline := other.Deadline.IsZero() && !report.Deadline.IsZero()
		if !found || lacksDeadline || report.ValidUntil.Sub(other.ValidUntil) > renewalTolerance {
			missing = append(missing, report)
		}
	}
	return missing
}

// Tick removes expired reports. If the time since the last tick indicates a pause of this process, it extends
// the reports instead, since their renewals may have arrived but not been processed yet.
func (t *Tracker) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	paused := !t.lastTick.IsZero() && now.Sub(t.lastTick) > pauseThreshold
	t.lastTick = now
	for _, state := range t.targets {
		for source, report := range state.reports {
			if paused {
				report.ValidUntil = later(report.ValidUntil, now.Add(unverifiedValidity))
				state.reports[source] = report
			}
			if !report.ValidUntil.After(now) {
				delete(state.reports, source)
			}
		}
		state.updateDrainingSince(now)
	}
}

// storeReport stores a report, and reports whether the target was not draining before. A former report of the
// same source and incarnation contributes the later expiry and the earlier deadline.
func (s *targetState) storeReport(report Report, now time.Time) bool {
	report.Target, report.Address = s.target.Name, s.target.Address
	if former, ok := s.reports[report.Source]; ok && former.Incarnation == report.Incarnation {
		report.ValidUntil = later(former.ValidUntil, report.ValidUntil)
		report.Deadline = earlierDeadline(former.Deadline, report.Deadline)
	}
	first := len(s.reports) == 0
	s.reports[report.Source] = report
	s.updateDrainingSince(now)
	return first
}

// setIncarnation records the incarnation in a target's answer. Reports about a former one no longer apply.
func (s *targetState) setIncarnation(incarnation string, now time.Time) {
	if s.incarnation != incarnation && s.incarnation != "" {
		s.formerIncarnations = append(s.formerIncarnations, s.incarnation)
		s.formerIncarnations = s.formerIncarnations[max(0, len(s.formerIncarnations)-maxFormerIncarnations):]
	}
	changed := s.incarnation != "" && s.incarnation != incarnation
	s.incarnation = incarnation
	s.formerIncarnations = slices.DeleteFunc(s.formerIncarnations,
		func(former string) bool { return former == incarnation })
	if report, ok := s.reports[SourceTarget]; ok && report.Incarnation != incarnation {
		s.addFormerIncarnation(report.Incarnation)
		delete(s.reports, SourceTarget)
	}
	// The VM list has no incarnations. Its report still applies if its deadline for the VM is in the
	// future: the process has restarted, but the VM is still going to terminate.
	if report, ok := s.reports[SourceVMList]; ok && changed && !report.Deadline.After(now) {
		s.vmListOutdated = true
		delete(s.reports, SourceVMList)
	}
	s.updateDrainingSince(now)
}

// addFormerIncarnation records as ended an incarnation that is known only from a report.
func (s *targetState) addFormerIncarnation(incarnation string) {
	if incarnation != "" && !slices.Contains(s.formerIncarnations, incarnation) {
		s.formerIncarnations = append(s.formerIncarnations, incarnation)
	}
}

// updateDrainingSince sets or clears drainingSince after a change of the reports.
func (s *targetState) updateDrainingSince(now time.Time) {
	switch {
	case len(s.reports) == 0:
		s.drainingSince = time.Time{}
	case s.drainingSince.IsZero():
		s.drainingSince = now
	}
}

func deadlineAfter(now time.Time, left time.Duration) time.Time {
	if left <= 0 {
		return time.Time{}
	}
	return now.Add(left)
}

func earlierDeadline(a, b time.Time) time.Time {
	if a.IsZero() {
		return b
	}
	if b.IsZero() {
		return a
	}
	return earlier(a, b)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
