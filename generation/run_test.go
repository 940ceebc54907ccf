package generation

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestRunIsNotAbandonedBeforeItsFirstReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRun(nil, Request{}, "hash", nil)
		is.True(!r.abandoned(time.Second)) // its caller is about to read
		time.Sleep(time.Second)
		is.True(r.abandoned(time.Second))
		r.addReader()
		is.True(!r.abandoned(time.Second))
	})
}
