package rawjson

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestPartsAreSplitWithoutBeingDecoded(t *testing.T) {
	is := is.New(t)
	deep := strings.Repeat(`{"a":[`, 50_000) + strings.Repeat(`]}`, 50_000)
	fields, err := Fields([]byte(` { "deep" : ` + deep + `, "large":1e99999 ,"text":"a\"]},{\\", "na\u006de":null,"twice":1,"twice":2}` + "\n"))
	is.NoErr(err)
	is.Equal(string(fields["deep"]), deep)
	is.Equal(string(fields["large"]), "1e99999")
	is.Equal(string(fields["text"]), `"a\"]},{\\"`)
	is.Equal(string(fields["name"]), "null")
	is.Equal(string(fields["twice"]), "2")
	elements, err := Elements([]byte("[" + deep + ",\t7 , [], \"]\" ,{}]"))
	is.NoErr(err)
	is.Equal(len(elements), 5)
	is.Equal(string(elements[0]), deep)
	is.Equal(string(elements[1]), "7")
	is.Equal(string(elements[3]), `"]"`)
	for _, empty := range []string{"[]", " [ ] "} {
		elements, err = Elements([]byte(empty))
		is.NoErr(err)
		is.Equal(len(elements), 0)
	}
}

func TestErrorsGiveTheirOffset(t *testing.T) {
	for text, message := range map[string]string{
		``: "offset 0: not an object", `[]`: "offset 0: not an object", `{"a"}`: "offset 4: not valid JSON",
		`{"a":`: "offset 5: ends early", `{"a":1`: "offset 6: ends early", `{"a":{"b":1}`: "offset 12: not valid JSON",
		`{"a":}`: "offset 5: not valid JSON", `{"a":1,}`: "offset 7: not valid JSON", `{"a":1}x`: "offset 7: not valid JSON",
		`{a:1}`: "offset 2: not valid JSON", `{"a`: "offset 3: ends early", `{"a":"\`: "offset 7: ends early",
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			_, err := Fields([]byte(text))
			is.True(err != nil)
			is.Equal(err.Error(), message)
		})
	}
	is := is.New(t)
	_, err := Elements([]byte(`{}`))
	is.Equal(err.Error(), "offset 0: not an array")
}

func FuzzFields(f *testing.F) {
	f.Add(`{"a":[1,{"b":"]"}],"c":null}`)
	f.Add(`{"a" : "\u0022" , "a":2}`)
	f.Add(`{"é":1e5,"":{}}`)
	f.Fuzz(func(t *testing.T, text string) {
		fields, err := Fields([]byte(text))
		var expected map[string]json.RawMessage
		if json.Unmarshal([]byte(text), &expected) != nil || expected == nil {
			return // what is no valid object may be split or not, but must not panic
		}
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		if len(fields) != len(expected) {
			t.Fatalf("%q: %v, want %v", text, fields, expected)
		}
		for name, value := range expected {
			if string(fields[name]) != string(value) {
				t.Fatalf("%q: %s is %q, want %q", text, name, fields[name], value)
			}
		}
	})
}
