package idempotency

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/azurebarrow/azurebarrow/objects"
)

// Kinds of the ledger's objects in the platform's object store.
const (
	KindHead    = "LedgerHead"
	KindArchive = "LedgerArchive"
)

// Formats of the ledger's objects; content of any other format is rejected.
const (
	headFormat    = "azurebarrow-ledger-head/1"
	archiveFormat = "azurebarrow-ledger-archive/1"
)

// ContentError reports invalid ledger content. Such content is never treated as empty.
type ContentError struct {
	Kind, Name string
	Cause      error
}

// Error implements error.
func (e *ContentError) Error() string {
	return fmt.Sprintf("ledger content of %s/%s refused: %v", e.Kind, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *ContentError) Unwrap() error { return e.Cause }

// ArchiveRef is a head's reference to an archive, with what the head must know of it.
type ArchiveRef struct {
	Name    string `json:"name"`
	Records int    `json:"records"`
	Bytes   int    `json:"bytes"`
	// NewestClaimMs is the latest ClaimedAtMs of the archive's records.
	NewestClaimMs int64 `json:"newestClaimMs"`
}

// HeadInfo is a head without its records.
type HeadInfo struct {
	Format string `json:"format"`
	Shard  int    `json:"shard"`
	Shards int    `json:"shards"`
	// Owner is the writer of this revision; an empty entry name means that it handed the shard over.
	Owner Holder `json:"owner"`
	// Nonce is a random value, different for each write.
	Nonce    string       `json:"nonce"`
	Archives []ArchiveRef `json:"archives,omitempty"`
}

// Head is the content of a shard's head object: the newest records, and references to the archives
// that hold the older ones.
type Head struct {
	HeadInfo
	Records []Record
	lines   [][]byte // the encoded records
	bytes   int      // the sum of their lengths, with a separator each
}

// HeadName returns the name of a shard's head object.
func HeadName(shard int) string { return fmt.Sprintf("shard-%03d", shard) }

// EmptyHead returns the head of a shard that was never written.
func EmptyHead(shard, shards int) Head {
	return Head{HeadInfo: HeadInfo{Format: headFormat, Shard: shard, Shards: shards}}
}

// Append returns a copy of h in which the given records replace the earlier ones of their keys; h
// itself is unchanged. The records must have different keys.
func (h Head) Append(records []Record) (Head, error) {
	replaced := make(map[Key]bool, len(records))
	for _, record := range records {
		replaced[record.Key] = true
	}
	next := h.filterRecords(len(records), func(record Record) bool { return !replaced[record.Key] })
	for _, record := range records {
		line, err := json.Marshal(record)
		if err != nil {
			return Head{}, err
		}
		next.Records = append(next.Records, record)
		next.lines = append(next.lines, line)
		next.bytes += len(line) + 1
	}
	return next, nil
}

// filterRecords returns a copy of h with only the records that wanted accepts, and with capacity
// for spare further ones.
func (h Head) filterRecords(spare int, wanted func(Record) bool) Head {
	next := h
	next.Records = make([]Record, 0, len(h.Records)+spare)
	next.lines = make([][]byte, 0, len(h.lines)+spare)
	next.bytes = 0
	for i, record := range h.Records {
		if !wanted(record) {
			continue
		}
		next.Records = append(next.Records, record)
		next.lines = append(next.lines, h.lines[i])
		next.bytes += len(h.lines[i]) + 1
	}
	return next
}

// recordVersion identifies one of the successive records of a key.
type recordVersion struct {
	key     Key
	attempt AttemptID
	state   State
}

// MoveToArchives returns a copy of h with references to new archives and without the given records, which
// these archives hold. A record that was replaced in the meantime stays in its new form.
func (h Head) MoveToArchives(records []Record, archives []ArchiveRef) Head {
	archived := make(map[recordVersion]bool, len(records))
	for _, record := range records {
		archived[recordVersion{record.Key, record.Attempt, record.State}] = true
	}
	next := h.filterRecords(0, func(record Record) bool {
		return !archived[recordVersion{record.Key, record.Attempt, record.State}]
	})
	next.Archives = append(append([]ArchiveRef(nil), h.Archives...), archives...)
	return next
}

// ReplaceArchives returns a copy of h in which count archives, beginning at index from, are replaced by
// others.
func (h Head) ReplaceArchives(from, count int, archives []ArchiveRef) Head {
	next := h
	next.Archives = append([]ArchiveRef(nil), h.Archives[:from]...)
	next.Archives = append(next.Archives, archives...)
	next.Archives = append(next.Archives, h.Archives[from+count:]...)
	return next
}

// ExpireArchives returns a copy of h without the archives whose records were all claimed before the given
// time, and the archives that it left out.
func (h Head) ExpireArchives(before time.Time) (Head, []ArchiveRef) {
	next := h
	next.Archives = nil
	var expired []ArchiveRef
	for _, ref := range h.Archives {
		if ref.NewestClaimMs < before.UnixMilli() {
			expired = append(expired, ref)
			continue
		}
		next.Archives = append(next.Archives, ref)
	}
	return next, expired
}

// RecordBytes returns the encoded size of the records.
func (h Head) RecordBytes() int { return h.bytes }

// Encode returns the encoded value of the head object.
func (h Head) Encode() ([]byte, error) {
	value, err := encodeWithRecords(h.HeadInfo, h.lines, h.bytes)
	if err != nil {
		return nil, err
	}
	if len(value) > objects.MaxValueBytes {
		return nil, fmt.Errorf("head of shard %d has %d bytes, more than the platform keeps", h.Shard, len(value))
	}
	return value, nil
}

// DecodeHead decodes a head object's value. Anything but a complete head of the expected shard is
// rejected with a ContentError.
func DecodeHead(value []byte, shard, shards int) (Head, error) {
	reject := func(cause error) (Head, error) {
		return Head{}, &ContentError{Kind: KindHead, Name: HeadName(shard), Cause: cause}
	}
	var content struct {
		HeadInfo
		Records []Record `json:"records"`
	}
	if err := decodeStrictly(value, &content); err != nil {
		return reject(err)
	}
	if content.Format != headFormat {
		return reject(fmt.Errorf("format %q is not %q", content.Format, headFormat))
	}
	if content.Shard != shard || content.Shards != shards {
		return reject(fmt.Errorf("it is shard %d of %d, want %d of %d", content.Shard, content.Shards, shard, shards))
	}
	if content.Records == nil {
		return reject(fmt.Errorf("the records are missing"))
	}
	for _, record := range content.Records {
		if err := checkRecord(record, shard, shards); err != nil {
			return reject(err)
		}
	}
	head, err := Head{HeadInfo: content.HeadInfo}.Append(content.Records)
	if err != nil {
		return reject(err)
	}
	return head, nil
}

// archiveInfo is an archive without its records.
type archiveInfo struct {
	Format string `json:"format"`
	Name   string `json:"name"`
	Shard  int    `json:"shard"`
	Shards int    `json:"shards"`
}

// EncodeArchive returns the encoded value of an archive object and the reference to it.
func EncodeArchive(name string, shard, shards int, records []Record) ([]byte, ArchiveRef, error) {
	ref := ArchiveRef{Name: name, Records: len(records)}
	encoded, err := Head{}.Append(records)
	if err != nil {
		return nil, ref, err
	}
	for _, record := range records {
		ref.NewestClaimMs = max(ref.NewestClaimMs, record.ClaimedAtMs)
	}
	info := archiveInfo{Format: archiveFormat, Name: name, Shard: shard, Shards: shards}
	value, err := encodeWithRecords(info, encoded.lines, encoded.bytes)
	ref.Bytes = len(value)
	return value, ref, err
}

// DecodeArchive decodes an archive object's value. Anything but the complete archive that ref
// refers to is rejected with a ContentError.
func DecodeArchive(value []byte, ref ArchiveRef, shard, shards int) ([]Record, error) {
	reject := func(cause error) ([]Record, error) {
		return nil, &ContentError{Kind: KindArchive, Name: ref.Name, Cause: cause}
	}
	var content struct {
		archiveInfo
		Records []Record `json:"records"`
	}
	if err := decodeStrictly(value, &content); err != nil {
		return reject(err)
	}
	want := archiveInfo{Format: archiveFormat, Name: ref.Name, Shard: shard, Shards: shards}
	if content.archiveInfo != want {
		return reject(fmt.Errorf("it says %+v, want %+v", content.archiveInfo, want))
	}
	if len(content.Records) != ref.Records {
		return reject(fmt.Errorf("it has %d records, want %d", len(content.Records), ref.Records))
	}
	for _, record := range content.Records {
		if err := checkRecord(record, shard, shards); err != nil {
			return reject(err)
		}
	}
	return content.Records, nil
}

func checkRecord(record Record, shard, shards int) error {
	if record.Key.Shard(shards) != shard {
		return fmt.Errorf("record %s belongs to shard %d", record.Key, record.Key.Shard(shards))
	}
	return record.validate()
}

// encodeWithRecords encodes info, a struct with at least one field, and adds the encoded records as
// the last field.
func encodeWithRecords(info any, lines [][]byte, size int) ([]byte, error) {
	value, err := json.Marshal(info)
	if err != nil {
		return nil, err
	}
	joined := make([]byte, 0, len(value)+size+len(`,"records":[]`))
	joined = append(joined, value[:len(value)-1]...)
	joined = append(joined, `,"records":[`...)
	joined = append(joined, bytes.Join(lines, []byte{','})...)
	return append(joined, `]}`...), nil
}

// decodeStrictly rejects unknown fields and anything after the document: ignoring them would lose
// content that a newer version wrote.
func decodeStrictly(value []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("content behind the document")
	}
	return nil
}
