package azurebarrow

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/settings"
)

// freeAddress returns a loopback address with a port that was free just now.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func testSettings(t *testing.T) settings.Settings {
	return settings.Settings{
		Name:             "e1",
		AvailabilityZone: "a",
		CallerAddress:    freeAddress(t),
		PeerAddress:      freeAddress(t),
		AdminAddress:     freeAddress(t),
		Platform:         settings.Platform{URL: "http://" + freeAddress(t)}, // no server listens there
	}
}

func TestEntryWithoutPlatformIsLiveButNotReady(t *testing.T) {
	is := is.New(t)
	configured := testSettings(t)
	entry, err := New(configured, Options{})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- entry.Run(ctx) }()
	for path, status := range map[string]int{"/livez": 200, "/readyz": 503, "/metrics": 200, "/burn": 200} {
		response, err := http.Get("http://" + configured.AdminAddress + path)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		response.Body.Close()
		if response.StatusCode != status {
			t.Errorf("%s: status %d, want %d: %s", path, response.StatusCode, status, body)
		}
	}
	cancel()
	is.NoErr(<-ended)
}

func TestNewReportsAddressInUse(t *testing.T) {
	is := is.New(t)
	configured := testSettings(t)
	taken, err := net.Listen("tcp", configured.PeerAddress)
	is.NoErr(err)
	defer taken.Close()
	_, err = New(configured, Options{})
	is.True(err != nil)
	is.True(strings.HasPrefix(fmt.Sprint(err), "peerAddress: "))
	// New has closed the listeners that it opened before the failure.
	again, err := net.Listen("tcp", configured.CallerAddress)
	is.NoErr(err)
	again.Close()
}
