package shedding

import (
	"math"
	"slices"
	"time"
)

// Meter measures the demand of a daemon's own callers at a service. It is not safe for
// concurrent use.
type Meter struct {
	classes map[Class]*classDemand
	since   time.Time // of the first request
}

// classDemand holds sums that decay with the time constant meterWindow.
type classDemand struct {
	at    time.Time
	count float64 // requests
	kv    float64 // KV cache of the requests
}

// meterWindow is the time constant of the measured rates. A shorter one follows bursts
// earlier and varies more; the sum over many daemons varies less than each part.
const meterWindow = 250 * time.Millisecond

// NewMeter returns a meter without requests.
func NewMeter() *Meter { return &Meter{classes: map[Class]*classDemand{}} }

// Add counts a request that would use kv tokens x layers, whether it is admitted or not.
func (m *Meter) Add(class Class, kv float64, now time.Time) {
	if m.since.IsZero() {
		m.since = now
	}
	d := m.classes[class]
	if d == nil {
		d = &classDemand{at: now}
		m.classes[class] = d
	}
	d.decay(now)
	d.count++
	d.kv += kv
}

func (d *classDemand) decay(now time.Time) {
	f := math.Exp(-float64(max(0, now.Sub(d.at))) / float64(meterWindow))
	d.count, d.kv, d.at = d.count*f, d.kv*f, now
}

// minDemand is the demand, in tokens x layers per second, below which a class is left out.
const minDemand = 1

// Demands returns the current demand by class, in order.
func (m *Meter) Demands(now time.Time) []Demand {
	out := make([]Demand, 0, len(m.classes))
	for class, d := range m.classes {
		d.decay(now)
		if kv := d.kv / m.window(now); kv >= minDemand {
			out = append(out, Demand{Class: class, KV: kv})
		}
	}
	slices.SortFunc(out, func(a, b Demand) int { return int(a.Class) - int(b.Class) })
	return out
}

// window returns the effective length of the window in seconds, which grows to meterWindow
// after the first request.
func (m *Meter) window(now time.Time) float64 {
	observed := float64(now.Sub(m.since)) / float64(meterWindow)
	return meterWindow.Seconds() * max(minObserved, 1-math.Exp(-observed))
}

// minObserved bounds the extrapolation from a short observation.
const minObserved = 0.5

// Rate returns the number of requests of a class per second.
func (m *Meter) Rate(class Class, now time.Time) float64 {
	d := m.classes[class]
	if d == nil {
		return 0
	}
	d.decay(now)
	return d.count / m.window(now)
}
