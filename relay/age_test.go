package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"github.com/snowspoke/snowspoke/inventory"
)

// fleetModel simulates the exchange of loads between the daemons of several failure
// domains, each a tree below its source. It runs on a virtual clock without links and uses
// the real sums and encodings.
type fleetModel struct {
	rng   *rand.Rand
	now   time.Time
	paths [][]string // that requests may take
	all   []*modelDaemon
	step  func() // called at each step; may be nil
}

// modelRequest passes through the backend servers of its path.
type modelRequest struct {
	path   []string
	endsAt time.Time
}

const requestLength = 2400 * time.Millisecond

// modelDaemon is a daemon with the two ends of the link to its parent.
type modelDaemon struct {
	node           *Node
	inv            *fakeInventory
	requests       []modelRequest
	parent         *modelDaemon // nil for a source
	next           time.Time    // of the next exchange
	reportedAt     time.Time    // when this daemon reported loads last
	answeredAt     time.Time    // when the parent sent loads last
	answerDueAt    time.Time    // when the parent sends loads next
	reporter       loadReporter // at this daemon
	demands        demandSender // at this daemon
	parentReceiver loadReceiver
	parentReporter loadReporter
	parentDemands  demandSender
	receiver       loadReceiver // at this daemon
	toPeer         map[*modelDaemon]*peerLink
	bytes          int
	demandBytes    int // part of bytes that demands add
}

// peerLink is one direction of a link between two sources.
type peerLink struct {
	reporter loadReporter
	demands  demandSender
	receiver loadReceiver
	at       time.Time // when loads were sent last
}

const modelDomains = 5

// modelSize is the size of a modeled fleet. Each daemon has a number of requests at a time,
// which take one of the paths, each of a number of random backend servers.
type modelSize struct{ daemons, servers, requests, paths, hops int }

func (s modelSize) String() string { return fmt.Sprintf("daemons=%d/servers=%d", s.daemons, s.servers) }

// smallFleet is a fleet whose requests pass through all its backend servers, largeFleet one
// of which most are idle.
func smallFleet(daemons int) modelSize { return modelSize{daemons, 222, 2, 888, 11} }
func largeFleet(daemons int) modelSize { return modelSize{daemons, 3 * daemons, 1, 64, 8} }

func newFleetModel(size modelSize) *fleetModel {
	f := &fleetModel{rng: rand.New(rand.NewPCG(3, 4)), now: time.Unix(1000, 0)}
	servers := map[string]inventory.Entry{}
	for i := range size.servers {
		servers[modelServer(i)] = inventory.Entry{}
	}
	f.addPaths(size)
	state := &inventory.State{ConfigVersion: 1, Complete: true, Servers: servers}
	for d := range modelDomains {
		first := len(f.all)
		for i := range size.daemons / modelDomains {
			inv := newFakeInventory(&fakeStore{})
			inv.state = state
			o := Options{Name: daemonName(len(f.all)), Domain: string(rune('a' + d))}
			daemon := &modelDaemon{node: New(o, inv, inv, memberList{}, log.NewNopLogger()), inv: inv, requests: make([]modelRequest, size.requests), toPeer: map[*modelDaemon]*peerLink{},
				demands: demandSender{rate: followerDemandRate}, parentDemands: demandSender{rate: followerDemandRate}}
			daemon.next = f.now.Add(time.Duration(f.rng.Int64N(int64(minLoadsInterval))))
			if i > 0 {
				daemon.parent = f.all[first+(i-1)/defaultFanOut]
			} else {
				daemon.node.followsStore.Store(true)
			}
			f.all = append(f.all, daemon)
		}
	}
	return f
}

func modelServer(i int) string { return fmt.Sprintf("i-%010x", i) }

// addPaths adds the paths that requests may take.
func (f *fleetModel) addPaths(size modelSize) {
	for range size.paths {
		var path []string
		for range size.hops {
			path = append(path, modelServer(f.rng.IntN(size.servers)))
		}
		f.paths = append(f.paths, path)
	}
}

// pingsUntil returns the time until the first ping from which the next exchange is due.
func pingsUntil(due time.Duration) time.Duration {
	return (due + pingInterval - 1) / pingInterval * pingInterval
}

func (f *fleetModel) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(demandInterval) {
		if f.step != nil {
			f.step()
		}
		for _, d := range f.all {
			if f.now.Before(d.next) {
				f.exchangeDemands(d)
				continue
			}
			f.newLoads(d)
			if d.parent != nil {
				d.next = d.next.Add(pingsUntil(loadsInterval(d.exchange(f.now))))
			} else {
				d.next = d.next.Add(pingsUntil(exchangeFactor * loadsInterval(f.querySources(d))))
				d.node.updateOthers(f.now)
			}
		}
	}
}

// newLoads replaces those of the daemon's requests that have ended.
func (f *fleetModel) newLoads(d *modelDaemon) {
	d.inv.own = d.inv.own[:0]
	for i, r := range d.requests {
		if !f.now.Before(r.endsAt) {
			r = modelRequest{path: f.paths[f.rng.IntN(len(f.paths))], endsAt: f.now.Add(requestLength)}
			d.requests[i] = r
		}
		for _, server := range r.path {
			d.inv.own = append(d.inv.own, LoadItem{Server: server, Running: 1, KV: 6000})
		}
	}
}

// exchange sends the daemon's loads to its parent and receives those of the others if they
// are due. It returns the number of changed loads that it sent.
func (d *modelDaemon) exchange(now time.Time) int {
	n, source := d.node, d.parent.node
	below := n.subtreeLoads(now)
	p := &ping{Sender: n.opts.Name, Domain: n.opts.Domain, HasLoads: true, Loads: d.reporter.changes(below.Items), Daemons: below.Daemons, LoadsAge: below.Age, Demands: d.demands.all(below.Demands, now)}
	d.reportedAt = now
	source.followerLoads.put(n.opts.Name, loadReport{at: now, ttl: loadTTL(len(p.Loads)), domain: n.opts.Domain, loads: p.report(&d.parentReceiver, source.serverNames())})
	a := &pong{}
	if !now.Before(d.answerDueAt) {
		others := source.loadsFor(n.opts.Name, true, now)
		a.Loads, a.Daemons, a.LoadsAge = d.parentReporter.changes(others.Items), others.Daemons, others.Age
		a.Demands = d.parentDemands.all(others.Demands, now)
		d.answeredAt = now
		d.answerDueAt = loadsDue(now, len(a.Loads))
		n.sourceLoads.put(sourceKey, loadReport{at: now, ttl: loadTTL(max(len(p.Loads), len(a.Loads))), loads: a.report(&d.receiver, n.serverNames())})
		n.updateOthers(now)
	}
	changes := len(p.Loads)
	size := frameSize(&frame{Ping: p}) + frameSize(&frame{Pong: a})
	p.Demands, a.Demands = nil, nil
	without := frameSize(&frame{Ping: p}) + frameSize(&frame{Pong: a})
	for _, end := range []*modelDaemon{d, d.parent} {
		end.bytes += size
		end.demandBytes += size - without
	}
	return changes
}

// exchangeDemands sends the changes of demands on the links of a daemon to its parent, or to the
// sources of the other domains.
func (f *fleetModel) exchangeDemands(d *modelDaemon) {
	n, now := d.node, f.now
	if d.parent == nil {
		if now.Sub(time.Unix(1000, 0))%exchangeInterval == 0 {
			f.queryDemands(d)
		}
		return
	}
	source := d.parent.node
	if up := d.demands.changes(n.subtreeDemands, now); len(up) > 0 {
		source.followerLoads.setDemands(n.opts.Name, d.reportedAt, d.parentReceiver.changedDemands(up))
		countDemandFrame(up, d, d.parent)
	}
	others := func(now time.Time) []Demand { return source.demandsFor(n.opts.Name, true, now) }
	if down := d.parentDemands.changes(others, now); len(down) > 0 {
		n.sourceLoads.setDemands(sourceKey, d.answeredAt, d.receiver.changedDemands(down))
		countDemandFrame(down, d, d.parent)
	}
}

// webSocketHeader is the size of the header of a short WebSocket frame from a client.
const webSocketHeader = 6

// countDemandFrame counts a frame of its own at both ends of a link. Some of the changes would
// travel with pings and pongs, which takes less.
func countDemandFrame(p packedDemands, ends ...*modelDaemon) {
	for _, end := range ends {
		size := webSocketHeader + frameSize(&frame{Demands: p})
		end.bytes += size
		end.demandBytes += size
	}
}

// queryDemands queries the other sources for the changed demands of their domains.
func (f *fleetModel) queryDemands(d *modelDaemon) {
	for _, o := range f.all {
		link := o.toPeer[d]
		if link == nil {
			continue
		}
		demands := func(now time.Time) []Demand { return o.node.demandsFor(d.node.opts.Name, false, now) }
		if changes := link.demands.changes(demands, f.now); len(changes) > 0 {
			d.node.domainLoads.setDemands(o.node.opts.Domain, link.at, link.receiver.changedDemands(changes))
			countDemandFrame(changes, d, o)
		}
	}
}

// querySources queries the other sources for the loads of their domains. It returns the
// number of changed loads in the longest answer.
func (f *fleetModel) querySources(d *modelDaemon) (changes int) {
	links := map[string]*domainLink{}
	for _, o := range f.all {
		if o.parent != nil || o == d {
			continue
		}
		if o.toPeer[d] == nil {
			o.toPeer[d] = &peerLink{demands: demandSender{rate: domainDemandRate}}
		}
		link := o.toPeer[d]
		loads := o.node.loadsFor(d.node.opts.Name, false, f.now)
		a := &pong{Loads: link.reporter.changes(loads.Items), Daemons: loads.Daemons, LoadsAge: loads.Age, Demands: link.demands.all(loads.Demands, f.now)}
		link.at = f.now
		links[o.node.opts.Domain] = &domainLink{loads: loadReport{at: f.now, domain: o.node.opts.Domain, loads: a.report(&link.receiver, d.node.serverNames())}}
		changes = max(changes, len(a.Loads))
		size := frameSize(&frame{Pong: a})
		a.Demands = nil
		without := frameSize(&frame{Pong: a})
		for _, end := range []*modelDaemon{d, o} {
			end.bytes += size
			end.demandBytes += size - without
		}
	}
	for domain, l := range links {
		l.loads.ttl = loadTTL(changes)
		d.node.domainLoads.put(domain, l.loads)
	}
	return changes
}

func frameSize(f *frame) int {
	data, err := cbor.Marshal(f)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// BenchmarkLoadsOfAFleet reports the age of the received loads, and the bytes that a
// typical daemon and the busiest one spend on them, without pings.
func BenchmarkLoadsOfAFleet(b *testing.B) {
	const length = time.Minute
	for _, size := range []modelSize{smallFleet(30), smallFleet(300), smallFleet(380), largeFleet(985), largeFleet(2000)} {
		b.Run(size.String(), func(b *testing.B) {
			for b.Loop() {
				f := newFleetModel(size)
				f.run(length)
				var ages []time.Duration
				var bytes []int
				for _, d := range f.all {
					ages = append(ages, d.inv.age)
					bytes = append(bytes, d.bytes)
				}
				slices.Sort(ages)
				slices.Sort(bytes)
				b.ReportMetric(ages[len(ages)/2].Seconds()*1000, "loads_age_p50_ms")
				b.ReportMetric(ages[len(ages)*99/100].Seconds()*1000, "loads_age_p99_ms")
				b.ReportMetric(float64(bytes[len(bytes)/2])/length.Seconds(), "control_bytes_per_s")
				b.ReportMetric(float64(bytes[len(bytes)-1])/length.Seconds(), "busiest_bytes_per_s")
			}
		})
	}
}

// Every daemon of a fleet receives the loads of all others.
func TestLoadsOfAFleetReachAll(t *testing.T) {
	f := newFleetModel(smallFleet(300))
	f.run(30 * time.Second)
	for _, d := range f.all {
		if d.inv.daemons != 299 {
			t.Fatalf("%s: got the loads of %d others, want 299", d.node.opts.Name, d.inv.daemons)
		}
		if d.inv.age <= 0 || d.inv.age > 20*time.Second {
			t.Fatalf("%s: age of loads is %s, want between 0 and 20s", d.node.opts.Name, d.inv.age)
		}
	}
}
