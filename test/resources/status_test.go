// Package resources tests what operators see of their resources at running entries.
package resources

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/standin/engine"
)

// patience bounds the waits; a test that needs it fails.
const patience = 40 * time.Second

func startCluster(t *testing.T) *cluster.Cluster {
	options := engine.DefaultOptions()
	options.ServeAnyVersion = false
	options.WeightLoadTime = 50 * time.Millisecond
	c, err := cluster.Start(t.Context(), cluster.Options{
		Entries:     3,
		Directory:   t.TempDir(),
		Deployments: []cluster.DeploymentOptions{cluster.Generation(2, options)},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// resourceOf returns the stored resource of the kind and name.
func resourceOf(c *cluster.Cluster, kind, name string) v1.Resource {
	for _, object := range c.Platform.Objects(kind) {
		documents, _ := v1.Decode(object.Kind, object.Value)
		if object.Name == name && len(documents) == 1 {
			return documents[0].Resource
		}
	}
	return nil
}

// awaitCondition waits until the condition has the wanted status, and returns it.
func awaitCondition(t *testing.T, c *cluster.Cluster, key v1.ResourceKey, kind v1.ConditionType, wanted bool) v1.Condition {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	for ctx.Err() == nil {
		if resource := resourceOf(c, key.Kind, key.Name); resource != nil {
			for _, condition := range resource.State().Conditions {
				if condition.Type == kind && condition.Status == wanted {
					return condition
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s: %s did not become %t", key, kind, wanted)
	return v1.Condition{}
}

// awaitLoads waits until every engine was ordered to load weights.
func awaitLoads(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for _, target := range c.Engines() {
		for target.Engine().Stats().WeightLoads == 0 {
			if time.Now().After(deadline) {
				t.Fatalf("%s was not ordered to load", target.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func TestEntriesRollOutAndWriteStatus(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	is.NoErr(cluster.Apply(c, &v1.Model{
		Metadata: v1.Metadata{Name: cluster.DefaultModel},
		Spec:     v1.ModelSpec{Versions: []v1.ModelVersion{{Name: cluster.DefaultVersion}}},
	}))
	deployment := v1.ResourceKey{Kind: v1.KindDeployment, Name: cluster.DefaultGeneration}
	awaitCondition(t, c, deployment, v1.ConditionInForce, true)
	awaitLoads(t, c)
	awaitCondition(t, c, deployment, v1.ConditionDegraded, false)

	c.Platform.Put(v1.KindModel, "broken", json.RawMessage(`{"apiVersion":"azurebarrow.dev/v1","kind":"Model","metadata":{"name":"broken"},"spec":{"versions":[]}}`))
	broken := v1.ResourceKey{Kind: v1.KindModel, Name: "broken"}
	refused := awaitCondition(t, c, broken, v1.ConditionAccepted, false)
	is.Equal(refused.Message, "Model/broken:1: spec.versions: must name at least one version")
}
