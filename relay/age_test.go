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
	rng      *rand.Rand
	now      time.Time
	interval time.Duration
	all      []*modelDaemon
}

// modelDaemon is a daemon with the two ends of the link to its parent.
type modelDaemon struct {
	node           *Node
	inv            *fakeInventory
	parent         *modelDaemon // nil for a source
	next           time.Time    // of the next exchange
	reporter       loadReporter // at this daemon
	parentReceiver loadReceiver
	parentReporter loadReporter
	receiver       loadReceiver // at this daemon
	toPeer         map[*modelDaemon]*peerLink
	bytes          int
}

// peerLink is one direction of a link between two sources.
type peerLink struct {
	reporter loadReporter
	receiver loadReceiver
}

const (
	modelDomains = 5
	modelServers = 222
	// modelOwnLoads is the number of backend servers that the requests of one daemon pass
	// through: two requests with eleven hops each.
	modelOwnLoads = 22
)

func newFleetModel(daemons int) *fleetModel {
	f := &fleetModel{rng: rand.New(rand.NewPCG(3, 4)), now: time.Unix(1000, 0)}
	servers := map[string]inventory.Entry{}
	for i := range modelServers {
		servers[fmt.Sprintf("i-%010x", i)] = inventory.Entry{}
	}
	state := &inventory.State{ConfigVersion: 1, Complete: true, Servers: servers}
	// Loads are sent with pings, so the interval is a multiple of pingInterval.
	f.interval = (loadsInterval(modelServers) + pingInterval - 1) / pingInterval * pingInterval
	for d := range modelDomains {
		first := len(f.all)
		for i := range daemons / modelDomains {
			inv := newFakeInventory(&fakeStore{})
			inv.state = state
			o := Options{Name: daemonName(len(f.all)), Domain: string(rune('a' + d))}
			daemon := &modelDaemon{node: New(o, inv, inv, memberList{}, log.NewNopLogger()), inv: inv, toPeer: map[*modelDaemon]*peerLink{}}
			daemon.next = f.now.Add(time.Duration(f.rng.Int64N(int64(f.interval))))
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

func (f *fleetModel) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		for _, d := range f.all {
			if f.now.Before(d.next) {
				continue
			}
			f.newLoads(d)
			if d.parent != nil {
				d.exchange(f.now)
				d.next = d.next.Add(f.interval)
			} else {
				f.querySources(d)
				d.next = d.next.Add(exchangeFactor * f.interval)
			}
			d.node.updateOthers(f.now)
		}
	}
}

// newLoads replaces the daemon's requests, which last about one interval.
func (f *fleetModel) newLoads(d *modelDaemon) {
	d.inv.own = d.inv.own[:0]
	for range modelOwnLoads {
		d.inv.own = append(d.inv.own, LoadItem{Server: fmt.Sprintf("i-%010x", f.rng.IntN(modelServers)), Running: 1, KV: 6000})
	}
}

// exchange sends the daemon's loads to its parent and receives those of the others.
func (d *modelDaemon) exchange(now time.Time) {
	n, source := d.node, d.parent.node
	below := n.subtreeLoads(now)
	p := &ping{Sender: n.opts.Name, Domain: n.opts.Domain, HasLoads: true, Loads: d.reporter.changes(below.Items), Daemons: below.Daemons, LoadsAge: below.Age}
	source.followerLoads.put(n.opts.Name, loadReport{at: now, domain: n.opts.Domain, loads: p.report(&d.parentReceiver, source.serverNames())})
	others := source.loadsFor(n.opts.Name, true, now)
	a := &pong{Loads: d.parentReporter.changes(others.Items), Daemons: others.Daemons, LoadsAge: others.Age}
	n.sourceLoads.put(sourceKey, loadReport{at: now, loads: a.report(&d.receiver, n.serverNames())})
	size := frameSize(&frame{Ping: p}) + frameSize(&frame{Pong: a})
	d.bytes += size
	d.parent.bytes += size
}

// querySources queries the other sources for the loads of their domains.
func (f *fleetModel) querySources(d *modelDaemon) {
	for _, o := range f.all {
		if o.parent != nil || o == d {
			continue
		}
		if o.toPeer[d] == nil {
			o.toPeer[d] = &peerLink{}
		}
		link := o.toPeer[d]
		loads := o.node.loadsFor(d.node.opts.Name, false, f.now)
		a := &pong{Loads: link.reporter.changes(loads.Items), Daemons: loads.Daemons, LoadsAge: loads.Age}
		d.node.domainLoads.put(o.node.opts.Domain, loadReport{at: f.now, domain: o.node.opts.Domain, loads: a.report(&link.receiver, d.node.serverNames())})
		size := frameSize(&frame{Pong: a})
		d.bytes += size
		o.bytes += size
	}
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
	for _, daemons := range []int{30, 300, 380} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for b.Loop() {
				f := newFleetModel(daemons)
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
	f := newFleetModel(300)
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
