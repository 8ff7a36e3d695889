package admission

import (
	"math"
	"time"
)

// Bucket is a token bucket: a daemon's share of a workspace's limit. It is not
// safe for concurrent use.
type Bucket struct {
	tokens float64
	at     time.Time
	fullAt time.Time
}

// bucketEps absorbs the rounding of the refill.
const bucketEps = 1e-9

// Take takes one request out of a bucket that refills with rate per second up
// to burst. When it is empty, wait is the time until the next one.
func (b *Bucket) Take(rate, burst float64, now time.Time) (ok bool, wait time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	burst = math.Max(1, burst)
	if b.at.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = math.Min(burst, b.tokens+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	ok = b.tokens >= 1-bucketEps
	if ok {
		b.tokens--
	}
	b.fullAt = now.Add(time.Duration(math.Ceil((burst - b.tokens) / rate * float64(time.Second))))
	if ok {
		return true, 0
	}
	return false, time.Duration(math.Ceil((1 - b.tokens) / rate * float64(time.Second)))
}

// Idle reports whether a bucket is full again, so that a new one would be no
// different.
func (b *Bucket) Idle(now time.Time) bool { return !now.Before(b.fullAt) }

// Budget limits retries to a share of successful requests, so that retries
// cannot multiply the load when many backend servers fail. It is not safe for
// concurrent use.
type Budget struct {
	ratio float64
	max   float64
	left  float64
}

// NewBudget returns a full budget that earns ratio retries for each success.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, max: reserve, left: reserve}
}

// Full reports whether the budget is as good as a new one.
func (b *Budget) Full() bool { return b.left >= b.max }

// Earn counts a success.
func (b *Budget) Earn() { b.left = math.Min(b.max, b.left+b.ratio) }

// Spend takes one retry out of the budget; false means that none is left.
func (b *Budget) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
