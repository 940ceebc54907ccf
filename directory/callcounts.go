package directory

import (
	"strings"
	"sync/atomic"
)

// occasion is why an entry calls the store.
type occasion string

const (
	// occasionStart: the entry does not know yet who reads the store for it.
	occasionStart occasion = "start"
	// occasionElected: the entry reads the store for the others.
	occasionElected occasion = "elected"
	// occasionUnserved: no peer sends the objects.
	occasionUnserved occasion = "unserved"
	// occasionAgain: the objects are listed again, after a pause of the process or since the store lost its history.
	occasionAgain occasion = "again"
)

// storeCall is a class of calls to the store.
type storeCall struct {
	kind, call string
	occasion   occasion
}

// Calls to the store.
const (
	callList  = "list"
	callWatch = "watch"
	// callStaleList is a list that may lack the changes of the last seconds.
	callStaleList = "stalelist"
)

// callCounts counts the calls to the store by class. The map does not change.
type callCounts map[storeCall]*atomic.Int64

func newCallCounts(kinds []string) callCounts {
	counts := callCounts{}
	for _, kind := range kinds {
		if kind == KindRollout {
			counts[storeCall{kind, callStaleList, occasionUnserved}] = &atomic.Int64{}
		}
		for call, occasions := range map[string][]occasion{
			callList:  {occasionStart, occasionAgain},
			callWatch: {occasionStart, occasionElected, occasionUnserved},
		} {
			for _, occasion := range occasions {
				counts[storeCall{kind, call, occasion}] = &atomic.Int64{}
			}
		}
	}
	return counts
}

// StoreCalls returns functions that count the calls to the store, by the names of their classes: kind of objects, call and
// occasion.
func (m *Manager) StoreCalls() map[string]func() int64 {
	read := map[string]func() int64{}
	for class, count := range m.syncer.calls {
		read[strings.Join([]string{class.kind, class.call, string(class.occasion)}, "_")] = count.Load
	}
	return read
}
