// Package report renders the results of experiments as an HTML page with plots.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
	"bilberrymux/io/experiment"
)

// Size of a plot.
const (
	width  = 24 * vg.Centimeter
	height = 7 * vg.Centimeter
)

// rankColours holds the line colours of the ranks, the most urgent rank first.
var rankColours = [ident.RankCount]color.Color{
	color.RGBA{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff},
	color.RGBA{R: 0x1f, G: 0x61, B: 0x8d, A: 0xff},
	color.RGBA{R: 0x7d, G: 0x8a, B: 0x4e, A: 0xff},
}

// Colours of the faults' shading and of the lines that mark ejections and returns to service.
var (
	faultColour  = color.RGBA{R: 0xf2, G: 0xd7, B: 0xd5, A: 0xff}
	ejectColour  = color.RGBA{R: 0x20, G: 0x20, B: 0x20, A: 0xff}
	returnColour = color.RGBA{R: 0x2e, G: 0xa0, B: 0x43, A: 0xff}
)

// section is the part of the page about one result.
type section struct {
	*experiment.Result
	// Latency and Share are the plots as SVG elements.
	Latency, Share template.HTML
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>bilberrymux experiments</title>
<style>body{font:14px sans-serif;max-width:64em;margin:2em auto}table{border-collapse:collapse}
td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}svg{width:100%;height:auto}</style></head><body>
<h1>Experiments</h1>
<p>Red: urgent, blue: normal, olive: background. Shaded: a fault is in force. Black marks: ejections; green: returns.</p>
{{range .}}<h2>{{.Script}}, {{.Policy}}, seed {{.Seed}}</h2>
<table><tr><th>rank</th><th>sent</th><th>in time</th><th>p50 ms</th><th>p99 ms</th></tr>
{{range .Ranks}}<tr><td>{{.Rank}}</td><td>{{.Sent}}</td><td>{{printf "%.4f" .InTime}}</td><td>{{printf "%.1f" .P50MS}}</td><td>{{printf "%.1f" .P99MS}}</td></tr>{{end}}</table>
<p>{{len .Detections}} detected, {{.Missed}} missed, {{.FalseEjections}} false ejections;
lowest healthy capacity {{.LowestHealthySlots}} of {{.CapacitySlots}} slots, floor {{.FloorSlots}}; {{.ExtraAttempts}} further attempts for {{.Requests}} requests.</p>
{{.Latency}}{{.Share}}
{{end}}</body></html>
`))

// Write writes an HTML page with a section for each result.
func Write(w io.Writer, results []*experiment.Result) error {
	sections := make([]section, 0, len(results))
	for _, r := range results {
		latency, err := drawPlot(r, "mean time, ms", func(s experiment.SecondStats) (float64, bool) { return s.MeanMS, s.OK > 0 })
		if err != nil {
			return err
		}
		share, err := drawPlot(r, "answered, part", func(s experiment.SecondStats) (float64, bool) {
			return float64(s.OK) / float64(max(1, s.Sent)), s.Sent > 0
		})
		if err != nil {
			return err
		}
		sections = append(sections, section{r, latency, share})
	}
	if err := pageTemplate.Execute(w, sections); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// drawPlot draws a value of each rank over time, together with the run's faults, ejections and
// returns, and returns the plot as an SVG element. Seconds for which value returns false are left
// out.
func drawPlot(r *experiment.Result, title string, value func(experiment.SecondStats) (float64, bool)) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "time, s"
	p.Y.Label.Text = title
	p.Y.Min = 0
	maxY := 0.0
	var lines []plot.Plotter
	for i := range ident.Ranks {
		var points plotter.XYs
		for second, s := range r.Timeline[i] {
			if y, ok := value(s); ok {
				points = append(points, plotter.XY{X: float64(second) + 0.5, Y: y})
				maxY = max(maxY, y)
			}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("report: %w", err)
		}
		line.Color = rankColours[i]
		lines = append(lines, line)
	}
	if err := addMarks(p, r, maxY); err != nil {
		return "", err
	}
	p.Add(lines...)
	return renderSVG(p)
}

// addMarks shades the intervals of the faults and draws a vertical line at each ejection and return
// to service. All reach from 0 to maxY.
func addMarks(p *plot.Plot, r *experiment.Result, maxY float64) error {
	for _, f := range r.Faults {
		shade, err := plotter.NewPolygon(plotter.XYs{{X: f.From}, {X: f.Until}, {X: f.Until, Y: maxY}, {X: f.From, Y: maxY}})
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		shade.Color, shade.LineStyle.Width = faultColour, 0
		p.Add(shade)
	}
	for _, e := range r.Events {
		colour := color.Color(returnColour)
		switch e.To {
		case pool.Ejected:
			colour = ejectColour
		case pool.Active:
		default:
			continue
		}
		mark, err := plotter.NewLine(plotter.XYs{{X: e.At}, {X: e.At, Y: maxY}})
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		mark.Color, mark.Width = colour, vg.Points(0.5)
		mark.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		p.Add(mark)
	}
	return nil
}

// renderSVG renders a plot as an SVG element, without the XML prolog before it.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	text := out.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i >= 0 {
		text = text[i:]
	}
	return template.HTML(text), nil
}
