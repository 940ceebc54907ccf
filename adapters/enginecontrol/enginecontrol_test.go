package enginecontrol

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/control"
	"github.com/azurebarrow/azurebarrow/standin/engine"
)

func TestCommandsInventoryAndHealth(t *testing.T) {
	is := is.New(t)
	options := engine.DefaultOptions()
	options.Loaded = []engine.Version{{Model: "m", Version: "v1"}, {Model: "m", Version: "v2"}}
	standIn := engine.New(options)
	defer standIn.Close()
	server := httptest.NewServer(standIn)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := New(nil)
	ctx := t.Context()

	command := control.Command{ID: "1", Kind: control.CommandUnload, Weights: control.Weights{Model: "m", Version: "v1"}, Fence: 7}
	is.NoErr(client.Send(ctx, address, command))
	inventory, err := client.Inventory(ctx, address)
	is.NoErr(err)
	is.Equal(inventory.Loaded, []control.Weights{{Model: "m", Version: "v2"}})
	is.Equal(inventory.Fence, control.Token(7))
	is.Equal(inventory.Role, control.RoleServe)
	command.Fence = 6
	is.True(errors.Is(client.Send(ctx, address, command), control.ErrFenced))

	standIn.StartDraining(time.Minute)
	health, err := client.Health(ctx, address)
	is.NoErr(err)
	is.True(health.Draining && health.TerminatesIn > 0 && health.TerminatesIn <= time.Minute)
	is.True(health.Incarnation != "")
}
