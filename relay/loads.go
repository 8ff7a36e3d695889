package relay

import (
	"sync"
	"time"
)

// Loads are told every loadsEvery, and less often the more backend servers there
// are: loadsPerItem for each bounds what a link carries to about 3 KB a second.
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
