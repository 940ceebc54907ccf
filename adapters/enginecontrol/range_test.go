package enginecontrol

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/draining"
)

// Guards against a time out of range, which overflowed into one that may be arbitrarily near.
func TestEngineWithAnOddTimeLeavesAtAnUnknownOne(t *testing.T) {
	for _, leaveAt := range []string{"9223372036854775807", "18446744074000", "9000000000000", "-5", "-9223372036854775000"} {
		t.Run(leaveAt, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, `{"incarnation":"1","leaving":true,"leaveAtMs":%s}`, leaveAt)
			}))
			defer server.Close()
			health, err := New(nil).Health(t.Context(), server.Listener.Addr().String())
			is.NoErr(err)
			is.Equal(health, draining.Health{Incarnation: "1", Draining: true})
		})
	}
}
