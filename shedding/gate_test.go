package shedding

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// settledGate returns a gate whose fraction of class 1 has reached part, at start.
func settledGate(part float64, random func() float64) *Gate {
	g := NewGate(random)
	for at := start.Add(-20 * time.Second); !at.After(start); at = at.Add(100 * time.Millisecond) {
		g.SetFractions([]Fraction{{Class: 1, Part: part}}, at)
	}
	return g
}

func TestGateAdmitsWithoutFractions(t *testing.T) {
	g := NewGate(rand.New(rand.NewPCG(1, 1)).Float64)
	for range 100 {
		if !g.Admit(5, 1, start) {
			t.Fatal("refused without a fraction")
		}
	}
	if got := g.Fraction(5); got != 1 {
		t.Errorf("fraction %v", got)
	}
}

// Guards against admitting more or fewer requests than the fraction.
func TestGateAdmitsTheFraction(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, part := range []float64{0, 0.001, 0.1, 1.0 / 3, 0.5, 0.8, 0.96, 0.98, 1} {
		for _, share := range []float64{0.4, 1, 1.7} {
			const requests = 10_000
			g := settledGate(part, random.Float64)
			admitted := 0
			for range requests {
				if g.Admit(1, share, start) {
					admitted++
				}
			}
			want := min(1, part*share)
			if want >= openThreshold {
				want = 1
			}
			if math.Abs(float64(admitted)-want*requests) > 5 {
				t.Errorf("fraction %v, share %v: admitted %d of %d", part, share, admitted, requests)
			}
		}
	}
}

// Guards against refusing or admitting the first requests of all daemons of a fleet alike.
func TestGateFleetWithFewRequests(t *testing.T) {
	const daemons = 300
	for _, part := range []float64{0.05, 0.3, 0.7, 0.95} {
		for _, requests := range []int{1, 2, 5} {
			random := rand.New(rand.NewPCG(uint64(requests), 3))
			admitted := 0
			for range daemons {
				g := settledGate(part, random.Float64)
				for range requests {
					if g.Admit(1, 1, start) {
						admitted++
					}
				}
			}
			n := float64(daemons * requests)
			// Four standard deviations of independent decisions.
			if tolerance := 4 * math.Sqrt(n*part*(1-part)); math.Abs(float64(admitted)-part*n) > tolerance {
				t.Errorf("fraction %v, %d requests at each daemon: admitted %d of %v", part, requests, admitted, n)
			}
		}
	}
}

// Guards against a caller that is always refused because its requests alternate regularly with
// those of another one.
func TestGateTreatsRegularCallersAlike(t *testing.T) {
	const rounds = 2000
	for _, test := range []struct {
		part   float64
		shares []float64 // of the callers, which send in turn
	}{
		{0.5, []float64{1, 1}},
		{0.5, []float64{1.8, 0.2}},
		{0.25, []float64{1, 1, 1, 1}},
		{1.0 / 3, []float64{1, 1, 1}},
		{0.6, []float64{1, 1, 1, 1, 1}},
		{0.4, []float64{0.4, 1.6}},
	} {
		g := settledGate(test.part, rand.New(rand.NewPCG(1, 4)).Float64)
		admitted := make([]int, len(test.shares))
		for range rounds {
			for caller, share := range test.shares {
				if g.Admit(1, share, start) {
					admitted[caller]++
				}
			}
		}
		for caller, share := range test.shares {
			want := test.part * share
			if got := float64(admitted[caller]) / rounds; math.Abs(got-want) > 0.15*want {
				t.Errorf("fraction %v, caller %d of %v: admitted %.3f, want %.3f", test.part, caller, test.shares, got, want)
			}
		}
	}
}

// Guards against fractions that jump, also if the clock of the caller goes back.
func TestGateChangesGradually(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 5))
	g := NewGate(random.Float64)
	now := start
	for range 10_000 {
		before := g.Fraction(1)
		elapsed := time.Duration(random.Int64N(int64(time.Second)))
		if random.IntN(20) == 0 {
			elapsed = -elapsed
		}
		now = now.Add(elapsed)
		part := random.Float64()
		if random.IntN(3) == 0 {
			part = math.Round(part)
		}
		g.SetFractions([]Fraction{{Class: 1, Part: part}}, now)
		after := g.Fraction(1)
		allowed := math.Abs(part-before) * (1 - math.Exp(-max(0, elapsed.Seconds())/smoothing.Seconds()))
		if math.Abs(after-before) > allowed+1e-9 || !(after >= 0 && after <= 1) {
			t.Fatalf("fraction went from %v to %v in %v towards %v", before, after, elapsed, part)
		}
	}
	g = NewGate(random.Float64)
	g.SetFractions([]Fraction{{Class: 1, Part: 0}}, start)
	if got := g.Fraction(1); got != 1 {
		t.Errorf("the first fraction jumps from 1 to %v", got)
	}
	g.SetFractions([]Fraction{{Class: 1, Part: 0}}, start.Add(smoothing))
	if got := g.Fraction(1); math.Abs(got-math.Exp(-1)) > 1e-9 {
		t.Errorf("fraction %v after the time constant", got)
	}
	g.SetFractions(nil, start.Add(20*time.Second))
	if got := g.Fraction(1); got < 0.999 {
		t.Errorf("fraction %v after the class has left the demand", got)
	}
}

// Guards against classes that alternate between all and nothing while load reports show two
// views of the demand in turn.
func TestGateWithAlternatingViews(t *testing.T) {
	state := func(kv float64) State {
		return State{Demands: []Demand{{0, kv}, {10, 60}}, Capacity: 100, InUse: 90, Hold: Hold{Idle: time.Second, Full: time.Second}}
	}
	views := [][]Fraction{Fractions(state(0)), Fractions(state(120))}
	if views[0][1].Part != 1 || views[1][1].Part > 0.2 {
		t.Fatalf("the views %v must differ by nearly all of class 10", views)
	}
	for _, interval := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, minViewInterval} {
		g := NewGate(rand.New(rand.NewPCG(1, 6)).Float64)
		lowest, highest, windows := 1.0, 0.0, 0
		admitted, requests := 0, 0
		for i := range 600 { // 60 s
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			g.SetFractions(views[int(now.Sub(start)/interval)%2], now)
			if i < 100 {
				continue
			}
			lowest, highest = min(lowest, g.Fraction(10)), max(highest, g.Fraction(10))
			for range 10 {
				requests++
				if g.Admit(10, 1, now) {
					admitted++
				}
			}
			if requests == 80 { // in 800 ms
				if admitted == 0 || admitted == requests {
					windows++
				}
				admitted, requests = 0, 0
			}
		}
		t.Logf("views alternate every %v: fraction between %.2f and %.2f", interval, lowest, highest)
		if lowest < 0.25 || highest > 0.9 || windows > 0 {
			t.Errorf("views alternate every %v: fraction between %.2f and %.2f, %d intervals with all or none admitted", interval, lowest, highest, windows)
		}
	}
}

// minViewInterval is the interval at which daemons exchange loads, and so the least time after
// which a view of the demand is followed by another one.
const minViewInterval = 800 * time.Millisecond
