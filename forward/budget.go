package forward

import (
	"sync"
	"time"
)

// Shares of the fleet's retry budget. Daemons do not ask each other: each keeps
// to a part of what its own requests earn and an even part of the slack.
const (
	// budgetUse is the part of the budget that all daemons together use; the rest
	// is for daemons that come and go within a window.
	budgetUse = 0.8
	// freshUse is the part of a daemon's share that requests may use that have no
	// event yet: a stream that has begun has more to lose.
	freshUse = 0.6
	// budgetSlots divide the window.
	budgetSlots = 10
)

// Budget bounds the retries of this daemon in a sliding window. It is safe for
// concurrent use.
type Budget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu       sync.Mutex
	requests [budgetSlots]int
	retries  [budgetSlots]int
	slot     int64
}

// NewBudget returns a budget of ratio retries for each request of a window, and
// slack beyond, of which each of the daemons uses an even part.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	if window <= 0 {
		window = budgetSlots * time.Second
	}
	return &Budget{ratio: ratio, slack: slack, window: window}
}

// Set changes the bounds.
func (b *Budget) Set(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// advance clears the slots that have left the window. The caller holds the lock.
func (b *Budget) advance(now time.Time) {
	slot := now.UnixNano() / int64(b.window/budgetSlots)
	for n := max(b.slot+1, slot-budgetSlots+1); n <= slot; n++ {
		b.requests[n%budgetSlots], b.retries[n%budgetSlots] = 0, 0
	}
	b.slot = max(b.slot, slot)
}

// Request counts a request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.slot%budgetSlots]++
}

// Allows reports whether a retry is left. begun says that the request is a stream
// of which the caller has events.
func (b *Budget) Allows(now time.Time, daemons int, begun bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(now, daemons, begun)
}

func (b *Budget) allows(now time.Time, daemons int, begun bool) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := budgetUse * (b.ratio*float64(requests) + b.slack/float64(max(1, daemons)))
	if !begun {
		allowed *= freshUse
	}
	return float64(retries+1) <= allowed
}

// Spend takes one retry; false means that none is left.
func (b *Budget) Spend(now time.Time, daemons int, begun bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, daemons, begun) {
		return false
	}
	b.retries[b.slot%budgetSlots]++
	return true
}
