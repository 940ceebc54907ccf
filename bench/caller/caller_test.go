package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/azurebarrow/azurebarrow/standin/chain"
	"github.com/matryer/is"
)

var request = Request{Key: "k", Prompt: "p", MaxTokens: 6, Seed: 1, Model: "m", Version: "v", Length: 6}

// event is one server-sent event of a fake entry.
type event struct {
	id     string
	text   string
	finish string
}

func (e event) String() string {
	finish := "null"
	if e.finish != "" {
		finish = `"` + e.finish + `"`
	}
	return fmt.Sprintf("id: %s\ndata: {\"choices\":[{\"text\":%q,\"finish_reason\":%s}]}\n\n", e.id, e.text, finish)
}

// correctEvents returns the events of the correct answer, starting at an index.
func correctEvents(from int) []event {
	tokens := chain.NewGenerator(request.chain()).Tokens(request.Length)
	var events []event
	for i := from; i < len(tokens); i++ {
		events = append(events, event{id: fmt.Sprintf("g.1.%d", i), text: tokens[i]})
	}
	return append(events, event{id: fmt.Sprintf("g.1.%d", len(tokens)), finish: "length"})
}

// generateFromScript makes a request to a fake entry. Each connection receives its events of the
// script, the last connection also the end marker. It returns the result and the Last-Event-ID of each
// connection.
func generateFromScript(t *testing.T, connections ...[]event) (*Result, []string) {
	t.Helper()
	var lastEvents []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		index := len(lastEvents)
		lastEvents = append(lastEvents, r.Header.Get("Last-Event-ID"))
		for _, e := range connections[index] {
			fmt.Fprint(w, e)
		}
		if index == len(connections)-1 {
			fmt.Fprint(w, "data: [DONE]\n\n")
		}
	}))
	defer server.Close()
	caller := New(Options{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}, Seed: 1})
	defer caller.Close()
	return caller.Generate(context.Background(), request), lastEvents
}

func TestCorrectAnswerOverTwoConnections(t *testing.T) {
	is := is.New(t)
	result, lastEvents := generateFromScript(t, correctEvents(0)[:3], correctEvents(3))
	is.Equal(result.Status, Complete)
	is.Equal(len(result.Violations), 0)
	is.Equal(lastEvents, []string{"", "g.1.2"})
	is.Equal(len(result.Reconnects), 1)
	is.Equal(result.Reconnects[0].Index, 3)
}

func TestWrongAnswersAreDetected(t *testing.T) {
	correct := correctEvents(0)
	altered := correctEvents(0)
	altered[2].text = "00000000ffffffff "
	otherGeneration := correctEvents(0)
	otherGeneration[4].id = "h.1.4"
	cases := map[string][][]event{
		"missing token":            {append(correct[:2:2], correct[3:]...)},
		"repeated token":           {append(correct[:3:3], correct[2:]...)},
		"repeated after reconnect": {correct[:3], correctEvents(2)},
		"altered token":            {altered},
		"two generations":          {otherGeneration},
		"cut short":                {append(correct[:3:3], event{id: "g.1.3", finish: "stop"})},
		"no finish reason":         {correct[:6]},
	}
	for name, connections := range cases {
		t.Run(name, func(t *testing.T) {
			result, _ := generateFromScript(t, connections...)
			is.New(t).True(len(result.Violations) > 0)
		})
	}
}
