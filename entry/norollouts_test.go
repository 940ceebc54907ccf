package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against calls to the store, messages and other behaviour of an entry in a deployment without bounds for rollouts.
func TestEntryWithoutBoundsKnowsNoRollouts(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 2)
	cluster.store.Put("rollouts", "drafts", json.RawMessage(`{"service":"drafts","to":"v2","duration_s":60}`))
	time.Sleep(time.Second)
	for i, entry := range cluster.entries {
		_, text, err := cluster.request(i, "POST", "/drafts/x", fmt.Sprint("s", i), "k1", "prompt")
		is.NoErr(err)
		is.Equal(text, expectedStream("/drafts/x"))
		is.Equal(len(entry.directory.Snapshot().Rollouts()), 0)
		for class := range entry.directory.StoreCalls() {
			is.True(!strings.HasPrefix(class, "rollout"))
		}
		for address, path := range map[string]string{entry.settings.PeerAddress: "/rollout-reports", entry.settings.AdminAddress: "/rollouts"} {
			response, err := http.Post("http://"+address+path, "application/json", strings.NewReader("{}"))
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, http.StatusNotFound)
		}
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	is.True(len(cluster.storeCalls) > 0)
	for call := range cluster.storeCalls {
		is.True(!strings.Contains(call, "rollouts"))
	}
}
