package directorypeer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/objects"
)

// Guards against a field of a part that is lost between two entries, such as the era that its revisions belong to.
func TestPartsArriveWhole(t *testing.T) {
	is := is.New(t)
	part := directory.Part{
		Kind: directory.KindTarget, Era: 3, Revision: 7, Full: true, Age: 20 * time.Millisecond,
		Objects: []objects.Object{{Kind: directory.KindTarget, Name: "i-1", Revision: 6, Value: []byte("{}")}, {Kind: directory.KindTarget, Name: "i-2", Revision: 7, Deleted: true}},
	}
	is.Equal(partFromWire(partToWire(part)), part)
}
