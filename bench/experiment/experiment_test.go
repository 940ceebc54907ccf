package experiment

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestResultIsOneJSONObjectOfTheContract(t *testing.T) {
	is := is.New(t)
	result := Result{Experiment: "resume", Seed: 1}
	result.Add(AtMost("resume_p99", 251, Milliseconds, 250), AtLeast("share", 1, Fraction, 0.99), Unbounded("samples", 3, Count))
	var text bytes.Buffer
	is.NoErr(result.WriteJSON(&text))
	is.Equal(text.String(), `{"experiment":"resume","seed":1,"figures":[`+
		`{"name":"resume_p99","value":251,"unit":"ms","target":250,"ok":false},`+
		`{"name":"share","value":1,"unit":"fraction","target":0.99,"ok":true},`+
		`{"name":"samples","value":3,"unit":"count","ok":true}]}`+"\n")
	is.True(json.Valid(text.Bytes()))
}

func TestQuantilesAreNearestRanks(t *testing.T) {
	is := is.New(t)
	var samples Samples
	for i := 100; i >= 1; i-- {
		samples.Add(time.Duration(i) * time.Millisecond)
	}
	is.Equal(samples.QuantileMs(0.5), 51.0)
	is.Equal(samples.QuantileMs(0.99), 100.0)
	is.Equal(samples.QuantileMs(1), 100.0)
	is.Equal(Samples(nil).QuantileMs(0.5), 0.0)
}

func TestDrawQuantilesWritesPNG(t *testing.T) {
	is := is.New(t)
	env := Environment{Plot: filepath.Join(t.TempDir(), "plot.png")}
	is.NoErr(env.DrawQuantiles("latency", Series{Name: "a", Samples: Samples{time.Millisecond, 2 * time.Millisecond}}, Series{Name: "empty"}))
	content, err := os.ReadFile(env.Plot)
	is.NoErr(err)
	is.True(bytes.HasPrefix(content, []byte("\x89PNG")))
}
