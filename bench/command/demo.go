package command

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/standin/engine"
)

// The demonstration's sizes.
const (
	demoEngines = 3
	demoEntries = 3
	demoTokens  = 240
	// demoKillAt is the token after which the engine is killed.
	demoKillAt    = 100
	demoTimeout   = 50 * time.Second
	demoReadyPoll = 20 * time.Millisecond
	demoPrecision = 100 * time.Microsecond
	demoCustomer  = "cooperative"
)

type demoCommand struct {
	Bin string `long:"bin" description:"directory of the programs; that of this one when empty"`
}

// Execute runs the demonstration.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	d, err := newDemo(c.Bin)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return err
	}
	return d.stream(ctx)
}

var errDemoFailed = errors.New("the demonstration failed")

// stream makes the request, kills the engine that serves it, and judges the answer.
func (d *demo) stream(ctx context.Context) error {
	var addresses []string
	for _, entry := range d.entries {
		addresses = append(addresses, entry.callers)
	}
	output := bufio.NewWriter(os.Stdout)
	var killed time.Time
	var victim string
	client := caller.New(caller.Options{Addresses: addresses, Seed: 1, Timeout: demoTimeout, OnToken: func(index int, text string) {
		printToken(output, index, text)
		if index == demoKillAt {
			victim, killed = d.killServing(output)
		}
	}})
	defer client.Close()
	fmt.Println("Streaming; token texts are a chain of hashes, so that any wrong token shows.")
	result := client.Generate(ctx, caller.Request{
		Key:        "demo",
		APIKey:     cluster.APIKey(demoCustomer),
		Deployment: "drafting",
		Prompt:     "Draft the weight-gain summary of lot 17.",
		MaxTokens:  demoTokens,
		Seed:       7,
		Model:      "ranch",
		Version:    "v1",
		Length:     demoTokens,
	})
	output.Flush()
	return d.judge(result, victim, killed)
}

const (
	tokensPerLine = 10
	// shownBytes is the part of a token that is shown.
	shownBytes = 8
)

func printToken(output *bufio.Writer, index int, text string) {
	fmt.Fprintf(output, "%.*s ", shownBytes, text)
	if index%tokensPerLine == tokensPerLine-1 {
		fmt.Fprintln(output)
	}
	output.Flush()
}

// killServing kills the engine that runs the stream.
func (d *demo) killServing(output io.Writer) (name string, at time.Time) {
	for _, e := range d.engines {
		if serves(e.address) {
			_ = e.process.Process.Kill()
			fmt.Fprintf(output, "\n--- engine %s killed (SIGKILL) ---\n", e.name)
			return e.name, time.Now()
		}
	}
	return "", time.Time{}
}

func serves(address string) bool {
	stats, err := engineStats(address)
	return err == nil && stats.Running > 0
}

func engineStats(address string) (stats engine.Stats, err error) {
	response, err := http.Get("http://" + address + "/stats")
	if err != nil {
		return stats, err
	}
	defer response.Body.Close()
	return stats, json.NewDecoder(response.Body).Decode(&stats)
}

// printCost says what the surviving engines did for the rest of the answer.
func (d *demo) printCost(victim string) {
	for _, e := range d.engines {
		stats, err := engineStats(e.address)
		if e.name == victim || err != nil || stats.Streams == 0 {
			continue
		}
		fmt.Printf("cost: engine %s read %d tokens of prompt and output again and generated %d; %d were needed\n",
			e.name, stats.PrefillTokens, stats.DecodeTokens, demoTokens-demoKillAt-1)
	}
}

func (d *demo) judge(result *caller.Result, victim string, killed time.Time) error {
	for _, text := range result.Violations {
		fmt.Println("WRONG: " + text)
	}
	fmt.Printf("\nanswer: %s, %d of %d tokens\n", result.Status, len(result.Tokens), demoTokens)
	if victim == "" {
		return fmt.Errorf("%w: no engine was found to serve the stream", errDemoFailed)
	}
	next := demoKillAt + 1
	if len(result.Arrivals) > next {
		resumed := result.Started.Add(result.Arrivals[next])
		fmt.Printf("resume latency: %v from the engine's death to the next token\n", resumed.Sub(killed).Round(demoPrecision))
	}
	d.printCost(victim)
	missing := max(0, demoTokens-len(result.Tokens))
	fmt.Printf("missing tokens: %d, repeated tokens: %d, findings by the verifier: %d, reconnects of the caller: %d\n",
		missing, result.Repeated, len(result.Violations), len(result.Reconnects))
	if result.Status != caller.Complete || missing > 0 || len(result.Violations) > 0 {
		return errDemoFailed
	}
	return nil
}
