package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"strconv"
	"syscall"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/idempotency"
)

// errCrashesTargets: the call crashed too many targets.
var errCrashesTargets = errors.New("the call crashes targets")

// callFingerprintBytes is the length of a call's fingerprint; short, since entries exchange fingerprints.
const callFingerprintBytes = 12

// fingerprint identifies what a target runs: deployment, method, path, customer and body.
func (c Call) fingerprint() string {
	sum := sha256.New()
	for _, part := range []string{c.Deployment, c.Method, c.Path, c.Customer} {
		_, _ = sum.Write([]byte(strconv.Itoa(len(part)) + ":" + part)) // never fails
	}
	_, _ = sum.Write(c.Body)
	return hex.EncodeToString(sum.Sum(nil)[:callFingerprintBytes])
}

// send sends the call to a target unless it crashed too many, and records what the end shows. All sends of the
// executor go through it.
func (e *Executor) send(ctx context.Context, target Target, call Call, request Request) (idempotency.Answer, error) {
	work := health.Work{Request: call.Key, Fingerprint: call.fingerprint(), Call: true}
	if e.options.CrashRecords.Judge(work).Refused {
		return idempotency.Answer{}, &NotSentError{Cause: errCrashesTargets}
	}
	answer, err := e.options.Transport.Do(ctx, target, request)
	switch {
	case err == nil:
		e.options.CrashRecords.RecordWholeAnswer(work)
	case ctx.Err() == nil && isConnectionLost(err):
		e.options.CrashRecords.RecordCrash(work, health.CrashedTarget{ID: target.Name, Address: target.Address, StartedMs: target.StartedMs})
	}
	return answer, err
}

// isConnectionLost reports whether a request failed because the target's side of the connection ended after it was
// sent.
func isConnectionLost(err error) bool {
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// localCrashRecords are CrashRecords that one entry keeps for itself.
type localCrashRecords struct{ crashes *health.Crashes }

// RecordCrash implements CrashRecords.
func (l localCrashRecords) RecordCrash(work health.Work, target health.CrashedTarget) {
	now := time.Now()
	l.crashes.Record(work.Fingerprint, target.Incarnation(), now)
	l.crashes.RefuseIfProven(work.Fingerprint, now)
}

// RecordWholeAnswer implements CrashRecords.
func (l localCrashRecords) RecordWholeAnswer(work health.Work) {
	l.crashes.RecordAnswered(work.Fingerprint, time.Now())
	l.crashes.AllowParts([]string{health.RequestPart(work.Fingerprint)})
}

// Judge implements CrashRecords.
func (l localCrashRecords) Judge(work health.Work) generation.WorkJudgement {
	return generation.JudgeWork(l.crashes, work, time.Now(), func(health.RefusedParts) bool { return true })
}

// Changed implements CrashRecords; nothing changes it from outside.
func (localCrashRecords) Changed() <-chan struct{} { return nil }
