package streamversionpeer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/streamversion"
)

func TestRecordsTravelBetweenEntries(t *testing.T) {
	is := is.New(t)
	held := streamversion.NewManager(membership.Static{}, nil)
	mux := http.NewServeMux()
	mux.Handle(NewHandler(held))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	peer := membership.Peer{Address: strings.TrimPrefix(server.URL, "http://")}
	client := NewClient(server.Client())
	record := streamversion.Record{Stream: "r&1", Customer: "ranch", Version: "v1.1"}

	_, found, err := client.Get(t.Context(), peer, record.Stream)
	is.NoErr(err)
	is.True(!found)
	is.NoErr(client.Put(t.Context(), peer, record))
	got, found, err := client.Get(t.Context(), peer, record.Stream)
	is.NoErr(err)
	is.True(found)
	is.Equal(got, record)
	is.True(client.Put(t.Context(), peer, streamversion.Record{}) != nil)
}

// Guards against an entry of a former build, which has no such path, that is taken for one that holds the record.
func TestEntryWithoutThePathHoldsNothing(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	peer := membership.Peer{Address: strings.TrimPrefix(server.URL, "http://")}
	client := NewClient(server.Client())
	is.True(client.Put(t.Context(), peer, streamversion.Record{Stream: "r"}) != nil)
	_, found, err := client.Get(t.Context(), peer, "r")
	is.True(err != nil)
	is.True(!found)
}
