package peertwirp

import (
	"fmt"

	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/ledgerpb"
	"github.com/azurebarrow/azurebarrow/idempotency"
)

func claimCallToProto(call idempotency.ClaimCall) *ledgerpb.ClaimCall {
	return &ledgerpb.ClaimCall{
		ProtocolVersion: ledgerProtocolVersion,
		Key:             call.Request.Key[:],
		Fingerprint:     call.Request.Fingerprint[:],
		Holder:          holderToProto(call.Request.Holder),
		Attempt:         string(call.Request.Attempt),
		Supersedes:      string(call.Request.Supersedes),
		Unreachable:     call.Unreachable,
		Relay:           call.Relay,
	}
}

func claimCallFromProto(call *ledgerpb.ClaimCall) (idempotency.ClaimCall, error) {
	key, err := digestFromProto(call.Key)
	if err != nil {
		return idempotency.ClaimCall{}, err
	}
	fingerprint, err := digestFromProto(call.Fingerprint)
	if err != nil {
		return idempotency.ClaimCall{}, err
	}
	request := idempotency.ClaimRequest{
		Key:         key,
		Fingerprint: fingerprint,
		Holder:      holderFromProto(call.Holder),
		Attempt:     idempotency.AttemptID(call.Attempt),
		Supersedes:  idempotency.AttemptID(call.Supersedes),
	}
	if request.Attempt == "" || request.Holder.Entry == "" {
		return idempotency.ClaimCall{}, fmt.Errorf("claim without attempt or holder")
	}
	return idempotency.ClaimCall{Request: request, Unreachable: call.Unreachable, Relay: call.Relay}, nil
}

func completeCallToProto(call idempotency.CompleteCall) *ledgerpb.CompleteCall {
	message := &ledgerpb.CompleteCall{
		ProtocolVersion: ledgerProtocolVersion,
		Shard:           int32(call.Shard),
		Unreachable:     call.Unreachable,
		Relay:           call.Relay,
	}
	for _, request := range call.Requests {
		message.Requests = append(message.Requests, &ledgerpb.CompleteRequest{
			Key:     request.Key[:],
			Attempt: string(request.Attempt),
			State:   string(request.State),
			Answer:  answerToProto(request.Answer),
		})
	}
	return message
}

func completeCallFromProto(call *ledgerpb.CompleteCall) (idempotency.CompleteCall, error) {
	result := idempotency.CompleteCall{Shard: int(call.Shard), Unreachable: call.Unreachable, Relay: call.Relay}
	for _, request := range call.Requests {
		key, err := digestFromProto(request.Key)
		if err != nil {
			return result, err
		}
		state := idempotency.State(request.State)
		if !state.Final() || (state == idempotency.StateAnswered) != (request.Answer != nil) {
			return result, fmt.Errorf("state %q is not the end of a call, or does not fit its answer", request.State)
		}
		result.Requests = append(result.Requests, idempotency.CompleteRequest{
			Key:     key,
			Attempt: idempotency.AttemptID(request.Attempt),
			State:   state,
			Answer:  answerFromProto(request.Answer),
		})
	}
	return result, nil
}

func replyToProto(reply idempotency.Reply) *ledgerpb.Reply {
	return &ledgerpb.Reply{Verdict: string(reply.Verdict), Record: recordToProto(reply.Record), Owner: reply.Owner}
}

func replyFromProto(reply *ledgerpb.Reply) (idempotency.Reply, error) {
	record, err := recordFromProto(reply.Record)
	return idempotency.Reply{Verdict: idempotency.Verdict(reply.Verdict), Record: record, Owner: reply.Owner}, err
}

func recordToProto(record idempotency.Record) *ledgerpb.Record {
	if record.State == "" {
		return nil
	}
	return &ledgerpb.Record{
		Key:         record.Key[:],
		Fingerprint: record.Fingerprint[:],
		State:       string(record.State),
		Holder:      holderToProto(record.Holder),
		Attempt:     string(record.Attempt),
		ClaimedAtMs: record.ClaimedAtMs,
		Answer:      answerToProto(record.Answer),
	}
}

func recordFromProto(record *ledgerpb.Record) (idempotency.Record, error) {
	if record == nil {
		return idempotency.Record{}, nil
	}
	key, err := digestFromProto(record.Key)
	if err != nil {
		return idempotency.Record{}, err
	}
	fingerprint, err := digestFromProto(record.Fingerprint)
	if err != nil {
		return idempotency.Record{}, err
	}
	result := idempotency.Record{
		Key:         key,
		Fingerprint: fingerprint,
		State:       idempotency.State(record.State),
		Holder:      holderFromProto(record.Holder),
		Attempt:     idempotency.AttemptID(record.Attempt),
		ClaimedAtMs: record.ClaimedAtMs,
		Answer:      answerFromProto(record.Answer),
	}
	if (result.State == idempotency.StateAnswered) != (result.Answer != nil) {
		return idempotency.Record{}, fmt.Errorf("state %q does not fit the presence of an answer", record.State)
	}
	return result, nil
}

func holderToProto(holder idempotency.Holder) *ledgerpb.Holder {
	return &ledgerpb.Holder{Entry: holder.Entry, Incarnation: holder.Incarnation}
}

func holderFromProto(holder *ledgerpb.Holder) idempotency.Holder {
	return idempotency.Holder{Entry: holder.GetEntry(), Incarnation: holder.GetIncarnation()}
}

func answerToProto(answer *idempotency.Answer) *ledgerpb.Answer {
	if answer == nil {
		return nil
	}
	message := &ledgerpb.Answer{Status: int32(answer.Status), Body: answer.Body, Omitted: answer.Omitted}
	for _, field := range answer.Header {
		message.Header = append(message.Header, &ledgerpb.HeaderField{Name: field.Name, Value: field.Value})
	}
	return message
}

func answerFromProto(answer *ledgerpb.Answer) *idempotency.Answer {
	if answer == nil {
		return nil
	}
	result := &idempotency.Answer{Status: int(answer.Status), Body: answer.Body, Omitted: answer.Omitted}
	for _, field := range answer.Header {
		result.Header = append(result.Header, idempotency.HeaderField{Name: field.Name, Value: field.Value})
	}
	return result
}

// digestBytes is the length of a request key and of a request fingerprint.
const digestBytes = 16

func digestFromProto(digest []byte) ([digestBytes]byte, error) {
	if len(digest) != digestBytes {
		return [digestBytes]byte{}, fmt.Errorf("digest has %d bytes, want %d", len(digest), digestBytes)
	}
	return [digestBytes]byte(digest), nil
}
