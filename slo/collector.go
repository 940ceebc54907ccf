package slo

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/azurebarrow/azurebarrow/membership"
)

const (
	// entryTimeout limits the call for one entry's report; an entry that exceeds it is marked as
	// missing.
	entryTimeout = 500 * time.Millisecond
	// zoneTimeout limits one call for an availability zone's report. It leaves the called entry time
	// to wait for the entries of its zone.
	zoneTimeout = 2 * entryTimeout
	// maxZoneAttempts is the maximum number of entries of another availability zone that are called
	// for its report.
	maxZoneAttempts = 2
	// maxParallelCalls limits the concurrent calls to the entries of an availability zone.
	maxParallelCalls = 32
)

// Peers requests reports from other entries.
type Peers interface {
	EntryReport(ctx context.Context, peer membership.Peer) (Report, error)
	ZoneReport(ctx context.Context, peer membership.Peer) (Report, error)
}

// Collector collects reports from this entry and its peers.
type Collector struct {
	recorder *Recorder
	view     membership.View
	peers    Peers
}

// NewCollector returns a collector of the entry whose events recorder records.
func NewCollector(recorder *Recorder, view membership.View, peers Peers) *Collector {
	return &Collector{recorder: recorder, view: view, peers: peers}
}

// Entry returns this entry's report.
func (c *Collector) EntryReport() Report {
	self := c.view.Self()
	return c.recorder.Report(self.Name, self.AvailabilityZone)
}

// Zone returns the merged report of all live entries in this entry's availability zone. Entries that
// fail to report within entryTimeout are marked as missing.
func (c *Collector) ZoneReport(ctx context.Context) Report {
	self := c.view.Self()
	var others []membership.Peer
	for _, peer := range c.view.Live() {
		if peer.AvailabilityZone == self.AvailabilityZone && peer.Name != self.Name {
			others = append(others, peer)
		}
	}
	reports := make([]Report, len(others))
	var calls errgroup.Group
	calls.SetLimit(maxParallelCalls)
	for i, peer := range others {
		calls.Go(func() error {
			reports[i] = c.fetchEntryReport(ctx, peer)
			return nil
		})
	}
	_ = calls.Wait() // always nil: entries that fail are marked as missing
	return Merge(append(reports, c.EntryReport())...)
}

func (c *Collector) fetchEntryReport(ctx context.Context, peer membership.Peer) Report {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	report, err := c.peers.EntryReport(ctx, peer)
	if err != nil {
		return missingReport(peer.AvailabilityZone, peer)
	}
	return report
}

// Zones returns the report of each availability zone that has live entries, starting with this
// entry's own.
func (c *Collector) ZoneReports(ctx context.Context) []Report {
	self := c.view.Self()
	zones := []string{self.AvailabilityZone}
	members := map[string][]membership.Peer{}
	for _, peer := range c.view.Live() {
		zone := peer.AvailabilityZone
		if len(members[zone]) == 0 && zone != self.AvailabilityZone {
			zones = append(zones, zone)
		}
		members[zone] = append(members[zone], peer)
	}
	reports := make([]Report, len(zones))
	var calls errgroup.Group
	for i, zone := range zones {
		calls.Go(func() error {
			if zone == self.AvailabilityZone {
				reports[i] = c.ZoneReport(ctx)
				return nil
			}
			reports[i] = c.fetchZoneReport(ctx, zone, members[zone])
			return nil
		})
	}
	_ = calls.Wait() // always nil: entries that fail are marked as missing
	return reports
}

// fetchZoneReport requests the report of another availability zone from up to maxZoneAttempts of its
// members, one after the other, until one answers.
func (c *Collector) fetchZoneReport(ctx context.Context, zone string, members []membership.Peer) Report {
	for _, peer := range members[:min(maxZoneAttempts, len(members))] {
		callContext, cancel := context.WithTimeout(ctx, zoneTimeout)
		report, err := c.peers.ZoneReport(callContext, peer)
		cancel()
		if err == nil {
			return report
		}
	}
	return missingReport(zone, members...)
}

// missingReport returns a report without measurements that marks the peers as missing.
func missingReport(zone string, peers ...membership.Peer) Report {
	report := Report{AvailabilityZone: zone}
	for _, peer := range peers {
		report.Missing = append(report.Missing, peer.Name)
	}
	return report
}
