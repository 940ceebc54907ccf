package command

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/engine"
	"github.com/azurebarrow/azurebarrow/standin/platform"
	"github.com/azurebarrow/azurebarrow/standin/server"
	"github.com/azurebarrow/azurebarrow/standin/service"
	"github.com/azurebarrow/azurebarrow/standin/vmlist"
)

type engineCommand struct {
	listenOptions
	Name            string        `long:"name" default:"engine" description:"name in stats and incarnations"`
	Zone            string        `long:"zone" description:"availability zone, for the log only"`
	Seed            int64         `long:"seed" default:"1" description:"seed of event losses and divergent salts"`
	TokenInterval   time.Duration `long:"token-interval" default:"39ms" description:"time of a decoding step with one stream"`
	BatchGrowth     float64       `long:"batch-growth" default:"0.02" description:"share of the token interval that each further stream adds"`
	PrefillPerToken time.Duration `long:"prefill-per-token" default:"50us" description:"time of one uncached token"`
	Concurrency     int           `long:"concurrency" default:"16" description:"streams that run at once"`
	QueueLimit      int           `long:"queue-limit" default:"64" description:"streams that wait"`
	CacheBytes      int           `long:"cache-bytes" default:"4194304" description:"prompt bytes whose prefixes are cached"`
	HoldTime        time.Duration `long:"hold-time" default:"30s" description:"how long a stream is kept without a reader"`
	EventDelay      time.Duration `long:"event-delay" default:"200ms" description:"how late cache events are"`
	EventLoss       float64       `long:"event-loss" default:"0.02" description:"share of cache events that are lost"`
	LoadLag         time.Duration `long:"load-lag" default:"500ms" description:"lag of the load report"`
	WeightLoadTime  time.Duration `long:"weight-load-time" default:"1s" description:"time of a load order"`
	IgnoreFence     bool          `long:"ignore-fence" description:"take orders with old fencing tokens"`
	Divergent       bool          `long:"divergent" description:"make fresh generations of one request differ"`
	FixedLength     int           `long:"fixed-length" description:"natural length of every answer; 0 derives it"`
	Loaded          []string      `long:"loaded" description:"model@version[@adapter] that is loaded; repeatable; none runs every version"`
}

// Execute runs the stand-in of a model engine.
func (c *engineCommand) Execute([]string) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	var main *server.Server
	options.OnDie = func(after time.Duration) { main.Kill(after) }
	standin := engine.New(options)
	defer standin.Close()
	main = server.New(c.Listen, standin)
	return c.serve("engine", main, standin)
}

func (c *engineCommand) options() (engine.Options, error) {
	options := engine.DefaultOptions()
	options.Name = c.Name
	options.Seed = c.Seed
	options.TokenInterval = c.TokenInterval
	options.BatchGrowth = c.BatchGrowth
	options.PrefillPerToken = c.PrefillPerToken
	options.Concurrency = c.Concurrency
	options.QueueLimit = c.QueueLimit
	options.CacheBytes = c.CacheBytes
	options.UnreadStreamTTL = c.HoldTime
	options.EventDelay = c.EventDelay
	options.EventLossFraction = c.EventLoss
	options.LoadReportInterval = c.LoadLag
	options.WeightLoadTime = c.WeightLoadTime
	options.CheckFence = !c.IgnoreFence
	options.Divergent = c.Divergent
	options.FixedLength = c.FixedLength
	options.ServeAnyVersion = len(c.Loaded) == 0
	for _, text := range c.Loaded {
		version, err := parseVersion(text)
		if err != nil {
			return options, err
		}
		options.Loaded = append(options.Loaded, version)
	}
	return options, nil
}

// parseVersion parses model@version or model@version@adapter.
func parseVersion(text string) (engine.Version, error) {
	const versionParts, adapterParts = 2, 3
	parts := strings.Split(text, "@")
	switch len(parts) {
	case versionParts:
		return engine.Version{Model: parts[0], Version: parts[1]}, nil
	case adapterParts:
		return engine.Version{Model: parts[0], Version: parts[1], Adapter: parts[2]}, nil
	}
	return engine.Version{}, fmt.Errorf("loaded %q: want model@version or model@version@adapter", text)
}

type serviceCommand struct {
	listenOptions
	Name         string        `long:"name" default:"service" description:"name in answers"`
	Zone         string        `long:"zone" description:"availability zone, for the log only"`
	Latency      time.Duration `long:"latency" default:"2ms" description:"time of one call"`
	Deduplicates bool          `long:"deduplicates" description:"run each request key once"`
}

// Execute runs the stand-in of a service.
func (c *serviceCommand) Execute([]string) error {
	var main *server.Server
	standin := service.New(service.Options{
		Name:        c.Name,
		Latency:     c.Latency,
		Deduplicate: c.Deduplicates,
		OnDie:       func(after time.Duration) { main.Kill(after) },
	})
	main = server.New(c.Listen, standin)
	return c.serve("service", main, standin)
}

type platformCommand struct {
	listenOptions
	Load            []string `long:"load" description:"directory of resources in YAML or JSON to start with; repeatable"`
	ReadsPerSecond  float64  `long:"reads-per-second" default:"2000" description:"rate of reads; 0 is no bound"`
	WritesPerSecond float64  `long:"writes-per-second" default:"400" description:"rate of writes; 0 is no bound"`
}

// Execute runs the stand-in of the platform's object API.
func (c *platformCommand) Execute([]string) error {
	options := platform.DefaultOptions()
	options.ReadsPerSecond = c.ReadsPerSecond
	options.WritesPerSecond = c.WritesPerSecond
	standin := platform.New(options)
	for _, directory := range c.Load {
		if err := standin.LoadDirectory(directory); err != nil {
			return err
		}
	}
	main := server.New(c.Listen, standin)
	standin.OnDie = main.Kill
	return c.serve("platform", main, standin)
}

type vmListCommand struct {
	listenOptions
	Lag time.Duration `long:"lag" default:"1s" description:"how late changes are shown"`
	VMs []string      `long:"vm" description:"address,availability-zone of a live VM; repeatable"`
}

// Execute runs the stand-in of the VM list.
func (c *vmListCommand) Execute([]string) error {
	standin := vmlist.New(vmlist.Options{Lag: c.Lag})
	for _, text := range c.VMs {
		address, zone, _ := strings.Cut(text, ",")
		standin.Set(vmlist.VM{Address: address, AvailabilityZone: zone, State: vmlist.Live})
	}
	var handler http.Handler = standin
	main := server.New(c.Listen, handler)
	standin.OnDie = main.Kill
	return c.serve("vmlist", main, handler)
}
