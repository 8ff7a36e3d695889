package admission

import (
	"math"
	"time"
)

// Rate measures events per second with exponential decay. It is not safe for
// concurrent use.
type Rate struct {
	sum float64
	at  time.Time
}

// rateHalfLife is the age at which an event counts for half.
const rateHalfLife = 20 * time.Second

// Add counts x events.
func (r *Rate) Add(x float64, now time.Time) {
	r.decay(now)
	r.sum += x
}

// PerSecond returns the rate of events.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum * math.Ln2 / rateHalfLife.Seconds()
}

func (r *Rate) decay(now time.Time) {
	if !r.at.IsZero() {
		r.sum *= math.Exp2(-now.Sub(r.at).Seconds() / rateHalfLife.Seconds())
	}
	r.at = now
}
