package shedding

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestHoldTimeFollowsTheModelFirst(t *testing.T) {
	var h HoldTime
	if got := h.Of(100); got != 0 {
		t.Errorf("nothing is known: %v", got)
	}
	h.Predict(20 * time.Millisecond)
	h.Predict(10 * time.Millisecond)
	if got := h.Of(100); got != time.Second {
		t.Errorf("%v for 100 tokens of 10 ms", got)
	}
	if got := h.Of(0); got != 10*time.Millisecond {
		t.Errorf("%v for an unknown number of tokens, want that of one", got)
	}
	for range 50 {
		h.Observe(100, 2*time.Second)
	}
	h.Predict(time.Hour)
	if got := h.Of(100); !near(got.Seconds(), 2, 0.01) {
		t.Errorf("%v for 100 tokens after streams of 2 s", got)
	}
}

// Guards against an estimate that a single stream moves far: the expected lengths are often far
// off, and the streams that complete first are the short ones.
func TestHoldTimeWithVaryingStreams(t *testing.T) {
	t.Run("first stream", func(t *testing.T) {
		var h HoldTime
		h.Observe(100, 100*time.Millisecond)
		for range 20 {
			h.Observe(100, 2*time.Second)
		}
		if got := h.Of(100); !near(got.Seconds(), 2, 0.1) {
			t.Errorf("20 streams after a short one: %v, want about 2 s", got)
		}
	})
	t.Run("expected length too small", func(t *testing.T) {
		var h HoldTime
		for range 100 {
			h.Observe(200, 4*time.Second)
		}
		h.Observe(1, 4*time.Second)
		if got := h.Of(200); !near(got.Seconds(), 4, 0.1) {
			t.Errorf("after one stream of unexpected length: %v, want about 4 s", got)
		}
	})
	t.Run("mean", func(t *testing.T) {
		var h HoldTime
		random := rand.New(rand.NewPCG(1, 8))
		sum, samples := 0.0, 0.0
		for i := range 3000 {
			expected := 10 + 400*random.Float64()
			h.Observe(expected, time.Duration(expected*random.ExpFloat64()*20*float64(time.Millisecond)))
			if i >= 100 {
				sum += h.Of(100).Seconds()
				samples++
			}
		}
		if got := sum / samples; !near(got, 2, 0.1) {
			t.Errorf("mean estimate %v s for 100 tokens, want 2 s", got)
		}
	})
	t.Run("engine becomes slower", func(t *testing.T) {
		var h HoldTime
		for range 1000 {
			h.Observe(100, time.Second)
		}
		for range 60 {
			h.Observe(100, 3*time.Second)
		}
		if got := h.Of(100); got < 2700*time.Millisecond {
			t.Errorf("60 streams after the change: %v, want about 3 s", got)
		}
	})
}

// Guards against times that overflow or are negative for invalid or very large lengths.
func TestHoldTimeInvalid(t *testing.T) {
	var h HoldTime
	h.Observe(0, time.Second)
	h.Observe(-5, time.Second)
	h.Observe(100, -time.Second)
	if got := h.Of(10); got != 0 {
		t.Errorf("invalid streams give %v", got)
	}
	h.Observe(100, time.Second)
	for _, tokens := range []float64{1e9, 1e12, 1e300} {
		if got := h.Of(tokens); got < time.Minute || got > 24*time.Hour {
			t.Errorf("%v for %v tokens", got, tokens)
		}
	}
	if got := h.Of(-1); got != 10*time.Millisecond {
		t.Errorf("%v for -1 tokens, want that of one", got)
	}
}
