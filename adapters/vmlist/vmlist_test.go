package vmlist

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
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

// Guards against one odd entry among the VMs, for which no VM counted as leaving any more.
func TestOddVMLeavesTheOthersReadable(t *testing.T) {
	deep := strings.Repeat(`{"a":[`, 20_000) + strings.Repeat(`]}`, 20_000)
	for name, odd := range map[string]string{
		"deeply nested":           deep,
		"deeply nested field":     `{"address":"10.0.0.9:80","state":"live","x":` + deep + `}`,
		"deeply nested zone":      `{"address":"10.0.0.9:80","state":"leaving","availabilityZone":` + deep + `}`,
		"address of another type": `{"address":7,"state":"leaving"}`,
		"port out of range":       `{"address":"10.0.0.9:65536","state":"leaving"}`,
		"port 0":                  `{"address":"10.0.0.9:0","state":"leaving"}`,
		"no address":              `{"state":"leaving"}`,
		"state of another type":   `{"address":"10.0.0.9:80","state":{}}`,
		"no item":                 `"x"`,
		"null":                    `null`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := serveList(t, `{"items":[{"address":"10.0.0.1:80","availabilityZone":"a","state":"live"},`+odd+
				`,{"address":"10.0.0.2:80","availabilityZone":"b","state":"leaving","leaveAtMs":1500}]}`)
			vms, err := New(server.URL, server.Client()).VMs(t.Context())
			is.NoErr(err)
			sound := slices.DeleteFunc(vms, func(vm draining.VM) bool { return vm.Address == "10.0.0.9:80" && !vm.Terminating })
			is.Equal(sound, []draining.VM{
				{Address: "10.0.0.1:80", AvailabilityZone: "a"},
				{Address: "10.0.0.2:80", AvailabilityZone: "b", Terminating: true, TerminatesIn: 1500 * time.Millisecond},
			})
		})
	}
}

// Guards against a time out of range that hides that a VM leaves, or becomes an arbitrary one.
func TestVMWithAnOddTimeLeavesAtAnUnknownOne(t *testing.T) {
	for _, leaveAt := range []string{`1e999`, `99999999999999999999`, `9223372036854775807`, `9000000000000`, `-5`, `"soon"`, `{}`} {
		t.Run(leaveAt, func(t *testing.T) {
			is := is.New(t)
			server := serveList(t, `{"items":[{"address":"10.0.0.2:80","state":"leaving","leaveAtMs":`+leaveAt+`}]}`)
			vms, err := New(server.URL, server.Client()).VMs(t.Context())
			is.NoErr(err)
			is.Equal(vms, []draining.VM{{Address: "10.0.0.2:80", Terminating: true}})
		})
	}
}

// Guards against an answer that is cut off being taken for a list without VMs.
func TestAnswerThatIsNoListIsAnError(t *testing.T) {
	for _, text := range []string{``, `[]`, `null`, `{"items":[`, `{"items":{}}`} {
		is := is.New(t)
		server := serveList(t, text)
		_, err := New(server.URL, server.Client()).VMs(t.Context())
		is.True(err != nil)
	}
}

func serveList(t *testing.T, text string) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }))
	t.Cleanup(server.Close)
	return server
}
