package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/shedding"
	"github.com/snowspoke/snowspoke/site"
)

// Loads holds the known loads of backend servers. It is safe for concurrent use.
type Loads struct {
	mu       sync.Mutex
	servers  map[string]*serverLoad
	inFlight int

	others        map[string]otherLoad // by backend server ID, sum over the other daemons
	othersAt      time.Time            // when the loads were received
	othersDaemons int                  // number of daemons in the sum
	othersUsage   float64              // processor time that the other daemons use, as fractions of their processors, summed
	othersDemands []relay.Demand       // sum over the other daemons
	demandDaemons int                  // number of daemons in othersDemands
	demandsAt     time.Time            // when the demands were received
	demandsTTL    time.Duration        // time for which the demands are used
	othersAge     time.Duration        // age of the loads when they were received
	othersTTL     time.Duration        // time for which the loads are used
	conditions    *conditions
	ownUsage      func() float64
	ownDemands    func() []relay.Demand
	onDemands     func()
	onAge         func(age time.Duration)
	onRefused     func(n int)
	onConditions  func(known map[string]relay.Condition, slowChanged bool)
}

type serverLoad struct {
	running int     // own requests that pass through the server
	heads   int     // own requests whose first hop is the server
	kv      float64 // tokens x layers of own requests
}

// otherLoad is the load that the other daemons cause on a backend server.
type otherLoad struct {
	running float64 // requests that pass through the server
	heads   float64 // requests whose first hop is the server
	kv      float64 // tokens x layers
	// latestKV is kv as last received, without smoothing.
	latestKV float64
}

// minOthersTTL is the least time for which received loads of other daemons are used.
// Afterwards the other daemons are assumed to be as busy as this one.
const minOthersTTL = 10 * time.Second

// minDemandsTTL is the least time for which received demands of other daemons are used. Demand
// changes within a second, and older demands would hide a burst.
const minDemandsTTL = 3 * time.Second

// maxAssumedDaemons bounds the number of daemons that are assumed to be as busy as this
// one. After a restart all callers return at once, and an estimate must not cause refusals.
const maxAssumedDaemons = 3

// NewLoads returns Loads without requests.
func NewLoads() *Loads {
	return &Loads{
		servers: map[string]*serverLoad{}, conditions: newConditions(),
		ownUsage:   func() float64 { return 0 },
		ownDemands: func() []relay.Demand { return nil }, onDemands: func() {},
		onAge: func(time.Duration) {}, onRefused: func(int) {}, onConditions: func(map[string]relay.Condition, bool) {},
	}
}

// begin and end count the requests in progress.
func (l *Loads) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
}

func (l *Loads) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

// InFlight returns the number of requests in progress.
func (l *Loads) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

func (l *Loads) server(id string) *serverLoad {
	s := l.servers[id]
	if s == nil {
		s = &serverLoad{}
		l.servers[id] = s
	}
	return s
}

// Of returns the load of a backend server. daemons is the number of daemons in the fleet.
func (l *Loads) Of(id string, daemons float64, now time.Time) pipeline.Load {
	load := l.total(id, daemons, now)
	reported := l.conditions.of(id)
	load.Slowdown, load.MemoryUsed, load.Waiting = reported.Slowdown, reported.MemoryUsed, reported.Waiting
	return load
}

// total returns the load caused by all daemons together.
func (l *Loads) total(id string, daemons float64, now time.Time) pipeline.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	var own serverLoad
	if s := l.servers[id]; s != nil {
		own = *s
	}
	ownFactor, othersFactor := l.factors(daemons, now)
	if othersFactor == 0 {
		daemons = ownFactor
	}
	o := l.others[id]
	return pipeline.Load{
		Running: ownFactor*float64(own.running) + othersFactor*o.running,
		KVUsed:  ownFactor*own.kv + othersFactor*o.kv,
		Heads:   ownFactor*float64(own.heads) + othersFactor*o.heads,
		OwnKV:   own.kv * daemons,
	}
}

// latestKV returns the memory that requests use at a backend server, in tokens x layers, by the loads
// last received: those of this daemon and those of all daemons. Load shedding needs no smoothing: it
// smooths its decisions, and the smoothed loads are seconds older. assumed is the
// number of daemons that are taken to be as busy as this one while the others' loads are unknown.
func (l *Loads) latestKV(id string, daemons, assumed float64, now time.Time) (own, all float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.servers[id]; s != nil {
		own = s.kv
	}
	if l.othersExpired(now) {
		return own, assumed * own
	}
	_, others := l.factors(daemons, now)
	return own, own + others*l.others[id].latestKV
}

// othersExpired reports whether the loads of the other daemons are unknown; l.mu must be held.
func (l *Loads) othersExpired(now time.Time) bool { return now.Sub(l.othersAt) > l.othersTTL }

// factors returns by which the loads of this daemon and the known loads of the others are
// multiplied for the loads of all daemons; l.mu must be held. While the others' loads are
// unknown, they are assumed to be as busy as this daemon. Daemons whose loads were not received
// are assumed to be like the others.
func (l *Loads) factors(daemons float64, now time.Time) (own, others float64) {
	if l.othersExpired(now) {
		return min(daemons, maxAssumedDaemons), 0
	}
	return 1, max(1, daemons/float64(1+l.othersDaemons))
}

// othersLoadAge returns the approximate age of the other daemons' loads, 0 if they are
// unknown or have expired.
func (l *Loads) othersLoadAge(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.othersExpired(now) {
		return 0
	}
	return now.Sub(l.othersAt) + l.othersAge
}

// OwnLoads implements relay.LoadExchange: it returns the loads that this daemon causes.
func (l *Loads) OwnLoads() []relay.LoadItem {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []relay.LoadItem
	for id, s := range l.servers {
		if s.running > 0 {
			out = append(out, relay.LoadItem{Server: id, Running: s.running, Heads: s.heads, KV: s.kv})
		}
	}
	return out
}

// SetOwnUsage sets the function that returns the processor time that this daemon uses, as a
// fraction of what it may use. It must be called before the first exchange.
func (l *Loads) SetOwnUsage(f func() float64) { l.ownUsage = f }

// OwnUsage implements relay.LoadExchange.
func (l *Loads) OwnUsage() float64 { return l.ownUsage() }

// OthersUsage returns the mean processor time that the other daemons use, as a fraction of what
// they may use, 1 if it is unknown.
func (l *Loads) OthersUsage() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.othersDaemons == 0 || l.othersExpired(time.Now()) {
		return 1
	}
	return l.othersUsage / float64(l.othersDaemons)
}

// OwnDemands implements relay.LoadExchange: it returns the demand of this daemon's callers.
func (l *Loads) OwnDemands() []relay.Demand { return l.ownDemands() }

// demands returns the demand of all daemons at a service. own is the demand of this daemon's
// callers, daemons the number of daemons in the fleet, and assumed that of latestKV.
func (l *Loads) demands(service uint32, own []shedding.Demand, daemons, assumed float64, now time.Time) []shedding.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(own)
	if now.Sub(l.demandsAt) > l.demandsTTL {
		for i := range out {
			out[i].KV *= assumed
		}
		return out
	}
	othersFactor := max(1, daemons/float64(1+l.demandDaemons))
	for _, d := range l.othersDemands {
		if d.Service != service {
			continue
		}
		class, kv := shedding.Class(d.Class), d.KV*othersFactor
		if i := slices.IndexFunc(out, func(o shedding.Demand) bool { return o.Class == class }); i >= 0 {
			out[i].KV += kv
			continue
		}
		out = append(out, shedding.Demand{Class: class, KV: kv})
	}
	return out
}

// SetOthers implements relay.LoadExchange: it sets the loads that other daemons cause. The
// previous loads stay in use if those of no daemon are known.
func (l *Loads) SetOthers(others relay.Loads) {
	if others.Daemons == 0 {
		return
	}
	byServer := make(map[string]otherLoad, len(others.Items))
	for _, i := range others.Items {
		byServer[i.Server] = otherLoad{running: float64(i.Running), heads: float64(i.Heads), kv: i.KV, latestKV: i.KV}
	}
	l.setOthers(byServer, others)
	l.onDemands()
	l.onAge(others.Age)
}

// SetDemands implements relay.LoadExchange: it sets the demands of the other daemons.
func (l *Loads) SetDemands(demands []relay.Demand, daemons int) {
	if daemons == 0 {
		return
	}
	l.mu.Lock()
	l.othersDemands, l.demandDaemons, l.demandsAt = demands, daemons, time.Now()
	l.mu.Unlock()
	l.onDemands()
}

// forgetOthers drops the loads of other daemons and the conditions of backend servers,
// which are outdated after a suspension of the VM.
func (l *Loads) forgetOthers() {
	l.mu.Lock()
	l.others, l.othersAt, l.othersDaemons = nil, time.Time{}, 0
	l.othersDemands, l.demandDaemons, l.demandsAt = nil, 0, time.Time{}
	l.mu.Unlock()
	l.SetConditions(map[string]relay.Condition{})
}

// RefuseLoads implements relay.LoadExchange: it counts dropped loads.
func (l *Loads) RefuseLoads(n int) { l.onRefused(n) }

func (l *Loads) setOthers(byServer map[string]otherLoad, others relay.Loads) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.othersAt) < l.othersTTL {
		smooth(byServer, l.others, float64(1+others.Daemons)/float64(1+l.othersDaemons))
	}
	l.others, l.othersAt, l.othersDaemons, l.othersAge = byServer, time.Now(), others.Daemons, others.Age
	l.othersUsage = others.Usage
	l.othersDemands, l.demandDaemons, l.demandsAt = others.Demands, others.Daemons, time.Now()
	l.demandsTTL = max(minDemandsTTL, others.ValidFor)
	l.othersTTL = max(minOthersTTL, others.ValidFor)
}

// othersSmoothing is the weight of newly received loads in the mean with the previous ones.
// The smoothing damps oscillation, since all daemons react to the same old loads at once.
const othersSmoothing = 0.4

// minOtherRunning is the number of requests below which the load of a backend server that
// the newest loads do not contain has ended.
const minOtherRunning = 0.05

// smooth replaces the loads in now by their weighted mean with those in before. coverage is
// the ratio of the daemons in now to those in before.
func smooth(now, before map[string]otherLoad, coverage float64) {
	mix := func(a, b float64) float64 { return othersSmoothing*a + (1-othersSmoothing)*coverage*b }
	for id, b := range before {
		n := now[id]
		n.running, n.heads, n.kv = mix(n.running, b.running), mix(n.heads, b.heads), mix(n.kv, b.kv)
		if n.running < minOtherRunning {
			delete(now, id)
			continue
		}
		now[id] = n
	}
}

// Enter adds a request to the load of its path. The returned function removes it and may
// be called more than once.
func (l *Loads) Enter(p site.Path, tokens float64) (leave func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(p, tokens, 1)
	var once sync.Once
	return func() {
		once.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.add(p, tokens, -1)
		})
	}
}

func (l *Loads) add(p site.Path, tokens float64, sign int) {
	for i, h := range p {
		s := l.server(h.Server.ID)
		s.running += sign
		if i == 0 {
			s.heads += sign
		}
		s.kv += float64(sign) * tokens * float64(h.Layers.Len())
	}
}

// Prune removes backend servers that are gone and run no request.
func (l *Loads) Prune(known map[string]*site.BackendServer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.servers {
		if known[id] == nil && s.running == 0 {
			delete(l.servers, id)
		}
	}
}

// staleLoadAge is the age above which received loads are logged. Requests take two to five
// seconds, so the requests of older loads have ended.
const staleLoadAge = 8 * time.Second

func (f *Forwarder) noteLoadsAge(age time.Duration) {
	f.observer.LoadsAge(age)
	if age > staleLoadAge {
		f.log.Add("old_loads", "age", age.Round(time.Millisecond), "daemons", f.fleet.Daemons())
	}
}

// noteRefusedLoads counts and logs loads that were dropped as impossible. They indicate a
// fault of another daemon or of the connection to it.
func (f *Forwarder) noteRefusedLoads(n int) {
	f.observer.LoadsRefused(n)
	f.log.Add("refused_loads", "loads", n)
}
