package shedding

import (
	"math"
	"time"
)

// Hold is the time for which a typical request uses its memory, on empty servers and at full
// usage of the capacity. Requests take longer on busy servers: twice to four times as long.
type Hold struct {
	Idle, Full time.Duration
	// Stages is the number of stages of an Erlang distribution that varies as much as the times of
	// different requests, see HoldSpread. 1 or less is an exponential distribution.
	Stages int
}

// minHold bounds the hold time of a model without times.
const minHold = time.Millisecond

// At returns the hold time at a usage of the capacity from 0 to 1.
func (h Hold) At(usage float64) time.Duration {
	return max(minHold, h.Idle+time.Duration(float64(h.Full-h.Idle)*min(1, max(0, usage))))
}

// Scale returns the hold time multiplied by a factor.
func (h Hold) Scale(factor float64) Hold {
	h.Idle, h.Full = time.Duration(factor*float64(h.Idle)), time.Duration(factor*float64(h.Full))
	return h
}

// HoldRatio is the ratio of the measured hold time of streams to that of the engine's model. It
// is not safe for concurrent use.
type HoldRatio struct {
	at                time.Time
	modeled, measured float64 // sums in seconds, which decay with holdWindow
}

const (
	// holdWindow is the time constant of the sums. A ratio of sums is used since a single
	// stream can take thousands of times as long as its expected length suggests. It exceeds
	// the duration of a stream several times: with a shorter one the ratio follows changes of the
	// usage, which the model contains already.
	holdWindow = 10 * time.Second
	// holdPrior is the weight of the model, in seconds of streams that agree with it. The
	// streams that complete first are the short ones.
	holdPrior = 20.0
)

// Observe records a stream that has completed.
func (h *HoldRatio) Observe(modeled, measured time.Duration, now time.Time) {
	if modeled <= 0 || measured < 0 {
		return
	}
	kept := math.Exp(-float64(max(0, now.Sub(h.at))) / float64(holdWindow))
	h.modeled, h.measured, h.at = kept*h.modeled+modeled.Seconds(), kept*h.measured+measured.Seconds(), now
}

// Ratio returns the ratio, 1 until streams have completed.
func (h *HoldRatio) Ratio() float64 { return (h.measured + holdPrior) / (h.modeled + holdPrior) }
