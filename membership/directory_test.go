package membership

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/objects"
)

// fixedObjects is a store whose list never changes; it records what is deleted.
type fixedObjects struct {
	list    objects.List
	deleted []string
}

func (f *fixedObjects) List(context.Context, string) (objects.List, error) { return f.list, nil }

func (f *fixedObjects) Delete(_ context.Context, _, name string, _ int64) error {
	f.deleted = append(f.deleted, name)
	return nil
}

// Guards against an odd entry of another writer that counts as a peer, which entries would probe.
func TestOddEntryIsNoPeer(t *testing.T) {
	entry := func(address, incarnation string) string {
		return fmt.Sprintf(`{"address":%q,"availabilityZone":"a","incarnation":%s}`, address, incarnation)
	}
	deep := strings.Repeat(`{"a":[`, 20_000) + strings.Repeat(`]}`, 20_000)
	for name, odd := range map[string]string{
		"deeply nested":          deep,
		"deeply nested field":    `{"address":"10.0.0.9:80","x":` + deep + `}`,
		"no value":               ``,
		"null":                   `null`,
		"incarnation too large":  entry("10.0.0.9:80", "1e999"),
		"incarnation negative":   entry("10.0.0.9:80", "-1"),
		"port 0":                 entry("10.0.0.9:0", "5"),
		"port out of range":      entry("10.0.0.9:65536", "5"),
		"port of another type":   entry("10.0.0.9:http", "5"),
		"address without a port": entry("10.0.0.9", "5"),
		"address of many hosts":  entry("224.0.0.1:80", "5"),
		"no address":             entry(":80", "5"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &fixedObjects{list: objects.List{Items: []objects.Object{
				{Name: "first", Value: []byte(entry("10.0.0.1:80", "1"))},
				{Name: "odd", Value: []byte(odd)},
				{Name: "last", Value: []byte(entry("10.0.0.2:80", "2"))},
			}}}
			directory := NewObjectDirectory(store)
			peers, err := directory.List(t.Context())
			is.NoErr(err)
			var names []string
			for _, peer := range peers {
				names = append(names, peer.Name)
			}
			is.Equal(names, []string{"first", "last"})
			is.NoErr(directory.Remove(t.Context(), peers[1]))
			is.Equal(store.deleted, []string{"last"})
		})
	}
}
