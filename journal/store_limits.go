package journal

func (s *Store) addSlot(key string) *slot {
	added := &slot{key: key}
	added.element = s.order.PushBack(added)
	s.slots[key] = added
	s.bytes += added.bytes()
	return added
}

func (s *Store) touch(current *slot) {
	current.changed = s.now()
	s.order.MoveToBack(current.element)
}

func (s *Store) removeSlot(current *slot) {
	s.order.Remove(current.element)
	delete(s.slots, current.key)
	s.bytes -= current.bytes()
}

// expire removes the slots that have not changed within Limits.Expiry.
func (s *Store) expire() {
	deadline := s.now().Add(-s.limits.Expiry)
	for element := s.order.Front(); element != nil; element = s.order.Front() {
		oldest := element.Value.(*slot)
		if oldest.changed.After(deadline) {
			return
		}
		s.removeSlot(oldest)
	}
}

// makeRoom evicts finished records other than key's, least recently changed first, until the added
// bytes fit, and reports whether they do. It never evicts a running generation: the new record is
// refused instead, and its producer chooses another replica.
func (s *Store) makeRoom(added int, key string) bool {
	element := s.order.Front()
	for s.bytes+added > s.limits.Bytes && element != nil {
		next := element.Next()
		candidate := element.Value.(*slot)
		if candidate.key != key && candidate.record != nil && candidate.record.Finish != "" {
			s.removeSlot(candidate)
		}
		element = next
	}
	return s.bytes+added <= s.limits.Bytes
}
