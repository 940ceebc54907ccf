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
	held := streamversion.NewManager(streamversion.Options{View: membership.Static{}})
	mux := http.NewServeMux()
	mux.Handle(NewHandler(held))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	peer := membership.Peer{Address: strings.TrimPrefix(server.URL, "http://")}
	client := NewClient(server.Client())
	record := streamversion.Record{Stream: "r&1", Customer: "ranch", Version: "v1.1"}

	_, found, err := client.Get(t.Context(), peer, record.Stream, record.Customer)
	is.NoErr(err)
	is.True(!found)
	is.NoErr(client.Put(t.Context(), peer, record))
	got, found, err := client.Get(t.Context(), peer, record.Stream, record.Customer)
	is.NoErr(err)
	is.True(found)
	is.Equal(got, record)
	_, found, err = client.Get(t.Context(), peer, record.Stream, "another")
	is.NoErr(err)
	is.True(!found)
	is.True(client.Put(t.Context(), peer, streamversion.Record{}) != nil)
}

// Guards against an entry that takes what a peer has seen since its own start for all that served before.
func TestServingVersionsTravelOnlyIfThePeerKnowsThemAll(t *testing.T) {
	for _, store := range []streamversion.Store{nil, unreadStore{}} {
		is := is.New(t)
		asked := streamversion.NewManager(streamversion.Options{View: membership.Static{}, Store: store})
		asked.ObserveServing("drafts", []string{"v1", "v2"})
		mux := http.NewServeMux()
		mux.Handle(NewHandler(asked))
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		peer := membership.Peer{Address: strings.TrimPrefix(server.URL, "http://")}
		serving, known, err := NewClient(server.Client()).Serving(t.Context(), peer)
		is.NoErr(err)
		is.Equal(known, store == nil)
		if known {
			is.Equal(serving, map[string][]string{"drafts": {"v1", "v2"}})
		}
	}
}

// unreadStore is a store that has not been read.
type unreadStore struct{ streamversion.Store }

// Guards against an entry of a former build, which has no such path, that is taken for one that holds the record.
func TestEntryWithoutThePathHoldsNothing(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	peer := membership.Peer{Address: strings.TrimPrefix(server.URL, "http://")}
	client := NewClient(server.Client())
	is.True(client.Put(t.Context(), peer, streamversion.Record{Stream: "r"}) != nil)
	_, found, err := client.Get(t.Context(), peer, "r", "ranch")
	is.True(err != nil)
	is.True(!found)
}
