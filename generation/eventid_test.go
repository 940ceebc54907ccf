package generation

import (
	"testing"

	"github.com/matryer/is"
)

func TestEventIDRoundTrip(t *testing.T) {
	is := is.New(t)
	id := EventID{Generation: "abc", Term: 2, Index: 41}
	parsed, err := ParseEventID(id.String())
	is.NoErr(err)
	is.Equal(parsed, id)
}

func TestParseEventIDRejectsMalformedText(t *testing.T) {
	for _, text := range []string{"", "abc", "abc.1", ".1.2", "abc.-1.2", "abc.1.-2", "abc.1.2.3", "abc.x.2", "abc.1.99999999999"} {
		t.Run(text, func(t *testing.T) {
			_, err := ParseEventID(text)
			is.New(t).True(err != nil)
		})
	}
}

func FuzzParseEventID(f *testing.F) {
	f.Add("g.1.2")
	f.Add("..")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseEventID(text)
		if err != nil {
			return
		}
		again, err := ParseEventID(id.String())
		if err != nil || again != id {
			t.Fatalf("%q parsed to %v, which reads back as %v, %v", text, id, again, err)
		}
	})
}
