package health

import (
	"strconv"
	"strings"
	"time"
)

// CrashedTarget is a target that seems to have crashed under a request.
type CrashedTarget struct {
	ID, Address string
	// StartedMs is when the incarnation started, in Unix milliseconds; 0 if unknown.
	StartedMs int64
}

// startSeparator comes before the time of the start in the name of an incarnation.
const startSeparator = "#"

// Incarnation names the incarnation of the target: a target that starts again may keep its ID, and may crash again.
func (t CrashedTarget) Incarnation() string {
	if t.StartedMs == 0 {
		return t.ID
	}
	return t.ID + startSeparator + strconv.FormatInt(t.StartedMs, 10)
}

// minRestartTime is the time within which two crashes of a target whose start is unknown are taken for one that several
// entries report: a target takes longer to start again.
const minRestartTime = 2 * time.Second

// isSameCrash reports whether two crashes, at times that are apart, are of the same incarnation. Some entries may not
// know its start.
func isSameCrash(a, b string, apart time.Duration) bool {
	idA, startA, knownA := strings.Cut(a, startSeparator)
	idB, startB, knownB := strings.Cut(b, startSeparator)
	if idA != idB {
		return false
	}
	if knownA && knownB {
		return startA == startB
	}
	return apart.Abs() < minRestartTime || !knownA && !knownB
}
