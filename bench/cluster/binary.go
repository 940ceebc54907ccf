package cluster

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// ErrNoBinary is returned when one of the project's programs was not found.
var ErrNoBinary = errors.New("cluster: a program of the project was not found; run \"make build\"")

// Names of the project's programs.
const (
	entryProgram = "azurebarrow"
	// StandInProgram runs the stand-ins.
	StandInProgram = "azurebarrow-standin"
)

// FindBinary returns the path of the azurebarrow program.
func FindBinary() (string, error) { return FindProgram(entryProgram) }

// FindProgram returns the path of one of the project's programs. It searches the directory of the
// running program, bin/ and PATH.
func FindProgram(name string) (string, error) {
	candidates := []string{filepath.Join("bin", name)}
	if executable, err := os.Executable(); err == nil {
		candidates = slices.Insert(candidates, 0, filepath.Join(filepath.Dir(executable), name))
	}
	for _, directory := range filepath.SplitList(os.Getenv("PATH")) {
		candidates = append(candidates, filepath.Join(directory, name))
	}
	for _, candidate := range candidates {
		if info, err := os.Stat(candidate); err == nil && !info.IsDir() {
			return filepath.Abs(candidate)
		}
	}
	return "", fmt.Errorf("%w: %s", ErrNoBinary, name)
}
