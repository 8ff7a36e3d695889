package shedding

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A burst of the demand on a service, and the bound of the error of a projection.
const (
	projectedStep     = 100 * time.Millisecond
	projectedFor      = 20 * time.Second
	projectedCapacity = 1000.0
	burstBegin        = 5 * time.Second
	burstEnd          = 11 * time.Second
	maxError          = 0.08 * projectedCapacity
)

func burstDemand(at time.Duration) float64 {
	if at >= burstBegin && at < burstEnd {
		return 280
	}
	return 100
}

// checkProjection compares the projections of usages of several ages with the usage at each step.
func checkProjection(t *testing.T, name string, used []float64, hold Hold) {
	t.Helper()
	for _, age := range []time.Duration{projectedStep, 2 * time.Second, 4 * time.Second} {
		var h History
		for i, want := range used {
			at := time.Duration(i) * projectedStep
			now := start.Add(at)
			h.Add(burstDemand(at-demandDelay), 1, now)
			from := at - age
			// The demand of the last demandDelay is not known yet.
			late := at >= burstBegin && at < burstBegin+demandDelay || at >= burstEnd && at < burstEnd+demandDelay
			if from < 0 || late {
				continue
			}
			if got := h.Project(used[from/projectedStep], projectedCapacity, now.Add(-age), hold, 1, now); math.Abs(got-want) > maxError {
				t.Errorf("%s, usage %v old, at %v: projected %.0f, is %.0f", name, age, at, got, want)
			}
		}
	}
}

// Guards against a projection that does not follow a burst or its end while the known usage is
// old: the usage of a service is simulated, and the demand is known demandDelay late.
func TestHistoryProjectsUsage(t *testing.T) {
	hold := Hold{Idle: time.Second, Full: 3 * time.Second}
	var used []float64
	u := 0.0
	for at := time.Duration(0); at < projectedFor; at += projectedStep {
		used = append(used, u)
		u += projectedStep.Seconds() * (burstDemand(at) - u/hold.At(u/projectedCapacity).Seconds())
	}
	checkProjection(t, "random ends", used, hold)
}

// simulateStreams returns the usage at each step of streams that hold memory for longer if the usage
// is high or their answers are long. answers are lengths relative to the mean.
func simulateStreams(answers []float64, capacity float64, hold Hold, rate func(at time.Duration) float64, step, length time.Duration) (used []float64) {
	type stream struct{ kv, left float64 } // left of its answer
	var running []stream
	for at := time.Duration(0); at < length; at += step {
		sum := 0.0
		for _, s := range running {
			sum += s.kv
		}
		used = append(used, sum)
		for i := range running {
			running[i].left -= step.Seconds() / hold.At(sum/capacity).Seconds()
		}
		running = slices.DeleteFunc(running, func(s stream) bool { return s.left <= 0 })
		for _, a := range answers {
			running = append(running, stream{kv: rate(at) * step.Seconds() / float64(len(answers)), left: a})
		}
	}
	return used
}

// Guards against a projection in which the streams of a burst release memory before their answers are
// complete, so that the usage is underestimated while it grows.
func TestHistoryProjectsUsageOfStreams(t *testing.T) {
	hold := Hold{Idle: time.Second, Full: 3 * time.Second}
	for _, answers := range [][]float64{{0.3, 0.6, 0.9, 1.2, 2}, {0.4, 0.6, 0.7, 0.8, 2.5}, {0.2, 0.5, 0.9, 1.6, 1.8}} {
		var spread HoldSpread
		for i := range 200 {
			spread.Observe(answers[i%len(answers)], start)
		}
		hold.Stages = spread.Stages()
		used := simulateStreams(answers, projectedCapacity, hold, burstDemand, projectedStep, projectedFor)
		checkProjection(t, fmt.Sprint("answers ", answers), used, hold)
	}
}

// Guards against a number of stages that a few streams move far, or that does not follow the streams.
func TestHoldSpread(t *testing.T) {
	var h HoldSpread
	if got := h.Stages(); got != spreadStages {
		t.Errorf("nothing is known: %d stages, want %d", got, spreadStages)
	}
	for _, invalid := range []float64{0, -1, math.NaN()} {
		h.Observe(invalid, start)
	}
	h.Observe(math.Inf(1), start)
	h.Observe(1e-9, start)
	if got := h.Stages(); got < 1 || got > spreadStages {
		t.Errorf("after two streams: %d stages", got)
	}
	random, now := rand.New(rand.NewPCG(1, 9)), start
	for _, test := range []struct {
		name string
		draw func() float64
		want int
	}{
		{"of one length", func() float64 { return 0.7 }, maxStages},
		{"of random lengths", random.ExpFloat64, 1},
		{"between them", func() float64 { return (random.ExpFloat64() + random.ExpFloat64() + random.ExpFloat64()) / 3 }, 3},
	} {
		for range 2000 {
			now = now.Add(20 * time.Millisecond)
			h.Observe(test.draw(), now)
		}
		if got := h.Stages(); got != test.want {
			t.Errorf("answers %s: %d stages, want %d", test.name, got, test.want)
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
