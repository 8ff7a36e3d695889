package admission

import (
	"math"
	"time"
)

// LimitConfig configures an adaptive concurrency limit.
type LimitConfig struct {
	Initial   float64
	Min, Max  float64
	Tolerance float64 // ratio of latency to its minimum that is accepted as normal
	Smoothing float64 // weight of a new limit in the moving average, in (0,1]
}

// DefaultLimitConfig returns a configuration for continuously batching engines,
// whose latency grows slowly with the batch until they are saturated.
func DefaultLimitConfig() LimitConfig {
	return LimitConfig{Initial: 64, Min: 2, Max: 4096, Tolerance: 2.5, Smoothing: 0.12}
}

// Limit limits the number of requests that one daemon keeps in flight on one backend
// server. It adapts to the ratio of the minimum token time to the current token time.
// It is not safe for concurrent use.
type Limit struct {
	cfg     LimitConfig
	limit   float64
	minimum float64 // token time in seconds, grows slowly by minimumGrowth
	current float64 // token time in seconds, smoothed
}

// Gains of the latency estimates.
const (
	minimumGrowth = 1.0005 // per sample, so that the minimum follows lasting changes
	currentGain   = 0.1
)

// NewLimit returns a Limit at its initial value.
func NewLimit(cfg LimitConfig) *Limit { return &Limit{cfg: cfg, limit: cfg.Initial} }

// Observe adds the token time d of one request, measured with inFlight requests in
// flight, and returns the new limit.
func (l *Limit) Observe(d time.Duration, inFlight int) int {
	x := d.Seconds()
	if x <= 0 {
		return l.Value()
	}
	if l.minimum == 0 {
		l.minimum, l.current = x, x
	}
	l.minimum = math.Min(x, l.minimum*minimumGrowth)
	l.current += currentGain * (x - l.current)
	gradient := math.Max(0.5, math.Min(1, l.cfg.Tolerance*l.minimum/l.current))
	target := l.limit*gradient + math.Sqrt(l.limit)
	if target > l.limit && float64(inFlight) < l.limit/2 {
		return l.Value() // the limit is not what keeps the load low
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
