package entry

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are handled by a configuration that was replaced while their bodies were read.
func TestRequestIsHandledByTheConfigurationInForceWhenItsBodyHasArrived(t *testing.T) {
	const bodyAfter = 800 * time.Millisecond
	is := is.NewRelaxed(t)
	c := startCluster(t, 1)
	desks := c.startDesks(t, 6, 0)
	var calls sync.WaitGroup
	for _, id := range []string{"early", "late"} {
		calls.Go(func() {
			after := map[string]time.Duration{"early": 0, "late": bodyAfter}[id]
			status, err := c.callOverOwnConnection("/search/x", id, after)
			is.NoErr(err)
			is.Equal(status, map[string]int{"early": http.StatusOK, "late": http.StatusUnauthorized}[id])
		})
	}
	time.Sleep(bodyAfter / 4)
	c.configure(4, "k2") // revokes the callers' key
	calls.Wait()
	for _, desk := range desks {
		_, ran := desk.runs(t)["late"]
		is.True(!ran)
	}
}
