package slo

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

// Windows of the two burn rate alerts: 5 minutes and 1 hour for the fast one, 30 minutes and 6 hours
// for the slow one.
const (
	FastAlertShortWindow = 5 * time.Minute
	FastAlertLongWindow  = time.Hour
	SlowAlertShortWindow = 30 * time.Minute
	SlowAlertLongWindow  = 6 * time.Hour
)

// Windows returns the windows of every report, in the order of Measured.Windows.
func Windows() []time.Duration {
	return []time.Duration{FastAlertShortWindow, SlowAlertShortWindow, FastAlertLongWindow, SlowAlertLongWindow}
}

// Measured holds the counts of one series for each of Windows, and its latencies of the last hour.
type Measurement struct {
	Series       Series
	WindowCounts []Counts
	// Latencies is in milliseconds. It is nil for objectives that do not measure latency.
	Latencies *hdrhistogram.Histogram
}

// Report holds the measurements of one or more entries; see Merge.
type Report struct {
	// AvailabilityZone is empty if the report covers several availability zones.
	AvailabilityZone string
	// Reported names the entries whose measurements are included, Missing those that did not report.
	Reported     []string
	Missing      []string
	Measurements []Measurement
}

// Partial reports whether entries are missing from the report.
func (r Report) Partial() bool { return len(r.Missing) > 0 }

// Report returns the measurements of this entry up to now.
func (r *Recorder) Report(entry, availabilityZone string) Report {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{AvailabilityZone: availabilityZone, Reported: []string{entry}}
	for series, data := range r.series {
		measured := Measurement{Series: series}
		for _, window := range Windows() {
			measured.WindowCounts = append(measured.WindowCounts, data.counts.sum(now, window))
		}
		if series.Kind != v1.ObjectiveAnswered {
			measured.Latencies = data.latencies.mergedHistogram(now)
		}
		report.Measurements = append(report.Measurements, measured)
	}
	slices.SortFunc(report.Measurements, func(a, b Measurement) int { return compareSeries(a.Series, b.Series) })
	return report
}

func compareSeries(a, b Series) int {
	return cmp.Or(cmp.Compare(a.Deployment, b.Deployment), cmp.Compare(a.Kind, b.Kind))
}

// Merge combines reports into one. The result's availability zone is that of the reports if all have
// the same one, and empty otherwise.
func Merge(reports ...Report) Report {
	var merged Report
	bySeries := map[Series]*Measurement{}
	for i, report := range reports {
		if i == 0 {
			merged.AvailabilityZone = report.AvailabilityZone
		}
		if report.AvailabilityZone != merged.AvailabilityZone {
			merged.AvailabilityZone = ""
		}
		merged.Reported = append(merged.Reported, report.Reported...)
		merged.Missing = append(merged.Missing, report.Missing...)
		for _, measured := range report.Measurements {
			sum, known := bySeries[measured.Series]
			if !known {
				sum = &Measurement{Series: measured.Series, WindowCounts: make([]Counts, len(Windows()))}
				bySeries[measured.Series] = sum
			}
			sum.add(measured)
		}
	}
	for _, measured := range bySeries {
		merged.Measurements = append(merged.Measurements, *measured)
	}
	slices.SortFunc(merged.Measurements, func(a, b Measurement) int { return compareSeries(a.Series, b.Series) })
	slices.Sort(merged.Reported)
	slices.Sort(merged.Missing)
	return merged
}

func (m *Measurement) add(other Measurement) {
	for i := range min(len(m.WindowCounts), len(other.WindowCounts)) {
		m.WindowCounts[i] = m.WindowCounts[i].Add(other.WindowCounts[i])
	}
	if other.Latencies == nil {
		return
	}
	if m.Latencies == nil {
		m.Latencies = newHistogram()
	}
	m.Latencies.Merge(other.Latencies)
}
