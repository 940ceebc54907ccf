package entry

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/membership"
)

// Kinds of the notices by which entries share the crashes of targets.
const (
	// noticeCrash has the subject "fingerprint/incarnation of the target" and the crash's time and suspected parts as value.
	noticeCrash membership.NoticeKind = "request-killed-target"
	// noticeCleared: a target began to answer a request with the fingerprint in the subject.
	noticeCleared membership.NoticeKind = "request-cleared"
	// noticePartCleared: a target began to answer a request with the part in the subject.
	noticePartCleared membership.NoticeKind = "prompt-part-cleared"
	// noticePartsRefused has the parts, or the part that stands for a whole request, as subject and the number of
	// crashed targets as value. Its version counts the changes of the verdict: an odd one means refused, an even one
	// cleared. Entries that decide the same at the same time thus send the same notice.
	noticePartsRefused membership.NoticeKind = "prompt-parts-refused"
)

// retainedNotices are the kinds of notices that entries get which start, or were cut off, after they were sent.
var retainedNotices = []membership.NoticeKind{noticePartsRefused, noticeLimit}

const (
	// maxSharedParts limits the parts of a prompt that a crash accuses; the last ones are the most specific.
	maxSharedParts = 16
	// maxPartBytes is the length of the longest part ID that is kept as it is; longer ones are hashed.
	maxPartBytes = 16
	// hexBase is the base of hashed IDs, which have maxPartBytes digits at most.
	hexBase = 16
	// maxVerdicts limits the verdicts whose versions are kept.
	maxVerdicts = 1024
	// maxCrashAge is the age up to which the sender's time of a crash is used. Beyond it, clocks differ.
	maxCrashAge = 10 * time.Second
)

// sharedCrashRecords records the crashes of targets against the requests that they ran and the parts of their
// prompts, and broadcasts the records to the peers: each entry sees only some of the crashes. It implements
// generation.RelayCrashRecords and service.CrashRecords and is safe for concurrent use.
type sharedCrashRecords struct {
	crashes   *health.Crashes
	broadcast func(membership.Notice)
	log       func(event string, fields ...generation.Field)
	// isDown reports whether a target whose connection ended accepts none any more; nil takes it for crashed.
	isDown func(target health.CrashedTarget) bool
	// isFirst reports whether this entry is the first by rendezvous hash of a key.
	isFirst func(key string) bool

	mu sync.Mutex
	// version is the highest version of a notice seen or sent; it orders the notices of all entries.
	version uint64
	// verdicts holds the versions of verdicts on parts, by key.
	verdicts *simplelru.LRU[string, uint64]
	changed  chan struct{}
}

func newSharedCrashRecords(log func(event string, fields ...generation.Field)) *sharedCrashRecords {
	verdicts, err := simplelru.NewLRU[string, uint64](maxVerdicts, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &sharedCrashRecords{
		crashes: health.NewCrashes(), log: log, isFirst: func(string) bool { return true },
		version: uint64(time.Now().UnixNano()), verdicts: verdicts, changed: make(chan struct{}),
	}
}

// RecordCrash implements generation.RelayCrashRecords and service.CrashRecords. A target that still accepts connections
// has not crashed. Finding out takes a moment, for which no request waits.
func (s *sharedCrashRecords) RecordCrash(work health.Work, target health.CrashedTarget) {
	if s.isDown == nil {
		s.recordConfirmed(work, target)
		return
	}
	go func() {
		if !s.isDown(target) {
			s.logExcused(work, target, "target accepts connections")
			return
		}
		s.recordConfirmed(work, target)
	}()
}

func (s *sharedCrashRecords) logExcused(work health.Work, target health.CrashedTarget, reason string) {
	s.log("crash-excused", generation.Field{Key: "reason", Value: reason}, generation.Field{Key: "request", Value: work.Request},
		generation.Field{Key: "target", Value: target.ID}, generation.Field{Key: "fingerprint", Value: work.Fingerprint})
}

// recordConfirmed records the crash of a target, here and at the peers.
func (s *sharedCrashRecords) recordConfirmed(work health.Work, target health.CrashedTarget) {
	now := time.Now()
	work.SharedParts = boundedParts(work.SharedParts)
	_, explained := s.crashes.Refusal(work)
	work.SharedParts = s.crashes.Suspects(work.SharedParts, now)
	if defect.Enabled(defect.CrashesByRequest) {
		work.SharedParts = nil
	}
	if s.crashes.AnsweredLately(work.Fingerprint, now) {
		s.logExcused(work, target, "answered lately")
		return
	}
	s.record(work, target.Incarnation(), now, now)
	s.log("crash-recorded", generation.Field{Key: "request", Value: work.Request}, generation.Field{Key: "target", Value: target.ID},
		generation.Field{Key: "fingerprint", Value: work.Fingerprint}, generation.Field{Key: "parts", Value: strings.Join(work.SharedParts, ",")},
		generation.Field{Key: "crashes", Value: s.Crashes(work.Fingerprint)})
	if explained {
		return // the peers know, or get the verdict before any crash
	}
	s.broadcast(membership.Notice{
		Kind: noticeCrash, Subject: work.Fingerprint + "/" + target.Incarnation(), Version: s.nextVersion(), Value: encodeCrash(accusedParts(work), now),
	})
}

// RecordAnswer implements generation.RelayCrashRecords. The beginning of an answer clears the crashes so far, but not
// those to come: the target may still crash.
func (s *sharedCrashRecords) RecordAnswer(work health.Work) {
	if s.crashes.Discard(work.Fingerprint) {
		s.broadcastCleared(work.Fingerprint, s.nextVersion())
	}
	s.allowRequest(work.Fingerprint)
	s.clearParts(boundedParts(work.SharedParts))
}

// RecordWholeAnswer implements service.CrashRecords.
func (s *sharedCrashRecords) RecordWholeAnswer(work health.Work) {
	if s.crashes.RecordAnswered(work.Fingerprint, time.Now()) {
		s.broadcastCleared(work.Fingerprint, s.nextVersion())
	}
	s.allowRequest(work.Fingerprint)
}

func (s *sharedCrashRecords) broadcastCleared(fingerprint string, version uint64) {
	s.broadcast(membership.Notice{Kind: noticeCleared, Subject: fingerprint, Version: version})
}

// clearParts records that a target began to answer a request with the parts, and tells the peers of those that are
// suspected.
func (s *sharedCrashRecords) clearParts(parts []string) {
	before := s.crashes.AllRefusedParts()
	suspected := s.crashes.ClearParts(parts, time.Now())
	if len(suspected) == 0 {
		return
	}
	for _, part := range suspected {
		s.log("prompt-part-cleared", generation.Field{Key: "part", Value: part})
		s.broadcast(membership.Notice{Kind: noticePartCleared, Subject: part, Version: s.nextVersion()})
	}
	s.publishVerdicts(before)
}

// publishVerdicts tells the peers how the refused parts have changed.
func (s *sharedCrashRecords) publishVerdicts(before []health.RefusedParts) {
	left := map[string]bool{}
	for _, refused := range s.crashes.AllRefusedParts() {
		left[refused.Key()] = true
		s.publishVerdict(refused, true)
	}
	for _, former := range before {
		if !left[former.Key()] {
			s.publishVerdict(former, false)
		}
	}
}

// publishVerdict tells the peers that the parts are refused, or are not any more, unless they know.
func (s *sharedCrashRecords) publishVerdict(parts health.RefusedParts, refused bool) {
	key := parts.Key()
	s.mu.Lock()
	version, _ := s.verdicts.Get(key)
	if (version%2 == 1) == refused {
		s.mu.Unlock()
		return
	}
	s.verdicts.Add(key, version+1)
	if refused {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	s.logVerdict(parts, refused, version+1)
	s.broadcast(membership.Notice{Kind: noticePartsRefused, Subject: key, Version: version + 1, Value: strconv.Itoa(parts.Targets)})
}

// allow ends a refusal at all entries. It returns false if no parts or request with the key are refused.
func (s *sharedCrashRecords) allow(key string) bool {
	for _, refused := range s.crashes.AllRefusedParts() {
		if refused.Key() == key {
			s.crashes.AllowParts(refused.Parts)
			s.publishVerdict(refused, false)
			return true
		}
	}
	return false
}

// allowRequest ends the refusal of a whole request at all entries, if there is one.
func (s *sharedCrashRecords) allowRequest(fingerprint string) {
	if s.crashes.RefusesRequest(fingerprint) {
		s.allow(health.RequestPart(fingerprint))
	}
}

func (s *sharedCrashRecords) logVerdict(parts health.RefusedParts, refused bool, version uint64) {
	event, subject := "prompt-parts-refused", generation.Field{Key: "parts", Value: parts.Key()}
	if !refused {
		event = "prompt-parts-allowed"
	}
	if fingerprint, isRequest := parts.Request(); isRequest {
		event, subject = "request-refused", generation.Field{Key: "fingerprint", Value: fingerprint}
		if !refused {
			event = "request-allowed"
		}
	}
	s.log(event, subject, generation.Field{Key: "crashes", Value: parts.Targets},
		generation.Field{Key: "version", Value: version})
}

// receive applies a notice. This entry also receives its own notices, which change nothing.
func (s *sharedCrashRecords) receive(notice membership.Notice) {
	if notice.Kind != noticePartsRefused {
		s.observeVersion(notice.Version)
	}
	switch notice.Kind {
	case noticeCrash:
		s.receiveCrash(notice)
	case noticeCleared:
		s.crashes.Discard(notice.Subject)
		s.allowRequest(notice.Subject)
		s.log("crashes-cleared", generation.Field{Key: "fingerprint", Value: notice.Subject}, generation.Field{Key: "version", Value: notice.Version})
	case noticePartCleared:
		before := s.crashes.AllRefusedParts()
		s.crashes.ClearParts([]string{notice.Subject}, time.Now())
		s.publishVerdicts(before)
	case noticePartsRefused:
		s.receiveVerdict(notice)
	}
}

func (s *sharedCrashRecords) receiveCrash(notice membership.Notice) {
	fingerprint, target, found := strings.Cut(notice.Subject, "/")
	if !found {
		return
	}
	now := time.Now()
	if s.crashes.AnsweredLately(fingerprint, now) {
		// With the version of the crash, entries that know the request as sound all send the same notice.
		s.broadcastCleared(fingerprint, notice.Version)
		return
	}
	parts, at := decodeCrash(notice.Value, now)
	work := health.Work{Fingerprint: fingerprint, SharedParts: parts}
	if slices.Equal(parts, accusedParts(health.Work{Fingerprint: fingerprint, Call: true})) {
		work.Call, work.SharedParts, parts = true, nil, nil
	}
	s.record(work, target, at, now)
	s.log("crash-notice", generation.Field{Key: "fingerprint", Value: fingerprint}, generation.Field{Key: "target", Value: target},
		generation.Field{Key: "parts", Value: strings.Join(parts, ",")}, generation.Field{Key: "age", Value: now.Sub(at)},
		generation.Field{Key: "version", Value: notice.Version}, generation.Field{Key: "crashes", Value: s.Crashes(fingerprint)})
	suspects := s.crashes.Suspects(parts, now)
	for _, part := range parts {
		if slices.Contains(suspects, part) {
			continue
		}
		// With the version of the crash, entries that know the part as sound all send the same notice.
		s.broadcast(membership.Notice{Kind: noticePartCleared, Subject: part, Version: notice.Version})
	}
}

func (s *sharedCrashRecords) receiveVerdict(notice membership.Notice) {
	parts := strings.Split(notice.Subject, ",")
	targets, err := strconv.Atoi(notice.Value)
	if err != nil {
		s.log("verdict-notice-unusable", generation.Field{Key: "subject", Value: notice.Subject}, generation.Field{Key: "error", Value: err})
		return
	}
	s.mu.Lock()
	if known, _ := s.verdicts.Get(notice.Subject); notice.Version <= known {
		s.mu.Unlock()
		return
	}
	s.verdicts.Add(notice.Subject, notice.Version)
	refused := notice.Version%2 == 1
	s.mu.Unlock()
	verdict := health.RefusedParts{Parts: parts, Targets: targets}
	s.logVerdict(verdict, refused, notice.Version)
	if fingerprint, isRequest := verdict.Request(); refused && isRequest && s.crashes.AnsweredLately(fingerprint, time.Now()) {
		s.publishVerdict(verdict, false) // the verdict may arrive before its evidence
		return
	}
	if !refused {
		s.crashes.AllowParts(parts)
		return
	}
	s.crashes.RefuseParts(parts, targets, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sharedCrashRecords) record(work health.Work, target string, at, now time.Time) {
	excused := s.crashes.Record(work.Fingerprint, target, now)
	if excused > 0 {
		s.log("crashes-excused", generation.Field{Key: "reason", Value: "mass failure"}, generation.Field{Key: "target", Value: target},
			generation.Field{Key: "fingerprints", Value: excused})
	}
	var refused bool
	if work.Call {
		refused = s.crashes.RefuseIfProven(work.Fingerprint, now)
	} else {
		// A verdict on each of many streams would delay the one on the part of the prompt that they share.
		refused = s.crashes.RecordParts(work, target, at, now)
	}
	if refused {
		s.publishVerdicts(nil)
	}
}

// nextVersion returns a version above all that this entry has seen.
func (s *sharedCrashRecords) nextVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	return s.version
}

func (s *sharedCrashRecords) observeVersion(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = max(s.version, version)
}

// Crashes returns the number of distinct targets whose crash is recorded against the fingerprint.
func (s *sharedCrashRecords) Crashes(fingerprint string) int {
	return s.crashes.Count(fingerprint, time.Now())
}

// Judge implements generation.RelayCrashRecords and service.CrashRecords. One entry of the fleet tries refused parts again.
func (s *sharedCrashRecords) Judge(work health.Work) generation.WorkJudgement {
	work.SharedParts = boundedParts(work.SharedParts)
	judgement := generation.JudgeWork(s.crashes, work, time.Now(), func(refused health.RefusedParts) bool { return s.isFirst(refused.Key()) })
	if judgement.Trial {
		s.log("refused-work-tried", generation.Field{Key: "request", Value: work.Request}, generation.Field{Key: "fingerprint", Value: work.Fingerprint},
			generation.Field{Key: "parts", Value: strings.Join(judgement.Parts, ",")}, generation.Field{Key: "crashes", Value: judgement.Targets})
	}
	return judgement
}

// Changed implements generation.RelayCrashRecords and service.CrashRecords.
func (s *sharedCrashRecords) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// boundedParts returns the parts that a crash may accuse, in a form that fits into notices.
func boundedParts(parts []string) []string {
	parts = parts[max(0, len(parts)-maxSharedParts):]
	bounded := make([]string, len(parts))
	for i, part := range parts {
		bounded[i] = part
		if len(part) > maxPartBytes || strings.ContainsAny(part, ",;") {
			bounded[i] = strconv.FormatUint(xxhash.Sum64String(part), hexBase)
		}
	}
	return bounded
}

// accusedParts returns the parts that the notice of a crash names: for a plain call, the one that stands for the whole
// request.
func accusedParts(work health.Work) []string {
	if work.Call {
		return []string{health.RequestPart(work.Fingerprint)}
	}
	return work.SharedParts
}

// encodeCrash returns the value of a crash notice: the time in Unix milliseconds, a semicolon, the parts.
func encodeCrash(parts []string, at time.Time) string {
	return strconv.FormatInt(at.UnixMilli(), 10) + ";" + strings.Join(parts, ",")
}

// decodeCrash is the inverse of encodeCrash. The time is now if the sender gave none or its clock differs.
func decodeCrash(value string, now time.Time) (parts []string, at time.Time) {
	text, list, _ := strings.Cut(value, ";")
	if list != "" {
		parts = strings.Split(list, ",")
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return parts, now
	}
	at = time.UnixMilli(milliseconds)
	if age := now.Sub(at); age < 0 || age > maxCrashAge {
		return parts, now
	}
	return parts, at
}
