package scale

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Dimensions of a chart. It has one panel for each unit, one below the other.
const (
	panelWidth  = 11 * vg.Inch
	legendWidth = 3.6 * vg.Inch // to the right of the curves
	panelHeight = 4 * vg.Inch
	curveWidth  = 1.2 // points
)

// WritePlots writes an SVG chart of each part into dir, which it creates if necessary, and returns the paths.
// It skips parts without a quantity that has two or more sizes.
func (r *Report) WritePlots(dir string) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("creating the folder of the plots: %w", err)
	}
	var paths []string
	for i := range r.Parts {
		p := &r.Parts[i]
		chart, err := p.render()
		if err != nil {
			return paths, fmt.Errorf("plot of %s: %w", p.Name, err)
		}
		if chart == nil {
			continue
		}
		path := filepath.Join(dir, p.Name+".svg")
		if err := os.WriteFile(path, chart, 0o644); err != nil {
			return paths, fmt.Errorf("plot of %s: %w", p.Name, err)
		}
		paths = append(paths, path)
	}
	return paths, nil
}

// render returns the chart of a part as SVG, or nil if no quantity has two or more sizes.
func (p *PartReport) render() ([]byte, error) {
	var plots [][]*plot.Plot
	var legends []plot.Legend
	for _, unit := range p.units() {
		panel, legend, err := p.panel(unit)
		if err != nil {
			return nil, err
		}
		if panel != nil {
			plots, legends = append(plots, []*plot.Plot{panel}), append(legends, legend)
		}
	}
	if len(plots) == 0 {
		return nil, nil
	}
	plots[0][0].Title.Text = p.Title
	chart := vgsvg.New(panelWidth, panelHeight*vg.Length(len(plots)))
	canvas := draw.New(chart)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1}
	for i, row := range plot.Align(plots, tiles, draw.Crop(canvas, 0, -legendWidth, 0, 0)) {
		plots[i][0].Draw(row[0])
		legends[i].Draw(tiles.At(canvas, 0, i))
	}
	var out bytes.Buffer
	if _, err := chart.WriteTo(&out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// units returns the distinct units of the rows, in the order of their first rows.
func (p *PartReport) units() []string {
	return p.distinct(func(r *Row) string { return r.Unit })
}

// panel plots the quantities of one unit on logarithmic axes. It returns a nil plot if no quantity has two or
// more sizes.
func (p *PartReport) panel(unit string) (*plot.Plot, plot.Legend, error) {
	panel, legend := plot.New(), plot.NewLegend()
	legend.Top = true
	panel.X.Label.Text, panel.Y.Label.Text = p.Size, unit
	if unit == "" {
		panel.Y.Label.Text = "count"
	}
	for _, axis := range []*plot.Axis{&panel.X, &panel.Y} {
		axis.Scale, axis.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	curves := 0
	for _, quantity := range p.quantities() {
		points := p.points(quantity, unit)
		if len(points) < 2 {
			continue
		}
		line, markers, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, legend, err
		}
		line.Color, line.Width = plotutil.Color(curves), vg.Points(curveWidth)
		line.Dashes = plotutil.Dashes(curves / len(plotutil.DefaultColors))
		markers.Color, markers.Shape = line.Color, plotutil.Shape(curves)
		panel.Add(line, markers)
		legend.Add(quantity, line, markers)
		curves++
	}
	if curves == 0 {
		return nil, legend, nil
	}
	if panel.Y.Min == panel.Y.Max { // a logarithmic axis needs a range
		panel.Y.Min, panel.Y.Max = panel.Y.Min/2, panel.Y.Max*2
	}
	return panel, legend, nil
}

// points returns the positive values of a quantity; a logarithmic axis cannot show others.
func (p *PartReport) points(quantity, unit string) (points plotter.XYs) {
	for _, r := range p.Rows {
		if r.Quantity == quantity && r.Unit == unit && r.Value > 0 {
			points = append(points, plotter.XY{X: float64(r.Size), Y: r.Value})
		}
	}
	return points
}
