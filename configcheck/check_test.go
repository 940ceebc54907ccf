package configcheck_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/configcheck"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/platform"
)

const sound = `{"version":7,"routes":[
 {"name":"drafts","hostname":"a.example","path_prefix":"/drafts/","kind":"streaming","timeout_ms":25000,"target_latency_ms":4000,"target_gap_ms":700,"priority":0,"service":"model","max_attempts":5,"stream_resume":true},
 {"name":"book","hostname":"a.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":150,"priority":2,"traffic_split":[{"service":"desk","weight":90},{"service":"desk2","weight":10}],"max_attempts":1}],
 "services":[{"name":"model","max_connections":610,"engine":{"slots":12,"kv_capacity":55000,"models":[{"name":"m"}]}},{"name":"desk","max_connections":560},{"name":"desk2","max_connections":560}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"ranch","api_keys":["k1","k2"],"priority":1}]}`

func decode(t *testing.T, text string) directory.Draft {
	t.Helper()
	draft, err := platform.Decoder{}.Draft([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return draft
}

// Guards against findings in a configuration in which nothing is wrong.
func TestSoundConfigurationHasNoFindings(t *testing.T) {
	is := is.New(t)
	is.Equal(configcheck.Check(decode(t, sound)), nil)
	is.Equal(configcheck.Compare(decode(t, sound), decode(t, sound)), nil)
}

// Guards against faults of a configuration that are sent unnoticed. Each case changes one thing of a sound one.
func TestFaultsAreFoundWithTheirPlace(t *testing.T) {
	for _, each := range []struct{ name, from, to, place, text string }{
		{"version", `"version":7`, `"version":0`, "version", "not positive"},
		{"route hidden by another", `"/book/"`, `"/drafts/"`, "routes[1] (book)", "never matches: routes[0] (drafts)"},
		{"host in other case", `"hostname":"a.example","path_prefix":"/book/"`, `"hostname":"A.Example","path_prefix":"/drafts/"`, "routes[1] (book)", "never matches"},
		{"name of two routes", `"name":"book"`, `"name":"drafts"`, "routes[1] (drafts)", "has the name of"},
		{"no host", `"hostname":"a.example","path_prefix":"/book/"`, `"path_prefix":"/book/"`, "routes[1] (book)", "no host"},
		{"path without a slash", `"/book/"`, `"/book"`, "routes[1] (book)", "slash"},
		{"path with a query", `"/book/"`, `"/book/?a/"`, "routes[1] (book)", "more than a path"},
		{"no timeout", `"timeout_ms":800`, `"timeout_ms":0`, "routes[1] (book)", "time out at once"},
		{"objective beyond the timeout", `"target_latency_ms":150`, `"target_latency_ms":900`, "routes[1] (book)", "exceeds the timeout"},
		{"gap beyond the timeout", `"target_gap_ms":700`, `"target_gap_ms":26000`, "routes[0] (drafts)", "exceeds the timeout"},
		{"gap without streams", `"timeout_ms":800`, `"timeout_ms":800,"target_gap_ms":70`, "routes[1] (book)", "no effect"},
		{"resumable without streams", `"timeout_ms":800`, `"timeout_ms":800,"stream_resume":true`, "routes[1] (book)", "no effect"},
		{"attempts of a stream", `,"stream_resume":true`, ``, "routes[0] (drafts)", "can't be resumed"},
		{"unknown service", `"service":"model"`, `"service":"modle"`, "routes[0] (drafts)", "modle is not among"},
		{"no service", `"service":"model",`, ``, "routes[0] (drafts)", "names no service"},
		{"streams of a plain service", `"service":"model"`, `"service":"desk"`, "routes[0] (drafts)", "has no engines"},
		{"no requests", `"weight":10`, `"weight":0`, "routes[1] (book)", "gets no requests"},
		{"negative weight", `"weight":10`, `"weight":-1`, "routes[1] (book)", "negative"},
		{"weights of 0", `"weight":90},{"service":"desk2","weight":10}`, `"weight":0},{"service":"desk2","weight":0}`, "routes[1] (book)", "add up to 0"},
		{"priority", `"priority":2`, `"priority":12`, "routes[1] (book)", "outside 0 to 9"},
		{"unused service", `{"service":"desk2","weight":10}`, `{"service":"desk","weight":10}`, "services[2] (desk2)", "no route"},
		{"service twice", `"name":"desk2"`, `"name":"desk"`, "services[2] (desk)", "has the name of"},
		{"fewer connections than slots", `"max_connections":610`, `"max_connections":11`, "services[0] (model)", "contradict 12 slots"},
		{"no slots", `"slots":12`, `"slots":0`, "services[0] (model)", "0 slots"},
		{"no memory", `"kv_capacity":55000`, `"kv_capacity":0`, "services[0] (model)", "0 tokens"},
		{"key of two customers", `"priority":1}]`, `"priority":1},{"name":"farm","api_keys":["k2"]}]`, "customers[1] (farm)", "also a key of customers[0] (ranch)"},
		{"customer twice", `"priority":1}]`, `"priority":1},{"name":"ranch","api_keys":["k3"]}]`, "customers[1] (ranch)", "has the name of"},
		{"no keys", `["k1","k2"]`, `[]`, "customers", "answers 401"},
		{"empty key", `["k1","k2"]`, `["k1",""]`, "customers[0] (ranch)", "is empty"},
		{"customer's priority", `"priority":1}]`, `"priority":-1}]`, "customers[0] (ranch)", "outside 0 to 9"},
		{"idle before the head", `"idle_timeout_ms":15000`, `"idle_timeout_ms":1000`, "limits", "contradicts header timeout"},
		{"negative limit", `"max_body_bytes":4194304`, `"max_body_bytes":-1`, "limits", "body bytes is negative"},
		{"timeout below the header timeout", `"timeout_ms":800,"target_latency_ms":150`, `"timeout_ms":200,"target_latency_ms":150`, "routes[1] (book)", "less than a tenth"},
	} {
		t.Run(each.name, func(t *testing.T) {
			if !strings.Contains(sound, each.from) {
				t.Fatalf("the sound configuration lacks %s", each.from)
			}
			findings := configcheck.Check(decode(t, strings.Replace(sound, each.from, each.to, 1)))
			for _, finding := range findings {
				if finding.Place == each.place && strings.Contains(finding.Text, each.text) {
					return
				}
			}
			t.Errorf("%s: %q not found: %v", each.place, each.text, findings)
		})
	}
}

// Guards against differences that an operator isn't shown, against shown keys, and against a version that entries would not follow.
func TestDifferencesFromTheVersionInForce(t *testing.T) {
	is := is.New(t)
	inForce := decode(t, sound)
	changed := sound
	for from, to := range map[string]string{
		`"version":7`: `"version":9`, `"timeout_ms":800`: `"timeout_ms":900`, `"weight":10`: `"weight":20`, `"name":"drafts"`: `"name":"drafts2"`, `"slots":12`: `"slots":10`,
		`["k1","k2"],"priority":1`: `["k1","secret"],"priority":0`, `"idle_timeout_ms":15000`: `"idle_timeout_ms":16000`,
	} {
		changed = strings.Replace(changed, from, to, 1)
	}
	var lines []string
	for _, change := range configcheck.Compare(decode(t, changed), inForce) {
		lines = append(lines, change.String())
	}
	text := strings.Join(lines, "\n")
	for _, wanted := range []string{
		"route drafts2: added", "route drafts: removed", "route book: timeout: 900ms, in force 800ms", "route book: services: desk (weight 90) desk2 (weight 20), in force",
		"service model: engine: ", "customer ranch: priority: 0, in force 1", "customer ranch: 1 keys added, 1 removed", "limits: idle timeout: 16s, in force 15s",
	} {
		is.True(strings.Contains(text, wanted)) // wanted
	}
	is.Equal(len(lines), 8)
	is.True(!strings.Contains(text, "secret"))
	is.Equal(configcheck.CheckVersion(decode(t, changed), inForce), nil)
	is.Equal(len(configcheck.CheckVersion(inForce, inForce)), 1)
	is.Equal(len(configcheck.CheckVersion(inForce, decode(t, changed))), 1)
}

// Guards against a check that panics on what the decoder accepts.
func FuzzCheck(f *testing.F) {
	f.Add(sound)
	f.Add(`{"routes":[{"kind":"streaming"}],"services":[{"engine":{}}],"tenants":[{}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		if !json.Valid([]byte(text)) {
			return
		}
		draft, err := platform.Decoder{}.Draft([]byte(text))
		if err != nil {
			return
		}
		for _, finding := range configcheck.Check(draft) {
			_ = fmt.Sprint(finding)
		}
		configcheck.Compare(draft, decode(t, sound))
	})
}
