package shedding

import "time"

// HoldTime estimates for how long a request uses its memory from the number of tokens that it
// is expected to generate. It starts with the model of the engine and follows the streams
// that complete. It is not safe for concurrent use.
type HoldTime struct {
	perToken time.Duration // by the model of the engine
	// Sums over the completed streams, which decay by holdGain with each stream. A ratio of sums
	// is used since a single stream can take thousands of times as long as its expected length
	// suggests.
	tokens, seconds float64
}

// holdGain is the weight of a completed stream in the estimate. Expected lengths are often
// far off, so single streams say little.
const holdGain = 0.05

// maxHold bounds the estimate for a request, far above the longest streams.
const maxHold = time.Hour

// Predict sets the time of a token by the model of the engine, until a stream has completed.
func (h *HoldTime) Predict(perToken time.Duration) { h.perToken = perToken }

// Observe records a stream that has completed after a time.
func (h *HoldTime) Observe(expectedTokens float64, took time.Duration) {
	if !(expectedTokens >= 1) || took < 0 {
		return
	}
	h.tokens += holdGain * (expectedTokens - h.tokens)
	h.seconds += holdGain * (took.Seconds() - h.seconds)
}

// Of returns the estimate for a request, 0 if nothing is known.
func (h *HoldTime) Of(expectedTokens float64) time.Duration {
	perToken := h.perToken.Seconds()
	if h.tokens > 0 {
		perToken = h.seconds / h.tokens
	}
	held := max(1, expectedTokens) * perToken
	return time.Duration(min(maxHold.Seconds(), held) * float64(time.Second))
}
