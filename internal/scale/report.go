package scale

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Report is the result of a [Run].
type Report struct {
	Seed  uint64       `json:"seed"`
	Ended string       `json:"ended,omitempty"` // why the run ended before the last size; empty if it completed
	Parts []PartReport `json:"parts"`
}

// PartReport is the result of one part.
type PartReport struct {
	Name  string `json:"name"`
	Title string `json:"title"`
	Size  string `json:"size"` // what a size counts
	Rows  []Row  `json:"rows"`
	Fits  []Fit  `json:"fits"`
}

// Fit describes how a quantity grows with the size: as Factor x size^Exponent, by a least-squares fit of the
// logarithms.
type Fit struct {
	Quantity string  `json:"quantity"`
	Exponent float64 `json:"exponent"`
	Factor   float64 `json:"factor"`
	R2       float64 `json:"r2"`    // fraction of the variance of the logarithms that the fit explains
	Sizes    int     `json:"sizes"` // number of sizes in the fit
}

// minFitSizes is the minimum number of sizes for a fit. Two points always fit exactly.
const minFitSizes = 3

// fit computes the fits of all quantities with at least minFitSizes positive values. Other values have no
// logarithm and are ignored.
func (p *PartReport) fit() {
	p.Fits = []Fit{}
	for _, quantity := range p.quantities() {
		var x, y []float64
		for _, r := range p.Rows {
			if r.Quantity == quantity && r.Value > 0 {
				x, y = append(x, math.Log(float64(r.Size))), append(y, math.Log(r.Value))
			}
		}
		if len(x) < minFitSizes {
			continue
		}
		intercept, slope := stat.LinearRegression(x, y, nil, false)
		f := Fit{Quantity: quantity, Exponent: slope, Factor: math.Exp(intercept), R2: 1, Sizes: len(x)}
		if stat.Variance(y, nil) > 0 {
			f.R2 = stat.RSquared(x, y, nil, intercept, slope)
		}
		p.Fits = append(p.Fits, f)
	}
}

// quantities returns the distinct quantities of the rows, in the order of their first rows.
func (p *PartReport) quantities() []string {
	return p.distinct(func(r *Row) string { return r.Quantity })
}

// distinct returns the distinct keys of the rows, in the order of their first rows.
func (p *PartReport) distinct(key func(*Row) string) (names []string) {
	seen := map[string]bool{}
	for i := range p.Rows {
		if n := key(&p.Rows[i]); !seen[n] {
			seen[n] = true
			names = append(names, n)
		}
	}
	return names
}

// sizes returns the sizes that have rows, in ascending order.
func (p *PartReport) sizes() (sizes []int) {
	for _, r := range p.Rows {
		sizes = append(sizes, r.Size)
	}
	slices.Sort(sizes)
	return slices.Compact(sizes)
}

// row returns the row of a quantity at a size, or nil if there is none.
func (p *PartReport) row(quantity string, size int) *Row {
	for i := range p.Rows {
		if r := &p.Rows[i]; r.Quantity == quantity && r.Size == size {
			return r
		}
	}
	return nil
}

// WriteText writes the report as text: a table for each part, with a column for each size and a last column
// with the exponent by which each quantity grows.
func (r *Report) WriteText(out io.Writer) error {
	for i := range r.Parts {
		if err := r.Parts[i].writeText(out); err != nil {
			return err
		}
	}
	if r.Ended != "" {
		_, err := fmt.Fprintf(out, "%s: the tables above contain the results up to that point\n", r.Ended)
		return err
	}
	return nil
}

func (p *PartReport) writeText(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "%s: %s\n", p.Name, p.Title); err != nil {
		return err
	}
	var table strings.Builder
	sizes := p.sizes()
	fmt.Fprintf(&table, "%s\t", p.Size)
	for _, size := range sizes {
		fmt.Fprintf(&table, "%d\t", size)
	}
	fmt.Fprint(&table, "grows as\t\n")
	for _, quantity := range p.quantities() {
		fmt.Fprintf(&table, "%s\t", quantity)
		for _, size := range sizes {
			cell := "-"
			if row := p.row(quantity, size); row != nil {
				cell = formatValue(row.Value, row.Unit)
			}
			fmt.Fprintf(&table, "%s\t", cell)
		}
		fmt.Fprintf(&table, "%s\t\n", p.growth(quantity))
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(w, table.String()); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out)
	return err
}

// growth formats the fit of a quantity, or returns an empty text if it has none.
func (p *PartReport) growth(quantity string) string {
	for _, f := range p.Fits {
		if f.Quantity == quantity {
			return fmt.Sprintf("n^%.2f (r2 %.2f)", f.Exponent, f.R2)
		}
	}
	return ""
}

// formatValue formats a value with its unit for people to read.
func formatValue(value float64, unit string) string {
	switch unit {
	case "s":
		return formatSeconds(value)
	case "B":
		return formatBytes(value)
	case "B/s":
		return formatBytes(value) + "/s"
	case "share":
		return strconv.FormatFloat(value*100, 'f', 2, 64) + " %"
	case "":
		return formatCount(value)
	}
	return threeDigits(value) + " " + unit
}

// formatCount formats an integer in full, and other values with three significant digits.
func formatCount(value float64) string {
	if value == math.Trunc(value) {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return threeDigits(value)
}

// formatSeconds formats a time with three significant digits in a suitable unit.
func formatSeconds(seconds float64) string {
	for _, u := range []struct {
		name string
		size time.Duration
	}{{"s", time.Second}, {"ms", time.Millisecond}, {"us", time.Microsecond}} {
		if seconds >= u.size.Seconds() {
			return threeDigits(seconds/u.size.Seconds()) + " " + u.name
		}
	}
	return strconv.FormatFloat(seconds*1e9, 'f', 0, 64) + " ns"
}

// threeDigits formats a number with three significant digits. From 100 on it formats all digits before the
// decimal point.
func threeDigits(x float64) string {
	if x >= 100 {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return strconv.FormatFloat(x, 'g', 3, 64)
}

// formatBytes formats a number of bytes with decimal prefixes.
func formatBytes(n float64) string {
	for _, u := range []struct {
		name string
		size float64
	}{{"GB", 1e9}, {"MB", 1e6}, {"kB", 1e3}} {
		if n >= u.size {
			return strconv.FormatFloat(n/u.size, 'f', 2, 64) + " " + u.name
		}
	}
	return strconv.FormatFloat(n, 'f', 0, 64) + " B"
}
