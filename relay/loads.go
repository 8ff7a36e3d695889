package relay

import (
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

func packLoads(loads []LoadItem) []packedLoad {
	out := make([]packedLoad, len(loads))
	for i, l := range loads {
		out[i] = packedLoad{Server: serverHash(l.Server), Running: l.Running, Heads: l.Heads, KV: uint64(max(0, l.KV) + 0.5)}
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
		for id := range state.Servers {
			n.ids[serverHash(id)] = id
		}
	}
	return n.ids
}

// unpackLoads leaves out loads of backend servers that are not known here.
func unpackLoads(loads []packedLoad, ids map[uint32]string) []LoadItem {
	out := make([]LoadItem, 0, len(loads))
	for _, l := range loads {
		if id, known := ids[l.Server]; known {
			out = append(out, LoadItem{Server: id, Running: l.Running, Heads: l.Heads, KV: float64(l.KV)})
		}
	}
	return out
}

// ledger adds up the loads of the daemons that follow this one. It is safe for
// concurrent use.
type ledger struct {
	mu    sync.Mutex
	byOne map[string]told
}

type told struct {
	at      time.Time
	domain  string
	loads   []LoadItem
	daemons int // whose loads these are
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

// total adds up the loads told by all but one daemon, with its followers. keep says whose domains
// count.
func (l *ledger) total(except string, keep func(domain string) bool, ttl time.Duration, now time.Time) (sum map[string]LoadItem, daemons int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum = map[string]LoadItem{}
	for name, t := range l.byOne {
		if now.Sub(t.at) > ttl {
			delete(l.byOne, name)
			continue
		}
		if name == except || !keep(t.domain) {
			continue
		}
		daemons += t.daemons
		addLoads(sum, t.loads)
	}
	return sum, daemons
}

func addLoads(sum map[string]LoadItem, loads []LoadItem) {
	for _, i := range loads {
		s := sum[i.Server]
		s.Server = i.Server
		s.Running += i.Running
		s.Heads += i.Heads
		s.KV += i.KV
		sum[i.Server] = s
	}
}

func list(sum map[string]LoadItem) []LoadItem {
	out := make([]LoadItem, 0, len(sum))
	for _, i := range sum {
		if i.Running != 0 || i.Heads != 0 {
			out = append(out, i)
		}
	}
	return out
}
