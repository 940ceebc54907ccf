package engine

import (
	"strconv"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/chain"
	"github.com/cespare/xxhash/v2"
)

// Finish reasons of the engine protocol.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// Range of answer lengths in tokens before the limit maxTokens applies, when Options.FixedLength is 0.
const (
	minNaturalLength   = 200
	naturalLengthRange = 1800
)

// generateRequest is the body of POST /v1/generate.
type generateRequest struct {
	RequestID string   `json:"requestId"`
	Attempt   int      `json:"attempt"`
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Adapter   string   `json:"adapter"`
	Prompt    string   `json:"prompt"`
	Output    []string `json:"output"`
	MaxTokens int      `json:"maxTokens"`
	Seed      int64    `json:"seed"`
	Priority  int      `json:"priority"`
}

func (r generateRequest) chainRequest() chain.Request {
	return chain.Request{Model: r.Model, Version: r.Version, Adapter: r.Adapter, Prompt: r.Prompt, Seed: r.Seed}
}

type streamKey struct {
	requestID string
	attempt   int
}

type streamState int

const (
	streamQueued streamState = iota
	streamRunning
	streamFinished
	streamStopped
)

// stream is the generation for one attempt. Its fields are guarded by Engine.mu.
type stream struct {
	key       streamKey
	request   generateRequest
	generator chain.Generator
	// tokens holds the output given in the request and the tokens generated after it.
	tokens []string
	// length is the final number of tokens, finish the finish reason.
	length int
	finish string
	state  streamState
	// prefillLeft is the number of tokens still to be prefilled.
	prefillLeft int
	sequence    int64
	acceptedAt  time.Time
	readers     map[*reader]struct{}
	// expiryTimer cancels the stream after HoldTime without a reader; nil while it has one.
	expiryTimer *time.Timer
}

// reader is one connection that reads a stream.
type reader struct {
	// wake receives a value when the stream has changed.
	wake chan struct{}
}

func (s *stream) wakeReaders() {
	for r := range s.readers {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

func (s *stream) ended() bool { return s.state == streamFinished || s.state == streamStopped }

// decodeToken appends the next token and marks the stream finished at its final length.
func (s *stream) decodeToken() {
	if len(s.tokens) < s.length {
		previous := ""
		if len(s.tokens) > 0 {
			previous = s.tokens[len(s.tokens)-1]
		}
		s.tokens = append(s.tokens, s.generator.Token(len(s.tokens), previous))
	}
	if len(s.tokens) >= s.length {
		s.state = streamFinished
	}
	s.wakeReaders()
}

// Length returns the number of tokens of the whole answer and its finish reason. fixed is the length
// before the limit maxTokens applies; 0 derives it from seed and prompt. maxTokens 0 is no limit.
func AnswerLength(prompt string, seed int64, maxTokens, fixed int) (length int, finish string) {
	natural := fixed
	if natural == 0 {
		hash := xxhash.Sum64String(strconv.FormatInt(seed, 10) + "/" + prompt)
		natural = minNaturalLength + int(hash%naturalLengthRange)
	}
	if maxTokens > 0 && maxTokens < natural {
		return maxTokens, finishLength
	}
	return natural, finishStop
}
