package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against entries that start, or were unreachable, and don't learn retained notices because others fill the messages to them.
func TestEntryThatJoinsGetsRetainedNoticesBesideOthers(t *testing.T) {
	now := time.Now()
	verdict := Notice{Kind: "verdict", Subject: "part", Version: 1}
	joiner := func(clock time.Time) Peer {
		return Peer{Name: "joiner", Address: "127.0.0.1:1", Incarnation: uint64(clock.UnixNano())}
	}
	type state struct {
		age   time.Duration
		delta Delta
	}
	for _, test := range []struct {
		name   string
		states []state
		gets   bool
	}{
		{"started long ago", []state{{time.Hour, Delta{joiner(now.Add(-time.Hour)), StateAlive}}}, false},
		{"started just now", []state{{time.Second, Delta{joiner(now.Add(-time.Second)), StateAlive}}}, true},
		{"not known yet", nil, true},
		{"started just now, its clock an hour behind", []state{{time.Second, Delta{joiner(now.Add(-time.Hour)), StateAlive}}}, true},
		{"started long ago, its clock ahead", []state{{time.Hour, Delta{joiner(now), StateAlive}}}, false},
		{"restarted just now", []state{
			{time.Hour, Delta{joiner(now.Add(-time.Hour)), StateAlive}},
			{time.Second, Delta{joiner(now.Add(-time.Second)), StateAlive}},
		}, true},
		{"was unreachable until now", []state{
			{time.Hour, Delta{joiner(now.Add(-time.Hour)), StateAlive}},
			{time.Minute, Delta{joiner(now.Add(-time.Hour)), StateDead}},
			{time.Second, Delta{joiner(now.Add(1 - time.Hour)), StateAlive}},
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := newEventLoop(NewManager(Options{Self: Peer{Name: "self", Incarnation: 1}, RetainedKinds: []NoticeKind{verdict.Kind}}))
			l.gossipBudget.available = 1e6
			l.mergeNotice(verdict)
			for range 50 { // until the verdict is no update any more
				l.composeMessage(Peer{Name: "other"}, now)
			}
			for i := range 500 {
				l.mergeNotice(Notice{Kind: "evidence", Subject: fmt.Sprint("crash of some target under a request ", i), Version: 1})
			}
			peer := joiner(now)
			for _, state := range test.states {
				l.table.merge(state.delta, now.Add(-state.age))
				peer = state.delta.Peer
			}
			l.gossipBudget.available = 1e6
			message := l.composeMessage(peer, now)
			has := slices.ContainsFunc(message.Notices, func(n Notice) bool { return n.Kind == verdict.Kind })
			is.Equal(has, test.gets)
			is.True(len(message.Notices) > 1) // others go along
		})
	}
}
