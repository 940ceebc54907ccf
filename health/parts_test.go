package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// partsCase records crashes of requests, each a second after the one before unless atOnce is set.
type partsCase struct {
	name string
	// cleared are survived before the crashes, survived after them.
	cleared, survived []string
	crashes           [][]string
	atOnce            bool
	sameRequest       bool
	refused, allowed  [][]string
}

func TestPartsThatCrashTargetsAreToldFromSoundOnes(t *testing.T) {
	cases := []partsCase{
		{name: "sound parts of all crashes survive elsewhere", cleared: []string{"system", "customer"},
			crashes: [][]string{{"system", "customer", "bad"}, {"system", "customer", "bad"}, {"system", "customer", "bad"}},
			refused: [][]string{{"system", "customer", "bad"}, {"bad"}}, allowed: [][]string{{"system", "customer"}, {"system", "customer", "other"}}},
		{name: "a sound part always comes beside the bad one", crashes: [][]string{{"beside", "bad"}, {"beside", "bad"}, {"beside", "bad"}},
			refused: [][]string{{"beside", "bad"}}, allowed: [][]string{{"beside"}, {"bad"}}},
		{name: "then the part beside it survives", crashes: [][]string{{"beside", "bad"}, {"beside", "bad"}, {"beside", "bad"}},
			survived: []string{"beside"}, refused: [][]string{{"bad"}, {"bad", "other"}}, allowed: [][]string{{"beside"}}},
		{name: "two bad parts, one of which also comes alone", crashes: [][]string{{"bad", "worse"}, {"bad", "worse"}, {"worse"}, {"bad", "worse"}, {"bad"}, {"bad"}, {"bad"}},
			refused: [][]string{{"bad", "worse"}, {"bad"}}},
		{name: "the part that all requests share occurs in more crashes", crashes: [][]string{{"system", "bad"}, {"system", "x"}, {"system", "bad"}, {"system", "y"}, {"system", "bad"}},
			refused: [][]string{{"system", "bad"}}, allowed: [][]string{{"system"}, {"system", "x"}}},
		{name: "an availability zone fails at once", atOnce: true, crashes: [][]string{{"system", "a"}, {"system", "b"}, {"system", "c"}, {"system", "d"}},
			allowed: [][]string{{"system"}, {"system", "a"}}},
		{name: "one request crashes its targets", sameRequest: true, crashes: [][]string{{"system", "a"}, {"system", "a"}, {"system", "a"}},
			allowed: [][]string{{"system"}, {"system", "a"}}},
		{name: "a caller names the part of another one", cleared: []string{"stranger"}, crashes: [][]string{{"stranger"}, {"stranger"}, {"stranger"}},
			allowed: [][]string{{"stranger"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			crashes := NewCrashes()
			now := time.Unix(1000, 0)
			crashes.ClearParts(c.cleared, now)
			for i, parts := range c.crashes {
				if !c.atOnce {
					now = now.Add(time.Second)
				}
				fingerprint := fmt.Sprintf("f%d", i)
				if c.sameRequest {
					fingerprint = "f"
				}
				crashes.RecordParts(Work{Fingerprint: fingerprint, SharedParts: parts}, fmt.Sprintf("t%d", i), now, now)
			}
			crashes.ClearParts(c.survived, now)
			for _, parts := range c.refused {
				_, found := crashes.Refusal(Work{SharedParts: parts})
				is.True(found) // is refused
			}
			for _, parts := range c.allowed {
				_, found := crashes.Refusal(Work{SharedParts: parts})
				is.True(!found) // is allowed
			}
		})
	}
}

func TestClearedPartIsRefusedOnceItCrashesTargetsLater(t *testing.T) {
	is := is.New(t)
	crashes := NewCrashes()
	now := time.Unix(1000, 0)
	crashes.ClearParts([]string{"part"}, now)
	now = now.Add(partClearance)
	for i := range 5 {
		now = now.Add(time.Second)
		crashes.RecordParts(Work{Fingerprint: fmt.Sprint(i), SharedParts: []string{"part"}}, fmt.Sprint(i), now, now)
	}
	_, found := crashes.Refusal(Work{SharedParts: []string{"part"}})
	is.True(found)
}

func TestRefusedPartIsTriedAgainAtGrowingIntervals(t *testing.T) {
	is := is.New(t)
	crashes := NewCrashes()
	now := time.Unix(1000, 0)
	is.True(crashes.RefuseParts([]string{"part"}, 5, now))
	refused, _ := crashes.Refusal(Work{SharedParts: []string{"part"}})
	is.True(!crashes.ClaimTrial(refused, now.Add(firstTrialDelay-time.Second)))
	now = now.Add(firstTrialDelay)
	is.True(crashes.ClaimTrial(refused, now))
	is.True(!crashes.ClaimTrial(refused, now.Add(2*firstTrialDelay-time.Second)))
	is.True(crashes.ClaimTrial(refused, now.Add(2*firstTrialDelay)))
}

func TestRecordsOfPartsAreBoundedWhenPromptsNeverRepeat(t *testing.T) {
	is := is.New(t)
	crashes := NewCrashes()
	now := time.Unix(1000, 0)
	for i := range 3 * maxClearedParts {
		crashes.ClearParts([]string{fmt.Sprint("cleared-", i)}, now)
	}
	for i := range 3 * maxPartCrashes {
		crashes.RecordParts(Work{Fingerprint: fmt.Sprint(i), SharedParts: []string{fmt.Sprint("p", i)}}, fmt.Sprint(i), now, now)
		crashes.RefuseParts([]string{fmt.Sprint("refused-", i)}, 3, now)
	}
	is.Equal(crashes.parts.cleared.Len(), maxClearedParts)
	is.Equal(len(crashes.parts.crashes), maxPartCrashes)
	is.Equal(crashes.parts.refused.Len(), maxRefusedParts)
}

// Guards against a part whose evidence disappears since requests with it waited at targets that another part crashed.
func TestPartIsRefusedAlthoughAnotherOneExplainsSomeOfItsCrashes(t *testing.T) {
	is := is.New(t)
	crashes := NewCrashes()
	now := time.Unix(1000, 0)
	for i := range amplePartTargets {
		now = now.Add(400 * time.Millisecond)
		target := fmt.Sprint("t", i)
		if i < MinCrashesToRefuse+1 {
			crashes.RecordParts(Work{Fingerprint: fmt.Sprint("a", i), SharedParts: []string{"system", "bad"}}, target, now, now)
		}
		crashes.RecordParts(Work{Fingerprint: fmt.Sprint("b", i), SharedParts: []string{"system", "worse"}}, target, now, now)
		crashes.RecordParts(Work{Fingerprint: fmt.Sprint("c", i), SharedParts: []string{"system", fmt.Sprint("own", i)}}, target, now, now)
	}
	for _, part := range []string{"bad", "worse"} {
		_, found := crashes.Refusal(Work{SharedParts: []string{"system", part}})
		is.True(found)
	}
	_, found := crashes.Refusal(Work{SharedParts: []string{"system", "own"}})
	is.True(!found) // the part that all share is seen in requests that explain its crashes
}
