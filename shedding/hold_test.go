package shedding

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestHoldGrowsWithUsage(t *testing.T) {
	h := Hold{Idle: time.Second, Full: 3 * time.Second}
	for usage, want := range map[float64]time.Duration{-1: time.Second, 0: time.Second, 0.5: 2 * time.Second, 1: 3 * time.Second, 4: 3 * time.Second} {
		if got := h.At(usage); got != want {
			t.Errorf("at usage %v: %v, want %v", usage, got, want)
		}
	}
	if got := (Hold{}).At(1); got != minHold {
		t.Errorf("a model without times: %v, want %v", got, minHold)
	}
	if got := h.Scale(0.5); got != (Hold{Idle: 500 * time.Millisecond, Full: 1500 * time.Millisecond}) {
		t.Errorf("half of it: %v", got)
	}
}

// Guards against an estimate that a single stream moves far, as expected lengths are often far off,
// that the short streams that complete first make too small, or that follows the engine too late.
func TestHoldRatio(t *testing.T) {
	var h HoldRatio
	if got := h.Ratio(); got != 1 {
		t.Errorf("nothing is known: %v", got)
	}
	h.Observe(2*time.Second, 20*time.Millisecond, start)
	if got := h.Ratio(); got < 0.9 {
		t.Errorf("after a short stream: %v, want about 1", got)
	}
	random, now, sum := rand.New(rand.NewPCG(1, 8)), start, 0.0
	for i := range 2000 {
		now = now.Add(50 * time.Millisecond)
		modeled := time.Duration(random.Float64() * float64(3*time.Second))
		h.Observe(modeled, time.Duration(1.5*random.ExpFloat64()*float64(modeled)), now)
		if i >= 1000 {
			sum += h.Ratio() / 1000
		}
	}
	if !near(sum, 1.5, 0.1) {
		t.Errorf("mean ratio %v of streams that take 1.5 times as long, want about 1.5", sum)
	}
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		h.Observe(time.Second, 3*time.Second, now)
	}
	if got := h.Ratio(); !near(got, 3, 0.15) {
		t.Errorf("20 s after the engine became slower: %v, want about 3", got)
	}
}

// Guards against estimates that are not positive numbers after invalid streams.
func TestHoldRatioInvalid(t *testing.T) {
	var h HoldRatio
	h.Observe(0, time.Second, start)
	h.Observe(-time.Second, time.Second, start)
	h.Observe(time.Second, -time.Second, start)
	if got := h.Ratio(); got != 1 {
		t.Errorf("invalid streams give %v", got)
	}
	h.Observe(time.Second, time.Second, start.Add(time.Hour))
	h.Observe(time.Second, time.Second, start)
	if got := h.Ratio(); !near(got, 1, 1e-9) {
		t.Errorf("a clock that went back gives %v", got)
	}
}
