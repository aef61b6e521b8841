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

// Size of the charts: one panel for each unit, one below the other.
const (
	panelWidth  = 11 * vg.Inch
	legendWidth = 3.6 * vg.Inch // right of the curves
	panelHeight = 4 * vg.Inch
	curveWidth  = 1.2 // points
)

// WritePlots writes a chart of each part that has something to draw into a folder, and returns the paths.
func (r *Report) WritePlots(dir string) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("folder of the plots: %w", err)
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

// render makes the chart of a part, or nil where no quantity has two sizes.
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
	whole := draw.New(chart)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1}
	for i, row := range plot.Align(plots, tiles, draw.Crop(whole, 0, -legendWidth, 0, 0)) {
		plots[i][0].Draw(row[0])
		legends[i].Draw(tiles.At(whole, 0, i))
	}
	var out bytes.Buffer
	if _, err := chart.WriteTo(&out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// units are those of the rows, in the order in which they come.
func (p *PartReport) units() []string {
	return p.distinct(func(r *Row) string { return r.Unit })
}

// panel draws the quantities of one unit with logarithmic axes, or returns nil where there are none.
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
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, legend, err
		}
		line.Color, line.Width = plotutil.Color(curves), vg.Points(curveWidth)
		line.Dashes = plotutil.Dashes(curves / len(plotutil.DefaultColors))
		marks.Color, marks.Shape = line.Color, plotutil.Shape(curves)
		panel.Add(line, marks)
		legend.Add(quantity, line, marks)
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

// points are the values of a quantity that a logarithmic axis can show.
func (p *PartReport) points(quantity, unit string) (points plotter.XYs) {
	for _, r := range p.Rows {
		if r.Quantity == quantity && r.Unit == unit && r.Value > 0 {
			points = append(points, plotter.XY{X: float64(r.Size), Y: r.Value})
		}
	}
	return points
}
