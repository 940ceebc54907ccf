package azurebarrow_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/standin/engine"
	"github.com/azurebarrow/azurebarrow/standin/linkfault"
	"github.com/azurebarrow/azurebarrow/standin/service"
)

// cutEntry is the entry whose links to all targets are cut.
const cutEntry = "n1"

// linkedCluster is a cluster of native entries, one of which can lose its links to all targets.
type linkedCluster struct {
	*cluster.Cluster
	links *linkfault.Links
	// client sends to the cut entry only.
	client *caller.Caller
}

const (
	lostLinkTokens   = 200
	lostLinkInterval = 5 * time.Millisecond
	// lostLinkPatience is the callers' patience: many times what a detour takes, less than a loss lasts.
	lostLinkPatience = 5 * time.Second
)

func startLinkedCluster(t *testing.T) *linkedCluster {
	t.Helper()
	c := &linkedCluster{links: linkfault.New()}
	engines := engine.DefaultOptions()
	engines.TokenInterval, engines.FixedLength, engines.Divergent = lostLinkInterval, lostLinkTokens, true
	var err error
	c.Cluster, err = cluster.Start(t.Context(), cluster.Options{
		Seed: 1, Entries: 4, Directory: t.TempDir(),
		Deployments: []cluster.DeploymentOptions{cluster.Generation(3, engines), cluster.Service(3, service.Options{})},
		DialTarget: func(ctx context.Context, entry, network, address string) (net.Conn, error) {
			if entry == cutEntry {
				return c.links.Dial(ctx, network, address)
			}
			return new(net.Dialer).DialContext(ctx, network, address)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	t.Cleanup(func() { c.links.Apply(linkfault.Sound) })
	c.client = caller.New(caller.Options{Addresses: []string{c.Entry(cutEntry).CallerAddress}, Seed: 1, Timeout: lostLinkPatience})
	t.Cleanup(c.client.Close)
	return c
}

// call sends a call to the cut entry.
func (c *linkedCluster) call(t *testing.T, method, path, key string) *caller.CallResult {
	ctx, cancel := context.WithTimeout(t.Context(), lostLinkPatience)
	defer cancel()
	return c.client.Do(ctx, caller.Call{
		APIKey: cluster.APIKey(cluster.DefaultCustomer), Deployment: cluster.DefaultService, Method: method, Path: path, Key: key, Body: "412 kg",
	}, c.Entry(cutEntry).CallerAddress)
}

// executions returns how often the services ran a call.
func (c *linkedCluster) executions(key string) int {
	runs := 0
	for _, target := range c.Services() {
		for _, execution := range target.Service().Executions() {
			if strings.HasSuffix(execution.Key, key) {
				runs++
			}
		}
	}
	return runs
}

func linkedRequest(key string) caller.Request {
	return caller.Request{
		Key: key, APIKey: cluster.APIKey(cluster.DefaultCustomer), Deployment: cluster.DefaultGeneration, Prompt: "history of " + key,
		MaxTokens: lostLinkTokens, Length: lostLinkTokens, Model: cluster.DefaultModel, Version: cluster.DefaultVersion,
	}
}

// Guards against a native entry whose only path to the targets is its own link: without it, it refused calls and waited
// with generations although its peers reached the targets.
func TestNativeEntryWithoutLinksServesThroughPeers(t *testing.T) {
	for _, mode := range linkfault.Modes {
		t.Run(string(mode), func(t *testing.T) {
			is := is.NewRelaxed(t)
			c := startLinkedCluster(t)
			c.links.Apply(mode)
			for i := range 5 {
				for _, each := range []struct{ name, method, path string }{
					{"once", http.MethodPost, cluster.AtMostOncePath}, {"repeatable", http.MethodPost, cluster.IdempotentPath},
					{"interactive", http.MethodGet, cluster.InteractivePath},
				} {
					key := fmt.Sprintf("%s-%s-%d", each.name, mode, i)
					result := c.call(t, each.method, each.path, key)
					t.Logf("%s: status %d, %s %s %v after %v", key, result.Status, result.Outcome, result.Code, result.Err, result.Duration)
					is.True(result.Answered())
					is.Equal(result.Status, http.StatusOK)
					if each.name == "once" {
						is.Equal(c.executions(key), 1)
					}
				}
			}
			answer := c.client.Generate(t.Context(), linkedRequest("draft-"+string(mode)))
			t.Logf("generation: %s, %d tokens, %d reconnects, %s", answer.Status, len(answer.Tokens), len(answer.Reconnects), answer.Message)
			is.Equal(answer.Status, caller.Complete)
			is.Equal(len(answer.Reconnects), 0)
			is.Equal(len(answer.Violations), 0)
		})
	}
}

// Guards against a stream in progress that waits until the links are back, and against a crash recorded by the entry that
// lost them.
func TestNativeStreamInProgressGoesOnThroughPeers(t *testing.T) {
	for _, mode := range []linkfault.Mode{linkfault.Hang, linkfault.Reset, linkfault.Refuse} {
		t.Run(string(mode), func(t *testing.T) {
			is := is.NewRelaxed(t)
			c := startLinkedCluster(t)
			client := caller.New(caller.Options{
				Addresses: []string{c.Entry(cutEntry).CallerAddress}, Seed: 1, Timeout: lostLinkPatience,
				OnToken: func(index int, _ string) {
					if index == lostLinkTokens/10 {
						c.links.Apply(mode)
					}
				},
			})
			defer client.Close()
			answer := client.Generate(t.Context(), linkedRequest("draft-"+string(mode)))
			t.Logf("generation: %s, %d tokens after %v, %d reconnects, %s", answer.Status, len(answer.Tokens), answer.Ended, len(answer.Reconnects), answer.Message)
			is.Equal(answer.Status, caller.Complete)
			is.Equal(len(answer.Reconnects), 0)
			is.Equal(len(answer.Violations), 0)
			log, err := os.ReadFile(c.Entry(cutEntry).LogFile())
			is.NoErr(err)
			is.True(!strings.Contains(string(log), "death-charged"))
		})
	}
}
