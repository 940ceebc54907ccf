package admission

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/membership"
)

// brittleModel is a target that runs slots requests and turns the others away.
type brittleModel struct {
	mu         sync.Mutex
	running    int
	turnedAway []time.Time
}

func (m *brittleModel) run(slots int, work time.Duration) bool {
	m.mu.Lock()
	if m.running >= slots {
		m.turnedAway = append(m.turnedAway, time.Now())
		m.mu.Unlock()
		return false
	}
	m.running++
	m.mu.Unlock()
	time.Sleep(work)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
	return true
}

// mostInASecond returns the largest number of requests turned away within a second, of those after from.
func (m *brittleModel) mostInASecond(from time.Time) int {
	most := 0
	for i, first := range m.turnedAway {
		count := 0
		for _, at := range m.turnedAway[i:] {
			if !first.Before(from) && at.Sub(first) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Brittle targets get far more requests than they have room for, in a burst and while half of them are away.
func TestBrittleTargetsTurnFewRequestsAway(t *testing.T) {
	const slots, work, bears, perTarget = 6, 40 * time.Millisecond, 12, 250
	for _, each := range []struct{ entries, targets int }{{8, 3}, {59, 20}, {76, 24}} {
		t.Run(fmt.Sprint(each.entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(1, uint64(each.entries)))
				var peers []membership.Peer
				for i := range each.entries {
					peers = append(peers, membership.Peer{Name: fmt.Sprintf("e%03d", i)})
				}
				var guards []*BrittleTargets
				for _, peer := range peers {
					guards = append(guards, NewBrittleTargets(membership.Static{This: peer, Peers: peers}))
				}
				models := map[string]*brittleModel{}
				var service []BrittleTarget
				for i := range each.targets {
					id := fmt.Sprint("t", i)
					models[id] = &brittleModel{}
					service = append(service, BrittleTarget{ID: id, Slots: slots})
					for _, guard := range guards {
						guard.Observe(id, bears, true, time.Now(), time.Now())
					}
				}
				served, refused := 0, 0
				var mu sync.Mutex
				var calls sync.WaitGroup
				started := time.Now()
				for time.Since(started) < 6*time.Second {
					present := service
					if time.Since(started) > 3*time.Second {
						present = service[:(len(service)+1)/2] // half of them are away
					}
					guard := guards[random.IntN(len(guards))]
					order := random.Perm(len(present))
					calls.Go(func() {
						for _, i := range order {
							id := present[i].ID
							if !guard.Allows(id, present, time.Now()) {
								continue
							}
							end := guard.Begin(id)
							ran := models[id].run(slots, work)
							end()
							mu.Lock()
							defer mu.Unlock()
							if !ran {
								guard.TurnedAway(id, time.Now())
								return
							}
							served++
							return
						}
						mu.Lock()
						defer mu.Unlock()
						refused++
					})
					time.Sleep(time.Second / time.Duration(perTarget*each.targets))
				}
				calls.Wait()
				most, all := 0, 0
				for _, model := range models {
					most = max(most, model.mostInASecond(started))
					all += len(model.turnedAway)
				}
				t.Logf("at most %d turned away by a target in a second, %d borne; %d in all, %d served, %d refused at once", most, bears, all, served, refused)
				is.True(most <= bears)
				is.True(served > each.targets*slots*20) // most of their room is used
			})
		})
	}
}

func TestBrittleTargetIsBelievedSoundAgain(t *testing.T) {
	is := is.New(t)
	self := membership.Peer{Name: "e0"}
	b := NewBrittleTargets(membership.Static{This: self, Peers: []membership.Peer{self}})
	service := []BrittleTarget{{ID: "t", Slots: 1}}
	now := time.Unix(1000, 0)
	is.True(!b.Observe("t", 0, false, now, now))
	is.True(b.Observe("t", 3, true, now, now))
	is.Equal(b.BrittleCount(), 1)
	end := b.Begin("t")
	is.True(!b.Allows("t", service, now))
	end()
	is.True(b.Allows("t", service, now))
	b.TurnedAway("t", now)
	is.True(!b.Allows("t", service, now.Add(minBrittleBackoff-1)))
	is.True(b.Allows("t", service, now.Add(minBrittleBackoff)))
	is.True(!b.Observe("t", 0, false, now, now.Add(time.Second))) // asked for before it was said
	later := now.Add(brittleClearDelay)
	is.True(b.Observe("t", 0, false, later, later))
	is.Equal(b.BrittleCount(), 0)
}
