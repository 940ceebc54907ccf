package scenarios

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/standin/engine"
	"github.com/azurebarrow/azurebarrow/standin/service"
	"github.com/rogpeppe/go-internal/testscript"
)

// worldKey is the key of a script's world among its values.
type worldKey struct{}

// Limits of every wait of a script; a pass never depends on how long something took.
const (
	stepTimeout   = 25 * time.Second
	callerTimeout = 25 * time.Second
	// callerIdle is how long a caller waits for a silent entry.
	callerIdle = 1500 * time.Millisecond
	pollPause  = 5 * time.Millisecond
	// vmListLag is how late the VM list shows changes.
	vmListLag = 100 * time.Millisecond
	// tokenInterval is the engines' time between tokens unless a script says otherwise.
	tokenInterval = 5 * time.Millisecond
	answerTokens  = 200
	// naturalTokens is the length at which engines end an answer of their own accord.
	naturalTokens = 1000
)

// world is what one script has started.
type world struct {
	cluster    *cluster.Cluster
	generation cluster.DeploymentOptions
	service    cluster.DeploymentOptions
	callers    map[string]*running
	calls      map[string]*callRecord
	defect     string
}

// params returns the parameters for the scripts that match a pattern.
func params(pattern string) testscript.Params {
	files, err := filepath.Glob(pattern)
	if err != nil {
		panic(err) // the pattern is malformed
	}
	return testscript.Params{
		Files: files,
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform": command(platformCommand),
			"engine":   command(engineCommand),
			"service":  command(serviceCommand),
			"entry":    command(entryCommand),
			"caller":   command(callerCommand),
			"call":     command(callCommand),
			"vm":       command(vmCommand),
			"config":   command(configCommand),
			"link":     command(linkCommand),
		},
	}
}

func setup(env *testscript.Env) error {
	w := &world{callers: map[string]*running{}, calls: map[string]*callRecord{}, defect: os.Getenv(defectVariable)}
	env.Values[worldKey{}] = w
	env.Defer(func() {
		if w.cluster != nil {
			w.cluster.Close()
		}
	})
	return nil
}

// defectVariable passes a defect to the entries of a script.
const defectVariable = "AZUREBARROW_DEFECT"

// arguments are a command's words: a verb, names, and key=value pairs.
type arguments struct {
	verb   string
	names  []string
	values map[string]string
}

func parse(words []string) arguments {
	parsed := arguments{values: map[string]string{}}
	for i, word := range words {
		name, value, pair := strings.Cut(word, "=")
		switch {
		case i == 0:
			parsed.verb = word
		case pair:
			parsed.values[name] = value
		default:
			parsed.names = append(parsed.names, word)
		}
	}
	return parsed
}

func (a arguments) text(name, fallback string) string {
	if value, given := a.values[name]; given {
		return value
	}
	return fallback
}

func (a arguments) number(name string, fallback int) (int, error) {
	value, given := a.values[name]
	if !given {
		return fallback, nil
	}
	return strconv.Atoi(value)
}

func (a arguments) duration(name string, fallback time.Duration) (time.Duration, error) {
	value, given := a.values[name]
	if !given {
		return fallback, nil
	}
	return time.ParseDuration(value)
}

var (
	errUsage   = errors.New("usage")
	errTimeout = errors.New("waited too long")
)

// only returns the single name of a command.
func (a arguments) only() (string, error) {
	if len(a.names) != 1 {
		return "", fmt.Errorf("%w: %s wants one name", errUsage, a.verb)
	}
	return a.names[0], nil
}

// action is a command of the test language. An error fails the script, or is wanted after "!".
type action func(ctx context.Context, w *world, a arguments) error

// command makes an action a command of testscript.
func command(run action) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, words []string) {
		if len(words) == 0 {
			ts.Fatalf("usage: want a verb")
		}
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		defer cancel()
		err := run(ctx, ts.Value(worldKey{}).(*world), parse(words))
		if errors.Is(err, errUsage) {
			ts.Fatalf("%v", err)
		}
		if err != nil && !negated {
			ts.Logf("%s", ts.Value(worldKey{}).(*world).lastLogLines())
			ts.Fatalf("%s: %v", strings.Join(words, " "), err)
		}
		if err == nil && negated {
			ts.Fatalf("%s: succeeded unexpectedly", strings.Join(words, " "))
		}
		if err != nil {
			ts.Logf("as wanted: %v", err)
		}
	}
}

// shownLogLines is how much of each entry's log a failure shows.
const shownLogLines = 12

// lastLogLines returns the ends of the entries' logs.
func (w *world) lastLogLines() string {
	if w.cluster == nil {
		return ""
	}
	var text strings.Builder
	for _, e := range w.cluster.Entries {
		log, err := os.ReadFile(e.LogFile())
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(log)), "\n")
		lines = lines[max(0, len(lines)-shownLogLines):]
		fmt.Fprintf(&text, "log of %s:\n%s\n", e.Name, strings.Join(lines, "\n"))
	}
	return text.String()
}

// eventually waits until a condition holds; its error tells what was seen last.
func eventually(ctx context.Context, condition func() error) error {
	for {
		err := condition()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", errTimeout, err)
		case <-time.After(pollPause):
		}
	}
}

func (w *world) started() error {
	if w.cluster == nil {
		return fmt.Errorf("%w: \"platform start\" comes first", errUsage)
	}
	return nil
}

// start starts the platform and declares the two deployments without targets.
func (w *world) start(prefer v1.RecoveryPreference) error {
	binary, err := exec.LookPath(programName)
	if err != nil {
		return err
	}
	engineOptions := engine.DefaultOptions()
	engineOptions.TokenInterval = tokenInterval
	engineOptions.FixedLength = naturalTokens
	engineOptions.Divergent = true
	w.generation = cluster.Generation(0, engineOptions)
	w.generation.Recovery.Prefer = prefer
	w.service = cluster.Service(0, service.Options{})
	options := cluster.Options{
		Seed:        1,
		Processes:   true,
		Binary:      binary,
		VMListLag:   vmListLag,
		DrainNotice: drainNotice,
	}
	if w.defect != "" {
		options.Environment = []string{defectVariable + "=" + w.defect}
	}
	w.cluster, err = cluster.New(options)
	return err
}

func (w *world) redeclare() error {
	return errors.Join(w.cluster.UpdateDeployment(w.generation), w.cluster.UpdateDeployment(w.service))
}

// target finds an engine or service; "serving" is the engine that runs a stream now.
func (w *world) target(name string) (*cluster.Target, error) {
	if err := w.started(); err != nil {
		return nil, err
	}
	if name == "serving" {
		return w.serving()
	}
	if t := w.cluster.Target(name); t != nil {
		return t, nil
	}
	return nil, fmt.Errorf("%w: no target %q", errUsage, name)
}

func (w *world) serving() (*cluster.Target, error) {
	for _, t := range w.cluster.Engines() {
		if t.Running() && t.Engine().Stats().Running > 0 {
			return t, nil
		}
	}
	return nil, errors.New("no engine runs a stream")
}

func (w *world) entry(name string) (*cluster.Entry, error) {
	if err := w.started(); err != nil {
		return nil, err
	}
	if e := w.cluster.Entry(name); e != nil {
		return e, nil
	}
	return nil, fmt.Errorf("%w: no entry %q", errUsage, name)
}

// running is a caller and its answer so far.
type running struct {
	client *caller.Caller
	result *caller.Result
	done   chan struct{}
	// token holds the number of tokens received.
	token chan int
	count int
}
