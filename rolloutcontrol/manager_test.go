package rolloutcontrol

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/rollout"
)

// Guards against evidence that counts twice after an answer was lost, or that is lost with the report.
func TestEvidenceCountsOnceAlsoIfAnswersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		f.order("v2", time.Minute)
		f.run(t)
		time.Sleep(time.Second)
		sent := f.traffic(2*time.Second, []int{0, 1, 2}, never)
		f.mu.Lock()
		f.lostAnswers = true
		f.mu.Unlock()
		for version, count := range f.traffic(2*time.Second, []int{0, 1, 2}, never) {
			sent[version] += count
		}
		f.mu.Lock()
		f.lostAnswers, f.cutOff = false, true
		f.mu.Unlock()
		for version, count := range f.traffic(2*time.Second, []int{0, 1, 2}, never) {
			sent[version] += count
		}
		f.mu.Lock()
		f.cutOff = false
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		status := f.managers[f.coordinator()].Coordinated()[0]
		t.Logf("sent %v; evidence old %d, new %d", sent, status.Old.Started, status.New.Started)
		is.Equal(status.Old.Started, int64(sent["v1"]))
		is.Equal(status.New.Started, int64(sent["v2"]))
	})
}

// Guards against requests to the new version at an entry that is cut off from the coordinator: the version may be known to be bad.
func TestEntryThatIsCutOffSendsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		f.order("v2", time.Minute)
		f.run(t)
		time.Sleep(time.Second)
		other := (f.coordinator() + 1) % 3
		is.True(f.traffic(2*time.Second, []int{other}, never)["v2"] > 0)
		f.mu.Lock()
		f.cutOff = true
		f.mu.Unlock()
		time.Sleep(rollout.MaxShareAge)
		is.Equal(f.traffic(2*time.Second, []int{other}, never)["v2"], 0)
	})
}

// Guards against a rollback that is forgotten with the coordinator, since the store was unavailable, and against requests to the bad
// version while the next coordinator begins.
func TestRollbackOutlivesItsCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		f.statusDown = true
		f.order("v2", time.Minute)
		stop := f.run(t)
		time.Sleep(time.Second)
		random := rand.New(rand.NewPCG(1, 1))
		isBad := func(version string) bool { return version == "v2" && random.IntN(2) == 0 }
		_ = f.traffic(20*time.Second, []int{0, 1, 2}, isBad)
		is.Equal(f.traffic(time.Second, []int{0, 1, 2}, isBad)["v2"], 0)
		is.Equal(f.status().State, rollout.State(""))
		lost := f.coordinator()
		stop[lost]()
		f.remove(lost)
		left := []int{(lost + 1) % 3, (lost + 2) % 3}
		is.Equal(f.traffic(2*time.Second, left, isBad)["v2"], 0)
		f.mu.Lock()
		f.statusDown = false
		f.mu.Unlock()
		is.Equal(f.traffic(2*time.Second, left, isBad)["v2"], 0)
		is.Equal(f.status().State, rollout.StateRolledBack)
		is.Equal(f.status().To, "v2")
	})
}

// Guards against a coordinator that overwrites what another one has written, or that takes its own write for that of another.
func TestWrittenStatusIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		f.lostWrites = true
		f.order("v2", time.Minute)
		f.run(t)
		_ = f.traffic(3*time.Second, []int{0, 1, 2}, never)
		is.Equal(f.status().State, rollout.StateRunning)
		f.mu.Lock()
		f.lostWrites = false
		f.setStatus(rollout.Status{State: rollout.StateRolledBack, To: "v2"})
		written := len(f.writes)
		f.mu.Unlock()
		is.Equal(f.traffic(5*time.Second, []int{0, 1, 2}, never)["v2"], 0)
		f.mu.Lock()
		defer f.mu.Unlock()
		is.Equal(len(f.writes), written)
	})
}

// Guards against a rollout that continues after its order was withdrawn, or that a new order finds ended.
func TestOrderIsWithdrawnAndReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		f.order("v2", time.Minute)
		f.run(t)
		time.Sleep(time.Second)
		f.withdraw()
		time.Sleep(time.Second)
		for _, manager := range f.managers {
			is.Equal(len(manager.Coordinated()), 0)
			is.Equal(manager.StageCount(rollout.Canary), 0)
		}
		f.order("v3", time.Minute)
		f.mu.Lock()
		f.targets = append(f.targets, &directory.Target{ID: "c", Service: service, Version: "v3"})
		f.mu.Unlock()
		time.Sleep(time.Second)
		is.Equal(f.status().To, "v3")
		is.Equal(f.status().State, rollout.StateRunning)
	})
}

// Guards against retries that leave the version that a rollout keeps them on, and against a request that finds no target although there is
// one.
func TestAttemptsKeepToTheirVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		m := f.managers[0]
		provisional := "unregistered/x"
		plain := m.Begin(service, false)
		is.True(plain.Allows("v1") && plain.Allows("v2")) // no order
		plain.End(false)
		f.order("v2", time.Minute)
		m.step(t.Context())
		synctest.Wait() // for the answer to the first report
		m.mu.Lock()
		state := m.services[service]
		state.gate.SetShare(time.Now(), 1)
		m.mu.Unlock()
		toNew := m.Begin(service, false)
		is.True(toNew.Allows("v2") && !toNew.Allows("v1") && !toNew.Allows(provisional))
		toNew.BeginAttempt("route", "v2").End()
		is.True(toNew.Allows("v1") && !toNew.Allows("v2")) // a retry

		fallen := m.Begin(service, false)
		_, sent := state.gate.Counts()
		is.True(fallen.FallBack())
		is.True(fallen.Allows("v1") && !fallen.Allows("v2"))
		_, revoked := state.gate.Counts()
		is.Equal(revoked, sent-1)
		is.True(fallen.FallBack())
		is.True(fallen.Allows(provisional))
		is.True(!fallen.FallBack())

		rest := m.Begin(service, true)
		is.True(!rest.Allows("v2")) // unless its version is known, which the relay decides
		rest.BeginAttempt("route", "v2").End()
		_, sent = state.gate.Counts()
		is.Equal(sent, revoked+1)
		f.mu.Lock()
		f.targets = f.targets[:1]
		f.mu.Unlock()
		is.True(m.Begin(service, false).Allows("v2")) // there is no other version
	})
}

// Guards against a success at once, upon which the old targets stop, while their objects have expired since the store was unavailable.
func TestUnregisteredTargetsOfTheOldVersionCount(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.order("v2", time.Minute)
	f.targets[1].Unregistered = true
	old, ready := f.managers[0].countTargets(f.object.Order)
	is.Equal(old, 1)
	is.Equal(ready, 1)
}

// Guards against a success that is written while a stream needs the old version: one that runs there, one between two attempts, and one
// whose caller may reconnect.
func TestRequestsAtTheOldVersionAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		m := f.managers[0]
		begun := m.Begin(service, false) // before the order
		first := begun.BeginAttempt("route", "v1")
		f.order("v2", time.Minute)
		m.step(t.Context())
		count := func() int {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.sweepRequests()
			return m.nextReportOf(service, m.services[service]).OldInProgress
		}
		is.Equal(count(), 1)
		first.End()
		is.Equal(count(), 1) // it may continue at another target
		hedged := begun.BeginAttempt("route", "v1")
		second := begun.BeginAttempt("route", "v2")
		is.Equal(count(), 1) // the first attempt still runs
		hedged.End()
		is.Equal(count(), 0)
		second.End()
		begun.End(false)
		broken := m.Begin(service, true)
		broken.BeginAttempt("route", "v1").End()
		broken.End(true)
		is.Equal(count(), 1)
		time.Sleep(reconnectGrace)
		is.Equal(count(), 0)
		unsent := m.Begin(service, false)
		is.Equal(count(), 1)
		unsent.End(true)
		is.Equal(count(), 0)
	})
}

// Guards against requests at the version that a rollout has left, also of streams that are taken up.
func TestAvailableTargetsAfterARollout(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	m := f.managers[0]
	f.targets = append(f.targets, &directory.Target{ID: "p", Service: service, Version: "unregistered/p"})
	available := func() string {
		ids := ""
		for _, target := range m.Available(service, f.targets) {
			ids += target.ID
		}
		return ids
	}
	is.Equal(available(), "bap")
	f.order("v2", time.Minute)
	is.Equal(available(), "bap")
	f.object.Status = rollout.Status{State: rollout.StateRolledBack, To: "v2"}
	f.order("v2", time.Minute)
	f.setStatus(rollout.Status{State: rollout.StateRolledBack, To: "v2"})
	is.Equal(available(), "ap")
	first, second := m.Available(service, f.targets), m.Available(service, f.targets)
	is.True(&first[0] == &second[0])
	f.order("v2", time.Minute)
	f.setStatus(rollout.Status{State: rollout.StateSucceeded, To: "v2"})
	is.Equal(available(), "bp")
	f.targets = f.targets[1:2]
	is.Equal(available(), "a") // no other is left
}

// Guards against attempts that wait, for a path, a connection or another attempt, and are sent to the new version once the share that let
// them through has run out, or after a rollback. The rest of such a request goes to the old version.
func TestAttemptThatWaitedLongerThanTheShareIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		f.order("v2", time.Minute)
		f.run(t)
		time.Sleep(time.Second)
		other := f.managers[(f.coordinator()+1)%3]
		chosen := func() (*Request, *Attempt) {
			for range 1000 {
				request := other.Begin(service, false)
				if request.Allows("v2") {
					return request, request.BeginAttempt("route", "v2")
				}
				request.BeginAttempt("route", "v1").End()
				request.End(false)
			}
			t.Fatal("the gate lets nothing through")
			return nil, nil
		}
		request, attempt := chosen()
		is.True(attempt.MaySend())
		time.Sleep(2 * rollout.MaxShareAge)
		is.True(attempt.MaySend()) // the coordinator has renewed the share
		_, sent := other.services[service].gate.Counts()
		f.mu.Lock()
		f.cutOff = true
		f.mu.Unlock()
		time.Sleep(rollout.MaxShareAge + maxReportInterval)
		is.True(!attempt.MaySend())
		attempt.Withdraw()
		attempt.End()
		_, after := other.services[service].gate.Counts()
		is.Equal(after, sent-1)
		is.True(!request.Allows("v2"))
		is.True(request.Allows("v1"))
		is.True(request.BeginAttempt("route", "v1").MaySend())

		f.mu.Lock()
		f.cutOff = false
		f.mu.Unlock()
		time.Sleep(time.Second)
		_, attempt = chosen()
		f.mu.Lock()
		f.setStatus(rollout.Status{State: rollout.StateRolledBack, To: "v2", Stage: rollout.RolledBack})
		f.mu.Unlock()
		is.True(!attempt.MaySend())
	})
}

// Guards against a target of the new version that was chosen before the entry knew of the order, which began to be carried out meanwhile.
func TestAttemptChosenBeforeTheOrderIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		f.run(t)
		request := f.managers[0].Begin(service, false)
		is.True(request.Allows("v2"))
		attempt := request.BeginAttempt("route", "v2")
		is.True(attempt.MaySend())
		f.order("v2", time.Minute)
		time.Sleep(time.Second)
		is.True(!attempt.MaySend())
	})
}

// Guards against an entry that goes back to the old version in the stage Drain as soon as the coordinator's answers are late: it has reported that
// no request needs the old version, and the rollout may succeed on that report before it sends the next one.
func TestEntryStaysAtTheNewVersionInDrainWhileAnswersAreLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		f.order("v2", time.Minute)
		f.run(t)
		held := f.managers[f.coordinator()].Begin(service, false) // needs the old version, so that Drain lasts
		held.BeginAttempt("route", "v1")
		for range 60 {
			f.traffic(time.Second, []int{0, 1, 2}, never)
			if f.status().Stage == rollout.Drain {
				break
			}
		}
		f.traffic(time.Second, []int{0, 1, 2}, never)
		other := (f.coordinator() + 1) % 3
		is.Equal(f.call(other, never), "v2")
		f.mu.Lock()
		f.cutOff = true
		f.mu.Unlock()
		is.Equal(f.traffic(2*rollout.MaxShareAge, []int{other}, never)["v1"], 0)
		time.Sleep(rollout.MaxDrainShareAge)
		is.Equal(f.call(other, never), "v1") // the version may be known to be bad
	})
}
