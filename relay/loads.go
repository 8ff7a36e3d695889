package relay

import (
	"cmp"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snowspoke/snowspoke/inventory"
)

// Loads are told every loadsEvery, and less often the more backend servers there
// are: loadsPerItem for each bounds what a link carries to less than 2 KB a second.
const (
	loadsEvery   = 800 * time.Millisecond
	loadsPerItem = 10 * time.Millisecond
	// loadTTLPeriods is how many periods the loads that a daemon told count.
	loadTTLPeriods = 3
)

// loadsPeriod returns the time between two exchanges of loads.
func loadsPeriod(servers int) time.Duration {
	return max(loadsEvery, time.Duration(servers)*loadsPerItem)
}

func loadTTL(servers int) time.Duration { return loadTTLPeriods * loadsPeriod(servers) }

// LoadItem is the load that daemons cause on a backend server.
type LoadItem struct {
	Server  string
	Running int     // requests that pass it
	Heads   int     // requests that it runs as the first
	KV      float64 // tokens x layers that they hold
}

// packedLoad is a LoadItem on a link, where loads are most of what is sent: the
// backend server by a hash of its ID, tokens rounded, no names of fields.
type packedLoad struct {
	_       struct{} `cbor:",toarray"`
	Server  uint32
	Running int
	Heads   int
	KV      uint64
}

// serverHash names a backend server in a packedLoad. Two of 600 share one in one
// of 24,000 sites; they would be taken to be as busy as both.
func serverHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

func pack(l LoadItem) packedLoad {
	return packedLoad{Server: serverHash(l.Server), Running: l.Running, Heads: l.Heads, KV: uint64(max(0, l.KV) + 0.5)}
}

// Bounds of what counts as a change of a load: the choice of a path works on
// loads that are seconds old, and one request more or less is within that.
const (
	changeShare = 8    // an eighth
	changeKV    = 8000 // tokens x layers, about one request on one backend server
)

// changed reports whether a load differs enough from what was told to be told
// again.
func (l packedLoad) changed(told packedLoad) bool {
	far := func(a, b, least int) bool { return max(a-b, b-a) > max(least, b/changeShare) }
	return far(l.Running, told.Running, 1) || far(l.Heads, told.Heads, 1) || far(int(l.KV), int(told.KV), changeKV)
}

// teller keeps what was told on one link, so that only changes are sent.
type teller struct{ told map[uint32]packedLoad }

// changes returns the loads that have changed since they were told; those that
// ended are told as zero.
func (t *teller) changes(loads []LoadItem) []packedLoad {
	if t.told == nil {
		t.told = map[uint32]packedLoad{}
	}
	var out []packedLoad
	now := make(map[uint32]bool, len(loads))
	for _, l := range loads {
		p := pack(l)
		now[p.Server] = true
		if before, known := t.told[p.Server]; known && !p.changed(before) {
			continue
		}
		t.told[p.Server] = p
		out = append(out, p)
	}
	for server := range t.told {
		if !now[server] {
			delete(t.told, server)
			out = append(out, packedLoad{Server: server})
		}
	}
	return out
}

// Bounds of what a load can be, far beyond any backend server: what lies outside was
// torn on its way or made by a fault.
const (
	mostRunning = 1 << 20 // requests
	mostKV      = 1 << 40 // tokens x layers
)

// possible reports whether a backend server can have such a load.
func (l packedLoad) possible() bool {
	return l.Heads >= 0 && l.Heads <= l.Running && l.Running <= mostRunning && l.KV <= mostKV
}

// listener adds up the changes that come over one link.
type listener struct {
	loads map[uint32]packedLoad
	// refused is told how many loads were dropped because no backend server can have
	// them, nil for nobody.
	refused func(n int)
}

// take takes changes and returns all loads with their names; those of backend
// servers that are not known here are left out. Impossible ones are dropped: what was
// told of the backend server before stays.
func (l *listener) take(changes []packedLoad, ids map[uint32]string) []LoadItem {
	if l.loads == nil {
		l.loads = map[uint32]packedLoad{}
	}
	impossible := 0
	for _, c := range changes {
		if !c.possible() {
			impossible++
			continue
		}
		if c.Running == 0 && c.Heads == 0 && c.KV == 0 {
			delete(l.loads, c.Server)
			continue
		}
		l.loads[c.Server] = c
	}
	if impossible > 0 && l.refused != nil {
		l.refused(impossible)
	}
	out := make([]LoadItem, 0, len(l.loads))
	for _, p := range l.loads {
		if id, known := ids[p.Server]; known {
			out = append(out, LoadItem{Server: id, Running: p.Running, Heads: p.Heads, KV: float64(p.KV)})
		}
	}
	return out
}

// names finds backend servers by their hash.
type names struct {
	mu    sync.Mutex
	state *inventory.State // of which ids were made
	ids   map[uint32]string
}

// of returns the IDs of a state's backend servers by hash.
func (n *names) of(state *inventory.State) map[uint32]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state != state {
		n.state, n.ids = state, make(map[uint32]string, len(state.Servers))
		for name, e := range state.Servers {
			id := cmp.Or(e.Server, name)
			n.ids[serverHash(id)] = id
		}
	}
	return n.ids
}

// ledger adds up the loads of the daemons that follow this one. It is safe for
// concurrent use.
type ledger struct {
	mu    sync.Mutex
	byOne map[string]told
}

// told are the loads that a daemon told with those of its followers, or a source
// of another domain.
type told struct {
	at     time.Time
	domain string
	loads  Loads
}

// Loads are those of several daemons together.
type Loads struct {
	Items   []LoadItem
	Daemons int           // whose loads these are
	Age     time.Duration // since each daemon had its own, on average over them
}

// loadSum adds up loads.
type loadSum struct {
	items   map[string]LoadItem
	daemons int
	ages    time.Duration // of all daemons together
}

func newLoadSum() *loadSum { return &loadSum{items: map[string]LoadItem{}} }

// add takes loads that were told so long ago.
func (s *loadSum) add(l Loads, ago time.Duration) {
	s.daemons += l.Daemons
	s.ages += time.Duration(l.Daemons) * (l.Age + ago)
	for _, i := range l.Items {
		of := s.items[i.Server]
		of.Server = i.Server
		of.Running += i.Running
		of.Heads += i.Heads
		of.KV += i.KV
		s.items[i.Server] = of
	}
}

// addOwn takes the loads of this daemon.
func (s *loadSum) addOwn(items []LoadItem) { s.add(Loads{Items: items, Daemons: 1}, 0) }

// loads returns the sum; backend servers without requests are left out.
func (s *loadSum) loads() Loads {
	out := Loads{Items: make([]LoadItem, 0, len(s.items)), Daemons: s.daemons}
	for _, i := range s.items {
		if i.Running != 0 || i.Heads != 0 {
			out.Items = append(out.Items, i)
		}
	}
	if s.daemons > 0 {
		out.Age = s.ages / time.Duration(s.daemons)
	}
	return out
}

func newLedger() *ledger { return &ledger{byOne: map[string]told{}} }

// put takes what a daemon told.
func (l *ledger) put(daemon string, t told) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byOne[daemon] = t
}

// drop forgets what a daemon told at that time, whose link has ended: it follows
// another one now. What it told later, over a new link, stays.
func (l *ledger) drop(daemon string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byOne[daemon].at.Equal(at) {
		delete(l.byOne, daemon)
	}
}

// addTo adds up the loads told by all but one daemon, with its followers. keep says
// whose domains count.
func (l *ledger) addTo(sum *loadSum, except string, keep func(domain string) bool, ttl time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, t := range l.byOne {
		ago := now.Sub(t.at)
		if ago > ttl {
			delete(l.byOne, name)
			continue
		}
		if name != except && keep(t.domain) {
			sum.add(t.loads, ago)
		}
	}
}
