package slo

import (
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
)

// Burn rates above which an alert is raised, from the Site Reliability Workbook, chapter 5: a rate of
// 14.4 spends 2% of a month's error budget within one hour, a rate of 6 spends 5% within six hours.
const (
	FastBurnThreshold = 14.4
	SlowBurnThreshold = 6.0
)

// Alert is the severity of the alert on an objective's burn rate.
type Alert string

// Alerts, by the pair of windows whose threshold is exceeded.
const (
	AlertNone Alert = "none"
	AlertSlow Alert = "slow"
	AlertFast Alert = "fast"
)

// Quantiles are latency quantiles in milliseconds.
type Quantiles struct {
	P50 int64 `json:"p50Ms"`
	P95 int64 `json:"p95Ms"`
	P99 int64 `json:"p99Ms"`
}

// Burn is the error budget consumption of one objective.
type Burn struct {
	Deployment string           `json:"deployment"`
	Kind       v1.ObjectiveKind `json:"objective"`
	// Share is the required fraction of good events.
	Share     float64     `json:"share"`
	Threshold v1.Duration `json:"threshold,omitzero"`
	// Rates are the burn rates of each of Windows. A rate of 1 spends exactly the error budget over
	// the objective's period. The rate of a window without events is 0.
	Rates  []float64 `json:"rates"`
	Counts []Counts  `json:"counts"`
	// BudgetLeft is the fraction of the error budget of the longest window that is not spent; it is
	// negative if more than the budget is spent.
	BudgetLeft float64    `json:"budgetLeft"`
	Latency    *Quantiles `json:"latency,omitempty"`
	Alert      Alert      `json:"alert"`
}

// Summary holds the burn rates of a report, for display.
type Summary struct {
	// AvailabilityZone is empty for a summary over all availability zones.
	AvailabilityZone string   `json:"availabilityZone,omitempty"`
	Reported         []string `json:"reported"`
	Missing          []string `json:"missing,omitempty"`
	// Partial reports whether entries are missing from the report.
	Partial bool   `json:"partial"`
	Burns   []Burn `json:"burns"`
}

// Summarise computes the burn rates of a report from the objectives in snapshot.
func Summarise(report Report, snapshot *config.Snapshot) Summary {
	summary := Summary{AvailabilityZone: report.AvailabilityZone, Reported: report.Reported,
		Missing: report.Missing, Partial: report.Partial(), Burns: []Burn{}}
	for _, measured := range report.Measurements {
		deployment := snapshot.Deployments[measured.Series.Deployment]
		if deployment == nil {
			continue // deleted after the events were recorded
		}
		objective := findObjective(deployment, measured.Series.Kind)
		if objective == nil {
			continue // removed after the events were recorded
		}
		summary.Burns = append(summary.Burns, burnOf(measured, objective))
	}
	return summary
}

func burnOf(measured Measurement, objective *v1.Objective) Burn {
	burn := Burn{
		Deployment: measured.Series.Deployment,
		Kind:       measured.Series.Kind,
		Share:      objective.Share,
		Threshold:  objective.Threshold,
		Counts:     measured.WindowCounts,
	}
	for _, counts := range measured.WindowCounts {
		burn.Rates = append(burn.Rates, BurnRate(counts, objective.Share))
	}
	burn.BudgetLeft = 1 - burn.rate(SlowAlertLongWindow)
	burn.Alert = burn.alert()
	if measured.Latencies != nil && measured.Latencies.TotalCount() > 0 {
		burn.Latency = &Quantiles{
			P50: measured.Latencies.ValueAtQuantile(50),
			P95: measured.Latencies.ValueAtQuantile(95),
			P99: measured.Latencies.ValueAtQuantile(99),
		}
	}
	return burn
}

// Rate returns the burn rate: the fraction of bad events divided by the fraction that the objective
// allows.
func BurnRate(counts Counts, share float64) float64 {
	allowed := 1 - share
	if counts.Total == 0 || allowed <= 0 {
		return 0
	}
	bad := float64(counts.Total-counts.Good) / float64(counts.Total)
	return bad / allowed
}

// rate returns the burn rate of the window, or 0 if the window is not one of Windows.
func (b Burn) rate(window time.Duration) float64 {
	for i, each := range Windows() {
		if each == window {
			return b.Rates[i]
		}
	}
	return 0
}

// alert returns an alert if the burn rates of both windows of a pair exceed the threshold: the long
// window shows that a significant part of the budget is spent, the short window ends the alert soon
// after the errors stop.
func (b Burn) alert() Alert {
	switch {
	case b.rate(FastAlertShortWindow) > FastBurnThreshold && b.rate(FastAlertLongWindow) > FastBurnThreshold:
		return AlertFast
	case b.rate(SlowAlertShortWindow) > SlowBurnThreshold && b.rate(SlowAlertLongWindow) > SlowBurnThreshold:
		return AlertSlow
	default:
		return AlertNone
	}
}
