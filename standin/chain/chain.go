// Package chain generates and verifies token streams for tests. Each token contains a hash of the one
// before it, as in a hash chain, so that Verify detects a wrong, missing or repeated token, and tokens
// of two generations that are mixed.
//
// A token is eight hexadecimal digits of link, eight of salt and a space. The link is a hash of
// the request, the token's index and the previous token. The salt differs between two generations
// of a request: a generation may continue the given output of another one, but tokens of both that
// were generated independently do not verify together.
package chain

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// TokenBytes is the length of every token in bytes.
const TokenBytes = 17

const (
	linkDigits  = 8
	saltDigits  = 8
	uint32Bytes = 4
	uint64Bytes = 8
)

// Request holds the fields of a request that determine its tokens.
type Request struct {
	Model   string
	Version string
	Adapter string
	Prompt  string
	Seed    int64
}

// Generator produces the tokens of one request.
type Generator struct {
	root uint64
	salt uint32
}

// NewGenerator returns a deterministic generator: all generators of a request return the same tokens.
func NewGenerator(request Request) Generator {
	root := requestHash(request)
	return Generator{root: root, salt: uint32(xxhash.Sum64String("salt" + strconv.FormatUint(root, 16)))}
}

// NewDivergentGenerator returns a generator whose tokens differ for each nonce.
func NewDivergentGenerator(request Request, nonce uint64) Generator {
	root := requestHash(request)
	seeded := strconv.FormatUint(root, 16) + "/" + strconv.FormatUint(nonce, 16)
	return Generator{root: root, salt: uint32(xxhash.Sum64String(seeded))}
}

// Token returns the token of the given index that follows previous, which is empty for index 0.
func (g Generator) Token(index int, previous string) string {
	var raw [2 * uint32Bytes]byte
	binary.BigEndian.PutUint32(raw[:uint32Bytes], linkHash(g.root, index, previous))
	binary.BigEndian.PutUint32(raw[uint32Bytes:], g.salt)
	var text [TokenBytes]byte
	hex.Encode(text[:], raw[:])
	text[TokenBytes-1] = ' '
	return string(text[:])
}

// Tokens returns the first n tokens.
func (g Generator) Tokens(n int) []string {
	tokens := make([]string, 0, n)
	previous := ""
	for i := range n {
		previous = g.Token(i, previous)
		tokens = append(tokens, previous)
	}
	return tokens
}

// BrokenError is the error for the first token whose link does not match the tokens before it.
type MismatchError struct {
	Index    int
	Token    string
	WantLink string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("token %d: %q does not continue the chain, want link %s", e.Index, e.Token, e.WantLink)
}

// Verify returns a *BrokenError if tokens are not the beginning of an answer to request: one is wrong,
// missing, repeated or of another generation.
func Verify(request Request, tokens []string) error {
	verifier := NewVerifier(request)
	for _, token := range tokens {
		if err := verifier.Next(token); err != nil {
			return err
		}
	}
	return nil
}

// Verifier checks a token stream token by token.
type Verifier struct {
	root     uint64
	index    int
	previous string
}

// NewVerifier returns a Verifier that expects token 0 of request.
func NewVerifier(request Request) *Verifier {
	return &Verifier{root: requestHash(request)}
}

// Next checks the next token and returns a *BrokenError if it does not continue the stream.
func (v *Verifier) Next(token string) error {
	want := fmt.Sprintf("%08x", linkHash(v.root, v.index, v.previous))
	if len(token) != TokenBytes || token[:linkDigits] != want {
		return &MismatchError{Index: v.index, Token: token, WantLink: want}
	}
	v.index++
	v.previous = token
	return nil
}

// Count returns the number of tokens verified.
func (v *Verifier) Count() int { return v.index }

func requestHash(r Request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.Model, r.Version, r.Adapter, r.Prompt, strconv.FormatInt(r.Seed, 10)} {
		_, _ = digest.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return digest.Sum64()
}

func linkHash(root uint64, index int, previous string) uint32 {
	var buffer [2*uint64Bytes + linkDigits + saltDigits + 1]byte
	binary.BigEndian.PutUint64(buffer[:], root)
	binary.BigEndian.PutUint64(buffer[uint64Bytes:], uint64(index))
	n := copy(buffer[2*uint64Bytes:], previous)
	return uint32(xxhash.Sum64(buffer[:2*uint64Bytes+n]))
}
