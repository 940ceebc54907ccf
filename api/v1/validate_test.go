package v1

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const goodModel = `apiVersion: azurebarrow.dev/v1
kind: Model
metadata: {name: summaries}
spec:
  versions:
  - {name: v1, weightBytes: 1000}
`

const faultyDeployment = `apiVersion: azurebarrow.dev/v1
kind: Deployment
metadata:
  name: Drafts
spec:
  type: generation
  model: summaries
  version: v2
  colour: blue
  targets: [e1, e1]
  customers:
  - name: ranch
    priority: 12
  recovery:
    detachedGrace: soon
    duplicationBudget: "0.1"
  objectives:
  - {kind: resumeLatency, share: 1}
`

func findingLines(files map[string]string) []string {
	var documents []Document
	var findings Findings
	for file, text := range files {
		decoded, found := Decode(file, []byte(text))
		documents = append(documents, decoded...)
		findings = append(findings, found...)
	}
	findings = append(findings, Validate(documents)...)
	findings.Sort()
	lines := make([]string, len(findings))
	for i, finding := range findings {
		lines[i] = finding.String()
	}
	return lines
}

func TestValidateReportsAllFindingsWithTheirLines(t *testing.T) {
	is := is.New(t)
	found := findingLines(map[string]string{"model.yaml": goodModel, "drafts.yaml": faultyDeployment})
	is.Equal(found, []string{
		`drafts.yaml:4: metadata.name: must be at most 63 lower-case letters, digits, dots and dashes, is "Drafts"`,
		`drafts.yaml:8: spec.version: model "summaries" has no version "v2"`,
		`drafts.yaml:9: spec.colour: unknown field`,
		`drafts.yaml:10: spec.targets[0]: unknown target "e1"`,
		`drafts.yaml:10: spec.targets[1]: repeats spec.targets[0]`,
		`drafts.yaml:10: spec.targets[1]: unknown target "e1"`,
		`drafts.yaml:12: spec.customers[0].name: unknown customer "ranch"`,
		`drafts.yaml:13: spec.customers[0].priority: must be between 0 and 9, is 12`,
		`drafts.yaml:15: spec.recovery.detachedGrace: time: invalid duration "soon"`,
		`drafts.yaml:16: spec.recovery.duplicationBudget: must be a finite number`,
		`drafts.yaml:18: spec.objectives[0].share: must be above 0 and below 1, is 1`,
		`drafts.yaml:18: spec.objectives[0].threshold: must be above 0s`,
	})
}

func TestDecodeReadsJSONIndentedByTabs(t *testing.T) {
	is := is.New(t)
	text := strings.ReplaceAll(`{
	"apiVersion": "azurebarrow.dev/v1", "kind": "Target",
	"metadata": {"name": "e1", "revision": 9007199254740993},
	"spec": {"type": "engine", "address": "10.0.0.1:80", "availabilityZone": "a", "capabilities": {"resume": true}}
}`, "'", `"`)
	documents, findings := Decode("e1.json", []byte(text))
	is.NoErr(findings.Err())
	is.NoErr(Validate(documents).Err())
	target := documents[0].Resource.(*Target)
	is.Equal(target.Metadata.Revision, int64(9007199254740993))
	is.True(target.Spec.Capabilities.Resume)
}

func TestDecodeContinuesAfterAFaultyDocument(t *testing.T) {
	is := is.New(t)
	documents, findings := Decode("all.yaml", []byte("kind: Nothing\n---\n"+goodModel+"---\n"+goodModel))
	is.Equal(len(documents), 2)
	is.Equal(len(findings), 1)
	is.Equal(findings[0].Path, "kind")
	duplicates := Validate(documents)
	is.Equal(len(duplicates), 1)
	is.Equal(duplicates[0].Scope, ScopeReference)
	is.Equal(duplicates[0].Line, 12) // the name in the second copy of the model
}

func TestCustomersMustNotShareAKeyHash(t *testing.T) {
	is := is.New(t)
	hash := strings.Repeat("a", 64)
	customer := func(name string) string {
		return "apiVersion: " + APIVersion + "\nkind: Customer\nmetadata: {name: " + name + "}\nspec: {apiKeyHashes: [" + hash + "]}\n"
	}
	found := findingLines(map[string]string{"all.yaml": customer("c1") + "---\n" + customer("c2")})
	is.Equal(found, []string{"all.yaml:9: spec.apiKeyHashes[0]: is already used by Customer/c1"})
}

func TestDecodeLimitsNesting(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{strings.Repeat("[", 1<<16), strings.Repeat("- ", 1<<16), strings.Repeat("{a: ", 1<<16)} {
		_, findings := Decode("deep.yaml", []byte(text))
		is.Equal(len(findings), 1)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(goodModel))
	f.Add([]byte(faultyDeployment))
	f.Add([]byte("kind: Customer\nspec: {apiKeyHashes: 3, tokensPerSecond: .nan}\n---\n- a\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		documents, findings := Decode("fuzz.yaml", text)
		findings = append(findings, Validate(documents)...)
		for _, finding := range findings {
			if finding.File != "fuzz.yaml" || finding.Line < 1 || finding.Message == "" {
				t.Fatalf("finding without file, line or message: %+v", finding)
			}
		}
	})
}
