package crashprobe

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/detour"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/membership"
)

// soundLinks is the connectivity of an entry that reaches targets, lostLinks that of one that reaches none, returningLinks that of
// one whose links are back when they are checked.
type (
	soundLinks     struct{}
	lostLinks      struct{}
	returningLinks struct {
		soundLinks
		restore func()
	}
)

func (l returningLinks) CheckLost(detour.Target) bool {
	l.restore()
	return false
}

func (soundLinks) IsLost() bool                    { return false }
func (soundLinks) CheckLost(detour.Target) bool    { return false }
func (soundLinks) ClaimRegainCheck(time.Time) bool { return false }
func (lostLinks) IsLost() bool                     { return true }
func (lostLinks) CheckLost(detour.Target) bool     { return true }
func (lostLinks) ClaimRegainCheck(time.Time) bool  { return false }

// newLoneRouter returns the router of an entry without peers.
func newLoneRouter(connectivity detour.Connectivity) *detour.Router {
	self := membership.Peer{Name: "e0"}
	return detour.NewRouter(detour.Options{View: membership.Static{This: self, Peers: []membership.Peer{self}}, Connectivity: connectivity})
}

// Guards against crashes recorded by an entry that has lost its links and can ask nobody.
func TestTargetIsNotDownForAnEntryThatReachesNone(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	target := health.CrashedTarget{ID: "t", Address: listener.Addr().String()}
	is.NoErr(listener.Close())
	pool := targethttp.NewPool(targethttp.Options{})
	is.True(New(pool, newLoneRouter(soundLinks{})).IsDown(target))
	is.True(!New(pool, newLoneRouter(lostLinks{})).IsDown(target))
}

// Guards against a crash recorded by an entry whose links return between its probe of the target and the check of its links.
func TestTargetIsNotDownForAnEntryWhoseLinksReturn(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	target := health.CrashedTarget{ID: "t", Address: listener.Addr().String()}
	is.NoErr(listener.Close())
	links := returningLinks{restore: func() {
		listener, err = net.Listen("tcp", target.Address)
		is.NoErr(err)
	}}
	defer func() { _ = listener.Close() }()
	is.True(!New(targethttp.NewPool(targethttp.Options{}), newLoneRouter(links)).IsDown(target))
}

// Guards against a crash that is excused because a host in front of the target still accepts connections.
func TestTargetBehindAHostThatClosesConnectionsIsDown(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var closes atomic.Bool
	closes.Store(true)
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			if closes.Load() {
				_ = accepted.Close()
			}
		}
	}()
	prober := New(targethttp.NewPool(targethttp.Options{}), newLoneRouter(soundLinks{}))
	target := health.CrashedTarget{ID: "t", Address: listener.Addr().String()}
	is.True(prober.IsDown(target))
	closes.Store(false)
	is.True(!prober.IsDown(target))
	is.NoErr(listener.Close())
	is.True(prober.IsDown(target))
}
