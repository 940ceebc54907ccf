package httpheader

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestEndToEndOmitsHopByHopFields(t *testing.T) {
	is := is.New(t)
	header := http.Header{
		"Connection": {"close, x-hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=4"}, "X-Kept": {"a", "b"},
	}
	is.Equal(EndToEnd(header), http.Header{"X-Kept": {"a", "b"}})
	is.Equal(header.Get("X-Hop"), "1") // the argument is unchanged
	is.True(IsHopByHop("transfer-encoding"))
	is.True(!IsHopByHop("X-Hop"))
}
