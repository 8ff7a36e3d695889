package forward

import (
	"sync"
	"time"
)

// Shares of the fleet's retry budget that one daemon uses. Daemons do not ask
// each other: a caller's balancer spreads requests unevenly, so each keeps to a
// part of what its own requests earn.
const (
	budgetUse = 0.7
	// slackParts is the number of parts into which the fleet's slack is divided; a
	// daemon takes one, so that a fleet of that size or smaller stays within it.
	slackParts = 16
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

// NewBudget returns a budget of ratio retries for each request of a window and
// a share of the fleet's slack.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	if window <= 0 {
		window = budgetSlots * time.Second
	}
	return &Budget{ratio: ratio * budgetUse, slack: slack / slackParts, window: window}
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

// Spend takes one retry; false means that none is left.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > b.ratio*float64(requests)+b.slack {
		return false
	}
	b.retries[b.slot%budgetSlots]++
	return true
}
