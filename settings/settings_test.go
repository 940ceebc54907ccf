package settings

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

const valid = `name: e1
availabilityZone: a
callerAddress: 127.0.0.1:8080
peerAddress: 127.0.0.1:8180
adminAddress: 127.0.0.1:8280
platform:
  url: http://127.0.0.1:7000
peers:
- {name: e2, address: "127.0.0.1:8181", availabilityZone: b}
limits:
  retryWindow: 90s
`

func TestParseValidSettings(t *testing.T) {
	is := is.New(t)
	parsed, findings := Parse("entry.yaml", []byte(valid))
	is.Equal(len(findings), 0)
	is.Equal(parsed.Peers[0].Name, "e2")
	is.Equal(parsed.Limits.RetryWindow, 90*time.Second)
	is.Equal(parsed.Limits.BodyBytes, int64(DefaultBodyBytes))
}

func TestParseReportsAllFindingsWithFileAndLine(t *testing.T) {
	is := is.New(t)
	_, findings := Parse("entry.yaml", []byte(`name: e1
availabilityZone: a
callerAddress: localhost:8080
peerAddress: 127.0.0.1
adminAdress: 127.0.0.1:8280
platform: {url: "ftp://x"}
peers:
- name: e2
  availabilityZone: b
  address: 127.0.0.1:1
- name: e2
  availabilityZone: b
  address: 127.0.0.1:2
limits: {bodyBytes: many, retryWindow: -1s}
`))
	var lines []string
	for _, finding := range findings {
		lines = append(lines, finding.String())
	}
	is.Equal(lines, []string{
		`entry.yaml:5: adminAdress: unknown setting`,
		`entry.yaml:14: limits.bodyBytes: cannot read many as int64`,
		`entry.yaml:3: callerAddress: "localhost:8080": the host must be an IP number`,
		`entry.yaml:4: peerAddress: "127.0.0.1" is not host:port`,
		`entry.yaml: adminAddress: is required`,
		`entry.yaml:6: platform.url: "ftp://x" is not an http or https URL`,
		`entry.yaml:11: peers[1].name: "e2" stands twice`,
		`entry.yaml:14: limits.retryWindow: -1s is negative`,
	})
}

func TestParseReportsLineOfSyntaxError(t *testing.T) {
	is := is.New(t)
	_, findings := Parse("entry.yaml", []byte("name: e1\npeers: [\n"))
	is.Equal(len(findings), 1)
	is.True(findings[0].Line > 0)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("name: [a, b]\nlimits: 3\npeers: {}\n"))
	f.Fuzz(func(_ *testing.T, data []byte) { Parse("fuzz.yaml", data) })
}

// Guards against limits of callers that refuse ordinary requests.
func TestLimitsOfCallersAreChecked(t *testing.T) {
	is := is.New(t)
	_, findings := Parse("entry.yaml", []byte(valid+"  callerMemoryBytes: 2097152\n  callerConnections: 20\n"))
	is.Equal(len(findings), 0)
	_, findings = Parse("entry.yaml", []byte(valid+"  callerMemoryBytes: 64\n  callerConnections: -1\n"))
	is.Equal(len(findings), 2)
	is.Equal(findings[0].String(), "entry.yaml:12: limits.callerMemoryBytes: 64 is less than 2097152")
	is.Equal(findings[1].String(), "entry.yaml:13: limits.callerConnections: -1 is negative")
}

// Guards against bounds of rollouts that switch rollouts on by themselves, and against bounds that mean nothing.
func TestRolloutBounds(t *testing.T) {
	is := is.New(t)
	is.Equal(Passthrough{}.withDefaults().Rollouts, Rollouts{})
	is.Equal(Passthrough{Rollouts: Rollouts{Slack: 9}}.withDefaults().Rollouts, Rollouts{Slack: 9})
	is.Equal(Passthrough{Rollouts: Rollouts{Share: 0.1}}.withDefaults().Rollouts, Rollouts{Share: 0.1, Slack: 50, RollbackAfter: 5 * time.Second})
	for _, each := range []struct {
		bounds Rollouts
		faults int
	}{
		{Rollouts{}, 0}, {Rollouts{Share: 1}, 0}, {Rollouts{Share: 1.1}, 1}, {Rollouts{Share: math.NaN()}, 1}, {Rollouts{Slack: math.Inf(1)}, 1},
		{Rollouts{Share: -0.1, Slack: -1, RollbackAfter: -1}, 3},
	} {
		faults := 0
		each.bounds.validate(func(string, string, ...any) { faults++ })
		is.Equal(faults, each.faults)
	}
}

// Guards against shared placement that is disabled by default, or that settings can't disable.
func TestSharedPlacementSettings(t *testing.T) {
	is := is.New(t)
	is.Equal(Passthrough{}.withDefaults().SharedPlacement, SharedPlacement{MinEntries: 32, MinLinkMbps: 50})
	is.Equal(Passthrough{SharedPlacement: SharedPlacement{MinEntries: -1, MinLinkMbps: 10}}.withDefaults().SharedPlacement, SharedPlacement{MinEntries: -1, MinLinkMbps: 10})
	is.True(!Passthrough{}.withDefaults().IsNarrowForPlacement()) // an unknown bandwidth
	is.True(!Passthrough{LinkMbps: 50}.withDefaults().IsNarrowForPlacement())
	is.True(Passthrough{LinkMbps: 49}.withDefaults().IsNarrowForPlacement())
	for _, bandwidth := range []float64{-1, math.NaN(), math.Inf(1)} {
		parsed, findings := Parse("entry.yaml", []byte(valid))
		is.Equal(len(findings), 0)
		parsed.Interface, parsed.Passthrough.ReadyAddress = InterfacePassthrough, "127.0.0.1:8380"
		parsed.Passthrough.SharedPlacement.MinLinkMbps = bandwidth
		is.Equal(len(Check("test", parsed)), 1)
	}
}
