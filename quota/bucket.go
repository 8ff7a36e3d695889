package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/snowspoke/snowspoke/boottime"
)

// Class groups calls by priority and workspace.
type Class struct {
	Priority  int // 0 is the most urgent of requests
	Workspace string
}

// Priorities of calls other than requests. Orders are few and precede all requests,
// because requests in progress depend on them. Reports come last, because the many reports
// on stalled streams would use up the limit.
const (
	OrderPriority  = -1
	ReportPriority = 1 << 10
)

// isRequest reports whether the calls of the class are requests.
func (c Class) isRequest() bool { return c.Priority > OrderPriority && c.Priority < ReportPriority }

// Bounds of a bucket.
const (
	// activePeriod is how long a class counts as active after a request.
	activePeriod = 2 * time.Second
	// maxCredit and minCredit bound the credit of a class, in calls.
	maxCredit = 3.0
	minCredit = -1.0
	// maxClasses bounds the classes of a bucket. The least recently active class is
	// removed first.
	maxClasses = 64
	// eps absorbs rounding errors of accrued calls.
	eps = 1e-9
)

// Bounds of the waits in a Decision.
const (
	minWait = 20 * time.Millisecond
	maxDue  = 500 * time.Millisecond
	// maxRetryAfter is short because the limit may end at any time.
	maxRetryAfter = 5 * time.Second
)

// bucket is a token bucket for the calls to one backend server. Calls accrue at the rate
// of the held parts and are credited to the active classes: to the most urgent priority
// first, evenly among its workspaces. A class makes a call with its own credit, or without
// credit while the bucket holds calls that no class has saved.
type bucket struct {
	updatedAt time.Time // of the last accrual
	requestAt time.Time // of the last request, or of the creation
	rate      float64   // calls a second
	calls     float64   // available now
	burst     float64   // maximum of calls
	credits   []*credit // sorted by class
}

// credit is the account of one class.
type credit struct {
	class   Class
	calls   float64
	askedAt time.Time
	denied  slidingCount
}

func newBucket(calls float64, now time.Time) *bucket {
	return &bucket{updatedAt: now, requestAt: now, calls: calls}
}

// accrue adds the calls due since the last accrual, or since held, the time from which
// this daemon holds its own part, if that is later.
func (b *bucket) accrue(limit, share float64, held, now time.Time) {
	b.rate = rateUse * share * max(limit, minRate)
	b.burst = burstOf(b.rate)
	due := b.rate * max(0, now.Sub(boottime.Later(b.updatedAt, held)).Seconds())
	b.updatedAt = now
	b.calls = min(b.burst, b.calls+due)
	b.credit(due, now)
}

// burstOf returns the maximum number of saved calls: one call, the credit that one class
// may save (less at low rates), and the calls of a tenth of a second.
func burstOf(rate float64) float64 { return 1 + min(maxCredit, rate/2) + rate/10 }

// credit distributes calls over the active classes by priority.
func (b *bucket) credit(calls float64, now time.Time) {
	for begin := 0; begin < len(b.credits) && calls > 0; {
		end := begin
		var active []*credit
		for ; end < len(b.credits) && b.credits[end].class.Priority == b.credits[begin].class.Priority; end++ {
			if now.Sub(b.credits[end].askedAt) <= activePeriod {
				active = append(active, b.credits[end])
			}
		}
		calls = distribute(active, calls)
		begin = end
	}
}

// distribute credits calls evenly and returns the calls left when all credits are full.
func distribute(active []*credit, calls float64) (left float64) {
	slices.SortFunc(active, func(x, y *credit) int { return cmp.Compare(y.calls, x.calls) })
	for i, c := range active {
		each := calls / float64(len(active)-i)
		add := max(0, min(each, maxCredit-c.calls))
		c.calls += add
		calls -= add
	}
	return calls
}

// allows reports whether a class may make a call now.
func (b *bucket) allows(c Class, now time.Time) bool {
	s := b.of(c, now)
	if b.calls < 1-eps {
		return false
	}
	return s.calls >= 1-eps || b.calls >= min(b.burst, 1+b.saved(c, now))-eps
}

// saved returns the calls saved by the other active classes.
func (b *bucket) saved(c Class, now time.Time) float64 {
	sum := 0.0
	for _, s := range b.credits {
		if s.class != c && now.Sub(s.askedAt) <= activePeriod {
			sum += max(0, s.calls)
		}
	}
	return sum
}

// of returns the credit of a class and marks the class active.
func (b *bucket) of(c Class, now time.Time) *credit {
	at, found := slices.BinarySearchFunc(b.credits, c, func(s *credit, c Class) int { return compareClasses(s.class, c) })
	if !found {
		if len(b.credits) >= maxClasses {
			b.removeOldest()
			at, _ = slices.BinarySearchFunc(b.credits, c, func(s *credit, c Class) int { return compareClasses(s.class, c) })
		}
		b.credits = slices.Insert(b.credits, at, &credit{class: c})
	}
	b.credits[at].askedAt = now
	return b.credits[at]
}

func compareClasses(x, y Class) int {
	return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(x.Workspace, y.Workspace))
}

func (b *bucket) removeOldest() {
	oldest := 0
	for i, s := range b.credits {
		if s.askedAt.Before(b.credits[oldest].askedAt) {
			oldest = i
		}
	}
	b.credits = slices.Delete(b.credits, oldest, oldest+1)
}

// take removes one call for a class for which allows returned true.
func (b *bucket) take(c Class) {
	b.calls--
	if c.isRequest() {
		b.requestAt = b.updatedAt
	}
	s := b.of(c, b.updatedAt)
	s.calls = max(minCredit, s.calls-1)
}

// deny counts a denied request. A denied trial takes another path, so no caller returns for it.
func (b *bucket) deny(r *PermitRequest, now time.Time) {
	if r.IdleFor == 0 {
		b.of(r.Class, now).denied.add(now)
	}
}

// due returns the time until a class may make a call if all active classes continue to
// request calls.
func (b *bucket) due(c Class, now time.Time) time.Duration {
	s := b.of(c, now)
	wait := max((1-b.calls)/b.rate, (1-s.calls)/b.rateOf(c, now))
	return bounded(wait, minWait, maxDue)
}

// retryAfter returns the time until a caller may make a call after all recently denied calls
// of its class.
func (b *bucket) retryAfter(c Class, now time.Time) time.Duration {
	s := b.of(c, now)
	return bounded((1-s.calls+float64(s.denied.sum(now)))/b.rateOf(c, now), minWait, maxRetryAfter)
}

// rateOf returns the rate of a class, in calls a second, while all active classes of the
// same or a more urgent priority request calls.
func (b *bucket) rateOf(c Class, now time.Time) float64 {
	n := 0
	for _, s := range b.credits {
		if s.class.Priority <= c.Priority && now.Sub(s.askedAt) <= activePeriod {
			n++
		}
	}
	return b.rate / float64(max(1, n))
}

func bounded(seconds float64, lower, upper time.Duration) time.Duration {
	if seconds >= upper.Seconds() {
		return upper
	}
	return max(lower, time.Duration(seconds*float64(time.Second)))
}
