package shedding

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func newReturns() *Returns { return NewReturns(rand.New(rand.NewPCG(1, 9)).Float64) }

// Guards against return times out of their range, for any sequence of refusals.
func TestReturnsAreInRange(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 10))
	r := newReturns()
	now := start
	for range 100_000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(20*time.Millisecond)))
		latest := time.Duration(random.Int64N(int64(4 * time.Second)))
		var pace float64
		switch random.IntN(5) {
		case 0:
			pace = math.Pow(10, 40*random.Float64()-20)
		case 1:
			pace = []float64{0, -1, math.NaN(), math.Inf(1), math.SmallestNonzeroFloat64}[random.IntN(5)]
		default:
			pace = 100 * random.Float64()
		}
		got := r.Next(Class(random.IntN(3)), pace, latest, now)
		if latest < minReturnTime {
			if got != 0 {
				t.Fatalf("pace %v: %v, want none since the caller waits at most %v", pace, got, latest)
			}
		} else if got < minReturnTime || got > latest {
			t.Fatalf("pace %v: %v, want between %v and %v", pace, got, minReturnTime, latest)
		}
	}
}

// Guards against callers that return together, or sooner than requests are admitted.
func TestReturnsKeepThePace(t *testing.T) {
	for _, pace := range []float64{2, 20, 200} {
		r := newReturns()
		latest := 10 * time.Second
		perSecond := make([]int, 11)
		early, n := 0, int(pace*6)
		for range n {
			got := r.Next(1, pace, latest, start) // a burst at one time
			perSecond[int(got/time.Second)]++
			if got < 300*time.Millisecond {
				early++
			}
		}
		if float64(early) > 0.15*pace+2 {
			t.Errorf("pace %v: %d callers return between 150 and 300 ms", pace, early)
		}
		for second := 1; second < 6; second++ {
			if got := float64(perSecond[second]); math.Abs(got-pace) > 2+0.1*pace {
				t.Errorf("pace %v: %v callers return in second %d", pace, got, second)
			}
		}
		if got := perSecond[0]; float64(got) > pace+1 {
			t.Errorf("pace %v: %d callers return in the first second", pace, got)
		}
	}
}

// Guards against slots that are given away again after a caller who accepts only a short time.
func TestReturnsWithDifferentLatestTimes(t *testing.T) {
	r := newReturns()
	for range 20 {
		r.Next(1, 10, 5*time.Second, start) // slots up to 2 s
	}
	if got := r.Next(1, 10, 500*time.Millisecond, start); got > 500*time.Millisecond {
		t.Errorf("%v, want at most 500 ms", got)
	}
	if got := r.Next(1, 10, 5*time.Second, start); got < 2*time.Second {
		t.Errorf("%v, want a slot after the 20 that are taken", got)
	}
	r.Next(1, 10, 100*time.Millisecond, start.Add(time.Minute))
	if got := r.Next(1, 1, 5*time.Second, start.Add(time.Minute)); got > 1100*time.Millisecond {
		t.Errorf("%v, want the first slot, which a caller without a return time has not taken", got)
	}
}

// Guards against callers of all daemons that return at the same time after a common burst, with a
// slot each, or at the latest time of a class that is not admitted.
func TestReturnsSpreadOverFleet(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 11))
	for _, pace := range []float64{0, 1, 5} {
		lowest, highest := time.Hour, time.Duration(0)
		per20ms := map[int64]int{}
		for range 300 {
			r := NewReturns(random.Float64)
			got := r.Next(1, pace, 800*time.Millisecond, start)
			lowest, highest = min(lowest, got), max(highest, got)
			per20ms[int64(got/(20*time.Millisecond))]++
		}
		if highest-lowest < 90*time.Millisecond {
			t.Errorf("pace %v: return times between %v and %v", pace, lowest, highest)
		}
		for slot, n := range per20ms {
			if n > 100 {
				t.Errorf("pace %v: %d of 300 callers return within 20 ms at %d ms", pace, n, slot*20)
			}
		}
		if pace == 0 && lowest < 700*time.Millisecond {
			t.Errorf("pace 0: %v, want about the latest time", lowest)
		}
	}
}

// Guards against one class that delays the callers of another, and against slots of the past.
func TestReturnsByClass(t *testing.T) {
	r := newReturns()
	for range 100 {
		r.Next(90, 10, 20*time.Second, start)
	}
	if got := r.Next(0, 10, 20*time.Second, start); got > 250*time.Millisecond {
		t.Errorf("another class: %v, want the first slot", got)
	}
	if got := r.Next(90, 10, 20*time.Second, start.Add(time.Minute)); got > 250*time.Millisecond {
		t.Errorf("a minute later: %v, want the first slot", got)
	}
}

// Guards against an interval that overflows, which would let callers return at once.
func TestReturnsOfVerySlowPace(t *testing.T) {
	for _, pace := range []float64{0, -1, math.NaN(), 1e-12, math.SmallestNonzeroFloat64, 0.1} {
		r := newReturns()
		for range 3 {
			if got := r.Next(1, pace, 2*time.Second, start); got < 1900*time.Millisecond {
				t.Errorf("pace %v: %v, want about the latest time", pace, got)
			}
		}
	}
}
