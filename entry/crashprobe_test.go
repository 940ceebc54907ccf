package entry

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/health"
)

// Guards against a crash that is excused because a host in front of the target still accepts connections.
func TestTargetBehindAHostThatClosesConnectionsIsDown(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closing := make(chan bool, 1)
	closing <- true
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			if <-closing {
				_ = accepted.Close()
			}
		}
	}()
	prober := &crashProber{pool: targethttp.NewPool(targethttp.Options{})}
	target := health.CrashedTarget{ID: "t", Address: listener.Addr().String()}
	is.True(prober.isDown(target))
	closing <- false
	is.True(!prober.isDown(target))
	is.NoErr(listener.Close())
	is.True(prober.isDown(target))
}
