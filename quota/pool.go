package quota

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// A backend server's limit is for all daemons together, and none of them knows alone what
// the others send: eight that sent less than the limit each sent three times as much.
//
// Each daemon owns an even part of every limit. It contributes its part to the pool of one
// daemon, the allocator, for a bounded time, and asks there for a permit before each call;
// a contribution ends by itself, and a daemon whose part is its own again decides alone.
// So the parts of all add up to the limit whoever is cut off, frozen or just started, and
// however many daemons take themselves for the allocator: each grants only what was
// contributed to it. All clocks are those of package boottime, so that a VM that was
// suspended grants nothing of what has ended meanwhile.

// Shares and bounds of permits.
const (
	// rateUse is the part of a limit that is given out: clocks and the times that calls
	// are under way differ a little.
	rateUse = 0.95
	// leastRate is the rate, in calls a second, at which a backend server that takes less
	// is called all the same: its answers alone tell when its limit ends.
	leastRate = 0.75
	// windowFactor and windowSlack bound what the daemons send within a Window: the limit
	// and what the counts are too high by, which reach back a slot and a poll more. What
	// was sent before a limit was known counts, so that a backend server which asks for
	// less gets nothing until what it got is within its limit.
	windowFactor = 1.1875
	windowSlack  = 2.0
	// mostFactor and mostSlack bound the same for very low limits: two calls less than
	// is allowed, since a daemon that decides alone may make one however small its part is.
	mostFactor = 1.5
	mostSlack  = 3.0
	// unknownDaemons is how many daemons are taken to share a limit while nobody could
	// tell: more than there are today.
	unknownDaemons = 100
	// windowAgain is after which time a call may be asked for again that the window did
	// not allow.
	windowAgain = slot
)

// PermitRequest asks for one call to each of some backend servers, for all or none.
type PermitRequest struct {
	Servers []string // incarnations
	Class   Class
}

// Decision answers a permit request.
type Decision struct {
	Granted bool
	Server  string        // which denies it
	After   time.Duration // until a call of the class is due there
	Back    time.Duration // the same with those that were denied before
}

// Pool gives out permits for the parts that were contributed to it. It is safe for
// concurrent use.
type Pool struct {
	self   string
	limits *Limits
	sends  *Sends // of this daemon

	mu        sync.Mutex
	fleet     []string             // names of all daemons, sorted; empty while not known
	departed  map[string]time.Time // when a daemon was last among them that is not any more
	lentTo    string               // the daemon to which the own part was contributed last
	lentUntil time.Time
	parts     map[string]*contribution // of other daemons
	lines     map[string]*line         // by incarnation
}

// contribution is another daemon's part, with what that daemon has sent.
type contribution struct {
	until  time.Time
	sent   map[string]int // within the window, as it told last
	before map[string]int // granted before it was asked again, and not in what it told
	since  map[string]int // granted since it was asked
}

// NewPool returns the pool of a daemon, which has its own part.
func NewPool(self string, limits *Limits, sends *Sends) *Pool {
	return &Pool{self: self, limits: limits, sends: sends, departed: map[string]time.Time{}, parts: map[string]*contribution{}, lines: map[string]*line{}}
}

// SetFleet sets the names of all daemons. The part of one that has left is shared by the
// others once what it has sent is out of the window.
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

// Lend says that this daemon's own part is contributed to another one's pool until then.
// What it had saved up goes with it: many daemons that decide alone again and again, each
// for a moment, would else make all that they have saved at one time.
func (p *Pool) Lend(to string, until, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.lentUntil) {
		clear(p.lines)
	}
	p.lentTo, p.lentUntil = to, until
}

// LentTo returns the daemon to whose pool the own part is contributed, "" for none.
func (p *Pool) LentTo(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.lentUntil) {
		return p.lentTo
	}
	return ""
}

// Polled notes that another daemon is asked for its part now.
func (p *Pool) Polled(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.parts[daemon]
	if c == nil {
		return
	}
	for server, n := range c.since {
		c.before[server] += n
	}
	clear(c.since)
}

// Contribute takes another daemon's part until then, with what it has sent within the
// window to backend servers that have named a limit.
func (p *Pool) Contribute(daemon string, until time.Time, sent map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.parts[daemon]
	if c == nil {
		c = &contribution{since: map[string]int{}}
		p.parts[daemon] = c
	}
	c.until, c.sent, c.before = until, sent, map[string]int{}
}

// Withdraw forgets another daemon's part, which is its own again.
func (p *Pool) Withdraw(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.parts, daemon)
}

// Decide answers a daemon's request; this daemon's own are made in its own name. What is
// granted to this daemon counts as sent.
func (p *Pool) Decide(daemon string, r PermitRequest, now time.Time) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := p.share(now)
	if daemon != p.self && p.parts[daemon] == nil {
		return Decision{Server: r.Servers[0], After: soonest, Back: soonest} // its part is its own again, or about to be
	}
	var limited []*line
	var servers []string
	for _, server := range r.Servers {
		limit, known := p.limits.Of(server)
		if !known {
			continue
		}
		l := p.line(server, now)
		l.accrue(limit.Rate, share, p.heldSince(now), now)
		if d := p.decide(l, server, limit.Rate, share, r.Class, now); !d.Granted {
			return d
		}
		limited, servers = append(limited, l), append(servers, server)
	}
	for i, l := range limited {
		l.take(r.Class)
		p.count(daemon, servers[i], now)
	}
	return Decision{Granted: true}
}

func (p *Pool) decide(l *line, server string, limit, share float64, c Class, now time.Time) Decision {
	if share == 0 {
		after := max(soonest, p.lentUntil.Sub(now))
		return Decision{Server: server, After: after, Back: after}
	}
	if sent := p.sent(server, now); float64(sent+1) > max(1, share*windowOf(limit)) {
		l.deny(c, now)
		return Decision{Server: server, After: windowAgain, Back: max(windowAgain, l.back(c, now))}
	}
	if !l.allows(c, now) {
		l.deny(c, now)
		return Decision{Server: server, After: l.due(c, now), Back: l.back(c, now)}
	}
	return Decision{Granted: true}
}

// windowOf returns how many calls all daemons may make within a Window.
func windowOf(limit float64) float64 {
	window := Window.Seconds()
	return min(windowFactor*window*max(limit, leastRate)+windowSlack, mostFactor*window*limit+mostSlack)
}

// share returns the part of the limits that this pool holds now.
func (p *Pool) share(now time.Time) float64 {
	held, unlisted := 0, 0
	if !now.Before(p.lentUntil) {
		held++
	}
	for daemon, c := range p.parts {
		if !now.Before(c.until) {
			delete(p.parts, daemon)
			continue
		}
		held++
		if !p.listed(daemon) {
			unlisted++
		}
	}
	if !p.listed(p.self) {
		unlisted++
	}
	daemons := len(p.fleet) + len(p.departed)
	if len(p.fleet) == 0 {
		daemons = unknownDaemons
	}
	return float64(held) / float64(max(1, daemons+unlisted, held))
}

// heldSince returns since when the own part is held, if it is: what became due before was
// given out by the pool that it was contributed to.
func (p *Pool) heldSince(now time.Time) time.Time {
	if now.Before(p.lentUntil) {
		return time.Time{}
	}
	return p.lentUntil
}

func (p *Pool) listed(daemon string) bool {
	_, found := slices.BinarySearch(p.fleet, daemon)
	return found
}

// sent returns what the daemons whose parts this pool holds have sent to a backend server
// within the window.
func (p *Pool) sent(server string, now time.Time) int {
	n := 0
	if !now.Before(p.lentUntil) {
		n = p.sends.Recent(server, now)
	}
	for _, c := range p.parts {
		n += c.sent[server] + c.before[server] + c.since[server]
	}
	return n
}

// count notes a permit as sent.
func (p *Pool) count(daemon, server string, now time.Time) {
	if daemon == p.self {
		p.sends.Add(server, now)
		return
	}
	if c := p.parts[daemon]; c != nil {
		c.since[server]++
	}
}

// line returns what is given out for a backend server. Daemons that begin to decide alone
// at one moment have their first call one after the other.
func (p *Pool) line(server string, now time.Time) *line {
	l := p.lines[server]
	if l == nil {
		rank, _ := slices.BinarySearch(p.fleet, p.self)
		l = newLine(float64(rank)/float64(max(1, len(p.fleet))), now)
		p.lines[server] = l
	}
	return l
}

// Forget drops what is known of backend servers that name no limit any more.
func (p *Pool) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.lines, func(server string, _ *line) bool {
		_, known := p.limits.Of(server)
		return !known
	})
}
