package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/platform"
	"github.com/azurebarrow/azurebarrow/standin/server"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// maxMissedHeartbeats is the number of heartbeat intervals without a write after which the store removes a
// target's object.
const maxMissedHeartbeats = 3

type storeCommand struct {
	listenOptions
	Heartbeat time.Duration `long:"heartbeat" default:"1200ms" description:"time between two writes of a target"`
}

// Execute runs the stand-in of the users' store.
func (c *storeCommand) Execute([]string) error {
	standin := platform.New(platform.DefaultOptions())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go standin.RunExpiry(ctx, target.ObjectKind, maxMissedHeartbeats*c.Heartbeat)
	handler := standin.UsersAPIHandler()
	main := server.New(c.Listen, handler)
	standin.OnDie = main.Kill
	return c.serve("store", main, handler)
}

// crashStatus is the exit status of a target that a prompt crashed.
const crashStatus = 3

type targetCommand struct {
	listenOptions
	ID            string        `long:"id" required:"true" description:"name of this incarnation"`
	Service       string        `long:"service" required:"true" description:"the service that it serves"`
	Zone          string        `long:"zone" required:"true" description:"availability zone"`
	Version       string        `long:"version" description:"version of its software, which it registers and names in each event"`
	Advertise     string        `long:"advertise" description:"host:port to register under; the listening one by default"`
	Store         string        `long:"store" required:"true" description:"base URL of the store"`
	Log           string        `long:"log" required:"true" description:"file of what it does"`
	Slots         int           `long:"slots" default:"6" description:"requests that run at once"`
	Events        int           `long:"events" description:"events of a stream; 0 makes it a service of plain calls"`
	EventInterval time.Duration `long:"event-interval" default:"20ms" description:"time between two events"`
	CrashPrefix   string        `long:"crash-prefix" description:"prompt parts whose IDs begin so crash it as it begins to answer"`
	CrashPath     string        `long:"crash-path" description:"paths with an element that begins so crash it as it begins to answer"`
	WorkTime      time.Duration `long:"work-time" default:"15ms" description:"time of a plain call"`
	Heartbeat     time.Duration `long:"heartbeat" default:"1200ms" description:"time between two writes to the store"`
	Faulty        bool          `long:"faulty" description:"repeat refusals late, and answer some attempts that take a stream up with errors"`
	DrainTime     time.Duration `long:"drain-time" default:"4s" description:"how long it serves on after it has reported that it leaves"`
}

// Execute runs the stand-in of a target. SIGTERM or SIGINT drains it and then ends it.
func (c *targetCommand) Execute([]string) error {
	log, err := target.OpenLog(c.Log)
	if err != nil {
		return err
	}
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	standin := target.New(target.Options{
		ID: c.ID, Service: c.Service, AvailabilityZone: c.Zone, Advertise: c.Advertise, Slots: c.Slots, Version: c.Version,
		Events: c.Events, EventInterval: c.EventInterval, WorkTime: c.WorkTime, Log: log,
		CrashPrefix: c.CrashPrefix, CrashPath: c.CrashPath, Exit: func() { os.Exit(crashStatus) },
		FailTakenUp: c.Faulty,
	})
	main := server.New(c.Listen, standin)
	if c.Faulty {
		main.RepeatRefusals()
	}
	if err := main.Start(); err != nil {
		return err
	}
	defer main.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	standin.Run(ctx, target.Registration{StoreURL: c.Store, Heartbeat: c.Heartbeat, DrainTime: c.DrainTime})
	return nil
}
