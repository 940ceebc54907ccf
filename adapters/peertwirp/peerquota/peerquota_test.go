package peerquota

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/admission"
	"github.com/azurebarrow/azurebarrow/membership"
)

// fakeQuotaOwner keeps the last request, and answers with grant and err.
type fakeQuotaOwner struct {
	lastRequest admission.GrantRequest
	err         error
}

var grant = admission.Grant{Customer: "c", Concurrency: 3, TokensPerSecond: 2.5, ValidFor: 4 * time.Second}

func (f *fakeQuotaOwner) HandleGrantRequest(request admission.GrantRequest) ([]admission.Grant, error) {
	f.lastRequest = request
	return []admission.Grant{grant}, f.err
}

// TestGrantRequestRoundTrip checks that no field of a request or of a grant is lost or changed by the
// conversions, and that the client returns an error of the quota owner.
func TestGrantRequestRoundTrip(t *testing.T) {
	is := is.New(t)
	owner := &fakeQuotaOwner{}
	prefix, handler := NewHandler(owner)
	mux := http.NewServeMux()
	mux.Handle(prefix, handler)
	server := httptest.NewServer(mux)
	defer server.Close()
	peer := membership.Peer{Address: server.Listener.Addr().String()}
	request := admission.GrantRequest{Entry: "e1", Demands: []admission.Demand{{
		Customer: "c", InUse: 1, Wanted: 2, HeldConcurrency: 3, WantedRate: 4.5, HeldRate: 5.5, HeldFor: time.Second,
	}}}
	client := NewClient(server.Client())
	grants, err := client.RequestGrants(t.Context(), peer, request)
	is.NoErr(err)
	is.Equal(grants, []admission.Grant{grant})
	is.Equal(owner.lastRequest, request)
	owner.err = admission.ErrNotQuotaOwner
	_, err = client.RequestGrants(t.Context(), peer, request)
	is.True(err != nil)
}
