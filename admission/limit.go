package admission

import (
	"math"
	"time"
)

// LimitConfig bounds an adaptive concurrency limit.
type LimitConfig struct {
	Initial   float64
	Min, Max  float64
	Tolerance float64 // latency above the least seen, as a factor, that is still fine
	Smoothing float64 // weight of a new limit
}

// DefaultLimitConfig returns bounds for continuously batching engines, whose
// latency grows slowly with the batch until they are saturated.
func DefaultLimitConfig() LimitConfig {
	return LimitConfig{Initial: 64, Min: 2, Max: 4096, Tolerance: 2.5, Smoothing: 0.12}
}

// Limit adapts how many requests one daemon keeps on one backend server, by the
// gradient of latency: the least token time seen against the present one. It is
// not safe for concurrent use.
type Limit struct {
	cfg     LimitConfig
	limit   float64
	least   float64 // seconds, slowly forgotten
	current float64 // seconds, smoothed
}

// Gains of the latency estimates.
const (
	leastDecay  = 1.0005 // growth of the least latency per sample, so that it follows changes
	currentGain = 0.1
)

// NewLimit returns a limit at its initial value.
func NewLimit(cfg LimitConfig) *Limit { return &Limit{cfg: cfg, limit: cfg.Initial} }

// Observe takes the token time of one request while inFlight were running, and
// returns the new limit.
func (l *Limit) Observe(d time.Duration, inFlight int) int {
	x := d.Seconds()
	if x <= 0 {
		return l.Value()
	}
	if l.least == 0 {
		l.least, l.current = x, x
	}
	l.least = math.Min(x, l.least*leastDecay)
	l.current += currentGain * (x - l.current)
	gradient := math.Max(0.5, math.Min(1, l.cfg.Tolerance*l.least/l.current))
	target := l.limit*gradient + math.Sqrt(l.limit)
	if target > l.limit && float64(inFlight) < l.limit/2 {
		return l.Value() // the limit is not what holds the load down
	}
	l.limit += l.cfg.Smoothing * (target - l.limit)
	l.limit = math.Max(l.cfg.Min, math.Min(l.cfg.Max, l.limit))
	return l.Value()
}

// Shrink lowers the limit after an explicit refusal.
func (l *Limit) Shrink() int {
	l.limit = math.Max(l.cfg.Min, l.limit*0.8)
	return l.Value()
}

// Value returns the limit.
func (l *Limit) Value() int { return int(l.limit) }
