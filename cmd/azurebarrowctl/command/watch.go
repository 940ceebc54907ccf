package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/objects"
)

// watchWait is how long the platform waits for a change before it answers a watch without one.
const watchWait = 30 * time.Second

type watchCommand struct {
	globals *globalOptions
	For     time.Duration `long:"for" description:"end after this time; 0 goes on until interrupted"`
	Changes int           `long:"changes" description:"end after this number of changes; 0 does not end"`
	Args    struct {
		Kinds []string `positional-arg-name:"KIND"`
	} `positional-args:"yes"`

	printed int
}

// Execute implements flags.Commander.
func (c *watchCommand) Execute([]string) error {
	client, err := c.globals.platform()
	if err != nil {
		return err
	}
	kinds, err := c.kinds()
	if err != nil {
		return err
	}
	ctx := c.globals.ctx
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	err = c.follow(ctx, client, kinds)
	if ctx.Err() != nil {
		return nil // the time set by --for is over, or the command was interrupted
	}
	return err
}

func (c *watchCommand) kinds() ([]string, error) {
	if len(c.Args.Kinds) == 0 {
		return v1.Kinds(), nil
	}
	var kinds []string
	for _, text := range c.Args.Kinds {
		kind, err := parseKind(text)
		if err != nil {
			return nil, err
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}

// follow prints the present resources and then each change. While the platform is unavailable, it retries.
func (c *watchCommand) follow(ctx context.Context, client *platformhttp.Client, kinds []string) error {
	after, err := c.printCurrent(ctx, client, kinds)
	if err != nil {
		return err
	}
	for !c.limitReached() {
		list, err := client.Watch(ctx, kinds, after, watchWait)
		switch {
		case errors.Is(err, objects.ErrTooOld):
			if after, err = c.printCurrent(ctx, client, kinds); err != nil {
				return err
			}
			continue
		case ctx.Err() != nil:
			return nil
		case err != nil:
			time.Sleep(retryMaxInterval)
			continue
		}
		for _, object := range list.Items {
			if err := c.print(object); err != nil {
				return err
			}
		}
		after = max(after, list.Revision)
	}
	return nil
}

func (c *watchCommand) limitReached() bool { return c.Changes > 0 && c.printed >= c.Changes }

// printCurrent prints the present resources and returns the revision after which to watch: the lowest one of
// the lists, so that no change is missed.
func (c *watchCommand) printCurrent(ctx context.Context, client *platformhttp.Client, kinds []string) (int64, error) {
	var after int64
	for i, kind := range kinds {
		list, err := retry(ctx, func() (objects.List, error) { return client.List(ctx, kind) })
		if err != nil {
			return 0, err
		}
		if i == 0 || list.Revision < after {
			after = list.Revision
		}
		for _, object := range list.Items {
			if err := c.print(object); err != nil {
				return 0, err
			}
		}
	}
	return after, nil
}

// watchedChange is one change as -o json prints it on a line, and -o yaml as a document.
type watchedChange struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	Resource any    `json:"resource,omitempty"`
}

func (c *watchCommand) print(object objects.Object) error {
	c.printed++
	stored := decodeStored(object)
	if c.globals.Output == outputTable {
		line := strings.Join(resourceRow(stored), "  ")
		if object.Deleted {
			line = fmt.Sprintf("%s  %s  %d  deleted", object.Kind, object.Name, object.Revision)
		}
		_, err := fmt.Fprintln(c.globals.out, line)
		return err
	}
	changed := watchedChange{Kind: object.Kind, Name: object.Name, Revision: object.Revision, Deleted: object.Deleted}
	if !object.Deleted {
		changed.Resource = stored.printable()
	}
	if c.globals.Output == outputYAML {
		fmt.Fprintln(c.globals.out, "---")
		return c.globals.printValue(changed)
	}
	return json.NewEncoder(c.globals.out).Encode(changed)
}
