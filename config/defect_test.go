//go:build defect

package config

import (
	"testing"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/matryer/is"
)

func TestDefectStaleConfigurationBreaksTheInvariant(t *testing.T) {
	is := is.New(t)
	defer defect.Set(defect.Set(defect.StaleConfiguration))
	manager := NewManager(Options{Registration: Registration{Name: "e"}})
	object := func(revision int64) objects.Object {
		return objects.Object{Kind: v1.KindModel, Name: "m", UID: "u", Revision: revision, Value: []byte(modelJSON("m", "v1"))}
	}
	list := func(revision int64) []Delta {
		return []Delta{deltaOf(v1.KindModel, objects.List{Revision: revision, Items: []objects.Object{object(revision)}})}
	}
	manager.apply("platform", list(2))
	manager.becomeReady("platform")
	before := invariant.Violations()
	manager.apply("platform", list(1))
	is.Equal(invariant.Violations(), before+1)
}
