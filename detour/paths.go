// Package detour opens connections to backend servers, through another daemon if this one
// cannot reach them.
//
// A failed connection has two possible causes: the backend server has ended, or the network
// between it and this daemon is cut. Other daemons tell them apart. If one of them reaches the
// backend server, it carries the bytes of the connection, and the request, its retries and its
// permits stay with the daemon that accepted it.
package detour

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Way is how this daemon reaches a backend server.
type Way int

// The ways to a backend server.
const (
	Direct      Way = iota
	Carried         // through another daemon
	Unreachable     // neither
)

// String returns the name of the way in logs and metrics.
func (w Way) String() string { return [...]string{"direct", "carried", "unreachable"}[w] }

// Carrier is a daemon that may carry connections.
type Carrier struct {
	Name    string
	Domain  string // failure domain
	Address string
}

// Times and numbers of attempts.
const (
	// avoidTime is the time for which a carrier is asked after all others since it was not
	// available.
	avoidTime = time.Second
	// recheckTime is the same for a backend server that the carrier could not reach. If that
	// refused the connection, the carrier is not asked at all.
	recheckTime = time.Second
	// preferTime is the time for which a carrier is preferred after it carried a connection.
	preferTime = 30 * time.Second
	// minCheckInterval is the time between two checks of addresses without direct reach.
	// The time between two checks of one address grows to maxCheckInterval.
	minCheckInterval = 250 * time.Millisecond
	maxCheckInterval = 2 * time.Second
	// maxAsked is the number of carriers that are asked for one connection, and maxFailures
	// the number of those that cannot reach the backend server either after which it counts
	// as unreachable.
	maxAsked    = 16
	maxFailures = 6
	// minIsolating is the number of backend servers out of direct reach from which the
	// common cause is assumed to be this daemon's network.
	minIsolating = 3
)

// Paths holds how this daemon reaches backend servers, by address. It is safe for concurrent
// use.
type Paths struct {
	domain string

	mu        sync.Mutex
	detours   map[string]*detour // addresses without direct reach
	carriers  map[string]experience
	failures  map[string]map[string]failure // by address and carrier that could not reach it
	reachedAt time.Time                     // when any address was last reached directly
}

// detour is the state of an address without direct reach.
type detour struct {
	way     Way
	since   time.Time // when its direct reach was lost
	checkAt time.Time // when it is checked next
	delay   time.Duration
}

// experience is what is known of a carrier.
type experience struct {
	carriedAt time.Time
	avoidTill time.Time
}

// failure is why a carrier could not reach an address.
type failure struct {
	at time.Time
	// conclusive is false if the carrier got no response, which may only have been late.
	conclusive bool
}

// NewPaths returns Paths in which all addresses are reached directly. domain is this daemon's
// failure domain.
func NewPaths(domain string) *Paths {
	return &Paths{domain: domain, detours: map[string]*detour{}, carriers: map[string]experience{}, failures: map[string]map[string]failure{}}
}

// Way returns how an address is reached.
func (p *Paths) Way(address string) Way {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.detours[address]; d != nil {
		return d.way
	}
	return Direct
}

// Reached records a direct connection and returns the way until now.
func (p *Paths) Reached(address string, now time.Time) (before Way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachedAt = now
	delete(p.failures, address)
	d := p.detours[address]
	if d == nil {
		return Direct
	}
	delete(p.detours, address)
	return d.way
}

// Carry records a connection through a carrier and returns the way until now.
func (p *Paths) Carry(address, carrier string, now time.Time) (before Way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carriers[carrier] = experience{carriedAt: now}
	d, before := p.entry(address, now)
	d.way = Carried
	delete(p.failures[address], carrier)
	return before
}

// Fail records that no connection was possible and returns the way until now.
func (p *Paths) Fail(address string, now time.Time) (before Way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, before := p.entry(address, now)
	d.way = Unreachable
	if before != Unreachable {
		d.delay, d.checkAt = minCheckInterval, now.Add(minCheckInterval)
	}
	return before
}

// entry returns the state of an address without direct reach, and the way until now.
func (p *Paths) entry(address string, now time.Time) (d *detour, before Way) {
	d = p.detours[address]
	if d != nil {
		return d, d.way
	}
	d = &detour{since: now, checkAt: now.Add(minCheckInterval), delay: minCheckInterval}
	p.detours[address] = d
	return d, Direct
}

// CarrierFailed records that a carrier could not reach an address. conclusive is false if the
// carrier got no response.
func (p *Paths) CarrierFailed(carrier, address string, conclusive bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures[address] == nil {
		p.failures[address] = map[string]failure{}
	}
	p.failures[address][carrier] = failure{at: now, conclusive: conclusive}
}

// Avoid records that a carrier is not available.
func (p *Paths) Avoid(carrier string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carriers[carrier] = experience{avoidTill: now.Add(avoidTime)}
}

// Ask returns the carriers to ask for a connection to an address, at most maxAsked, the best
// one first: those that have carried a connection recently before others, and those in this
// daemon's failure domain before others. Carriers of the same rank are in random order. If there
// is none, it returns some of those that were not available or got no response a moment ago,
// which may only have been slow. proven is the number of carriers that have carried a connection
// recently.
func (p *Paths) Ask(address string, all []Carrier, now time.Time) (asked []Carrier, proven int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var groups [4][]Carrier
	var doubtful []Carrier
	for _, c := range all {
		failed := p.failures[address][c.Name]
		hasFailed := now.Before(failed.at.Add(recheckTime))
		switch {
		case hasFailed && failed.conclusive:
		case hasFailed, now.Before(p.carriers[c.Name].avoidTill):
			doubtful = append(doubtful, c)
		default:
			g := p.rank(c, now)
			groups[g] = append(groups[g], c)
		}
	}
	proven = len(groups[0]) + len(groups[1])
	for _, g := range append(groups[:], doubtful) {
		rand.Shuffle(len(g), func(i, j int) { g[i], g[j] = g[j], g[i] })
	}
	asked = slices.Concat(groups[0], groups[1], alternate(groups[2], groups[3]))
	if len(asked) == 0 {
		return doubtful[:min(len(doubtful), firstAsked)], 0
	}
	return asked[:min(len(asked), maxAsked)], proven
}

// rank returns the rank of an available carrier, 0 for the best.
func (p *Paths) rank(c Carrier, now time.Time) int {
	rank := 0
	if c.Domain != p.domain {
		rank++
	}
	if !p.isProven(c.Name, now) {
		rank += 2
	}
	return rank
}

func (p *Paths) isProven(carrier string, now time.Time) bool {
	at := p.carriers[carrier].carriedAt
	return !at.IsZero() && now.Before(at.Add(preferTime))
}

// HasProven reports whether a carrier has carried a connection recently.
func (p *Paths) HasProven(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.carriers {
		if p.isProven(name, now) {
			return true
		}
	}
	return false
}

// alternate merges two lists, since daemons of one failure domain may be cut off together.
func alternate(a, b []Carrier) []Carrier {
	out := make([]Carrier, 0, len(a)+len(b))
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			out = append(out, a[i])
		}
		if i < len(b) {
			out = append(out, b[i])
		}
	}
	return out
}

// AllDirect reports whether all addresses are reached directly.
func (p *Paths) AllDirect() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.detours) == 0
}

// Detours returns the addresses without direct reach, in random order.
func (p *Paths) Detours() []string { return p.list(func(*detour) bool { return true }) }

// Unreachable returns the addresses that are not reached at all, in random order.
func (p *Paths) Unreachable() []string {
	return p.list(func(d *detour) bool { return d.way == Unreachable })
}

func (p *Paths) list(match func(*detour) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for a, d := range p.detours {
		if match(d) {
			out = append(out, a)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// NextCheck returns the address whose check is due for the longest time. The time to the next
// check of an address doubles with each check, unless this daemon is isolated: then any address
// shows that it no longer is.
func (p *Paths) NextCheck(now time.Time) (address string, due bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var next *detour
	for a, d := range p.detours {
		if !now.Before(d.checkAt) && (next == nil || d.checkAt.Before(next.checkAt)) {
			address, next = a, d
		}
	}
	if next == nil {
		return "", false
	}
	if !p.isolated() {
		next.delay = min(2*next.delay, maxCheckInterval)
	}
	next.checkAt = now.Add(next.delay)
	return address, true
}

// Isolated reports whether this daemon's own network is the likely cause of its failed
// connections: several addresses are out of direct reach, and none was reached since.
func (p *Paths) Isolated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated()
}

func (p *Paths) isolated() bool {
	n := 0
	for _, d := range p.detours {
		if !d.since.Before(p.reachedAt) {
			n++
		}
	}
	return n >= minIsolating
}

// Count returns the number of addresses by way, except direct.
func (p *Paths) Count() map[Way]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[Way]int{Carried: 0, Unreachable: 0}
	for _, d := range p.detours {
		out[d.way]++
	}
	return out
}

// Forget removes addresses that no backend server has and carriers that are not in the list.
func (p *Paths) Forget(exists func(address string) bool, all []Carrier) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[string]bool, len(all))
	for _, c := range all {
		known[c.Name] = true
	}
	gone := func(address string) bool { return !exists(address) }
	maps.DeleteFunc(p.detours, func(a string, _ *detour) bool { return gone(a) })
	maps.DeleteFunc(p.failures, func(a string, _ map[string]failure) bool { return gone(a) })
	maps.DeleteFunc(p.carriers, func(c string, _ experience) bool { return !known[c] })
}
