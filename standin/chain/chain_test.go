package chain

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

var request = Request{Model: "m", Version: "v1", Prompt: "history of line 7", Seed: 7}

func TestVerifyAcceptsGeneratedTokens(t *testing.T) {
	is := is.New(t)
	is.NoErr(Verify(request, NewGenerator(request).Tokens(200)))
	is.NoErr(Verify(request, NewDivergentGenerator(request, 3).Tokens(200)))
}

func TestVerifyAcceptsContinuationByAnotherAttempt(t *testing.T) {
	is := is.New(t)
	tokens := NewDivergentGenerator(request, 1).Tokens(10)
	second := NewDivergentGenerator(request, 2)
	for i := 10; i < 20; i++ {
		tokens = append(tokens, second.Token(i, tokens[i-1]))
	}
	is.NoErr(Verify(request, tokens))
}

func TestVerifyDetectsEveryKindOfWrongToken(t *testing.T) {
	tokens := NewDivergentGenerator(request, 1).Tokens(20)
	other := NewDivergentGenerator(request, 2).Tokens(20)
	cases := map[string][]string{
		"missing":  slices.Delete(slices.Clone(tokens), 5, 6),
		"repeated": slices.Insert(slices.Clone(tokens), 5, tokens[4]),
		"mixed":    slices.Concat(tokens[:10], other[10:]),
		"swapped":  slices.Concat(tokens[:5], []string{tokens[6], tokens[5]}, tokens[7:]),
		"altered":  slices.Concat(tokens[:5], []string{"00000000ffffffff "}, tokens[6:]),
	}
	for name, wrong := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(Verify(request, wrong) != nil)
		})
	}
	foreign := request
	foreign.Prompt = "another"
	is.New(t).True(Verify(foreign, tokens) != nil)
}
