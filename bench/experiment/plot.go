package experiment

import (
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Series is a named set of samples, drawn as one line of a plot.
type Series struct {
	Name    string
	Samples Samples
}

// Size of a plot, and the approximate maximum number of points of a line.
const (
	plotWidth     = 8 * vg.Inch
	plotHeight    = 5 * vg.Inch
	maxPlotPoints = 500
)

// DrawQuantiles plots the quantiles of each series in milliseconds into the PNG file e.Plot. It does
// nothing if e.Plot is empty.
func (e Environment) DrawQuantiles(title string, series ...Series) error {
	if e.Plot == "" {
		return nil
	}
	picture := plot.New()
	picture.Title.Text = title
	picture.X.Label.Text = "quantile"
	picture.Y.Label.Text = "milliseconds"
	picture.Y.Min = 0
	picture.Add(plotter.NewGrid())
	for i, s := range series {
		if len(s.Samples) == 0 {
			continue
		}
		line, err := plotter.NewLine(quantilePoints(s.Samples))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		picture.Add(line)
		picture.Legend.Add(s.Name, line)
	}
	picture.Legend.Top = true
	picture.Legend.Left = true
	return picture.Save(plotWidth, plotHeight, e.Plot)
}

func quantilePoints(samples Samples) plotter.XYs {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	step := max(1, len(sorted)/maxPlotPoints)
	var points plotter.XYs
	for i := 0; i < len(sorted); i += step {
		points = append(points, plotter.XY{X: float64(i) / float64(len(sorted)), Y: Ms(sorted[i])})
	}
	last := len(sorted) - 1
	return append(points, plotter.XY{X: 1, Y: Ms(sorted[last])})
}
