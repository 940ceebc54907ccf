// Package policysim runs the production routing and admission code against modelled engines in
// virtual time, so that policies are compared on the same requests within seconds.
package policysim

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with an event queue. Events run in the order of their times; events of
// the same time run in the order in which they were scheduled.
type Clock struct {
	now    time.Time
	events events
	// scheduled counts the events so far; it orders events of the same time.
	scheduled int
}

// NewClock returns a clock that starts at a fixed time.
func NewClock() *Clock { return &Clock{now: time.Unix(1_000_000, 0)} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// After schedules f to run once, d from now; a negative d counts as 0.
func (c *Clock) After(d time.Duration, f func()) {
	c.scheduled++
	heap.Push(&c.events, event{c.now.Add(max(0, d)), c.scheduled, f})
}

// Every runs f now and then at intervals of d, without end.
func (c *Clock) Every(d time.Duration, f func()) {
	f()
	c.After(d, func() { c.Every(d, f) })
}

// Run advances the clock by d and runs the events that are due in that time.
func (c *Clock) Run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

type event struct {
	at    time.Time
	order int
	run   func()
}

// events is a min-heap by time, then by order of scheduling.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
