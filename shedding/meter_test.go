package shedding

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// send adds requests at a rate per second from one time to another, evenly spaced.
func send(m *Meter, class Class, rate, kv float64, from, to time.Time) {
	interval := time.Duration(float64(time.Second) / rate)
	for at := from; at.Before(to); at = at.Add(interval) {
		m.Add(class, kv, at)
	}
}

// near reports whether got is within a fraction of want.
func near(got, want, within float64) bool { return math.Abs(got-want) <= within*math.Abs(want) }

func TestMeterWithoutRequests(t *testing.T) {
	m := NewMeter()
	if got := m.Demands(start); len(got) != 0 {
		t.Errorf("demands %v", got)
	}
	if rate := m.Rate(1, start); rate != 0 {
		t.Errorf("rate %v", rate)
	}
}

// Guards against a demand that is not rate x memory for each class on its own.
func TestMeterMeasuresDemand(t *testing.T) {
	m := NewMeter()
	end := start.Add(10 * time.Second)
	send(m, 20, 500, 600, start, end)
	send(m, 3, 80, 1000, start, end)
	got := m.Demands(end)
	if len(got) != 2 || got[0].Class != 3 || got[1].Class != 20 {
		t.Fatalf("demands %v, want classes 3 and 20 in order", got)
	}
	if want := 80 * 1000.0; !near(got[0].KV, want, 0.06) {
		t.Errorf("class 3: demand %v, want %v", got[0].KV, want)
	}
	if want := 500 * 600.0; !near(got[1].KV, want, 0.02) {
		t.Errorf("class 20: demand %v, want %v", got[1].KV, want)
	}
	if rate := m.Rate(20, end); !near(rate, 500, 0.02) {
		t.Errorf("class 20: rate %v, want 500", rate)
	}
}

// Guards against a biased sum over the fleet: each daemon measures few requests at random times.
func TestMeterSumOverFleet(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 7))
	total := 0.0
	for range 300 {
		m := NewMeter()
		for now := start; ; {
			now = now.Add(time.Duration(random.ExpFloat64() / 4 * float64(time.Second)))
			if now.After(start.Add(10 * time.Second)) {
				break
			}
			m.Add(1, 6000, now)
		}
		for _, d := range m.Demands(start.Add(10 * time.Second)) {
			total += d.KV
		}
	}
	// The rate of one daemon varies by 35%, the sum of 300 by 2%.
	if want := 300 * 4 * 6000.0; !near(total, want, 0.08) {
		t.Errorf("demand of the fleet %v, want %v", total, want)
	}
}

// Guards against a demand that is too small or far too large in the first second.
func TestMeterFirstSecond(t *testing.T) {
	for _, after := range []time.Duration{400, 600, 1000, 2000} {
		m := NewMeter()
		end := start.Add(after * time.Millisecond)
		send(m, 1, 100, 1000, start, end)
		if got := m.Demands(end)[0].KV; !near(got, 100_000, 0.05) {
			t.Errorf("after %v ms: demand %v, want 100000", int64(after), got)
		}
	}
	m := NewMeter()
	m.Add(1, 1000, start)
	// The time before the first request is unknown; half of the window is assumed.
	if rate := m.Rate(1, start); rate < 1 || rate > 8 {
		t.Errorf("after one request: %v per second, want 1 to 8", rate)
	}
}

// Guards against refusals that continue after a burst has ended.
func TestMeterBurstEnds(t *testing.T) {
	m := NewMeter()
	end := start.Add(8 * time.Second)
	send(m, 1, 200, 1000, start, end)
	for _, test := range []struct {
		after time.Duration
		most  float64
	}{{time.Second, 0.38}, {3 * time.Second, 0.06}, {5 * time.Second, 0.01}} {
		got := 0.0
		for _, d := range m.Demands(end.Add(test.after)) {
			got += d.KV / 200_000
		}
		if got > test.most {
			t.Errorf("%v after the burst: %.3f of its demand, want at most %v", test.after, got, test.most)
		}
	}
	if got := m.Demands(end.Add(time.Minute)); len(got) != 0 {
		t.Errorf("a minute after the burst: demands %v", got)
	}
}

// Guards against a burst that is measured late.
func TestMeterBurstBegins(t *testing.T) {
	m := NewMeter()
	burst := start.Add(10 * time.Second)
	send(m, 1, 10, 1000, start, burst)
	send(m, 1, 200, 1000, burst, burst.Add(2*time.Second))
	if got := m.Demands(burst.Add(2 * time.Second))[0].KV; got < 0.85*200_000 {
		t.Errorf("2 s after a burst began: demand %v, want most of 200000", got)
	}
}
