package membership

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/azurebarrow/azurebarrow/objects"
)

// KindEntry is the kind of the platform objects that describe the entries.
const KindEntry = "Entry"

// Objects is the part of the platform's object store that ObjectDirectory uses.
type Objects interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (objects.List, error)
	// Delete removes an object if its revision is still the expected one.
	Delete(ctx context.Context, kind, name string, expected int64) error
}

// ObjectDirectory is a Directory over the platform's objects of kind KindEntry, one per entry. The
// configuration manager of each entry writes its object.
type ObjectDirectory struct {
	objects Objects
}

// NewObjectDirectory returns a Directory that reads and deletes the objects of objects.
func NewObjectDirectory(objects Objects) *ObjectDirectory { return &ObjectDirectory{objects: objects} }

// entryObject is the value of an object of KindEntry.
type entryObject struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availabilityZone"`
	Incarnation      uint64 `json:"incarnation"`
}

// isAddress reports whether the text is the address and port of a peer. The unspecified address is one on a single host.
func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && !address.Addr().IsMulticast()
}

// List implements Directory. It skips objects that can't be decoded or have no address.
func (d *ObjectDirectory) List(ctx context.Context) ([]Peer, error) {
	list, err := d.objects.List(ctx, KindEntry)
	if err != nil {
		return nil, err
	}
	peers := make([]Peer, 0, len(list.Items))
	for _, item := range list.Items {
		var entry entryObject
		if json.Unmarshal(item.Value, &entry) != nil || !isAddress(entry.Address) {
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

// Remove implements Directory. It keeps the object of a later incarnation.
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
