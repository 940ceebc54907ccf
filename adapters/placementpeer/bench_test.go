package placementpeer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/placementcontrol"
	"github.com/azurebarrow/azurebarrow/routing"
)

// Fleet of the benchmarks: the deployment that has most engines among those measured.
const (
	benchEntries = 83
	benchEngines = 280
)

// benchCoordinator returns the handler of a coordinator.
func benchCoordinator(slots int) (http.Handler, []*directory.Target) {
	var engines []*directory.Target
	for i := range benchEngines {
		engines = append(engines, &directory.Target{
			ID: fmt.Sprintf("i-ams-1-%04d", i), Address: fmt.Sprintf("10.112.%d.%d:18080", i/250, i%250), AvailabilityZone: fmt.Sprintf("ams-%d", i%3), Slots: slots,
		})
	}
	var live []membership.Peer
	for i := range benchEntries {
		live = append(live, membership.Peer{Name: fmt.Sprintf("entry-%d", i)})
	}
	spec := &directory.EngineSpec{Slots: slots, MemoryTokens: 55_000}
	manager := placementcontrol.NewManager(placementcontrol.Options{
		MinEntries: 2, Local: routing.NewPlacement(routing.PlacementOptions{}), View: membership.Static{This: live[0], Peers: live},
		NewView: func() placementcontrol.View { return routing.NewSharedView(routing.SharedViewOptions{}) },
		Service: func(string) (*directory.EngineSpec, []*directory.Target) { return spec, engines },
	})
	mux := http.NewServeMux()
	Register(mux, manager)
	return mux, engines
}

// benchMessages returns messages of all entries, each with streams and copies at some engines.
func benchMessages(b *testing.B, engines []*directory.Target, path string) [][]byte {
	var messages [][]byte
	for i := range 2 * benchEntries {
		request := exampleRequest(6)
		request.Entry, request.Begun, request.Queued, request.Exclude = fmt.Sprintf("entry-%d", i%benchEntries), false, false, nil
		request.Sequence = time.Now().UnixNano()
		request.ID = fmt.Sprint("request-", i)
		for j := range request.Engines {
			engine := engines[(i*7+j*31)%len(engines)]
			request.Engines[j] = routing.EngineLoad{ID: engine.ID, Address: engine.Address, Streams: 1, PrefillTokens: 5000, ResidentTokens: 5700}
		}
		var text []byte
		var err error
		if path == placementPath {
			text, err = json.Marshal(requestToWire(request))
		} else {
			text, err = json.Marshal(reportToWire(request.Report))
		}
		if err != nil {
			b.Fatal(err)
		}
		messages = append(messages, text)
	}
	return messages
}

// BenchmarkCoordinator measures the coordinator's work for one message, without that of the HTTP server. In "queued", no engine has room and
// streams wait.
func BenchmarkCoordinator(b *testing.B) {
	for _, each := range []struct {
		name, path string
		slots      int
	}{{"placement", placementPath, 64}, {"report", reportPath, 64}, {"queued", placementPath, 1}} {
		b.Run(each.name, func(b *testing.B) {
			handler, engines := benchCoordinator(each.slots)
			messages := benchMessages(b, engines, each.path)
			b.ReportAllocs()
			for i := range b.N {
				recorder := httptest.NewRecorder()
				handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, each.path, bytes.NewReader(messages[i%len(messages)])))
				if recorder.Code >= http.StatusMultipleChoices {
					b.Fatal(recorder.Code, recorder.Body.String())
				}
			}
		})
	}
}

// BenchmarkMessage measures a message with the work of both sides over loopback.
func BenchmarkMessage(b *testing.B) {
	handler, engines := benchCoordinator(64)
	messages := benchMessages(b, engines, placementPath)
	server := httptest.NewServer(handler)
	defer server.Close()
	for i := range b.N {
		response, err := http.Post(server.URL+placementPath, "application/json", bytes.NewReader(messages[i%len(messages)]))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body) // keeps the connection
		_ = response.Body.Close()
	}
}
