package experiment

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/parsleyfront/parsleyfront/internal/model"
)

//go:embed report.html
var reportSource string

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(s Spread) string { return fmt.Sprintf("%.2f%% (%.2f to %.2f)", 100*s.Mean, 100*s.Low, 100*s.High) },
	"number":  func(s Spread) string { return fmt.Sprintf("%.3g (%.3g to %.3g)", s.Mean, s.Low, s.High) },
}).Parse(reportSource))

// Size of a plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 3 * vg.Inch
)

type report struct {
	File      *File
	Summaries []Summary
	Plots     []template.HTML
}

// WriteReport writes an HTML page that compares the policies.
func WriteReport(w io.Writer, f *File, runs []Run) error {
	r := report{File: f, Summaries: Summarise(f, runs)}
	newPlots := []func(*File, []Run) (*plot.Plot, error){
		latencies,
		overTime("begun in time", "part of those who asked", func(s model.Second) float64 { return ratio(s.InTime, s.Arrived) }),
		overTime("turned away", "times a second", func(s model.Second) float64 { return float64(s.Rejections) }),
		overTime("late, refused or failed", "callers a second", func(s model.Second) float64 { return float64(s.Late + s.Refused + s.Failed) }),
		overTime("skew", "most loaded upstream over the mean", func(s model.Second) float64 { return s.Skew }),
		overTime("queue", "requests that wait at upstreams", func(s model.Second) float64 { return s.Queued }),
	}
	for _, d := range newPlots {
		p, err := d(f, runs)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		svg, err := render(p)
		if err != nil {
			return err
		}
		r.Plots = append(r.Plots, svg)
	}
	return errors.Wrap(reportTemplate.Execute(w, r), "write the report")
}

// ratio returns count/total, or NaN, which leaves a gap in a plot, if total is 0.
func ratio(count, total int) float64 {
	if total == 0 {
		return math.NaN()
	}
	return float64(count) / float64(total)
}

// render returns a plot as an SVG element for a page. The plotting library escapes the names in
// it, so that it is safe as HTML.
func render(p *plot.Plot) (template.HTML, error) {
	c, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", errors.Wrap(err, "plot")
	}
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", errors.Wrap(err, "plot")
	}
	svg := b.Bytes()
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		svg = svg[at:] // drop the XML prolog, which an HTML page must not contain
	}
	return template.HTML(svg), nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	return p
}

func addLine(p *plot.Plot, i int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(0)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// latencies plots the cumulative distribution of the time to the first byte.
func latencies(f *File, runs []Run) (*plot.Plot, error) {
	p := newPlot("time to the first byte", "milliseconds", "part of the answers")
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for i, policy := range f.Policies {
		policyRuns := runsOfPolicy(runs, policy.Name)
		merged := hdrhistogram.Import(policyRuns[0].firstByte.Export())
		for _, r := range policyRuns[1:] {
			merged.Merge(r.firstByte)
		}
		var points plotter.XYs
		for _, b := range merged.CumulativeDistribution() {
			points = append(points, plotter.XY{X: max(float64(b.ValueAt)/1000, minMS), Y: b.Quantile / 100})
		}
		if err := addLine(p, i, policy.Name, points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// minMS is the shortest time on the logarithmic axis, in milliseconds.
const minMS = 0.1

// overTime returns a function that plots a metric of each second as the mean over the seeds.
func overTime(title, label string, metric func(model.Second) float64) func(*File, []Run) (*plot.Plot, error) {
	return func(f *File, runs []Run) (*plot.Plot, error) {
		p := newPlot(title, "seconds", label)
		for i, policy := range f.Policies {
			if err := addLine(p, i, policy.Name, meanOverTime(runsOfPolicy(runs, policy.Name), metric)); err != nil {
				return nil, err
			}
		}
		return p, nil
	}
}

func meanOverTime(runs []Run, metric func(model.Second) float64) plotter.XYs {
	var sums []float64
	var counts []int
	for _, r := range runs {
		for at, s := range r.Seconds {
			if at == len(sums) {
				sums, counts = append(sums, 0), append(counts, 0)
			}
			if x := metric(s); !math.IsNaN(x) {
				sums[at] += x
				counts[at]++
			}
		}
	}
	var points plotter.XYs
	for at, sum := range sums {
		if counts[at] > 0 {
			points = append(points, plotter.XY{X: float64(at), Y: sum / float64(counts[at])})
		}
	}
	return points
}
