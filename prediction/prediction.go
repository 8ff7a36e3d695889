// Package prediction compares predicted with measured times to the first event,
// as recorded in the daemons' decision logs.
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

// A prediction is accurate if the ratio of measured to predicted time is within
// these bounds.
const (
	minAccurateRatio = 0.5
	maxAccurateRatio = 2.0
)

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Period summarizes the requests that were sent in one period.
type Period struct {
	Start    time.Time
	Requests int // completely answered requests with a prediction
	// Ratios are the ratios of measured to predicted time, ascending.
	Ratios []float64
	// First and Pause are the times to the first event and the longest pauses
	// between two events, ascending.
	First []time.Duration
	Pause []time.Duration
	// Sends counts the sends of these requests, including retries.
	Sends int
}

// Accuracy returns the fraction of requests whose prediction was accurate.
func (p *Period) Accuracy() float64 {
	n := 0
	for _, r := range p.Ratios {
		if r >= minAccurateRatio && r <= maxAccurateRatio {
			n++
		}
	}
	return float64(n) / float64(max(1, len(p.Ratios)))
}

// Quantile returns the q-quantile of ascending values, or the zero value if
// there are none.
func Quantile[T any](values []T, q float64) T {
	if len(values) == 0 {
		var none T
		return none
	}
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// request holds the data of one request's log lines.
type request struct {
	sentAt    time.Time
	predicted float64 // time to the first event in ms, at the first send
	sends     int
	first     time.Duration
	pause     time.Duration
	complete  bool
}

// Read parses the log lines of one or more daemons and returns the periods in
// which requests were sent, in order. It ignores lines that are not decisions
// on requests, and any text before the ts key of a line.
func Read(r io.Reader, period time.Duration) ([]Period, error) {
	requests := map[string]*request{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		at := bytes.Index(lines.Bytes(), []byte("ts="))
		if at < 0 {
			continue
		}
		recordLine(requests, fields(lines.Bytes()[at:]))
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("prediction: %w", err)
	}
	return periods(requests, period), nil
}

// fields returns the key-value pairs of a line up to the first syntax error.
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

// recordLine adds one line to the request that it belongs to.
func recordLine(requests map[string]*request, line map[string]string) {
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
		r.complete = line["result"] == "whole"
		r.first, _ = time.ParseDuration(line["first_in"])
		r.pause, _ = time.ParseDuration(line["longest_pause"])
	}
}

func periods(requests map[string]*request, length time.Duration) []Period {
	byStart := map[time.Time]*Period{}
	for _, r := range requests {
		if !r.complete || r.predicted <= 0 || r.first <= 0 || r.sentAt.IsZero() {
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

// Write writes a table with one row per period.
func Write(w io.Writer, periods []Period) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "from\trequests\tsends\tmeasured/predicted p10\tp50\tp90\twell\tfirst p50 ms\tp90\tpause p50 ms\tp90\t")
	for _, p := range periods {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t\n", p.Start.Format("15:04:05"), p.Requests, p.Sends,
			Quantile(p.Ratios, 0.1), Quantile(p.Ratios, 0.5), Quantile(p.Ratios, 0.9), p.Accuracy(),
			Quantile(p.First, 0.5).Milliseconds(), Quantile(p.First, 0.9).Milliseconds(),
			Quantile(p.Pause, 0.5).Milliseconds(), Quantile(p.Pause, 0.9).Milliseconds())
	}
	return t.Flush()
}
