package routing

// eventPosition tracks which of a target's cache events have been applied.
type eventPosition struct {
	// lastSequence is the sequence number of the last event that was applied or found missing.
	lastSequence uint64
	// needsResync is set when events were lost since the last summary, or when no summary was read since
	// the target restarted.
	needsResync bool
}

// applyEvents applies cache events and reports whether the target's summary must be read again. newest
// is the highest sequence number that the target has assigned.
func (f *fleet) applyEvents(t *target, events []CacheEvent, newest uint64) (resync bool) {
	for _, event := range events {
		if event.Sequence <= t.events.lastSequence {
			continue
		}
		if event.Sequence != t.events.lastSequence+1 {
			t.events.needsResync = true
		}
		t.events.lastSequence = event.Sequence
		f.applyEvent(t, event)
	}
	if newest > t.events.lastSequence {
		// The newest events were lost.
		t.events.needsResync = true
		t.events.lastSequence = newest
	}
	return t.events.needsResync
}

func (f *fleet) applyEvent(t *target, event CacheEvent) {
	switch event.Kind {
	case CacheAdded:
		f.index.add(t.id, event.Prefix)
	case CacheEvicted:
		f.index.remove(t.id, event.Prefix)
	}
}

// applySummary replaces a target's indexed prefixes with those of its summary as of a sequence number.
func (f *fleet) applySummary(t *target, sequence uint64, prefixes []PrefixHash) {
	f.index.removeTarget(t.id)
	for _, prefix := range prefixes {
		f.index.add(t.id, prefix)
	}
	t.events = eventPosition{lastSequence: sequence}
}
