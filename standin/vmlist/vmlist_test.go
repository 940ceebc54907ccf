package vmlist

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/matryer/is"
)

func TestChangesAreShownAfterTheLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := New(Options{Lag: time.Second})
		list.Set(VM{Address: "127.0.0.1:1", State: Live})
		is.Equal(len(list.List()), 0)
		time.Sleep(time.Second)
		is.Equal(list.List(), []VM{{Address: "127.0.0.1:1", State: Live}})
		list.Set(VM{Address: "127.0.0.1:1", State: Gone})
		time.Sleep(time.Second)
		is.Equal(len(list.List()), 0)
	})
}

func TestFaultsMakeTheListWrong(t *testing.T) {
	is := is.New(t)
	list := New(Options{})
	list.Set(VM{Address: "127.0.0.1:1", State: Live})
	list.Apply(fault.Fault{Kind: fault.WronglyDraining, Match: ":1"})
	is.Equal(list.List()[0].State, Leaving)
	list.Apply(fault.Fault{Kind: fault.HiddenAddresses, Match: ":1"})
	is.Equal(len(list.List()), 0)
	list.Faults().Clear()
	is.Equal(list.List()[0].State, Live)
}
