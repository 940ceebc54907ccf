package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/standin/service"
)

// callerCommand: caller start NAME [entry=E] [key=K] [prompt=P] [tokens=N] [seed=S] |
// wait NAME token=N | expect NAME STATUS [reconnects=N] [cut-before=TOKEN].
func callerCommand(ctx context.Context, w *world, a arguments) error {
	if err := w.started(); err != nil {
		return err
	}
	if len(a.names) == 0 {
		return fmt.Errorf("%w: caller %s wants a name", errUsage, a.verb)
	}
	name := a.names[0]
	if a.verb == "start" {
		return startCaller(w, a, name)
	}
	r, known := w.callers[name]
	if !known {
		return fmt.Errorf("%w: no caller %q", errUsage, name)
	}
	switch a.verb {
	case "wait":
		token, err := a.number("token", 0)
		if err != nil {
			return err
		}
		return r.waitToken(ctx, token)
	case "expect":
		return r.expect(ctx, a)
	}
	return fmt.Errorf("%w: caller %s", errUsage, a.verb)
}

func startCaller(w *world, a arguments, name string) error {
	tokens, err := a.number("tokens", answerTokens)
	if err != nil {
		return err
	}
	seed, err := a.number("seed", 1)
	if err != nil {
		return err
	}
	first, err := w.firstAddress(a)
	if err != nil {
		return err
	}
	r := &running{done: make(chan struct{}), token: make(chan int, tokens)}
	r.client = caller.New(caller.Options{
		Addresses:   w.cluster.Addresses(),
		Seed:        int64(seed),
		Timeout:     callerTimeout,
		IdleTimeout: callerIdle,
		OnToken:     func(index int, _ string) { r.offer(index + 1) },
	})
	w.callers[name] = r
	request := caller.Request{
		Key:        a.text("key", name),
		APIKey:     cluster.APIKey(cluster.DefaultCustomer),
		Deployment: cluster.DefaultGeneration,
		Prompt:     a.text("prompt", "history-of-"+name),
		MaxTokens:  tokens,
		Seed:       int64(seed),
		Model:      w.generation.Model,
		Version:    w.generation.Version,
		Length:     tokens,
	}
	if request.Model == "" {
		request.Model, request.Version = cluster.DefaultModel, cluster.DefaultVersion
	}
	go func() {
		defer close(r.done)
		defer r.client.Close()
		r.result = r.client.GenerateAt(context.Background(), request, first)
	}()
	return nil
}

// firstAddress returns the address of the entry asked for, or of the first one.
func (w *world) firstAddress(a arguments) (string, error) {
	name := a.text("entry", "")
	if name == "" {
		return w.cluster.Addresses()[0], nil
	}
	e, err := w.entry(name)
	if err != nil {
		return "", err
	}
	return e.CallerAddress, nil
}

func (r *running) offer(count int) {
	select {
	case r.token <- count:
	default: // a caller that gets too many tokens is found wrong anyway
	}
}

func (r *running) waitToken(ctx context.Context, token int) error {
	for r.count < token {
		select {
		case r.count = <-r.token:
		case <-r.done:
			if len(r.token) > 0 {
				continue // the select may see the end first
			}
			return fmt.Errorf("the answer ended as %s before token %d", r.result.Status, token)
		case <-ctx.Done():
			return fmt.Errorf("%w: at token %d of %d", errTimeout, r.count, token)
		}
	}
	return nil
}

func (r *running) expect(ctx context.Context, a arguments) error {
	select {
	case <-r.done:
	case <-ctx.Done():
		return fmt.Errorf("%w: the answer has not ended", errTimeout)
	}
	if len(r.result.Violations) > 0 {
		return fmt.Errorf("wrong answer: %s", strings.Join(r.result.Violations, "; "))
	}
	wanted := a.names[1:]
	if !slices.Contains(wanted, string(r.result.Status)) {
		return fmt.Errorf("status %s (%s %s) after %d tokens and %d reconnects, want %s", r.result.Status,
			r.result.Code, r.result.Outcome, len(r.result.Tokens), len(r.result.Reconnects), strings.Join(wanted, " or "))
	}
	reconnects, err := a.number("reconnects", len(r.result.Reconnects))
	if err != nil {
		return err
	}
	if reconnects != len(r.result.Reconnects) {
		return fmt.Errorf("%d reconnects, want %d: %v", len(r.result.Reconnects), reconnects, r.result.Reconnects)
	}
	return r.expectCutBefore(a)
}

// expectCutBefore fails unless the answer was interrupted, for the first time before the given token.
func (r *running) expectCutBefore(a arguments) error {
	if _, given := a.values["cut-before"]; !given {
		return nil
	}
	token, err := a.number("cut-before", 0)
	if err != nil {
		return err
	}
	if cuts := r.result.Reconnects; len(cuts) == 0 || cuts[0].Index >= token {
		return fmt.Errorf("not interrupted before token %d: %v", token, cuts)
	}
	return nil
}

// callRecord is a call of a service and its answers, one for each try.
type callRecord struct {
	call    caller.Call
	done    chan struct{}
	results []*caller.CallResult
}

// targetKey returns the key under which targets saw the call, with or without the customer.
func (r *callRecord) targetKey(w *world) string {
	for _, t := range w.cluster.Services() {
		for _, seen := range t.Service().Keys() {
			if seen.Key == r.call.Key || strings.HasSuffix(seen.Key, "/"+r.call.Key) {
				return seen.Key
			}
		}
	}
	return r.call.Key
}

// callCommand: call many PATH count=N | call post|get NAME PATH [entry=E] [body=B] | retry NAME [entry=E] | start NAME PATH …
// in the background | expect NAME OUTCOME…, where OUTCOME is answered, not-run, unknown or broken.
func callCommand(ctx context.Context, w *world, a arguments) error {
	if err := w.started(); err != nil {
		return err
	}
	if len(a.names) == 0 {
		return fmt.Errorf("%w: call %s wants a name", errUsage, a.verb)
	}
	name := a.names[0]
	switch a.verb {
	case "many":
		return manyCalls(ctx, w, a)
	case "post", "get", "start":
		return newCall(ctx, w, a, name)
	}
	record := w.calls[name]
	if record == nil {
		return fmt.Errorf("%w: no call %q", errUsage, name)
	}
	if err := record.wait(ctx); err != nil {
		return err
	}
	switch a.verb {
	case "retry":
		return record.try(ctx, w, a)
	case "expect":
		return record.expect(a.names[1:])
	}
	return fmt.Errorf("%w: call %s", errUsage, a.verb)
}

// manyCalls makes look-ups one after the other, all of which must be answered.
func manyCalls(ctx context.Context, w *world, a arguments) error {
	count, err := a.number("count", 1)
	if err != nil {
		return err
	}
	address, err := w.firstAddress(a)
	if err != nil {
		return err
	}
	client := caller.New(caller.Options{Addresses: w.cluster.Addresses()})
	defer client.Close()
	for i := range count {
		result := client.Do(ctx, caller.Call{
			APIKey:     cluster.APIKey(cluster.DefaultCustomer),
			Deployment: cluster.DefaultService,
			Method:     http.MethodGet,
			Path:       a.names[0],
		}, address)
		if !result.Answered() {
			return fmt.Errorf("call %d: status %d, code %s, %v", i, result.Status, result.Code, result.Err)
		}
	}
	return nil
}

func newCall(ctx context.Context, w *world, a arguments, name string) error {
	const wantedNames = 2
	if len(a.names) != wantedNames {
		return fmt.Errorf("%w: want a name and a path", errUsage)
	}
	method := http.MethodPost
	if a.verb == "get" {
		method = http.MethodGet
	}
	record := &callRecord{done: make(chan struct{}), call: caller.Call{
		Key:        a.text("key", name),
		APIKey:     cluster.APIKey(cluster.DefaultCustomer),
		Deployment: cluster.DefaultService,
		Method:     method,
		Path:       a.names[1],
		Body:       a.text("body", "412-kg"),
	}}
	w.calls[name] = record
	if a.verb != "start" {
		close(record.done)
		return record.try(ctx, w, a)
	}
	go func() {
		defer close(record.done)
		background, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		_ = record.try(background, w, a)
	}()
	return nil
}

func (r *callRecord) wait(ctx context.Context) error {
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: the call has not ended", errTimeout)
	}
}

// try makes one try; whatever comes of it is kept for "call expect".
func (r *callRecord) try(ctx context.Context, w *world, a arguments) error {
	address, err := w.firstAddress(a)
	if err != nil {
		return err
	}
	patience, err := a.duration("patience", callerTimeout)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	client := caller.New(caller.Options{Addresses: w.cluster.Addresses()})
	defer client.Close()
	r.results = append(r.results, client.Do(ctx, r.call, address))
	return nil
}

// expect compares the outcome of the last try.
func (r *callRecord) expect(wanted []string) error {
	last := r.results[len(r.results)-1]
	outcome := "broken"
	switch {
	case last.Outcome != "":
		outcome = last.Outcome
	case last.Answered():
		outcome = "answered"
		var answer service.Answer
		if json.Unmarshal([]byte(last.Body), &answer) != nil || !strings.HasSuffix(answer.Key, r.call.Key) || answer.Path != r.call.Path {
			return fmt.Errorf("the answer is not to this call: %s", last.Body)
		}
	}
	if !slices.Contains(wanted, outcome) {
		return fmt.Errorf("%s (status %d, code %s, %v), want %s", outcome, last.Status, last.Code, last.Err, strings.Join(wanted, " or "))
	}
	return nil
}
