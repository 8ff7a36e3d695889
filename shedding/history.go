package shedding

import (
	"slices"
	"time"
)

// History holds the recent demand of a service and the part of it that was admitted. The usage
// that a daemon knows is seconds old; History projects it to the present. It is not safe for
// concurrent use.
type History struct {
	samples []sample // in order of time
}

type sample struct {
	at     time.Time
	demand float64 // known at that time, in tokens x layers per second
	part   float64 // admitted part
}

// Bounds of a History.
const (
	// historyLength is the time for which samples are kept. Older usage has ended.
	historyLength = 10 * time.Second
	// maxSamples bounds the memory.
	maxSamples = 128
)

// demandDelay is the time after which the demand of a moment is known: its way to this daemon
// (0.4 to 1 s), and the window in which it is measured.
const demandDelay = 1300 * time.Millisecond

// Add records the demand that is known now, and the part of it that is admitted.
func (h *History) Add(demand, part float64, now time.Time) {
	keep := 0
	for keep < len(h.samples) && (now.Sub(h.samples[keep].at) > historyLength || len(h.samples)-keep >= maxSamples) {
		keep++
	}
	h.samples = append(slices.Delete(h.samples, 0, keep), sample{at: now, demand: demand, part: part})
}

// Project returns the usage of a capacity that follows from the usage at an earlier time. share is the
// fraction of the demand that contributes to it.
func (h *History) Project(used, capacity float64, from time.Time, hold Hold, share float64, now time.Time) float64 {
	if capacity <= 0 || hold.Full <= 0 || len(h.samples) == 0 {
		return used
	}
	p := newProjection(capacity, hold, share)
	p.set(used)
	if first := h.samples[0].at; first.Before(from) {
		h.advance(p, first, from)
		p.set(used)
	}
	h.advance(p, from, now)
	return p.used()
}

// advance moves a projection from one time to another. The first sample stands for the time before it.
func (h *History) advance(p *projection, from, to time.Time) {
	known := 0 // the sample that holds the demand at the time of sample i
	for i, s := range h.samples {
		begin, end := s.at, to
		if i+1 < len(h.samples) && h.samples[i+1].at.Before(to) {
			end = h.samples[i+1].at
		}
		if i == 0 || begin.Before(from) {
			begin = from
		}
		if !end.After(begin) {
			continue
		}
		for known+1 < len(h.samples) && h.samples[known].at.Before(begin.Add(demandDelay)) {
			known++
		}
		p.advance(end.Sub(begin), p.share*s.part*h.samples[known].demand)
	}
}

// Clone returns a copy that changes independently.
func (h *History) Clone() History { return History{samples: slices.Clone(h.samples)} }
