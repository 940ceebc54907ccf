package experiment

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

// Line is one curve of a plot.
type Line struct {
	Name string
	X, Y []float64
}

// LinePlot is a plot of curves with a logarithmic y axis; all Y values must be positive.
type LinePlot struct {
	Title, XLabel, YLabel string
	Lines                 []Line
}

// Save writes the plot to a file, in the format of the file name's extension.
func (l LinePlot) Save(file string) error {
	p := plot.New()
	p.Title.Text = l.Title
	p.X.Label.Text = l.XLabel
	p.Y.Label.Text = l.YLabel
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	for i, line := range l.Lines {
		points := make(plotter.XYs, len(line.X))
		for j := range line.X {
			points[j] = plotter.XY{X: line.X[j], Y: line.Y[j]}
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		curve.Color = plotutil.Color(i)
		curve.Dashes = plotutil.Dashes(i)
		p.Add(curve)
		p.Legend.Add(line.Name, curve)
	}
	return p.Save(plotWidth, plotHeight, file)
}
