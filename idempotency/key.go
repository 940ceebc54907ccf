package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// digestBytes is the length of a Key and of a Fingerprint.
const digestBytes = 16

// Key identifies a request in the ledger: a digest of the customer and the request key.
type Key [digestBytes]byte

// Fingerprint is a digest of a request's content; a key is bound to the fingerprint of its first
// request.
type Fingerprint [digestBytes]byte

// NewKey returns the ledger key of a customer's request.
func NewKey(customer, requestKey string) Key {
	return Key(digest([]byte(customer), []byte(requestKey)))
}

// NewFingerprint returns the digest of a call's deployment, method, path with query, and body.
func NewFingerprint(deployment, method, path string, body []byte) Fingerprint {
	return Fingerprint(digest([]byte(deployment), []byte(method), []byte(path), body))
}

// Shard returns the shard of k among the given number of shards.
func (k Key) Shard(shards int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(shards))
}

// String returns k in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return hexText(k[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error { return parseHex(k[:], text) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return hexText(f[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error { return parseHex(f[:], text) }

func hexText(digest []byte) []byte {
	return hex.AppendEncode(nil, digest)
}

func parseHex(digest, text []byte) error {
	if len(text) != hex.EncodedLen(len(digest)) {
		return fmt.Errorf("digest has %d digits, want %d", len(text), hex.EncodedLen(len(digest)))
	}
	_, err := hex.Decode(digest, text)
	return err
}

// digest hashes each part with its length, so that different lists of parts are never hashed as the
// same bytes.
func digest(parts ...[]byte) []byte {
	sum := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		sum.Write(length[:])
		sum.Write(part)
	}
	return sum.Sum(nil)[:digestBytes]
}
