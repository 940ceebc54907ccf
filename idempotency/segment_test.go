package idempotency

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func sampleRecord(name string, state State) Record {
	record := Record{
		Key: NewKey("customer", name), Fingerprint: NewFingerprint("d", "POST", "/", nil), State: state,
		Holder: Holder{Entry: "e1", Incarnation: 7}, Attempt: AttemptID("attempt-" + name), ClaimedAtMs: 1000,
	}
	if state == StateAnswered {
		record.Answer = &Answer{Status: 200, Header: []HeaderField{{"Content-Type", "text/html"}}, Body: []byte("<b>&</b>")}
	}
	return record
}

func sampleHead(t testing.TB) ([]byte, Head) {
	t.Helper()
	head, err := EmptyHead(0, 1).Append([]Record{sampleRecord("a", StateClaimed), sampleRecord("b", StateAnswered)})
	if err != nil {
		t.Fatal(err)
	}
	value, err := head.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return value, head
}

func TestHeadKeepsItsContent(t *testing.T) {
	is := is.New(t)
	value, head := sampleHead(t)
	decoded, err := DecodeHead(value, 0, 1)
	is.NoErr(err)
	is.Equal(decoded.Records, head.Records)
	is.Equal(decoded.HeadInfo, head.HeadInfo)
}

// Content that is damaged or that the ledger did not write must never be treated as an empty shard.
func TestInvalidHeadIsRejected(t *testing.T) {
	value, _ := sampleHead(t)
	whole := string(value)
	for name, content := range map[string]string{
		"empty":          ``,
		"null":           `null`,
		"empty object":   `{}`,
		"empty list":     `[]`,
		"truncated":      whole[:len(whole)-3],
		"two documents":  whole + whole,
		"other format":   strings.Replace(whole, "head/1", "head/2", 1),
		"other shard":    strings.Replace(whole, `"shard":0`, `"shard":1`, 1),
		"other number":   strings.Replace(whole, `"shards":1`, `"shards":2`, 1),
		"unknown field":  strings.Replace(whole, `"nonce"`, `"extra":1,"nonce"`, 1),
		"unknown state":  strings.Replace(whole, `"claimed"`, `"lent"`, 1),
		"no records":     whole[:strings.Index(whole, `,"records"`)] + "}",
		"null records":   whole[:strings.Index(whole, `,"records"`)] + `,"records":null}`,
		"missing answer": strings.Replace(whole, `"r":{`, `"r":null,"x":{`, 1),
		"short key":      strings.Replace(whole, `"k":"`, `"k":"0`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := DecodeHead([]byte(content), 0, 1)
			var refused *ContentError
			is.True(errors.As(err, &refused))
		})
	}
}

func TestArchiveMustMatchTheReferenceInTheHead(t *testing.T) {
	is := is.New(t)
	records := []Record{sampleRecord("a", StateNotRun), sampleRecord("b", StateAnswered)}
	value, ref, err := EncodeArchive("shard-000-x", 0, 1, records)
	is.NoErr(err)
	decoded, err := DecodeArchive(value, ref, 0, 1)
	is.NoErr(err)
	is.Equal(decoded, records)
	ref.Records++
	_, err = DecodeArchive(value, ref, 0, 1)
	is.True(err != nil) // the archive lacks a record that the reference counts
	ref.Records--
	ref.Name = "shard-000-y"
	_, err = DecodeArchive(value, ref, 0, 1)
	is.True(err != nil)
}

func TestRollAndExpireKeepRecordsWithinTheRetention(t *testing.T) {
	is := is.New(t)
	_, head := sampleHead(t)
	rolled := head.MoveToArchives(head.Records[:1], []ArchiveRef{{Name: "x", NewestClaimMs: 1000}, {Name: "y", NewestClaimMs: 5000}})
	is.Equal(rolled.Records, head.Records[1:])
	is.True(rolled.RecordBytes() < head.RecordBytes())
	kept, expired := rolled.ExpireArchives(time.UnixMilli(2000))
	is.Equal(len(kept.Archives), 1)
	is.Equal(kept.Archives[0].Name, "y")
	is.Equal(expired[0].Name, "x")
	is.Equal(len(head.Archives), 0) // the original head is unchanged
}

// A former owner that does not know yet that it was replaced must not reply that a claim is absent.
func TestAbsentVerdictRequiresAWrite(t *testing.T) {
	is := is.New(t)
	self := Holder{Entry: "e1", Incarnation: 1}
	head := EmptyHead(0, 1)
	head.Owner = self
	shard := NewShard(5, head, nil)
	end := CompleteRequest{Key: NewKey("c", "k"), Attempt: "a", State: StateUnknown}
	batch, err := shard.Stage([]Operation{{Complete: &end}}, self, "n", time.UnixMilli(1))
	is.NoErr(err)
	is.Equal(batch.Decisions[0].Verdict, VerdictAbsent)
	is.True(batch.NeedsWrite)
}

func FuzzDecodeHead(f *testing.F) {
	value, _ := sampleHead(f)
	f.Add(value)
	f.Add([]byte(`{"format":"azurebarrow-ledger-head/1","shard":0,"shards":1,"records":[]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		head, err := DecodeHead(content, 0, 1)
		if err != nil {
			return
		}
		encoded, err := head.Encode()
		if err != nil {
			t.Skip() // larger than the platform's limit
		}
		again, err := DecodeHead(encoded, 0, 1)
		if err != nil {
			t.Fatalf("accepted content is rejected after it was encoded again: %v", err)
		}
		if len(again.Records) != len(head.Records) || again.Nonce != head.Nonce {
			t.Fatal("accepted content changed")
		}
	})
}
