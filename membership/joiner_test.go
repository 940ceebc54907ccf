package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against entries that start and don't learn retained notices because others fill the messages to them.
func TestEntryThatJoinsGetsRetainedNoticesBesideOthers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	started := func(age time.Duration) Peer {
		return Peer{Name: "joiner", Address: "127.0.0.1:1", Incarnation: uint64(now.Add(-age).UnixNano())}
	}
	l := newEventLoop(NewManager(Options{Self: Peer{Name: "self", Incarnation: 1}, RetainedKinds: []NoticeKind{"verdict"}}))
	l.gossipBudget.available = 1e6
	l.mergeNotice(Notice{Kind: "verdict", Subject: "part", Version: 1})
	for range 50 { // until the verdict is no update any more
		l.composeMessage(started(time.Hour), now)
	}
	for i := range 500 {
		l.mergeNotice(Notice{Kind: "evidence", Subject: fmt.Sprint("crash of some target under a request ", i), Version: 1})
	}
	has := func(message Message) bool {
		for _, notice := range message.Notices {
			if notice.Kind == "verdict" {
				return true
			}
		}
		return false
	}
	is.True(!has(l.composeMessage(started(time.Hour), now)))
	l.gossipBudget.available = 1e6
	message := l.composeMessage(started(time.Second), now)
	is.True(has(message))
	is.True(len(message.Notices) > 1) // others go along
}
