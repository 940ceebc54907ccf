package generation

import (
	"slices"
	"testing"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/journal"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestFeedNeverMixesAttempts offers a log the events of several attempts, which are late, from another
// generation, repeated, altered or missing. The log must stay one chain, in which an attempt continues
// only the output that it was given.
func TestArbiterNeverMixesAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := Log{Generation: "g", Lineage: journal.Lineage{{Term: 1}}}
		var arbiter AttemptArbiter
		running := map[int][]string{}
		next := map[int]int{}
		attempts := 0
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				attempts++
				running[attempts] = slices.Clone(log.Tokens)
				next[attempts] = len(log.Tokens)
				arbiter.Add(attempts)
			},
			"token": func(t *rapid.T) {
				if attempts == 0 {
					t.Skip()
				}
				id := rapid.IntRange(1, attempts).Draw(t, "attempt")
				for len(running[id]) <= next[id] {
					previous := ""
					if len(running[id]) > 0 {
						previous = running[id][len(running[id])-1]
					}
					running[id] = append(running[id], nextToken(previous, id))
				}
				index := next[id] + rapid.SampledFrom([]int{0, 0, 0, -1, 1}).Draw(t, "shift")
				if index < 0 || index >= len(running[id]) {
					index = next[id]
				}
				event := StreamEvent{ID: StreamID{"g", id}, Token: Token{Index: index, Text: running[id][index]}}
				if rapid.IntRange(0, 9).Draw(t, "crossed") == 0 {
					event.ID.Generation = "other"
				}
				before := slices.Clone(log.Tokens)
				verdict := arbiter.Offer(&log, id, event)
				if (verdict == VerdictAccept) != (len(log.Tokens) == len(before)+1) {
					t.Fatalf("verdict %d changed %d tokens to %d", verdict, len(before), len(log.Tokens))
				}
				if verdict == VerdictNotOwner || verdict == VerdictGap || verdict == VerdictMismatch {
					arbiter.Remove(id)
					return
				}
				if verdict != VerdictStray && index == next[id] {
					next[id]++
				}
			},
			"": func(t *rapid.T) {
				if err := checkChain(log.Tokens); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}

func TestNextAction(t *testing.T) {
	silent := situation{HasAttempt: true, Silence: 2, Bound: 1, BudgetLeft: true, Resumable: true}
	with := func(change func(*situation)) situation {
		s := silent
		change(&s)
		return s
	}
	for name, each := range map[string]struct {
		situation situation
		want      Action
	}{
		"nothing runs":          {situation{}, ActionReplace},
		"starting":              {with(func(s *situation) { s.Starting = true }), ActionWait},
		"in time":               {with(func(s *situation) { s.Silence = 0 }), ActionWait},
		"latency":               {with(func(s *situation) { s.Prefer = v1.PreferLatency }), ActionSpeculate},
		"budget spent":          {with(func(s *situation) { s.Prefer, s.BudgetLeft = v1.PreferLatency, false }), ActionAttach},
		"rival silent too":      {with(func(s *situation) { s.Prefer, s.Parallel, s.AttachFailed = v1.PreferLatency, true, true }), ActionReplace},
		"cost":                  {silent, ActionAttach},
		"cost, being confirmed": {with(func(s *situation) { s.Attaching = true }), ActionWait},
		"cost, confirmed":       {with(func(s *situation) { s.AttachFailed = true }), ActionReplace},
		"no resume":             {with(func(s *situation) { s.Resumable, s.Silence = false, 1 }), ActionWait},
		"no resume, longer":     {with(func(s *situation) { s.Resumable = false }), ActionReplace},
		"broken":                {with(func(s *situation) { s.Broken = true }), ActionAttach},
		"broken, not resumable": {with(func(s *situation) { s.Broken, s.Resumable = true, false }), ActionReplace},
		"broken, attach failed": {with(func(s *situation) { s.Broken, s.AttachFailed = true, true }), ActionReplace},
		"broken, being resumed": {with(func(s *situation) { s.Broken, s.Attaching = true, true }), ActionWait},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(nextAction(each.situation), each.want)
		})
	}
}

func TestPacerAdmitsByPriority(t *testing.T) {
	is := is.New(t)
	p := newPacer(1)
	leave, err := p.acquire(t.Context(), 0)
	is.NoErr(err)
	low, high, cancelled := p.enqueue(1), p.enqueue(9), p.enqueue(9)
	p.cancel(cancelled)
	leave()
	<-high.admitted
	select {
	case <-low.admitted:
		t.Fatal("two places of one")
	default:
	}
	p.release()
	<-low.admitted
}
