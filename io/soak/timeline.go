package soak

import (
	"fmt"
	"image/color"
	"io"
	"net/http"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The dimensions of the picture.
const (
	pictureWidth = 30 * vg.Centimeter
	rowHeight    = vg.Centimeter
	shareHeight  = 4 * vg.Centimeter
)

// shareInterval is the length of the intervals for which the share of served requests is drawn.
const shareInterval = 500 * time.Millisecond

// The colours of the picture.
var (
	faultColour     = color.RGBA{R: 0x1f, G: 0x61, B: 0x8d, A: 0xff}
	shareColour     = color.RGBA{R: 0x2e, G: 0xa0, B: 0x43, A: 0xff}
	violationColour = color.RGBA{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff}
)

// Draw writes the timeline of the run as SVG: a row for each kind of fault, below them the share of
// requests that were served, and a red vertical line for each broken promise.
func (r *Report) Draw(out io.Writer) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("seed %d: %d of %d requests served, %d promises broken", r.Seed, r.Served, r.Requests, len(r.Violations))
	p.X.Label.Text = "time, s"
	rows := r.faultRows()
	names := append([]string{"share served"}, rows...)
	var ticks plot.ConstantTicks
	for n, name := range names {
		ticks = append(ticks, plot.Tick{Value: float64(n) + 0.5, Label: name})
	}
	p.Y.Tick.Marker, p.Y.Min, p.Y.Max = ticks, 0, float64(len(names))
	for _, e := range r.Faults {
		if n := slices.Index(rows, e.Description); n >= 0 {
			y := float64(n) + 1.5
			if err := addLine(p, faultColour, vg.Points(6), plotter.XYs{{X: e.At, Y: y}, {X: max(e.Until, e.At+0.05), Y: y}}); err != nil {
				return err
			}
		}
	}
	if err := addLine(p, shareColour, vg.Points(1), r.servedShares()); err != nil {
		return err
	}
	for _, v := range r.Violations {
		x := v.At.Sub(r.start).Seconds()
		if err := addLine(p, violationColour, vg.Points(1), plotter.XYs{{X: x, Y: 0}, {X: x, Y: p.Y.Max}}); err != nil {
			return err
		}
	}
	canvas := vgsvg.New(pictureWidth, shareHeight+rowHeight*vg.Length(len(names)))
	p.Draw(draw.New(canvas))
	if _, err := canvas.WriteTo(out); err != nil {
		return fmt.Errorf("soak: picture: %w", err)
	}
	return nil
}

// faultRows returns the names of the kinds of faults that were injected, in the order of FaultNames.
func (r *Report) faultRows() []string {
	var out []string
	for _, name := range FaultNames() {
		if slices.ContainsFunc(r.Faults, func(e Event) bool { return e.Description == name }) {
			out = append(out, name)
		}
	}
	return out
}

// servedShares returns, for each interval with requests, the share of them that were served.
func (r *Report) servedShares() plotter.XYs {
	type count struct{ total, served int }
	counts := map[int]count{}
	last := 0
	for _, request := range r.history.Requests {
		step := int(request.Begun.Sub(r.start) / shareInterval)
		c := counts[step]
		c.total++
		if request.Status == http.StatusOK {
			c.served++
		}
		counts[step] = c
		last = max(last, step)
	}
	var out plotter.XYs
	for step := range last + 1 {
		if c := counts[step]; c.total > 0 {
			out = append(out, plotter.XY{X: (float64(step) + 0.5) * shareInterval.Seconds(), Y: float64(c.served) / float64(c.total)})
		}
	}
	return out
}

func addLine(p *plot.Plot, c color.Color, width vg.Length, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("soak: picture: %w", err)
	}
	line.Color, line.Width = c, width
	p.Add(line)
	return nil
}
