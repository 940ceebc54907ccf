package soak

import (
	"fmt"
	"slices"

	"github.com/azurebarrow/azurebarrow/standin/target"
)

// maxJoinedStreams is the number of streams that may hold events of two software versions.
const maxJoinedStreams = 2

// checkVersions checks that streams hold events of engines of one software version, over all attempts of their callers.
func (e *Evidence) checkVersions(map[string][]target.Record) []Violation {
	versions := map[string][]string{}
	for _, attempt := range e.Attempts {
		if attempt.Class != Stream {
			continue
		}
		for _, version := range attempt.Versions {
			if !slices.Contains(versions[attempt.Path], version) {
				versions[attempt.Path] = append(versions[attempt.Path], version)
			}
		}
	}
	var joined []string
	for path, held := range versions {
		if len(held) > 1 {
			joined = append(joined, path)
		}
	}
	if len(joined) <= maxJoinedStreams {
		return nil
	}
	slices.Sort(joined)
	return []Violation{{"ORDER", joined[0], fmt.Sprintf("%d streams hold events of two versions: %v", len(joined), joined)}}
}
