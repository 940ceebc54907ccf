package page

import (
	"fmt"
	"html/template"
	"math"
	"strings"

	"github.com/azurebarrow/azurebarrow/slo"
)

// Dimensions of a bar chart, in pixels.
const (
	chartWidth = 320
	barHeight  = 14
	barGap     = 4
	labelWidth = 34
	valueWidth = 60
)

// markedRates are the burn rates marked by vertical lines: 1, which spends exactly the error budget,
// and the thresholds of the two alerts.
var markedRates = []float64{1, slo.SlowBurnThreshold, slo.FastBurnThreshold}

// barChart returns an SVG bar chart of an objective's burn rates on a logarithmic scale.
func barChart(burn slo.Burn) template.HTML {
	windows := slo.Windows()
	height := len(windows) * (barHeight + barGap)
	var svg strings.Builder
	fmt.Fprintf(&svg, `<svg width="%d" height="%d" role="img" aria-label="burn rates">`, chartWidth, height)
	for _, rate := range markedRates {
		x := labelWidth + barLength(rate)
		fmt.Fprintf(&svg, `<line x1="%.1f" y1="0" x2="%.1f" y2="%d" class="mark"/>`, x, x, height)
	}
	for i, window := range windows {
		y := i * (barHeight + barGap)
		rate := burn.Rates[i]
		fmt.Fprintf(&svg, `<text x="0" y="%d">%s</text>`, y+barHeight-3, formatWindow(window))
		fmt.Fprintf(&svg, `<rect x="%d" y="%d" width="%.1f" height="%d" class="%s"/>`, labelWidth, y, barLength(rate), barHeight, severityClass(rate))
		fmt.Fprintf(&svg, `<text x="%.1f" y="%d">%.2f</text>`, labelWidth+barLength(rate)+4, y+barHeight-3, rate)
	}
	svg.WriteString(`</svg>`)
	return template.HTML(svg.String()) // safe unescaped: holds only numbers and constant strings
}

// highestRate is the upper end of the scale: the burn rate if all events are bad and the objective
// is 99%.
const highestRate = 100.0

// barLength returns the length of a rate's bar in pixels, from 0 to the width of the scale.
func barLength(rate float64) float64 {
	bounded := math.Min(math.Max(rate, 0), highestRate)
	return (chartWidth - labelWidth - valueWidth) * math.Log1p(bounded) / math.Log1p(highestRate)
}

// severityClass returns the CSS class of a rate's bar.
func severityClass(rate float64) string {
	switch {
	case rate > slo.FastBurnThreshold:
		return "fast"
	case rate > slo.SlowBurnThreshold:
		return "slow"
	default:
		return "calm"
	}
}
