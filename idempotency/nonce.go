package idempotency

import (
	"crypto/rand"
	"encoding/hex"
)

const nonceBytes = 8

func newNonce() string {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:]) // never returns an error
	return hex.EncodeToString(nonce[:])
}

// NewAttemptID returns a random attempt ID.
func NewAttemptID() AttemptID { return AttemptID(newNonce()) }
