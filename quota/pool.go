package quota

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// The limit of a backend server applies to the calls of all daemons together.
//
// Each daemon owns an even part of every limit. It contributes its part to the pool of one
// daemon, the allocator, for a bounded time, and requests a permit there before each call.
// After the contribution has expired, the daemon decides alone on its own part. Each
// allocator grants only the parts contributed to it. The granted parts therefore never
// exceed the limit, even if daemons are partitioned, paused or new, or if there are several
// allocators. A daemon that joins owns no part until all others count it, because they
// divide the limit among those that they know; it still gets permits from its allocator.
// All times are of the clock of package boottime, so that a suspended VM grants nothing
// from contributions that expired during the suspension.

// Bounds of permits.
const (
	// rateUse is the fraction of a limit that is granted, to allow for differences of
	// clocks and of call latencies.
	rateUse = 0.95
	// minRate is the rate, in calls a second, that is used for lower limits too. Some
	// calls are always needed, because only the answers of a backend server show that
	// its limit has ended.
	minRate = 0.75
	// windowFactor and windowSlack bound the calls of all daemons within a Window: the
	// limit plus the excess of the counts, which cover up to a slot and a poll more than
	// the window. Calls sent before the limit was known count, so a backend server that
	// lowers its limit gets no calls until its recent ones are within the limit.
	windowFactor = 1.1875
	windowSlack  = 2.0
	// lowRateFactor and lowRateSlack bound the same for very low limits. They are two
	// calls below the permitted maximum, because a daemon that decides alone may make
	// one call even if its part is very small.
	lowRateFactor = 1.5
	lowRateSlack  = 3.0
	// assumedDaemons is the number of daemons assumed to share a limit while the fleet
	// is unknown. It is high so that the assumed share is small.
	assumedDaemons = 100
	// windowRetryInterval is the wait after a call was denied by the bound of the window.
	windowRetryInterval = slot
)

// PermitRequest requests one call to each of the backend servers, granted for all or none.
type PermitRequest struct {
	Servers []string // incarnations
	Class   Class
	// IdleFor makes the request a trial of the first server: it is granted only if the pool
	// has granted no request to that server for this time. 0 for other calls.
	IdleFor time.Duration
}

// Decision answers a permit request.
type Decision struct {
	Granted    bool
	Server     string        // the backend server whose limit denies the request
	After      time.Duration // time until a permit may be requested again
	RetryAfter time.Duration // time until a refused caller may retry
}

// Pool grants permits from the parts contributed to it. It is safe for concurrent use.
type Pool struct {
	self   string
	limits *Limits
	sends  *Sends // of this daemon

	mu               sync.Mutex
	fleet            []string             // names of all daemons, sorted; empty while not known
	joining          bool                 // the other daemons may not count this one yet
	departed         map[string]time.Time // when a daemon was found to have left the fleet
	contributedTo    string               // the daemon that the own part was last contributed to
	contributedUntil time.Time
	parts            map[string]*contribution // by contributing daemon
	buckets          map[string]*bucket       // by incarnation
}

// Part is what a daemon contributes to another daemon's pool.
type Part struct {
	Until time.Time
	// Sent counts the calls that the daemon has sent within the window, by backend server
	// with a limit.
	Sent map[string]int
	// Joining is set by a daemon that owns no part yet.
	Joining bool
}

// contribution is another daemon's part, with the calls granted to that daemon.
type contribution struct {
	Part
	beforeLastPoll map[string]int // granted before the last poll and not included in sent
	sinceLastPoll  map[string]int // granted since the last poll
}

// NewPool returns the pool of a daemon; it holds the daemon's own part.
func NewPool(self string, limits *Limits, sends *Sends) *Pool {
	return &Pool{self: self, limits: limits, sends: sends, departed: map[string]time.Time{}, parts: map[string]*contribution{}, buckets: map[string]*bucket{}}
}

// SetFleet sets the names of all daemons. The part of a daemon that has left is divided
// among the others after a Window, when its calls no longer count.
func (p *Pool) SetFleet(names []string, now time.Time) {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.fleet
	p.fleet = sorted
	for _, name := range before {
		if !p.listed(name) {
			p.departed[name] = now
		}
	}
	maps.DeleteFunc(p.departed, func(name string, at time.Time) bool { return p.listed(name) || now.Sub(at) > Window })
}

// SetJoining sets whether the other daemons may not count this one yet, so that it owns no
// part.
func (p *Pool) SetJoining(joining bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joining = joining
}

// Joining returns the last value of SetJoining.
func (p *Pool) Joining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.joining
}

// ContributeTo records that this daemon's own part is contributed to another daemon's pool
// until the given time. Saved calls are discarded: otherwise many daemons that decide alone
// for short times could spend all their saved calls together.
func (p *Pool) ContributeTo(to string, until, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.contributedUntil) {
		clear(p.buckets)
	}
	p.contributedTo, p.contributedUntil = to, until
}

// ContributedTo returns the daemon to whose pool the own part is contributed, or "".
func (p *Pool) ContributedTo(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.contributedUntil) {
		return p.contributedTo
	}
	return ""
}

// Polled records that another daemon is being polled for its part.
func (p *Pool) Polled(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.parts[daemon]
	if c == nil {
		return
	}
	for server, n := range c.sinceLastPoll {
		c.beforeLastPoll[server] += n
	}
	clear(c.sinceLastPoll)
}

// AddContribution sets another daemon's part.
func (p *Pool) AddContribution(daemon string, part Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.parts[daemon]
	if c == nil {
		c = &contribution{sinceLastPoll: map[string]int{}}
		p.parts[daemon] = c
	}
	c.Part, c.beforeLastPoll = part, map[string]int{}
}

// Withdraw removes another daemon's part.
func (p *Pool) Withdraw(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.parts, daemon)
}

// Decide answers a permit request of another daemon or, under its own name, of this daemon.
// Calls granted to this daemon count as sent.
func (p *Pool) Decide(daemon string, r PermitRequest, now time.Time) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := p.share(now)
	if daemon != p.self && p.parts[daemon] == nil {
		return Decision{Server: r.Servers[0], After: minWait, RetryAfter: minWait} // its part has expired or is about to
	}
	var limited []*bucket
	var servers []string
	for i, server := range r.Servers {
		limit, known := p.limits.Of(server)
		if !known {
			continue
		}
		b := p.bucket(server, now)
		if left := r.IdleFor - now.Sub(b.requestAt); i == 0 && r.IdleFor > 0 && left > 0 {
			return Decision{Server: server, After: left, RetryAfter: left}
		}
		b.accrue(limit.Rate, share, p.heldSince(now), now)
		if d := p.decide(b, server, limit.Rate, share, &r, now); !d.Granted {
			return d
		}
		limited, servers = append(limited, b), append(servers, server)
	}
	for i, b := range limited {
		b.take(r.Class)
		p.count(daemon, servers[i], now)
	}
	return Decision{Granted: true}
}

func (p *Pool) decide(b *bucket, server string, limit, share float64, r *PermitRequest, now time.Time) Decision {
	c := r.Class
	if share == 0 {
		after := max(minWait, p.contributedUntil.Sub(now))
		return Decision{Server: server, After: after, RetryAfter: after}
	}
	if sent := p.sent(server, now); float64(sent+1) > max(1, share*windowOf(limit)) {
		b.deny(r, now)
		return Decision{Server: server, After: windowRetryInterval, RetryAfter: max(windowRetryInterval, b.retryAfter(c, now))}
	}
	if !b.allows(c, now) {
		b.deny(r, now)
		return Decision{Server: server, After: b.due(c, now), RetryAfter: b.retryAfter(c, now)}
	}
	return Decision{Granted: true}
}

// windowOf returns how many calls all daemons may make within a Window.
func windowOf(limit float64) float64 {
	window := Window.Seconds()
	return min(windowFactor*window*max(limit, minRate)+windowSlack, lowRateFactor*window*limit+lowRateSlack)
}

// share returns the fraction of the limits that this pool holds now.
func (p *Pool) share(now time.Time) float64 {
	held, unlisted := 0, 0
	if !now.Before(p.contributedUntil) && !p.joining {
		held++
	}
	for daemon, c := range p.parts {
		if !now.Before(c.Until) {
			delete(p.parts, daemon)
			continue
		}
		if !c.Joining {
			held++
		}
		if !p.listed(daemon) {
			unlisted++
		}
	}
	if !p.listed(p.self) {
		unlisted++
	}
	daemons := len(p.fleet) + len(p.departed)
	if len(p.fleet) == 0 {
		daemons = assumedDaemons
	}
	return float64(held) / float64(max(1, daemons+unlisted, held))
}

// heldSince returns the time from which this daemon holds its own part, or the zero time
// while the part is contributed. Calls that accrued earlier were granted by the pool that
// it was contributed to.
func (p *Pool) heldSince(now time.Time) time.Time {
	if now.Before(p.contributedUntil) {
		return time.Time{}
	}
	return p.contributedUntil
}

func (p *Pool) listed(daemon string) bool {
	_, found := slices.BinarySearch(p.fleet, daemon)
	return found
}

// sent returns the number of calls to a backend server within the window, sent by the
// daemons whose parts this pool holds.
func (p *Pool) sent(server string, now time.Time) int {
	n := 0
	if !now.Before(p.contributedUntil) {
		n = p.sends.Recent(server, now)
	}
	for _, c := range p.parts {
		n += c.Sent[server] + c.beforeLastPoll[server] + c.sinceLastPoll[server]
	}
	return n
}

// count records a granted call as sent.
func (p *Pool) count(daemon, server string, now time.Time) {
	if daemon == p.self {
		p.sends.Add(server, now)
		return
	}
	if c := p.parts[daemon]; c != nil {
		c.sinceLastPoll[server]++
	}
}

// bucket returns the bucket of a backend server. Its first call is delayed by the daemon's
// rank, so that daemons that start to decide alone at the same time do not call together.
func (p *Pool) bucket(server string, now time.Time) *bucket {
	b := p.buckets[server]
	if b == nil {
		rank, _ := slices.BinarySearch(p.fleet, p.self)
		b = newBucket(float64(rank)/float64(max(1, len(p.fleet))), now)
		p.buckets[server] = b
	}
	return b
}

// Forget removes the buckets of backend servers without a limit.
func (p *Pool) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.buckets, func(server string, _ *bucket) bool {
		_, known := p.limits.Of(server)
		return !known
	})
}
