package admission

import (
	"math"
	"time"
)

// Bucket is a token bucket for a daemon's share of a workspace's limit. It is not
// safe for concurrent use.
type Bucket struct {
	tokens float64
	at     time.Time // of the last refill
	fullAt time.Time
}

// bucketEps absorbs rounding errors of the refill.
const bucketEps = 1e-9

// Take takes one request out of a bucket that refills at rate requests per second up
// to burst requests. If none is left, ok is false and wait is the time until the next
// one.
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

// Idle reports whether the bucket is full again, which makes it equivalent to a new
// one.
func (b *Bucket) Idle(now time.Time) bool { return !now.Before(b.fullAt) }
