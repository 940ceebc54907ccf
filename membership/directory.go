package membership

import (
	"context"
	"encoding/json"

	"github.com/azurebarrow/azurebarrow/objects"
)

// KindEntry is the kind of the platform's objects that name the entries.
const KindEntry = "Entry"

// Objects is the port to the platform's objects.
type Objects interface {
	// List returns the objects of a kind.
	List(ctx context.Context, kind string) (objects.List, error)
	// Delete removes an object whose revision is still the expected one.
	Delete(ctx context.Context, kind, name string, expected int64) error
}

// ObjectDirectory is a Directory over the platform's objects, one for each entry. The entry's
// configuration manager writes them.
type ObjectDirectory struct {
	objects Objects
}

// NewObjectDirectory returns a Directory over objects.
func NewObjectDirectory(objects Objects) *ObjectDirectory { return &ObjectDirectory{objects: objects} }

// entryObject is the value of an object of KindEntry.
type entryObject struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availabilityZone"`
	Incarnation      uint64 `json:"incarnation"`
}

// List implements Directory. Objects that can't be read are passed over.
func (d *ObjectDirectory) List(ctx context.Context) ([]Peer, error) {
	list, err := d.objects.List(ctx, KindEntry)
	if err != nil {
		return nil, err
	}
	peers := make([]Peer, 0, len(list.Items))
	for _, item := range list.Items {
		var entry entryObject
		if json.Unmarshal(item.Value, &entry) != nil || entry.Address == "" {
			continue
		}
		peers = append(peers, Peer{
			Name:             item.Name,
			Address:          entry.Address,
			AvailabilityZone: entry.AvailabilityZone,
			Incarnation:      entry.Incarnation,
		})
	}
	return peers, nil
}

// Remove implements Directory. The object of a later life is left alone.
func (d *ObjectDirectory) Remove(ctx context.Context, peer Peer) error {
	list, err := d.objects.List(ctx, KindEntry)
	if err != nil {
		return err
	}
	for _, item := range list.Items {
		var entry entryObject
		if item.Name != peer.Name || json.Unmarshal(item.Value, &entry) != nil {
			continue
		}
		if entry.Incarnation > peer.Incarnation {
			return nil
		}
		return d.objects.Delete(ctx, KindEntry, item.Name, item.Revision)
	}
	return nil
}
