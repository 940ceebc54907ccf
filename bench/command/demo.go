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

// Parameters of the demonstration.
const (
	demoEngines = 3
	demoEntries = 3
	demoTokens  = 240
	// demoKillIndex is the index of the token after which the engine is killed.
	demoKillIndex        = 100
	demoTimeout          = 50 * time.Second
	demoReadyPoll        = 20 * time.Millisecond
	demoLatencyPrecision = 100 * time.Microsecond
	demoCustomer         = "cooperative"
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

// stream sends the request, kills the engine that serves it, and checks the answer.
func (d *demo) stream(ctx context.Context) error {
	var addresses []string
	for _, entry := range d.entries {
		addresses = append(addresses, entry.callerAddress)
	}
	output := bufio.NewWriter(os.Stdout)
	var killed time.Time
	var killedEngine string
	client := caller.New(caller.Options{Addresses: addresses, Seed: 1, Timeout: demoTimeout, OnToken: func(index int, text string) {
		printToken(output, index, text)
		if index == demoKillIndex {
			killedEngine, killed = d.killServingEngine(output)
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
	return d.checkAnswer(result, killedEngine, killed)
}

const (
	tokensPerLine = 10
	// shownBytes is the number of bytes of each token text that are printed.
	shownBytes = 8
)

func printToken(output *bufio.Writer, index int, text string) {
	fmt.Fprintf(output, "%.*s ", shownBytes, text)
	if index%tokensPerLine == tokensPerLine-1 {
		fmt.Fprintln(output)
	}
	output.Flush()
}

// killServingEngine kills the engine that serves the stream; name is empty when none does.
func (d *demo) killServingEngine(output io.Writer) (name string, at time.Time) {
	for _, e := range d.engines {
		if hasRunningStream(e.address) {
			_ = e.process.Process.Kill()
			fmt.Fprintf(output, "\n--- engine %s killed (SIGKILL) ---\n", e.name)
			return e.name, time.Now()
		}
	}
	return "", time.Time{}
}

func hasRunningStream(address string) bool {
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

// printCost prints how many tokens the surviving engines prefilled and generated for the rest of the
// answer.
func (d *demo) printCost(killedEngine string) {
	for _, e := range d.engines {
		stats, err := engineStats(e.address)
		if e.name == killedEngine || err != nil || stats.Streams == 0 {
			continue
		}
		fmt.Printf("cost: engine %s read %d tokens of prompt and output again and generated %d; %d were needed\n",
			e.name, stats.PrefillTokens, stats.DecodeTokens, demoTokens-demoKillIndex-1)
	}
}

// checkAnswer prints the result and returns an error unless the answer is complete and correct.
func (d *demo) checkAnswer(result *caller.Result, killedEngine string, killed time.Time) error {
	for _, text := range result.Violations {
		fmt.Println("WRONG: " + text)
	}
	fmt.Printf("\nanswer: %s, %d of %d tokens\n", result.Status, len(result.Tokens), demoTokens)
	if killedEngine == "" {
		return fmt.Errorf("%w: no engine was found to serve the stream", errDemoFailed)
	}
	next := demoKillIndex + 1
	if len(result.Arrivals) > next {
		resumed := result.Started.Add(result.Arrivals[next])
		fmt.Printf("resume latency: %v from the engine's death to the next token\n", resumed.Sub(killed).Round(demoLatencyPrecision))
	}
	d.printCost(killedEngine)
	missing := max(0, demoTokens-len(result.Tokens))
	fmt.Printf("missing tokens: %d, repeated tokens: %d, findings by the verifier: %d, reconnects of the caller: %d\n",
		missing, result.Repeated, len(result.Violations), len(result.Reconnects))
	if result.Status != caller.Complete || missing > 0 || len(result.Violations) > 0 {
		return errDemoFailed
	}
	return nil
}
