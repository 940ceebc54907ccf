package passthrough

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
)

// Guards against taking a host that refuses connections for the loss of the entry's own connectivity.
func TestProbeTellsRefusalFromSilence(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	targets := NewTargets(targethttp.NewPool(targethttp.Options{}), nil, nil, nil, func(string, ...generation.Field) {})
	target := &directory.Target{ID: "t", Address: listener.Addr().String()}
	is.NoErr(targets.Probe(t.Context(), target))
	is.NoErr(listener.Close())
	is.True(errors.Is(targets.Probe(t.Context(), target), generation.ErrProbeRefused))
}
