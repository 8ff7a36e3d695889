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
	node     *Node
	book     *fakeInventory
	above    *modelDaemon // nil for a source
	next     time.Time
	up       loadReporter // to the parent
	atParent loadReceiver
	down     loadReporter // from the parent
	local    loadReceiver
	toPeer   map[*modelDaemon]*peerLink
	bytes    int
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
			book := newFakeInventory(&fakeStore{})
			book.state = state
			o := Options{Name: daemonName(len(f.all)), Domain: string(rune('a' + d))}
			b := &modelDaemon{node: New(o, book, book, memberList{}, log.NewNopLogger()), book: book, toPeer: map[*modelDaemon]*peerLink{}}
			b.next = f.now.Add(time.Duration(f.rng.Int64N(int64(f.interval))))
			if i > 0 {
				b.above = f.all[first+(i-1)/defaultFanOut]
			} else {
				b.node.reading.Store(true)
			}
			f.all = append(f.all, b)
		}
	}
	return f
}

func (f *fleetModel) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		for _, b := range f.all {
			if f.now.Before(b.next) {
				continue
			}
			f.newLoads(b)
			if b.above != nil {
				b.exchange(f.now)
				b.next = b.next.Add(f.interval)
			} else {
				f.querySources(b)
				b.next = b.next.Add(exchangeFactor * f.interval)
			}
			b.node.updateOthers(f.now)
		}
	}
}

// newLoads replaces the daemon's requests, which last about one interval.
func (f *fleetModel) newLoads(b *modelDaemon) {
	b.book.own = b.book.own[:0]
	for range modelOwnLoads {
		b.book.own = append(b.book.own, LoadItem{Server: fmt.Sprintf("i-%010x", f.rng.IntN(modelServers)), Running: 1, KV: 6000})
	}
}

// exchange sends the daemon's loads to its parent and receives those of the others.
func (b *modelDaemon) exchange(now time.Time) {
	n, source := b.node, b.above.node
	below := n.subtreeLoads(now)
	p := &ping{Sender: n.opts.Name, Domain: n.opts.Domain, HasLoads: true, Loads: b.up.changes(below.Items), Daemons: below.Daemons, LoadsAge: below.Age}
	source.followerLoads.put(n.opts.Name, loadReport{at: now, domain: n.opts.Domain, loads: p.report(&b.atParent, source.serverNames())})
	others := source.loadsFor(n.opts.Name, true, now)
	a := &pong{Loads: b.down.changes(others.Items), Daemons: others.Daemons, LoadsAge: others.Age}
	n.sourceLoads.put(sourceKey, loadReport{at: now, loads: a.report(&b.local, n.serverNames())})
	size := frameSize(&frame{Ping: p}) + frameSize(&frame{Pong: a})
	b.bytes += size
	b.above.bytes += size
}

// querySources queries the other sources for the loads of their domains.
func (f *fleetModel) querySources(b *modelDaemon) {
	for _, o := range f.all {
		if o.above != nil || o == b {
			continue
		}
		if o.toPeer[b] == nil {
			o.toPeer[b] = &peerLink{}
		}
		link := o.toPeer[b]
		loads := o.node.loadsFor(b.node.opts.Name, false, f.now)
		a := &pong{Loads: link.reporter.changes(loads.Items), Daemons: loads.Daemons, LoadsAge: loads.Age}
		b.node.domainLoads.put(o.node.opts.Domain, loadReport{at: f.now, domain: o.node.opts.Domain, loads: a.report(&link.receiver, b.node.serverNames())})
		size := frameSize(&frame{Pong: a})
		b.bytes += size
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
					ages = append(ages, d.book.age)
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
	for _, b := range f.all {
		if b.book.daemons != 299 {
			t.Fatalf("%s: got the loads of %d others, want 299", b.node.opts.Name, b.book.daemons)
		}
		if b.book.age <= 0 || b.book.age > 20*time.Second {
			t.Fatalf("%s: age of loads is %s, want between 0 and 20s", b.node.opts.Name, b.book.age)
		}
	}
}
