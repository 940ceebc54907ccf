package journalpeer

import "github.com/azurebarrow/azurebarrow/journal"

func fromBatch(batch journal.Batch) *ExchangeRequest {
	request := &ExchangeRequest{ProtocolVersion: protocolVersion}
	for _, record := range batch.Installs {
		request.Installs = append(request.Installs, fromRecord(record))
	}
	for i := range batch.Appends {
		request.Appends = append(request.Appends, fromAppend(&batch.Appends[i]))
	}
	for _, pointer := range batch.Pointers {
		request.Pointers = append(request.Pointers, &PointerMessage{Key: pointer.Key, Replicas: pointer.Replicas})
	}
	return request
}

func toBatch(request *ExchangeRequest) journal.Batch {
	var batch journal.Batch
	for _, record := range request.Installs {
		batch.Installs = append(batch.Installs, toRecord(record))
	}
	for _, operation := range request.Appends {
		batch.Appends = append(batch.Appends, toAppend(operation))
	}
	for _, pointer := range request.Pointers {
		batch.Pointers = append(batch.Pointers, journal.Pointer{Key: pointer.Key, Replicas: pointer.Replicas})
	}
	return batch
}

func fromRecord(record *journal.Record) *RecordMessage {
	if record == nil {
		return nil
	}
	return &RecordMessage{
		Key:        record.Key,
		Generation: record.Generation,
		BodyHash:   record.BodyHash,
		Pin:        fromPin(record.Pin),
		Term:       int64(record.Term),
		Producer:   record.Producer,
		Lineage:    fromLineage(record.Lineage),
		Tokens:     record.Tokens,
		Finish:     record.Finish,
		Attempt:    fromAttempt(record.Attempt),
	}
}

func toRecord(message *RecordMessage) *journal.Record {
	if message == nil {
		return nil
	}
	return &journal.Record{
		Key:        message.Key,
		Generation: message.Generation,
		BodyHash:   message.BodyHash,
		Pin:        toPin(message.Pin),
		Term:       int(message.Term),
		Producer:   message.Producer,
		Lineage:    toLineage(message.Lineage),
		Tokens:     message.Tokens,
		Finish:     message.Finish,
		Attempt:    toAttempt(message.Attempt),
	}
}

func fromAppend(operation *journal.Append) *AppendMessage {
	return &AppendMessage{
		Key:        operation.Key,
		Generation: operation.Generation,
		Term:       int64(operation.Term),
		From:       int64(operation.From),
		Tokens:     operation.Tokens,
		Finish:     operation.Finish,
		Attempt:    fromAttempt(operation.Attempt),
	}
}

func toAppend(message *AppendMessage) journal.Append {
	return journal.Append{
		Key:        message.Key,
		Generation: message.Generation,
		Term:       int(message.Term),
		From:       max(0, int(message.From)),
		Tokens:     message.Tokens,
		Finish:     message.Finish,
		Attempt:    toAttempt(message.Attempt),
	}
}

func fromResults(results []journal.Result) []*ResultMessage {
	messages := make([]*ResultMessage, len(results))
	for i, result := range results {
		messages[i] = &ResultMessage{Code: int32(result.Code), Held: int64(result.Held), Term: int64(result.Term)}
	}
	return messages
}

func toResults(messages []*ResultMessage) []journal.Result {
	results := make([]journal.Result, len(messages))
	for i, message := range messages {
		results[i] = journal.Result{Code: journal.Code(message.Code), Held: int(message.Held), Term: int(message.Term)}
	}
	return results
}

func fromCopy(copied journal.Copy) *Copy {
	return &Copy{Record: fromRecord(copied.Record), Promised: int64(copied.Promised), Holder: copied.Holder, Pointers: copied.Pointers}
}

func toCopy(message *Copy) journal.Copy {
	return journal.Copy{
		Record:   toRecord(message.GetRecord()),
		Promised: int(message.GetPromised()),
		Holder:   message.GetHolder(),
		Pointers: message.GetPointers(),
	}
}

func fromLineage(lineage journal.Lineage) []*TermStartMessage {
	messages := make([]*TermStartMessage, len(lineage))
	for i, start := range lineage {
		messages[i] = &TermStartMessage{Term: int64(start.Term), Index: int64(start.Index)}
	}
	return messages
}

func toLineage(messages []*TermStartMessage) journal.Lineage {
	lineage := make(journal.Lineage, len(messages))
	for i, message := range messages {
		lineage[i] = journal.TermStart{Term: int(message.Term), Index: int(message.Index)}
	}
	return lineage
}

func fromAttempt(attempt journal.Attempt) *AttemptMessage {
	return &AttemptMessage{Number: int64(attempt.Number), Target: attempt.Target}
}

func toAttempt(message *AttemptMessage) journal.Attempt {
	return journal.Attempt{Number: int(message.GetNumber()), Target: message.GetTarget()}
}

func fromPin(pin journal.Pin) *PinMessage {
	return &PinMessage{Version: pin.Version, Adapter: pin.Adapter, Seed: pin.Seed}
}

func toPin(message *PinMessage) journal.Pin {
	return journal.Pin{Version: message.GetVersion(), Adapter: message.GetAdapter(), Seed: message.GetSeed()}
}
