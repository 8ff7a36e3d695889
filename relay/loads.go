package relay

import (
	"cmp"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snowspoke/snowspoke/inventory"
)

// Each end of a link sends loads every minLoadsInterval, or loadsIntervalPerChange per load
// that it sent last if that is longer, which bounds the rate to less than 2 KB/s.
const (
	minLoadsInterval       = 800 * time.Millisecond
	loadsIntervalPerChange = 10 * time.Millisecond
	// loadTTLIntervals is the number of intervals for which reported loads are valid.
	loadTTLIntervals = 3
)

// loadsInterval returns the time after which loads are sent again, by the number of changes
// sent.
func loadsInterval(changes int) time.Duration {
	return max(minLoadsInterval, time.Duration(changes)*loadsIntervalPerChange)
}

// loadsDue returns from when loads are sent again after changes were sent now. They travel
// with pings, and go with the ping that is nearest to the end of the interval.
func loadsDue(now time.Time, changes int) time.Time {
	return now.Add(loadsInterval(changes) - pingInterval/2)
}

// loadTTL returns how long loads are valid, by the number of changes received.
func loadTTL(changes int) time.Duration { return loadTTLIntervals * loadsInterval(changes) }

// LoadItem is the load that daemons cause on a backend server.
type LoadItem struct {
	Server  string
	Running int     // requests that pass through it
	Heads   int     // requests whose first hop it is
	KV      float64 // KV cache of the requests, in tokens x layers
}

// packedLoad is a LoadItem on a link, without field names and with rounded tokens. Server
// is a serverHash.
type packedLoad struct {
	_       struct{} `cbor:",toarray"`
	Server  uint32
	Running int
	Heads   int
	KV      uint64
}

// serverHash identifies a backend server on a link. Servers whose hashes collide share one
// entry and are taken to be as busy as both; two of 600 do so at one in 24,000 sites.
func serverHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

func pack(l LoadItem) packedLoad {
	return packedLoad{Server: serverHash(l.Server), Running: l.Running, Heads: l.Heads, KV: uint64(max(0, l.KV) + 0.5)}
}

// Minimum changes of a load that are sent. Path selection works on loads that are seconds
// old, and a difference of one request is within their error.
const (
	changeDivisor = 8    // minimum change as a fraction: 1/8
	minChangeKV   = 8000 // tokens x layers, about one request on one backend server
)

// changed reports whether a load differs enough from the load last sent to be sent again.
func (l packedLoad) changed(sent packedLoad) bool {
	differs := func(a, b, minDiff int) bool { return max(a-b, b-a) > max(minDiff, b/changeDivisor) }
	return differs(l.Running, sent.Running, 1) || differs(l.Heads, sent.Heads, 1) || differs(int(l.KV), int(sent.KV), minChangeKV)
}

// loadReporter records the loads sent on one link, so that only changes are sent.
type loadReporter struct{ sent map[uint32]packedLoad }

// changes returns the loads that changed since they were sent. Loads that ended are sent
// as zero.
func (r *loadReporter) changes(loads []LoadItem) []packedLoad {
	if r.sent == nil {
		r.sent = map[uint32]packedLoad{}
	}
	var out []packedLoad
	now := make(map[uint32]bool, len(loads))
	for _, l := range loads {
		p := pack(l)
		now[p.Server] = true
		if before, known := r.sent[p.Server]; known && !p.changed(before) {
			continue
		}
		r.sent[p.Server] = p
		out = append(out, p)
	}
	for server := range r.sent {
		if !now[server] {
			delete(r.sent, server)
			out = append(out, packedLoad{Server: server})
		}
	}
	return out
}

// Bounds of a valid load, far beyond any backend server. Values outside are corrupt.
const (
	maxRunning = 1 << 20 // requests
	maxKV      = 1 << 40 // tokens x layers
)

// valid reports whether a backend server can have such a load.
func (l packedLoad) valid() bool {
	return l.Heads >= 0 && l.Heads <= l.Running && l.Running <= maxRunning && l.KV <= maxKV
}

// loadReceiver accumulates the changes received over one link.
type loadReceiver struct {
	loads   map[uint32]packedLoad
	demands demandReceiver
	// refused is called with the number of loads dropped as invalid; may be nil.
	refused func(n int)
}

// apply applies changes and returns all loads by server ID. Invalid changes are dropped, so
// the previous load stays.
func (r *loadReceiver) apply(changes []packedLoad, ids map[uint32]string) []LoadItem {
	if r.loads == nil {
		r.loads = map[uint32]packedLoad{}
	}
	invalid := 0
	for _, c := range changes {
		if !c.valid() {
			invalid++
			continue
		}
		if c.Running == 0 && c.Heads == 0 && c.KV == 0 {
			delete(r.loads, c.Server)
			continue
		}
		r.loads[c.Server] = c
	}
	r.refuse(invalid)
	return r.resolve(ids)
}

// allDemands returns the valid demands of a frame that holds all.
func (r *loadReceiver) allDemands(packed packedDemands) []Demand {
	out, invalid := r.demands.replace(packed)
	r.refuse(invalid)
	return out
}

// changedDemands applies the demands of a frame that holds changes and returns all.
func (r *loadReceiver) changedDemands(packed packedDemands) []Demand {
	out, invalid := r.demands.change(packed)
	r.refuse(invalid)
	return out
}

func (r *loadReceiver) refuse(invalid int) {
	if invalid > 0 && r.refused != nil {
		r.refused(invalid)
	}
}

// resolve returns all loads by server ID. Loads of backend servers that are not in ids are
// kept but not returned.
func (r *loadReceiver) resolve(ids map[uint32]string) []LoadItem {
	out := make([]LoadItem, 0, len(r.loads))
	for _, p := range r.loads {
		if id, known := ids[p.Server]; known {
			out = append(out, LoadItem{Server: id, Running: p.Running, Heads: p.Heads, KV: float64(p.KV)})
		}
	}
	return out
}

// serverIndex maps hashes to IDs of backend servers.
type serverIndex struct {
	mu    sync.Mutex
	state *inventory.State // that ids was built from
	ids   map[uint32]string
}

// forState returns the IDs of the backend servers in a state by hash.
func (i *serverIndex) forState(state *inventory.State) map[uint32]string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state != state {
		i.state, i.ids = state, make(map[uint32]string, len(state.Servers))
		for name, e := range state.Servers {
			id := cmp.Or(e.Server, name)
			i.ids[serverHash(id)] = id
		}
	}
	return i.ids
}

// loadTable holds the last load report of each follower or domain. It is safe for
// concurrent use.
type loadTable struct {
	mu      sync.Mutex
	reports map[string]loadReport
}

// loadReport holds the loads that a daemon reported for itself and its followers, or that
// the source of another domain reported.
type loadReport struct {
	at     time.Time
	ttl    time.Duration
	domain string
	loads  Loads
}

// Loads are the summed loads of several daemons.
type Loads struct {
	Items   []LoadItem
	Demands []Demand
	Daemons int           // number of daemons included
	Age     time.Duration // mean age over the daemons
	Usage   float64       // processor time used, as fractions of the daemons' processors, summed
	// ValidFor is the time after which newer loads of some daemons are overdue.
	ValidFor time.Duration
}

// loadSum adds up loads, or demands alone.
type loadSum struct {
	items    map[string]LoadItem // nil for demands alone
	demands  map[DemandKey]float64
	daemons  int
	usage    float64       // summed over the daemons
	ages     time.Duration // summed over the daemons
	validFor time.Duration // longest of the reports
}

func newLoadSum() *loadSum {
	return &loadSum{items: map[string]LoadItem{}, demands: map[DemandKey]float64{}}
}

func newDemandSum() *loadSum { return &loadSum{demands: map[DemandKey]float64{}} }

// add adds loads that were received age ago.
func (s *loadSum) add(l Loads, age time.Duration) {
	s.daemons += l.Daemons
	s.usage += l.Usage
	s.ages += time.Duration(l.Daemons) * (l.Age + age)
	if s.items != nil {
		s.addItems(l.Items)
	}
	for _, d := range l.Demands {
		s.demands[d.DemandKey] += d.KV
	}
}

func (s *loadSum) addItems(items []LoadItem) {
	for _, i := range items {
		total := s.items[i.Server]
		total.Server = i.Server
		total.Running += i.Running
		total.Heads += i.Heads
		total.KV += i.KV
		s.items[i.Server] = total
	}
}

// addOwn adds the loads of this daemon.
func (s *loadSum) addOwn(own LoadExchange) {
	l := Loads{Demands: own.OwnDemands(), Daemons: 1, Usage: own.OwnUsage()}
	if s.items != nil {
		l.Items = own.OwnLoads()
	}
	s.add(l, 0)
}

// loads returns the sum. Backend servers without requests are omitted.
func (s *loadSum) loads() Loads {
	out := Loads{Items: make([]LoadItem, 0, len(s.items)), Daemons: s.daemons, Usage: s.usage, ValidFor: s.validFor}
	for _, i := range s.items {
		if i.Running != 0 || i.Heads != 0 {
			out.Items = append(out.Items, i)
		}
	}
	for key, kv := range s.demands {
		out.Demands = append(out.Demands, Demand{DemandKey: key, KV: kv})
	}
	if s.daemons > 0 {
		out.Age = s.ages / time.Duration(s.daemons)
	}
	return out
}

func newLoadTable() *loadTable { return &loadTable{reports: map[string]loadReport{}} }

// put stores the report of a daemon or domain.
func (l *loadTable) put(reporter string, r loadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[reporter] = r
}

// setDemands replaces the demands of the report received at the given time, and returns
// whether there is one. Its validity stays, as the loads are as old as before.
func (l *loadTable) setDemands(reporter string, at time.Time, demands []Demand) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.reports[reporter]
	if !ok || !r.at.Equal(at) {
		return false
	}
	r.loads.Demands = demands
	l.reports[reporter] = r
	return true
}

// drop removes the report received at the given time, after its link has ended. A later
// report over a new link stays.
func (l *loadTable) drop(reporter string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reports[reporter].at.Equal(at) {
		delete(l.reports, reporter)
	}
}

// addTo adds the valid reports to sum. It skips the report of the reporter except and
// those of domains that keep rejects. It removes expired reports.
func (l *loadTable) addTo(sum *loadSum, except string, keep func(domain string) bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, r := range l.reports {
		age := now.Sub(r.at)
		if age > r.ttl {
			delete(l.reports, name)
			continue
		}
		if name != except && keep(r.domain) {
			sum.add(r.loads, age)
			sum.validFor = max(sum.validFor, r.ttl-age)
		}
	}
}
