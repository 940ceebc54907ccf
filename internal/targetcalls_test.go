package internal

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// A way by which a request reaches a target, and the test that shows that a request which crashes targets is refused
// there, or why it needs none.
type targetWay struct {
	// call is the place in the form "file function called".
	call string
	// test guards the way; empty if reason says why it needs none.
	test, reason string
	// pause says why the way keeps to the pauses that targets ask for.
	pause string
}

var targetWays = []targetWay{
	{"service/forward.go startAttempt Sender.Send", "TestCallThatCrashesTargetsIsRefusedByTheWholeFleet", "", "behind paths.Do"},
	{"generation/relayattempt.go readStream Engine.Open", "TestRequestThatCrashesThreeEnginesIsRefused", "", "behind paths.Do"},
	{"service/executorcrashes.go send Transport.Do", "TestCallOfAnyClassThatCrashesTargetsIsRefused", "", "native interface: a 503 is the answer of the service, and asks its caller"},
	{"generation/start.go openStream Engine.Generate", "TestPoisonRequestKillsAtMostThreeTargets", "", "native interface: its engines ask for no pause"},
	{"generation/produceractions.go attach Engine.Attach", "", "reads a run that the target still has; nothing is run", "native interface: its engines ask for no pause"},
	{"generation/relaycopy.go sendCopyCommand engine.CopyKVCache", "", "copies the cache of a run in progress; nothing is run", "behind paths.Do"},
	{"adapters/passthrough/targets.go Open paths.Do", "", "behind Engine.Open", "behind paths.Do"},
	{"entry/rollouts.go Open RelayEngine.Open", "", "behind Engine.Open", "behind paths.Do"},
	{"entry/rollouts.go Send Sender.Send", "", "behind Sender.Send", "behind paths.Do"},
	{"adapters/passthrough/targets.go Send paths.Do", "", "behind Sender.Send", "behind paths.Do"},
	{"adapters/passthrough/targets.go callEngine paths.Do", "", "behind CopyKVCache and FreeCopy: the engine's management interface", "behind paths.Do"},
	{"adapters/passthrough/paths.go SendDirectly pool.Do", "", "behind paths.Do, or a request that the peer which asks has judged behind its own", "asks TakePause"},
	{"adapters/passthrough/paths.go Do peers.Do", "", "behind paths.Do, through a peer", "asks TakePause before it, and the peer asks its own"},
	{"adapters/targetcall/transport.go New pool.Do", "", "behind Transport.Do, Engine.Generate and Engine.Attach; else a cancellation, an order or a poll, which run no request", "native interface: behind them"},
	{"targetlinks.go sendDirectly pool.Do", "", "behind these three, or a request that the peer which asks has judged behind its own", "native interface, as these"},
	{"targetlinks.go send peers.Do", "", "behind these three, through a peer", "native interface, as these"},
	{"adapters/peerexchange/client.go Do pool.Do", "", "behind peers.Do: a connection to the peer", "behind peers.Do"},
	{"adapters/peerexchange/client.go Probe pool.Do", "", "asks a peer to connect to a target; nothing is run", "a connection without a request"},
}

var targetCall = regexp.MustCompile(`^((pool|paths|peers)\.Do|Sender\.Send|Transport\.Do|(Relay)?Engine\.(Open|Generate|Attach)|engine\.CopyKVCache)$`)

// calledName returns the last two names of a call's function, as "pool.Do" for t.pool.Do(…).
func calledName(call *ast.CallExpr) string {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	switch receiver := method.X.(type) {
	case *ast.SelectorExpr:
		return receiver.Sel.Name + "." + method.Sel.Name
	case *ast.Ident:
		return receiver.Name + "." + method.Sel.Name
	}
	return ""
}

// findTargetCalls returns the calls in the tree that send something to a target, and the names of all tests.
func findTargetCalls(t *testing.T) (calls []string, tests map[string]bool) {
	tests = map[string]bool{}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		relative := filepath.ToSlash(strings.TrimPrefix(path, ".."+string(filepath.Separator)))
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, source, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		skipped := strings.HasPrefix(relative, "bench/") || strings.HasPrefix(relative, "standin/") || strings.HasSuffix(path, "_test.go")
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok || function.Body == nil {
				continue
			}
			if strings.HasPrefix(function.Name.Name, "Test") {
				tests[function.Name.Name] = true
			}
			if skipped {
				continue
			}
			ast.Inspect(function.Body, func(node ast.Node) bool {
				if call, ok := node.(*ast.CallExpr); ok && targetCall.MatchString(calledName(call)) {
					calls = append(calls, relative+" "+function.Name.Name+" "+calledName(call))
				}
				return true
			})
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return calls, tests
}

// Guards against a new way to a target that sends within the pauses which targets ask for, or that neither records the crashes of targets nor asks before it sends.
func TestEveryWayToATargetIsGuardedAgainstRequestsThatCrashIt(t *testing.T) {
	calls, tests := findTargetCalls(t)
	for _, call := range calls {
		if !slices.ContainsFunc(targetWays, func(way targetWay) bool { return way.call == call }) {
			t.Errorf("%s is a way to a target that is not listed with its test", call)
		}
	}
	for _, way := range targetWays {
		if !slices.Contains(calls, way.call) {
			t.Errorf("%s is listed and does not exist", way.call)
		}
		if (way.test == "") == (way.reason == "") || way.test != "" && !tests[way.test] {
			t.Errorf("%s needs a test that exists, or a reason", way.call)
		}
		if way.pause == "" {
			t.Errorf("%s doesn't say how it keeps to the pauses that targets ask for", way.call)
		}
	}
}
