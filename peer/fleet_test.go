package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/catalog"
	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/internal/memstore"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

// testFleet is a fleet of nodes with catalogs on an in-memory network.
type testFleet struct {
	net     *memnet.Net
	store   *memstore.Store
	daemons map[string]*testDaemon
	count   int
}

type testDaemon struct {
	ip      string
	node    *Node
	catalog *catalog.Catalog
	server  *http.Server
	client  *http.Client
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// statuses implements Statuses in memory.
type statuses struct {
	mu    sync.Mutex
	known map[string]backend.Status
}

func (s *statuses) ApplyStatus(st backend.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known[st.BackendServer] = st
}

func (s *statuses) Reports() []backend.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []backend.Status
	for _, st := range s.known {
		out = append(out, st)
	}
	return out
}

const domains = 3

func newFleet(n int) *testFleet {
	f := &testFleet{net: memnet.New(), store: memstore.New(), daemons: map[string]*testDaemon{}}
	for range n {
		f.add()
	}
	return f
}

func ipOf(i int) string { return fmt.Sprintf("10.1.%d.%d", i/250, i%250+1) }

// add starts a daemon that has up to three others as seeds.
func (f *testFleet) add() *testDaemon {
	i := f.count
	f.count++
	var seeds []string
	for _, d := range f.daemons {
		if len(seeds) < 3 {
			seeds = append(seeds, d.ip+":7000")
		}
	}
	name := fmt.Sprintf("daemon-%03d", i)
	d := &testDaemon{ip: ipOf(i), catalog: catalog.New()}
	host := f.net.Host(d.ip)
	d.client = network.Client(host, 4)
	d.node = New(Options{
		Self:  Member{Name: name, Address: d.ip + ":7000", FailureDomain: fmt.Sprint("domain-", i%domains), Incarnation: uint64(time.Now().UnixMilli())},
		Seeds: seeds, Heartbeat: 500 * time.Millisecond, Suspect: 2 * time.Second, Dead: 5 * time.Second, Degree: 4, Watchers: 2,
		Token: "t", Scheme: "http", Quarantine: quarantine.NewRegistry(quarantine.DefaultPolicy),
	}, d.client, d.catalog, &statuses{known: map[string]backend.Status{}}, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	l, err := host.Listen(":7000")
	if err != nil {
		panic(err)
	}
	d.server = &http.Server{Handler: d.node.Handler(ctx)}
	d.done.Go(func() { _ = d.server.Serve(l) })
	d.done.Go(func() { d.node.Run(ctx) })
	d.done.Go(func() { d.node.ShareCrashes(ctx) })
	d.done.Go(func() {
		d.node.Follow(ctx, func(ctx context.Context) {
			catalog.NewFollower(d.catalog, f.store, time.Minute, d.node.PublishObjects, log.NewNopLogger()).Run(ctx)
		})
	})
	f.daemons[name] = d
	return d
}

// kill stops a daemon without Leave, as a crash does.
func (f *testFleet) kill(name string) {
	d := f.daemons[name]
	delete(f.daemons, name)
	d.stop()
	_ = d.server.Close()
	d.client.CloseIdleConnections()
}

func (f *testFleet) close() {
	f.net.Heal()
	for name := range f.daemons {
		f.kill(name)
	}
	time.Sleep(time.Minute)
}

// within waits up to limit until ok holds. It returns the time taken and whether
// ok held.
func within(limit time.Duration, ok func() bool) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) <= limit {
		if ok() {
			return time.Since(start), true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return limit, false
}

// agree reports whether the working members of every daemon are the running daemons.
func (f *testFleet) agree() bool {
	for _, d := range f.daemons {
		w := d.node.working()
		if len(w) != len(f.daemons) {
			return false
		}
		for _, m := range w {
			if f.daemons[m.Name] == nil {
				return false
			}
		}
	}
	return true
}

func (f *testFleet) setModel(layers int) store.Position {
	spec, err := json.Marshal(&topology.Model{Layers: layers, Version: "v"})
	if err != nil {
		panic(err)
	}
	return f.store.Set(string(topology.KindModel), "m", spec)
}

// inForce reports whether every daemon has a version of the model in force that is at
// least the given one.
func (f *testFleet) inForce(version store.Position) bool {
	for _, d := range f.daemons {
		result, ok := d.catalog.Result(string(topology.KindModel), "m")
		if !ok || result.InForce < version {
			return false
		}
	}
	return true
}

func runFleet(t *testing.T, n int, fn func(f *testFleet)) {
	virtual.Test(t, func(t *testing.T) {
		f := newFleet(n)
		defer f.close()
		_, ok := within(30*time.Second, f.agree)
		require.True(t, ok, "no agreement at the start")
		fn(f)
	})
}

func TestFailureAndReplacement(t *testing.T) {
	runFleet(t, 12, func(f *testFleet) {
		f.kill("daemon-003")
		took, ok := within(15*time.Second, f.agree)
		require.True(t, ok)
		require.LessOrEqual(t, took, 9*time.Second)
		f.add()
		_, ok = within(15*time.Second, f.agree)
		require.True(t, ok)
	})
}

// A daemon that leaves is removed from the working members of all daemons at once.
func TestLeave(t *testing.T) {
	runFleet(t, 8, func(f *testFleet) {
		d := f.daemons["daemon-002"]
		d.node.Leave()
		time.Sleep(200 * time.Millisecond)
		for _, other := range f.daemons {
			for _, m := range other.node.working() {
				require.NotEqual(t, "daemon-002", m.Name)
			}
		}
		f.kill("daemon-002")
		time.Sleep(500 * time.Millisecond)
		for _, other := range f.daemons {
			for _, m := range other.node.working() {
				require.NotEqual(t, "daemon-002", m.Name, "its links have ended")
			}
		}
	})
}

// After a partition of several minutes, all daemons agree on the members again, and
// the configuration that changed meanwhile is in force on all of them.
func TestPartition(t *testing.T) {
	runFleet(t, 12, func(f *testFleet) {
		v := f.setModel(4)
		_, ok := within(5*time.Second, func() bool { return f.inForce(v) })
		require.True(t, ok)
		for i := range 12 {
			for j := range 12 {
				if i%domains == 0 && j%domains != 0 {
					f.net.Cut(ipOf(i), ipOf(j))
				}
			}
		}
		time.Sleep(2 * time.Minute)
		for _, m := range f.daemons["daemon-001"].node.working() {
			require.NotEqual(t, "domain-0", m.FailureDomain)
		}
		v = f.setModel(5)
		time.Sleep(time.Second)
		f.net.Heal()
		_, ok = within(time.Minute, f.agree)
		require.True(t, ok, "no agreement after the partition")
		_, ok = within(10*time.Second, func() bool { return f.inForce(v) })
		require.True(t, ok)
	})
}

// While half of the daemons are replaced and configuration changes, no daemon
// goes back to a lower version.
func TestHalfReplaced(t *testing.T) {
	runFleet(t, 16, func(f *testFleet) {
		highest := map[*catalog.Catalog]store.Position{}
		v := store.Position(0)
		for i := range 8 {
			f.kill(fmt.Sprintf("daemon-%03d", i))
			f.add()
			v = f.setModel(10 + i)
			time.Sleep(7 * time.Second)
			for _, d := range f.daemons {
				seen, _ := d.catalog.Result(string(topology.KindModel), "m")
				require.GreaterOrEqual(t, seen.InForce, highest[d.catalog])
				highest[d.catalog] = seen.InForce
			}
		}
		_, ok := within(20*time.Second, f.agree)
		require.True(t, ok)
		_, ok = within(5*time.Second, func() bool { return f.inForce(v) })
		require.True(t, ok)
	})
}

// A daemon that starts during a store outage gets the configuration from a peer,
// and the end of the outage causes a bounded number of store calls.
func TestStartDuringOutage(t *testing.T) {
	runFleet(t, 8, func(f *testFleet) {
		v := f.setModel(4)
		_, ok := within(5*time.Second, func() bool { return f.inForce(v) })
		require.True(t, ok)
		f.store.SetFaults(memstore.Faults{Outage: true})
		time.Sleep(10 * time.Minute)
		started := f.add()
		took, ok := within(10*time.Second, func() bool { return started.catalog.Mark().Revision == v })
		require.True(t, ok)
		require.LessOrEqual(t, took, 3*time.Second)
		before, _ := f.store.Calls()
		f.store.SetFaults(memstore.Faults{})
		v = f.setModel(5)
		_, ok = within(15*time.Second, func() bool { return f.inForce(v) })
		require.True(t, ok)
		after, _ := f.store.Calls()
		require.LessOrEqual(t, after-before, int64(domains*2*(len(topology.ConfigKinds)+1)+10))
	})
}

// A new status of a backend server reaches all daemons.
func TestStatusPropagation(t *testing.T) {
	runFleet(t, 9, func(f *testFleet) {
		for _, d := range f.daemons {
			if d.node.Owns("engine") {
				d.node.PublishStatus(backend.Status{BackendServer: "engine", Boot: 1, Seq: 7, Leaving: true})
				break
			}
		}
		time.Sleep(time.Second)
		received := 0
		owners := 0
		for _, d := range f.daemons {
			received += len(d.node.statuses.Reports())
			if d.node.Owns("engine") {
				owners++
			}
		}
		require.Equal(t, 8, received, "all daemons except the one that read it")
		require.Equal(t, ownersPerServer, owners)
	})
}

// A changed VM list that one watcher read reaches all daemons. A watcher that still
// reads the old list does not restore it.
func TestVMListPropagation(t *testing.T) {
	runFleet(t, 9, func(f *testFleet) {
		var mu sync.Mutex
		states := map[string]store.VMState{}
		for name, d := range f.daemons {
			d.node.OnVMs(func(vms []store.VM) {
				mu.Lock()
				defer mu.Unlock()
				states[name] = vms[0].State
			})
		}
		live := []store.VM{{Name: "b", State: store.VMLive}}
		leaving := []store.VM{{Name: "b", State: store.VMLeaving}}
		current, stale := f.daemons["daemon-001"].node, f.daemons["daemon-005"].node
		current.PublishVMs(live)
		stale.PublishVMs(live)
		time.Sleep(time.Second)
		current.PublishVMs(leaving)
		time.Sleep(time.Second)
		stale.PublishVMs(live) // still the old list
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		require.Len(t, states, 9)
		for name, state := range states {
			require.Equal(t, store.VMLeaving, state, name)
		}
	})
}

func FuzzFrame(f *testing.F) {
	data, err := encode(&Frame{Hello: &Hello{Self: Member{Name: "a"}}, Members: []Member{{Name: "b"}}, Objects: []store.Object{{Kind: "Model"}}})
	require.NoError(f, err)
	f.Add(data)
	snapshot, err := packObjects([]store.Object{{Kind: "Model", Name: "m"}})
	require.NoError(f, err)
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		if frame, err := decodeFrame(data); err == nil {
			_, err := encode(frame)
			require.NoError(t, err)
		}
		_, _ = unpackObjects(data)
	})
}

// Ends of engines under requests are known to all daemons soon, and to one that joins later.
func TestCrashPropagation(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := newFleet(30)
		defer f.close()
		time.Sleep(10 * time.Second)
		part := quarantine.FingerprintOfPart("m", "p")
		now := time.Now()
		for n := range 3 {
			from := f.daemons[fmt.Sprintf("daemon-%03d", n)].node.opts.Quarantine
			from.RecordEnd(part, quarantine.Server(n), quarantine.Likely, now.Add(time.Duration(n-3)*time.Second))
		}
		knows := func(d *testDaemon) bool { return d.node.opts.Quarantine.Check(part, time.Now()).Quarantined }
		time.Sleep(time.Second)
		for name, d := range f.daemons {
			require.True(t, knows(d), name)
		}
		joined := f.add()
		time.Sleep(5 * time.Second)
		require.True(t, knows(joined))
		require.NotEqual(t, f.daemons["daemon-000"].node.Rank(1), f.daemons["daemon-001"].node.Rank(1))
	})
}
