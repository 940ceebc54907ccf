package command

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/jsonhttp"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/platform"
)

// inForceTimeout limits the request to the store and the request to each entry.
const inForceTimeout = 5 * time.Second

// Names of the metrics that the command reads from entries; docs/OPERATIONS.md documents them.
const (
	metricVersion = "azurebarrow_configuration_version"
	metricLive    = "azurebarrow_entries_live"
)

type inForceCommand struct {
	globals *globalOptions
	Entry   []string `long:"entry" required:"true" value-name:"IP:PORT" description:"the admin address of an entry; repeat it for each entry to compare"`
}

// entryInForce is the configuration that one entry has in force.
type entryInForce struct {
	Entry string `json:"entry"`
	// Version is the version of the configuration in force; 0 before the first one.
	Version int64 `json:"version"`
	// Live is the number of live entries that this entry knows.
	Live int64 `json:"live"`
	// Error says why the metrics could not be read.
	Error string `json:"error,omitempty"`
}

// inForceReport compares the stored configuration with that of entries.
type inForceReport struct {
	Stored  int64          `json:"stored"`
	Entries []entryInForce `json:"entries"`
}

// allInForce reports whether every entry has the stored configuration in force.
func (f inForceReport) allInForce() bool {
	for _, entry := range f.Entries {
		if entry.Error != "" || entry.Version != f.Stored {
			return false
		}
	}
	return true
}

// Execute implements flags.Commander.
func (c *inForceCommand) Execute([]string) error {
	if c.globals.PlatformURL == "" {
		return errNoPlatform
	}
	ctx, cancel := context.WithTimeout(c.globals.ctx, inForceTimeout)
	defer cancel()
	stored, err := storedVersion(ctx, c.globals.PlatformURL)
	if err != nil {
		return err
	}
	compared := inForceReport{Stored: stored}
	for _, entry := range c.Entry {
		compared.Entries = append(compared.Entries, fetchEntryInForce(c.globals.ctx, entry))
	}
	if err := c.print(compared); err != nil {
		return err
	}
	if !compared.allInForce() {
		return exitError{ExitNotInForce}
	}
	return nil
}

var errNoConfiguration = errors.New("the store holds no configuration")

// storedVersion returns the version of the configuration in the users' store.
func storedVersion(ctx context.Context, url string) (int64, error) {
	list, err := platform.NewStore(url, platform.StoreOptions{}).List(ctx, directory.KindConfiguration)
	if err != nil {
		return 0, err
	}
	newest := int64(-1)
	for _, item := range list.Items {
		configuration, err := decodeConfiguration(item)
		if err != nil {
			return 0, err
		}
		newest = max(newest, configuration.Version)
	}
	if newest < 0 {
		return 0, errNoConfiguration
	}
	return newest, nil
}

func decodeConfiguration(item objects.Object) (*directory.Configuration, error) {
	configuration, err := platform.Decoder{}.Configuration(item)
	if err != nil {
		return nil, fmt.Errorf("configuration %s, revision %d: %w", item.Name, item.Revision, err)
	}
	return configuration, nil
}

// fetchEntryInForce reads the metrics of an entry. If that fails, the result holds the error.
func fetchEntryInForce(ctx context.Context, entry string) entryInForce {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	found := entryInForce{Entry: entry}
	values, err := readMetrics(ctx, "http://"+entry+"/metrics", metricVersion, metricLive)
	if err != nil {
		found.Error = err.Error()
		return found
	}
	found.Version = int64(values[metricVersion])
	found.Live = int64(values[metricLive])
	return found
}

// readMetrics reads metrics in the Prometheus text format and returns the values of those without labels. It
// fails if one of names is missing.
func readMetrics(ctx context.Context, url string, names ...string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &jsonhttp.StatusError{URL: url, Status: response.StatusCode}
	}
	values := map[string]float64{}
	lines := bufio.NewScanner(io.LimitReader(response.Body, jsonhttp.MaxAnswerBytes))
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	for _, name := range names {
		if _, known := values[name]; !known {
			return nil, fmt.Errorf("%s: no metric %s", url, name)
		}
	}
	return values, lines.Err()
}

func (c *inForceCommand) print(compared inForceReport) error {
	if c.globals.Output != outputTable {
		return c.globals.printValue(compared)
	}
	rows := [][]string{{"(stored)", strconv.FormatInt(compared.Stored, 10), "", ""}}
	for _, entry := range compared.Entries {
		rows = append(rows, []string{
			entry.Entry, strconv.FormatInt(entry.Version, 10), strconv.FormatInt(entry.Live, 10), entry.Error,
		})
	}
	return c.globals.printTable([]string{"ENTRY", "VERSION", "LIVE", "ERROR"}, rows)
}
