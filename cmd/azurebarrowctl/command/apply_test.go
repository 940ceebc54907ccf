package command

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/standin/platform"
)

func modelDocument(t *testing.T, version string) v1.Document {
	text := "apiVersion: " + v1.APIVersion + "\nkind: Model\nmetadata: {name: m}\nspec: {versions: [{name: " + version + "}]}\n"
	documents, findings := v1.Decode("m.yaml", []byte(text))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	return documents[0]
}

// TestApplyRetriesAfterStatusWriteButNotAfterSpecChange guards against an apply that fails because the status
// changed since the resource was read, and against one that overwrites the spec of another writer.
func TestApplyRetriesAfterStatusWriteButNotAfterSpecChange(t *testing.T) {
	is := is.New(t)
	store := platform.New(platform.DefaultOptions())
	server := httptest.NewServer(store)
	defer server.Close()
	a := &applier{client: platformhttp.New(server.URL, platformhttp.Options{})}
	put := func(document v1.Document, status string) storedResource {
		value, err := encodeStored(document, storedResource{})
		is.NoErr(err)
		if status != "" {
			value = append(value[:len(value)-1], `,"status":`+status+`}`...)
		}
		return decodeStored(store.Put(v1.KindModel, "m", value))
	}
	first := put(modelDocument(t, "v1"), "")
	put(modelDocument(t, "v1"), `{"observedGeneration":1}`) // only the status changed
	result := change{Key: first.document.Key(), Kind: changeUpdate}
	is.NoErr(a.applyOne(t.Context(), modelDocument(t, "v2"), first, &result))
	is.Equal(result.Kind, changeUpdate)
	is.Equal(result.Revision, int64(3))
	applied := decodeStored(store.Objects(v1.KindModel)[0])
	is.Equal(applied.document.Resource.State().ObservedGeneration, int64(1)) // the status was kept

	put(modelDocument(t, "theirs"), "")
	result = change{Key: first.document.Key(), Kind: changeUpdate}
	is.NoErr(a.applyOne(t.Context(), modelDocument(t, "v3"), applied, &result))
	is.Equal(result.Kind, changeConflict)
	is.Equal(result.Message, "was at revision 3, somebody else made it revision 4")
	is.Equal(decodeStored(store.Objects(v1.KindModel)[0]).object.Revision, int64(4))
}
