// Package load generates open-loop load. Requests start at their planned times, however slow the
// answers are, and every latency is measured from the planned start, so that a stall of the entries
// shows in all requests that it delays (no coordinated omission).
package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/caller"
)

// Customer is one customer's part of the load.
type Customer struct {
	APIKey string
	// Weight is the customer's relative share of the requests; values below 1 count as 1.
	Weight int
	// Priority is the requested priority; nil for the customer's own.
	Priority *int
}

// Options describes a load.
type Options struct {
	Seed int64
	// RatePerSecond is the mean rate of a Poisson process of arrivals.
	RatePerSecond float64
	Duration      time.Duration
	// PromptBytes and OutputTokens are drawn independently for each request.
	PromptBytes  Distribution
	OutputTokens Distribution
	// SharedPrefixes is the number of shared prompt prefixes, SharedBytes the length of each, and
	// SharedShare the fraction of requests whose prompt starts with one.
	SharedPrefixes int
	SharedBytes    int
	SharedShare    float64
	Customers      []Customer
	Deployment     string
	Model          string
	Version        string
	// KeyPrefix is the prefix of the requests' idempotency keys.
	KeyPrefix string
}

// Arrival is a request with its planned start, counted from the start of the load.
type Arrival struct {
	At      time.Duration
	Request caller.Request
}

// Plan returns random arrivals, sorted by time. The same options give the same plan.
func Plan(options Options) []Arrival {
	random := rand.New(rand.NewPCG(uint64(options.Seed), 2))
	prefixes := sharedPrefixes(options)
	var plan []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / options.RatePerSecond * float64(time.Second))
		if at >= options.Duration {
			return plan
		}
		plan = append(plan, Arrival{At: at, Request: drawRequest(options, prefixes, random, len(plan))})
	}
}

func drawRequest(options Options, prefixes []string, random *rand.Rand, index int) caller.Request {
	customer := pickCustomer(options.Customers, random)
	prompt := fmt.Sprintf("request %d of seed %d. ", index, options.Seed)
	if len(prefixes) > 0 && random.Float64() < options.SharedShare {
		prompt = prefixes[random.IntN(len(prefixes))] + prompt
	}
	return caller.Request{
		Key:        fmt.Sprintf("%s%d-%d", options.KeyPrefix, options.Seed, index),
		APIKey:     customer.APIKey,
		Priority:   customer.Priority,
		Deployment: options.Deployment,
		Prompt:     pad(prompt, options.PromptBytes.Draw(random)),
		MaxTokens:  options.OutputTokens.Draw(random),
		Seed:       int64(index),
		Model:      options.Model,
		Version:    options.Version,
	}
}

func pickCustomer(customers []Customer, random *rand.Rand) Customer {
	total := 0
	for _, c := range customers {
		total += max(1, c.Weight)
	}
	drawn := random.IntN(total)
	for _, c := range customers {
		drawn -= max(1, c.Weight)
		if drawn < 0 {
			return c
		}
	}
	return customers[len(customers)-1]
}

func sharedPrefixes(options Options) []string {
	var list []string
	for i := range options.SharedPrefixes {
		list = append(list, pad(fmt.Sprintf("shared notes %d of seed %d. ", i, options.Seed), options.SharedBytes))
	}
	return list
}

const filler = "the line was opened and the herd was weighed; "

// pad extends text with filler to the given length. A longer text is returned as it is.
func pad(text string, bytes int) string {
	missing := bytes - len(text)
	if missing <= 0 {
		return text
	}
	return text + strings.Repeat(filler, missing/len(filler)+1)[:missing]
}
