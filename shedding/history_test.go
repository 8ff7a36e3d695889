package shedding

import (
	"math"
	"testing"
	"time"
)

// Guards against a projection that does not follow a burst or its end while the known usage is
// old: the usage of a service is simulated, and the demand is known demandDelay late.
func TestHistoryProjectsUsage(t *testing.T) {
	const (
		step     = 100 * time.Millisecond
		capacity = 1000.0
		burst    = 5 * time.Second
		burstEnd = 11 * time.Second
	)
	hold := Hold{Idle: time.Second, Full: 3 * time.Second}
	demandAt := func(at time.Duration) float64 {
		if at >= burst && at < burstEnd {
			return 280
		}
		return 100
	}
	for _, age := range []time.Duration{step, 2 * time.Second, 4 * time.Second} {
		var h History
		used := []float64{0}
		for at := time.Duration(0); at < 20*time.Second; at += step {
			now := start.Add(at)
			h.Add(demandAt(at-demandDelay), 1, now)
			if from := at - age; from >= 0 {
				got := h.Project(used[from/step], capacity, now.Add(-age), hold, 1, now)
				// The demand of the last demandDelay is not known yet.
				late := at >= burst && at < burst+demandDelay || at >= burstEnd && at < burstEnd+demandDelay
				if want := used[at/step]; !late && math.Abs(got-want) > 0.08*capacity {
					t.Errorf("usage %v old, at %v: projected %.0f, is %.0f", age, at, got, want)
				}
			}
			u := used[at/step]
			used = append(used, u+step.Seconds()*(demandAt(at)-u/hold.At(u/capacity).Seconds()))
		}
	}
}

// Guards against a projection for invalid input, and against a history that grows without bound.
func TestHistoryBounds(t *testing.T) {
	var h History
	if got := h.Project(5, 10, start, Hold{Full: time.Second}, 1, start); got != 5 {
		t.Errorf("without samples: %v, want the known usage", got)
	}
	for i := range 10 * maxSamples {
		h.Add(1, 1, start.Add(time.Duration(i)*time.Millisecond))
	}
	if len(h.samples) > maxSamples {
		t.Errorf("%d samples", len(h.samples))
	}
	now := start.Add(time.Hour)
	h.Add(1, 1, now)
	if len(h.samples) != 1 {
		t.Errorf("%d samples after an hour", len(h.samples))
	}
	for _, capacity := range []float64{0, -1} {
		if got := h.Project(5, capacity, start, Hold{Full: time.Second}, 1, now); got != 5 {
			t.Errorf("capacity %v: %v", capacity, got)
		}
	}
	if got := h.Project(1e12, 1, start, Hold{Full: time.Millisecond}, 1, now); !(got >= 0) {
		t.Errorf("a long time: %v", got)
	}
}

// Guards against an estimate that one refusal moves far or that never recovers.
func TestAcceptance(t *testing.T) {
	var a Acceptance
	if a.Ratio() != 1 {
		t.Errorf("nothing is known: %v", a.Ratio())
	}
	a.Observe(false)
	if a.Ratio() < 0.7 {
		t.Errorf("after one refusal: %v", a.Ratio())
	}
	for i := range 400 {
		a.Observe(i%4 != 0)
	}
	if !near(a.Ratio(), 0.75, 0.1) {
		t.Errorf("every fourth refused: %v", a.Ratio())
	}
	for range 100 {
		a.Observe(true)
	}
	if a.Ratio() < 0.98 {
		t.Errorf("100 accepted: %v", a.Ratio())
	}
}
