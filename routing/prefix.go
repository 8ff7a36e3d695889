package routing

import (
	"slices"
	"sync"
)

// Prefixes records which backend servers probably cache a prompt's prefix. Entries
// come from this daemon's requests and from cache events, which are late and
// incomplete, so entries may be wrong. A wrong entry costs a prefill. Prefixes is
// safe for concurrent use.
type Prefixes struct {
	mu      sync.Mutex
	servers map[uint64][]string
	order   []uint64 // ring of keys, oldest at next
	next    int
}

// Limits of Prefixes.
const (
	maxPrefixes        = 16384
	maxServersOfPrefix = 3
)

// NewPrefixes returns an empty Prefixes.
func NewPrefixes() *Prefixes { return &Prefixes{servers: map[uint64][]string{}} }

// Servers returns the backend servers that probably cache the prefix, most recent
// first. The slice must not be changed.
func (p *Prefixes) Servers(key uint64) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers[key]
}

// Sent records that a prompt with the prefix was sent to the backend server.
func (p *Prefixes) Sent(key uint64, server string) {
	if key == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.servers[key]
	if known && old[0] == server {
		return
	}
	fresh := append(make([]string, 0, maxServersOfPrefix), server)
	for _, s := range old {
		if s != server && len(fresh) < maxServersOfPrefix {
			fresh = append(fresh, s)
		}
	}
	p.servers[key] = fresh
	if !known {
		p.addKey(key)
	}
}

// addKey adds a key to the ring and drops the oldest one when the ring is full. The
// caller holds the lock.
func (p *Prefixes) addKey(key uint64) {
	if len(p.order) < maxPrefixes {
		p.order = append(p.order, key)
		return
	}
	delete(p.servers, p.order[p.next])
	p.order[p.next] = key
	p.next = (p.next + 1) % maxPrefixes
}

// Evicted records that the backend server dropped the prefix.
func (p *Prefixes) Evicted(key uint64, server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.servers[key]
	i := slices.Index(old, server)
	if !known || i < 0 {
		return
	}
	if len(old) == 1 {
		p.servers[key] = []string{""} // the key must stay known while it is in the ring
		return
	}
	p.servers[key] = slices.Delete(slices.Clone(old), i, i+1)
}
