//go:build defect

package defect

import (
	"os"
	"sync/atomic"
)

var current atomic.Value

func init() { current.Store(Name(os.Getenv(EnvironmentVariable))) }

// Enabled reports whether the named defect is enabled.
func Enabled(name Name) bool { return current.Load().(Name) == name }

// Set enables the named defect in place of the current one and returns the name of the former. An
// empty name means no defect.
func Set(name Name) Name { return current.Swap(name).(Name) }
