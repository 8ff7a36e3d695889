package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/snowspoke/snowspoke/boottime"
)

// Class is who a call is for.
type Class struct {
	Priority  int // 0 is the most urgent
	Workspace string
}

// Bounds of a line.
const (
	// activeFor is how long a class that has asked counts as wanting more.
	activeFor = 2 * time.Second
	// creditMost and creditLeast bound what a class may save up and owe, in calls.
	creditMost  = 3.0
	creditLeast = -1.0
	// classesMost bounds the classes that are known; the one that asked last least
	// recently is forgotten.
	classesMost = 64
	// eps absorbs the rounding of what accrues.
	eps = 1e-9
)

// Bounds of the times that are told.
const (
	soonest = 20 * time.Millisecond
	dueMost = 500 * time.Millisecond
	// backMost bounds what a caller is told: the limit may end at any time.
	backMost = 5 * time.Second
)

// line gives out the calls to one backend server. Calls accrue at the rate of the parts
// held, and each is credited to the classes that want one: to the most urgent first, and
// evenly to the workspaces of those. A class takes a call with a credit of its own, or
// without one when calls lie idle.
type line struct {
	at     time.Time
	rate   float64 // calls a second
	calls  float64 // that may be made now
	most   float64 // that are kept
	shares []*credit
}

// credit is that of one class.
type credit struct {
	class   Class
	calls   float64
	askedAt time.Time
	denied  recent
}

func newLine(calls float64, now time.Time) *line { return &line{at: now, calls: calls} }

// accrue adds what has become due since the parts were held.
func (l *line) accrue(limit, share float64, held, now time.Time) {
	l.rate = rateUse * share * max(limit, leastRate)
	l.most = burstOf(l.rate)
	due := l.rate * max(0, now.Sub(boottime.Later(l.at, held)).Seconds())
	l.at = now
	l.calls = min(l.most, l.calls+due)
	l.credit(due, now)
}

// burstOf returns how many calls may be saved up: as many as one class may, so that what
// it does not use at once is not lost, less at low rates, and a tenth of a second's more.
func burstOf(rate float64) float64 { return 1 + min(creditMost, rate/2) + rate/10 }

// credit spreads calls over the classes that want them.
func (l *line) credit(calls float64, now time.Time) {
	for begin := 0; begin < len(l.shares) && calls > 0; {
		end := begin
		var wanting []*credit
		for ; end < len(l.shares) && l.shares[end].class.Priority == l.shares[begin].class.Priority; end++ {
			if now.Sub(l.shares[end].askedAt) <= activeFor {
				wanting = append(wanting, l.shares[end])
			}
		}
		calls = spread(wanting, calls)
		begin = end
	}
}

// spread credits calls evenly and returns what is left when all have as much as they may.
func spread(wanting []*credit, calls float64) (left float64) {
	slices.SortFunc(wanting, func(x, y *credit) int { return cmp.Compare(y.calls, x.calls) })
	for i, c := range wanting {
		each := calls / float64(len(wanting)-i)
		add := max(0, min(each, creditMost-c.calls))
		c.calls += add
		calls -= add
	}
	return calls
}

// allows reports whether a class may make a call now.
func (l *line) allows(c Class, now time.Time) bool {
	s := l.of(c, now)
	if l.calls < 1-eps {
		return false
	}
	return s.calls >= 1-eps || l.calls >= min(l.most, 1+l.saved(c, now))-eps
}

// saved returns what the other classes that want calls have saved up.
func (l *line) saved(c Class, now time.Time) float64 {
	sum := 0.0
	for _, s := range l.shares {
		if s.class != c && now.Sub(s.askedAt) <= activeFor {
			sum += max(0, s.calls)
		}
	}
	return sum
}

// of returns the credit of a class, which has asked now.
func (l *line) of(c Class, now time.Time) *credit {
	at, found := slices.BinarySearchFunc(l.shares, c, func(s *credit, c Class) int { return compareClasses(s.class, c) })
	if !found {
		if len(l.shares) >= classesMost {
			l.forgetOldest()
			at, _ = slices.BinarySearchFunc(l.shares, c, func(s *credit, c Class) int { return compareClasses(s.class, c) })
		}
		l.shares = slices.Insert(l.shares, at, &credit{class: c})
	}
	l.shares[at].askedAt = now
	return l.shares[at]
}

func compareClasses(x, y Class) int {
	return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(x.Workspace, y.Workspace))
}

func (l *line) forgetOldest() {
	oldest := 0
	for i, s := range l.shares {
		if s.askedAt.Before(l.shares[oldest].askedAt) {
			oldest = i
		}
	}
	l.shares = slices.Delete(l.shares, oldest, oldest+1)
}

// take makes a call of a class that may.
func (l *line) take(c Class) {
	l.calls--
	s := l.of(c, l.at)
	s.calls = max(creditLeast, s.calls-1)
}

func (l *line) deny(c Class, now time.Time) { l.of(c, now).denied.add(now) }

// due returns the time until a class may make a call, if all that want some ask again.
func (l *line) due(c Class, now time.Time) time.Duration {
	s := l.of(c, now)
	wait := max((1-l.calls)/l.rate, (1-s.calls)/l.rateOf(c, now))
	return bounded(wait, soonest, dueMost)
}

// back is the same for a caller that comes behind those of its class that were denied.
func (l *line) back(c Class, now time.Time) time.Duration {
	s := l.of(c, now)
	return bounded((1-s.calls+float64(s.denied.sum(now)))/l.rateOf(c, now), soonest, backMost)
}

// rateOf returns the rate of a class while all that are as urgent want more.
func (l *line) rateOf(c Class, now time.Time) float64 {
	n := 0
	for _, s := range l.shares {
		if s.class.Priority <= c.Priority && now.Sub(s.askedAt) <= activeFor {
			n++
		}
	}
	return l.rate / float64(max(1, n))
}

func bounded(seconds float64, least, most time.Duration) time.Duration {
	if seconds >= most.Seconds() {
		return most
	}
	return max(least, time.Duration(seconds*float64(time.Second)))
}
