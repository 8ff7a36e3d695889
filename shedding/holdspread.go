package shedding

import (
	"math"
	"time"
)

// HoldSpread measures how much the hold times of streams differ. It is not safe for concurrent use.
type HoldSpread struct {
	at                time.Time
	count, sum, sumSq float64 // of relative hold times, which decay with holdWindow
}

const (
	// spreadPrior is the weight, in streams, of an assumed squared coefficient of variation of
	// 1/spreadStages.
	spreadPrior  = 20.0
	spreadStages = 2
	// maxSpreadSample bounds the effect of a single stream.
	maxSpreadSample = 10.0
)

// Observe records the hold time of a complete stream, as a multiple of that of a typical request.
func (h *HoldSpread) Observe(relative float64, now time.Time) {
	if !(relative > 0) {
		return
	}
	relative = min(relative, maxSpreadSample)
	kept := math.Exp(-float64(max(0, now.Sub(h.at))) / float64(holdWindow))
	h.count, h.sum, h.sumSq, h.at = kept*h.count+1, kept*h.sum+relative, kept*h.sumSq+relative*relative, now
}

// Stages returns the number of stages of an Erlang distribution with the same variation, from 1 to
// maxStages: the inverse of the squared coefficient of variation.
func (h *HoldSpread) Stages() int {
	mean := 1.0
	if h.count > 0 {
		mean = h.sum / h.count
	}
	count, sum := h.count+spreadPrior, h.sum+spreadPrior*mean
	sumSq := h.sumSq + spreadPrior*mean*mean*(1+1.0/spreadStages)
	variation := count*sumSq/(sum*sum) - 1
	return int(math.Round(min(maxStages, max(1, 1/max(variation, 1.0/maxStages)))))
}
