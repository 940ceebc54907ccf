package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTargetPauses(t *testing.T) {
	is := is.New(t)
	logged := 0
	p := NewTargetPauses(func(string, time.Duration) { logged++ })
	now := time.Unix(1000, 0)
	at := func(after time.Duration) time.Time { return now.Add(after) }
	is.True(p.Take("t", 1, now))
	p.Observe("t", 1, 0, now) // asks for none
	is.True(p.Take("t", 1, now))

	p.Observe("t", 1, 3*time.Second, now)
	is.True(!p.Take("t", 1, at(2999*time.Millisecond)))
	is.True(p.Left("t", 1, now) >= 3*time.Second)
	is.True(p.Left("t", 1, now) <= 3300*time.Millisecond) // spread
	is.True(!p.Take("t", 0, now))                         // a start that isn't known isn't another one
	is.True(p.Take("t", 2, now))                          // it has started again
	is.True(p.Take("u", 1, now))

	p.Observe("t", 1, time.Second, at(time.Second)) // a late answer that names a shorter one
	is.True(!p.Take("t", 1, at(2900*time.Millisecond)))
	p.Observe("t", 1, 4*time.Second, at(time.Second)) // a longer one
	is.True(!p.Take("t", 1, at(4900*time.Millisecond)))
	is.Equal(logged, 1)
	is.Equal(p.Count(), int64(1))
	is.Equal(p.PausedCount(at(time.Second)), 1)

	p.Observe("t", 2, time.Second, at(time.Second)) // the next incarnation asks too
	is.True(!p.Take("t", 2, at(1900*time.Millisecond)))

	p.Observe("v", 1, 1000*time.Hour, now)
	is.True(p.Left("v", 1, now) <= maxTargetPause+maxTargetPause/10)
	p.Sweep(at(time.Hour))
	is.Equal(len(p.targets), 0)
}

// Guards against all requests that waited coming back at the end of a pause.
func TestRequestsComeBackInSteps(t *testing.T) {
	is := is.New(t)
	p := NewTargetPauses(nil)
	now := time.Unix(1000, 0)
	p.Observe("t", 1, time.Second, now)
	end := now.Add(p.Left("t", 1, now))
	taken := func(after time.Duration) int {
		count := 0
		for range 100 {
			if p.Take("t", 1, end.Add(after)) {
				count++
			}
		}
		return count
	}
	is.Equal(taken(0), 1)
	is.Equal(taken(50*time.Millisecond), 0)
	is.Equal(taken(250*time.Millisecond), 2)
	is.Equal(taken(pauseRamp), 100)
}
