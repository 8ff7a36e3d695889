package load

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WriteTable writes the result as a table.
func (r *Result) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "sent\twhole\tbroken\ttokens/s\n%d\t%d\t%d\t%.1f\n\n", r.Sent, r.Completed, r.Broken, r.Goodput())
	fmt.Fprintln(tw, "milliseconds\tp50\tp95\tp99\tmax")
	row := func(name string, h *hdrhistogram.Histogram) {
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		fmt.Fprintf(tw, "%s\t%.1f\t%.1f\t%.1f\t%.1f\n", name, ms(50), ms(95), ms(99), float64(h.Max())/1000)
	}
	row("first token", r.FirstToken)
	row("gap", r.Gap)
	row("refusal", r.Refusal)
	for kind, n := range r.Errors {
		fmt.Fprintf(tw, "\n%s\t%d", kind, n)
	}
	fmt.Fprintln(tw)
	return tw.Flush()
}

// Size of the plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// WritePlot writes a plot of tokens and errors per second to a PNG file.
func (r *Result) WritePlot(path string) error {
	p := plot.New()
	p.Title.Text = "load"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "tokens per second in complete responses; errors per second"
	tokens, errs := make(plotter.XYs, len(r.Timeline)), make(plotter.XYs, len(r.Timeline))
	for i, s := range r.Timeline {
		tokens[i] = plotter.XY{X: float64(i), Y: float64(s.Tokens)}
		errs[i] = plotter.XY{X: float64(i), Y: float64(s.Errors)}
	}
	if err := plotutil.AddLinePoints(p, "tokens", tokens, "errors", errs); err != nil {
		return fmt.Errorf("load: plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("load: plot: %w", err)
	}
	return nil
}
