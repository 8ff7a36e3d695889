// Package prediction compares the first events that daemons predicted with those that
// callers got, by the lines of their decision logs.
package prediction

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Bounds of what counts as predicted well: between half and twice what was measured.
const (
	wellLeast = 0.5
	wellMost  = 2.0
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Period is what the requests of one period showed.
type Period struct {
	Start    time.Time
	Requests int // sent in it and answered as a whole, with a prediction
	// Ratios are measured over predicted, ascending.
	Ratios []float64
	// First and Pause are the times to the first event and the longest pauses between
	// two, ascending.
	First []time.Duration
	Pause []time.Duration
	// Sends are those of all its requests, with the ones that were sent again.
	Sends int
}

// Well returns the share of the requests that were predicted well.
func (p *Period) Well() float64 {
	n := 0
	for _, r := range p.Ratios {
		if r >= wellLeast && r <= wellMost {
			n++
		}
	}
	return float64(n) / float64(max(1, len(p.Ratios)))
}

// Quantile returns the value below which a share q of ascending values lies, the zero
// value of none.
func Quantile[T any](values []T, q float64) T {
	if len(values) == 0 {
		var none T
		return none
	}
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// request is what the lines of one request tell.
type request struct {
	sentAt    time.Time
	predicted float64 // ms to the first event, by its first send
	sends     int
	first     time.Duration
	pause     time.Duration
	whole     bool
}

// Read reads the lines of one or more daemons and returns the periods in which requests
// were sent, in order. Lines that are not decisions on requests are passed over, and so
// is what stands before the time of a line.
func Read(r io.Reader, period time.Duration) ([]Period, error) {
	requests := map[string]*request{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		at := bytes.Index(lines.Bytes(), []byte("ts="))
		if at < 0 {
			continue
		}
		note(requests, fields(lines.Bytes()[at:]))
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("prediction: %w", err)
	}
	return periods(requests, period), nil
}

// fields returns the pairs of a line; one that is cut off ends early.
func fields(line []byte) map[string]string {
	out := map[string]string{}
	d := logfmt.NewDecoder(bytes.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			out[string(d.Key())] = string(d.Value())
		}
	}
	return out
}

// note takes one line.
func note(requests map[string]*request, line map[string]string) {
	id := line["request"]
	if id == "" {
		return
	}
	r := requests[id]
	if r == nil {
		r = &request{}
		requests[id] = r
	}
	switch line["kind"] {
	case "route":
		r.sends++
		if r.sends == 1 {
			r.sentAt, _ = time.Parse(time.RFC3339Nano, line["ts"])
			r.predicted, _ = strconv.ParseFloat(line["predicted_first_ms"], 64)
		}
	case "finish":
		r.whole = line["result"] == "whole"
		r.first, _ = time.ParseDuration(line["first_in"])
		r.pause, _ = time.ParseDuration(line["longest_pause"])
	}
}

func periods(requests map[string]*request, length time.Duration) []Period {
	byStart := map[time.Time]*Period{}
	for _, r := range requests {
		if !r.whole || r.predicted <= 0 || r.first <= 0 || r.sentAt.IsZero() {
			continue
		}
		start := r.sentAt.Truncate(length)
		p := byStart[start]
		if p == nil {
			p = &Period{Start: start}
			byStart[start] = p
		}
		p.Requests++
		p.Sends += r.sends
		p.Ratios = append(p.Ratios, float64(r.first)/float64(time.Millisecond)/r.predicted)
		p.First = append(p.First, r.first)
		p.Pause = append(p.Pause, r.pause)
	}
	out := make([]Period, 0, len(byStart))
	for _, p := range byStart {
		slices.Sort(p.Ratios)
		slices.Sort(p.First)
		slices.Sort(p.Pause)
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b Period) int { return a.Start.Compare(b.Start) })
	return out
}

// Write prints a line a period.
func Write(w io.Writer, periods []Period) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "from\trequests\tsends\tmeasured/predicted p10\tp50\tp90\twell\tfirst p50 ms\tp90\tpause p50 ms\tp90\t")
	for _, p := range periods {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t\n", p.Start.Format("15:04:05"), p.Requests, p.Sends,
			Quantile(p.Ratios, 0.1), Quantile(p.Ratios, 0.5), Quantile(p.Ratios, 0.9), p.Well(),
			Quantile(p.First, 0.5).Milliseconds(), Quantile(p.First, 0.9).Milliseconds(),
			Quantile(p.Pause, 0.5).Milliseconds(), Quantile(p.Pause, 0.9).Milliseconds())
	}
	return t.Flush()
}
