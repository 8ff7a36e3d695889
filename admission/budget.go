package admission

import (
	"sync"
	"time"
)

// budgetSlots is the number of slots per window. One more slot is kept: the current
// slot is incomplete, so a window that ends now reaches into the oldest one.
const (
	budgetSlots = 10
	slotsKept   = budgetSlots + 1
)

// Budget limits the retries in a sliding window to a ratio of the requests plus a
// slack, so that retries cannot multiply the load when many backend servers fail.
// It is safe for concurrent use.
type Budget struct {
	window time.Duration

	mu      sync.Mutex
	ratio   float64
	slack   float64
	earned  [slotsKept]int
	retries [slotsKept]int
	slot    int64
}

// Part holds the fractions of a budget that retries may use. Daemons that share a
// budget each use a part of its slack.
type Part struct {
	Ratio float64 // fraction of the earned retries
	Slack float64 // fraction of the slack
}

// EntireBudget is the entire budget.
var EntireBudget = Part{Ratio: 1, Slack: 1}

// NewBudget returns a budget that allows, per window, ratio retries for each
// request plus slack.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	if window <= 0 {
		window = budgetSlots * time.Second
	}
	return &Budget{ratio: ratio, slack: slack, window: window}
}

// Set changes the ratio and the slack.
func (b *Budget) Set(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// advance clears the slots that have left the window. The caller holds the lock.
func (b *Budget) advance(now time.Time) {
	slot := now.UnixNano() / int64(b.window/budgetSlots)
	for n := max(b.slot+1, slot-slotsKept+1); n <= slot; n++ {
		b.earned[n%slotsKept], b.retries[n%slotsKept] = 0, 0
	}
	b.slot = max(b.slot, slot)
}

// Earn counts a request, which earns ratio retries.
func (b *Budget) Earn(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.earned[b.slot%slotsKept]++
}

// Allows reports whether a retry is left in a part of the budget.
func (b *Budget) Allows(now time.Time, p Part) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(now, p)
}

func (b *Budget) allows(now time.Time, p Part) bool {
	earned, retries := b.sums(now)
	return float64(retries+1) <= p.Ratio*b.ratio*float64(earned)+p.Slack*b.slack
}

// sums returns the requests and retries in the window. The caller holds the lock.
func (b *Budget) sums(now time.Time) (earned, retries int) {
	b.advance(now)
	for i := range b.earned {
		earned += b.earned[i]
		retries += b.retries[i]
	}
	return earned, retries
}

// Spend takes one retry out of a part of the budget and reports whether one was
// left.
func (b *Budget) Spend(now time.Time, p Part) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, p) {
		return false
	}
	b.retries[b.slot%slotsKept]++
	return true
}

// Return gives back a retry that was taken at the time spent but was not made.
func (b *Budget) Return(spent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := spent.UnixNano() / int64(b.window/budgetSlots)
	if slot > b.slot-slotsKept && b.retries[slot%slotsKept] > 0 {
		b.retries[slot%slotsKept]--
	}
}

// Idle reports whether the window holds no requests and no retries, which makes the
// budget equivalent to a new one.
func (b *Budget) Idle(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	earned, retries := b.sums(now)
	return earned == 0 && retries == 0
}
