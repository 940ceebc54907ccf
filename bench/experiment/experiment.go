// Package experiment is the framework of the bench's experiments: the registry of experiments, the
// environment of a run and the JSON that a run prints.
package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"
)

// Unit is the unit of a figure.
type Unit string

// Units of figures.
const (
	Milliseconds  Unit = "ms"
	Bytes         Unit = "bytes"
	Fraction      Unit = "fraction"
	PerSecond     Unit = "per second"
	Count         Unit = "count"
	Ratio         Unit = "ratio"
	Seconds       Unit = "s"
	BytesPerToken Unit = "bytes per token"
)

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  Unit    `json:"unit"`
	// Target is the bound that the value should keep; nil if there is none.
	Target *float64 `json:"target,omitempty"`
	// OK reports whether the value keeps the bound; true without a bound.
	OK bool `json:"ok"`
}

// Unbounded returns a figure without a bound.
func Unbounded(name string, value float64, unit Unit) Figure {
	return Figure{Name: name, Value: value, Unit: unit, OK: true}
}

// AtMost returns a figure with an upper bound.
func AtMost(name string, value float64, unit Unit, target float64) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Target: &target, OK: value <= target}
}

// AtLeast returns a figure with a lower bound.
func AtLeast(name string, value float64, unit Unit, target float64) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Target: &target, OK: value >= target}
}

// Environment holds the parameters of a run.
type Environment struct {
	Seed int64
	// Binary is the path of the azurebarrow program, for entries that run as processes.
	Binary string
	// BinaryGiven reports that the caller chose Binary.
	BinaryGiven bool
	// Directory holds the run's files, such as the entries' logs.
	Directory string
	// Minutes sets the duration of experiments that can run for any time; 0 for their short default.
	Minutes float64
	// Processes runs entries as processes in experiments that support both ways.
	Processes bool
	// Plot is the path of the PNG file for the plot; empty for none.
	Plot string
	// Progress receives progress lines for people; nil for none. It must not be standard output, which
	// is for the result.
	Progress io.Writer
}

// Logf writes a line with the time to Progress.
func (e Environment) Logf(format string, args ...any) {
	if e.Progress != nil {
		fmt.Fprintf(e.Progress, "%s "+format+"\n", slices.Insert(args, 0, any(time.Now().Format(time.TimeOnly)))...)
	}
}

// Result is the result of a run, which is printed as exactly one JSON object.
type Result struct {
	Experiment string   `json:"experiment"`
	Seed       int64    `json:"seed"`
	Figures    []Figure `json:"figures"`
	// Violations lists broken invariants; a run with any exits with status 1.
	Violations []string `json:"violations,omitempty"`
	Notes      []string `json:"notes,omitempty"`
}

// Add appends figures.
func (r *Result) Add(figures ...Figure) { r.Figures = append(r.Figures, figures...) }

// AddViolation records a broken invariant.
func (r *Result) AddViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// AddNote records a remark on how the figures came about.
func (r *Result) AddNote(format string, args ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, args...))
}

// WriteJSON writes the result as one JSON object.
func (r *Result) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteTable writes the result as a text table for people.
func (r *Result) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "%s, seed %d\n", r.Experiment, r.Seed)
	for _, f := range r.Figures {
		bound := ""
		if f.Target != nil {
			bound = fmt.Sprintf("  bound %g  ok %t", *f.Target, f.OK)
		}
		fmt.Fprintf(w, "  %-34s %14.4f %s%s\n", f.Name, f.Value, f.Unit, bound)
	}
	for _, text := range r.Violations {
		fmt.Fprintln(w, "  VIOLATION: "+text)
	}
	for _, text := range r.Notes {
		fmt.Fprintln(w, "  note: "+text)
	}
}

// Experiment is a registered experiment. Run fills the result. It returns an error if the experiment
// could not be run, not if a figure misses its bound.
type Experiment struct {
	Name    string
	Summary string
	Run     func(ctx context.Context, env Environment, result *Result) error
}

var (
	registryMu sync.Mutex
	registry   []Experiment
)

// Register adds an experiment. It is meant for init functions and panics if the name is registered
// already.
func Register(e Experiment) {
	registryMu.Lock()
	defer registryMu.Unlock()
	for _, known := range registry {
		if known.Name == e.Name {
			panic("experiment registered twice: " + e.Name)
		}
	}
	registry = append(registry, e)
}

// All returns the registered experiments, sorted by name.
func All() []Experiment {
	registryMu.Lock()
	defer registryMu.Unlock()
	list := slices.Clone(registry)
	slices.SortFunc(list, func(a, b Experiment) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Find returns the experiment with the given name.
func Find(name string) (Experiment, bool) {
	for _, e := range All() {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}
