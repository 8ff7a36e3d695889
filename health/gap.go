package health

import (
	"math"
	"time"
)

// Gap estimates the time between events by its mean and mean deviation, as TCP estimates
// round-trip times (RFC 6298), and bounds the next one.
type Gap struct {
	mean, dev float64 // seconds
	n         int
}

// Weights and factors of the estimate.
const (
	gapGain    = 0.125
	gapDevGain = 0.25
	gapDevs    = 8.0 // deviations above the doubled mean in Bound
	gapWarmUp  = 4   // observations before the estimate is used
	// unusualMeans and unusualDevs are the multiples of the mean and of the mean deviation
	// whose sum is the result of Unusual. The factor on the mean allows for gaps that are
	// longer because prompts are processed between two events.
	unusualMeans = 1.5
	unusualDevs  = 4.0
)

// Observe adds one gap.
func (g *Gap) Observe(d time.Duration) {
	x := d.Seconds()
	g.n++
	if g.n == 1 {
		g.mean = x
		g.dev = x / 2
		return
	}
	g.dev += gapDevGain * (math.Abs(x-g.mean) - g.dev)
	g.mean += gapGain * (x - g.mean)
}

// Warm reports whether there are enough observations for an estimate.
func (g *Gap) Warm() bool { return g.n >= gapWarmUp }

// Bound returns how long to wait for the next event, within [floor, ceil]. It returns ceil
// while there are too few observations.
func (g *Gap) Bound(floor, ceil time.Duration) time.Duration {
	if !g.Warm() {
		return ceil
	}
	b := time.Duration((2*g.mean + gapDevs*g.dev) * float64(time.Second))
	return min(ceil, max(floor, b))
}

// Unusual returns the gap above which the next event is unusually late, within [least, most],
// or unknown while there are too few observations.
func (g *Gap) Unusual(least, most, unknown time.Duration) time.Duration {
	if !g.Warm() {
		return unknown
	}
	b := time.Duration((unusualMeans*g.mean + unusualDevs*g.dev) * float64(time.Second))
	return min(most, max(least, b))
}

// Mean returns the mean gap.
func (g *Gap) Mean() time.Duration { return time.Duration(g.mean * float64(time.Second)) }
