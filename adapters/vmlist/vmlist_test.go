package vmlist

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/draining"
	standin "github.com/azurebarrow/azurebarrow/standin/vmlist"
)

func TestVMs(t *testing.T) {
	is := is.New(t)
	list := standin.New(standin.Options{})
	server := httptest.NewServer(list)
	defer server.Close()
	list.Set(standin.VM{Address: "10.0.0.1:80", AvailabilityZone: "a", State: standin.Live})
	list.Set(standin.VM{Address: "10.0.0.2:80", AvailabilityZone: "b", State: standin.Leaving, LeaveAtMs: 1500})
	vms, err := New(server.URL, server.Client()).VMs(t.Context())
	is.NoErr(err)
	is.Equal(vms, []draining.VM{
		{Address: "10.0.0.1:80", AvailabilityZone: "a"},
		{Address: "10.0.0.2:80", AvailabilityZone: "b", Terminating: true, TerminatesIn: 1500 * time.Millisecond},
	})
}
