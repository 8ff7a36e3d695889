package shedding

import "time"

// HoldTime estimates for how long a request uses its memory from the number of tokens that it
// is expected to generate. It starts with the model of the engine and follows the streams
// that complete. It is not safe for concurrent use.
type HoldTime struct {
	perToken time.Duration
	measured bool // perToken follows completed streams
}

// holdGain is the weight of a completed stream in the estimate. Expected lengths are often
// far off, so single streams say little.
const holdGain = 0.05

// Predict sets the time of a token by the model of the engine, until a stream has completed.
func (h *HoldTime) Predict(perToken time.Duration) {
	if !h.measured {
		h.perToken = perToken
	}
}

// Observe records a stream that has completed after a time.
func (h *HoldTime) Observe(expectedTokens float64, took time.Duration) {
	if expectedTokens < 1 {
		return
	}
	perToken := time.Duration(float64(took) / expectedTokens)
	if !h.measured {
		h.perToken, h.measured = perToken, true
		return
	}
	h.perToken += time.Duration(holdGain * float64(perToken-h.perToken))
}

// Of returns the estimate for a request, 0 if nothing is known.
func (h *HoldTime) Of(expectedTokens float64) time.Duration {
	return time.Duration(max(1, expectedTokens) * float64(h.perToken))
}
