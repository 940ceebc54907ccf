package membership

import "slices"

// maxRetainedNotices limits the retained notices; the oldest are dropped.
const maxRetainedNotices = 64

// retainedNotices are sent in turn while there are no other updates. Receivers that know one ignore it.
type retainedNotices struct {
	notices []Notice
	next    int
}

// add adds a notice in place of an older one about the same subject.
func (r *retainedNotices) add(notice Notice) {
	key := noticeKey(notice)
	r.notices = slices.DeleteFunc(r.notices, func(n Notice) bool { return noticeKey(n) == key })
	r.notices = append(r.notices, notice)
	if len(r.notices) > maxRetainedNotices {
		r.notices = r.notices[1:]
	}
}

// fillMessage adds the next notice to message if it fits into maxBytes, and returns the bytes used.
func (r *retainedNotices) fillMessage(message *Message, maxBytes int) (used int) {
	if len(r.notices) == 0 {
		return 0
	}
	notice := r.notices[r.next%len(r.notices)]
	r.next++
	if notice.encodedBytes() > maxBytes {
		return 0
	}
	message.Notices = append(message.Notices, notice)
	return notice.encodedBytes()
}

// fillMessageForJoiner adds the newest notices to a message to an entry that has just started, as far as they fit into
// maxBytes, and returns the bytes used.
func (r *retainedNotices) fillMessageForJoiner(message *Message, maxBytes int) (used int) {
	for _, notice := range slices.Backward(r.notices) {
		if used+notice.encodedBytes() > maxBytes {
			break
		}
		message.Notices = append(message.Notices, notice)
		used += notice.encodedBytes()
	}
	return used
}
