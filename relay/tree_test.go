package relay

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/store"
)

// daemonName returns the name of the i-th daemon; names sort in order of i.
func daemonName(i int) string { return fmt.Sprintf("d-%03d", i) }

type memberList []Member

func (l memberList) All() []Member          { return l }
func (memberList) Era() uint64              { return 0 }
func (memberList) Changed() <-chan struct{} { return nil }
func (memberList) Apply([]Member, uint64)   {}
func (memberList) ListedAt() store.Position { return 0 }

// Each daemon of a domain follows one whose name sorts before its own, no daemon has more
// than defaultFanOut followers, and the tree is at most two levels deep.
func TestTreeFanOutIsBounded(t *testing.T) {
	const daemons = 1 + defaultFanOut + defaultFanOut*defaultFanOut
	var all memberList
	for i := range daemons {
		all = append(all, Member{Name: daemonName(i), Domain: "d"})
	}
	followers := map[string]int{}
	depth := map[string]int{}
	for i := range daemons {
		n := New(Options{Name: daemonName(i), Domain: "d"}, nil, nil, all, log.NewNopLogger())
		c := n.candidates()
		if i == 0 {
			require.Empty(t, c)
			continue
		}
		for _, m := range c {
			require.Less(t, m.Name, daemonName(i), "no cycles")
		}
		followers[c[0].Name]++
		depth[daemonName(i)] = depth[c[0].Name] + 1
		require.LessOrEqual(t, depth[daemonName(i)], 2)
		if i >= sourcesPerDomain {
			require.Contains(t, c, all[0])
			require.Contains(t, c, all[1])
		}
	}
	for name, f := range followers {
		require.LessOrEqual(t, f, defaultFanOut, name)
	}
}

// fakeStore is the platform's store: a version that daemons follow.
type fakeStore struct {
	mu            sync.Mutex
	version       uint64
	unavailable   bool
	endsWhenAsked bool // the outage ends when a head asks whether the store answers
}

// fakeInventory is the Inventory and the LoadExchange of a daemon. Its state is a version
// and its freshness.
type fakeInventory struct {
	store *fakeStore

	mu            sync.Mutex
	state         *inventory.State
	contact       inventory.Contact
	lastContact   time.Time
	fresh         time.Time
	changed       chan struct{}
	own           []LoadItem
	others        []LoadItem
	othersUsage   float64
	ownDemands    []Demand
	demands       []Demand // of the other daemons
	daemons       int      // included in others
	demandDaemons int      // included in demands
	age           time.Duration
	applied       int // full states received
	refused       int // loads dropped as invalid
	cut           bool

	suspects   []string
	conditions map[string]Condition
}

func newFakeInventory(s *fakeStore) *fakeInventory {
	return &fakeInventory{store: s, state: &inventory.State{}, changed: make(chan struct{})}
}

func (f *fakeInventory) set(version uint64) {
	if version <= f.state.ConfigVersion {
		return
	}
	f.state = &inventory.State{
		ConfigVersion: version, Config: []byte(fmt.Sprint(version)), Complete: true, Servers: map[string]inventory.Entry{"s": {At: 1}},
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeInventory) State() *inventory.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *fakeInventory) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeInventory) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.fresh)
}

func (f *fakeInventory) LastContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastContact
}

func (f *fakeInventory) Contact() inventory.Contact {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact
}

func (f *fakeInventory) NoteContact(c inventory.Contact) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contact = f.contact.Join(c)
}

func (f *fakeInventory) Apply(u inventory.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.Full {
		f.applied++
	}
	var version uint64
	if _, err := fmt.Sscan(string(u.Config), &version); err == nil {
		f.set(version)
	}
}

func (f *fakeInventory) ApplyConfirmed(config []byte, _ time.Duration) {
	f.Apply(inventory.Update{Config: config})
}

func (f *fakeInventory) DoubtsConfig() bool { return false }

func (f *fakeInventory) ConfirmFresh(version uint64, fresh time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.ConfigVersion >= version && fresh.After(f.fresh) {
		f.fresh = fresh
	}
}

func (f *fakeInventory) Follow(ctx context.Context, _, _ time.Duration) {
	for ctx.Err() == nil {
		f.store.mu.Lock()
		version, unavailable := f.store.version, f.store.unavailable
		f.store.mu.Unlock()
		f.mu.Lock()
		if !unavailable && !f.cut {
			f.set(version)
			f.lastContact, f.fresh = time.Now(), time.Now()
			f.contact = f.contact.Join(inventory.Contact{Since: f.fresh, Last: f.fresh})
		}
		f.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// storeAnswers reports whether the store answers this daemon.
func (f *fakeInventory) storeAnswers(context.Context) bool {
	f.store.mu.Lock()
	if f.store.endsWhenAsked {
		f.store.unavailable = false
	}
	unavailable := f.store.unavailable
	f.store.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	return !unavailable && !f.cut
}

// cutOff makes the store unavailable to this daemon alone.
func (f *fakeInventory) cutOff() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = true
}

// OwnUsage returns a tenth of the processors for each request.
func (f *fakeInventory) OwnUsage() (usage float64) {
	for _, l := range f.OwnLoads() {
		usage += float64(l.Running) / 10
	}
	return usage
}

func (f *fakeInventory) OwnDemands() []Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownDemands
}

func (f *fakeInventory) OwnLoads() []LoadItem {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.own
}

func (f *fakeInventory) SetOthers(others Loads) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.others, f.demands, f.daemons, f.age = others.Items, others.Demands, others.Daemons, others.Age
	f.demandDaemons, f.othersUsage = others.Daemons, others.Usage
}

func (f *fakeInventory) SetDemands(demands []Demand, daemons int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demands, f.demandDaemons = demands, daemons
}

func (f *fakeInventory) TakeSuspects() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.suspects
	f.suspects = nil
	return out
}

func (f *fakeInventory) SetConditions(known map[string]Condition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions = known
}

func (f *fakeInventory) RefuseLoads(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused += n
}

// chain runs the daemons of one domain. With a FanOut of 1 each follows the previous one.
type chain struct {
	store *fakeStore
	nodes []*Node
	invs  []*fakeInventory
	stop  []func()
}

func newChain(t *testing.T, n int) *chain {
	return newChainOf(t, n, &fakeStore{version: 1}, Options{FanOut: 1})
}

// newChainOf starts n daemons of one domain with common options. gone are daemons that are
// down but still have records.
func newChainOf(t *testing.T, n int, s *fakeStore, o Options, gone ...Member) *chain {
	c := &chain{store: s}
	all := memberList(gone)
	servers := make([]*httptest.Server, n)
	for i := range n {
		servers[i] = httptest.NewUnstartedServer(nil)
		all = append(all, Member{Name: daemonName(i), Domain: "d", Address: servers[i].Listener.Addr().String(), FanOut: o.FanOut})
	}
	for i := range n {
		inv := newFakeInventory(c.store)
		inv.own = []LoadItem{{Server: "s", Running: 1 << i}}
		o := o
		o.Name, o.Domain, o.StoreAnswers = daemonName(i), "d", inv.storeAnswers
		node := New(o, inv, inv, all, log.NewNopLogger())
		c.nodes, c.invs, c.stop = append(c.nodes, node), append(c.invs, inv), append(c.stop, start(t, node, servers[i]))
	}
	return c
}

// start runs a node behind a server until the test ends or stop is called.
func start(t *testing.T, node *Node, server *httptest.Server) (stop func()) {
	server.Config.Handler = node
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		node.Run(ctx)
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		<-ended
		server.CloseClientConnections()
		server.Close()
	})
	t.Cleanup(stop)
	return stop
}

func (c *chain) publish(version uint64) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.version = version
}

// storeFollowers returns the names of the daemons that follow the store.
func (c *chain) storeFollowers() string {
	var out []string
	for i, n := range c.nodes {
		if n.FollowsStore() {
			out = append(out, daemonName(i))
		}
	}
	return strings.Join(out, " ")
}

func (c *chain) allHave(version uint64, except int) bool {
	for i, inv := range c.invs {
		if i != except && inv.State().ConfigVersion != version {
			return false
		}
	}
	return true
}

// Changes and loads propagate along a chain of daemons, and only the first daemon follows
// the store.
func TestStateAndLoadsPropagateDownChain(t *testing.T) {
	t.Parallel()
	c := newChain(t, 4)
	require.Eventually(t, func() bool { return c.allHave(1, -1) && c.storeFollowers() == daemonName(0) }, 6*time.Second, 10*time.Millisecond)
	c.publish(2)
	require.Eventually(t, func() bool { return c.allHave(2, -1) }, time.Second, 5*time.Millisecond)
	for i, inv := range c.invs {
		want := 1 + 2 + 4 + 8 - 1<<i
		require.Eventually(t, func() bool {
			inv.mu.Lock()
			defer inv.mu.Unlock()
			return len(inv.others) == 1 && inv.others[0].Running == want && inv.daemons == 3 && math.Abs(inv.othersUsage-float64(want)/10) < 0.02
		}, 10*time.Second, 20*time.Millisecond, daemonName(i))
	}
	for i, inv := range c.invs[1:] {
		require.Equal(t, 1, inv.applied, "%s got one full state", daemonName(i+1))
		require.Less(t, inv.Age(time.Now()), 3*time.Second)
	}
}

// Loads are sent with their age, which grows with each step.
func TestLoadsCarryTheirAge(t *testing.T) {
	t.Parallel()
	c := newChain(t, 3)
	last := c.invs[2]
	require.Eventually(t, func() bool {
		last.mu.Lock()
		defer last.mu.Unlock()
		return last.daemons == 2 && last.age > 0
	}, 10*time.Second, 20*time.Millisecond)
	last.mu.Lock()
	defer last.mu.Unlock()
	require.Less(t, last.age, 2*loadTTL(1), "each of two steps drops expired loads")
}

// At a start only the first daemon of a domain follows the store, even before the store
// answers. The second waits for it.
func TestSecondDaemonWaitsForTheFirst(t *testing.T) {
	t.Parallel()
	c := newChainOf(t, 3, &fakeStore{version: 1, unavailable: true}, Options{FanOut: 1})
	time.AfterFunc(500*time.Millisecond, func() {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		c.store.unavailable = false
	})
	require.Never(t, func() bool { return c.nodes[1].FollowsStore() || c.nodes[2].FollowsStore() }, 2*time.Second, time.Millisecond)
	require.True(t, c.allHave(1, -1))
}

// A domain starts in time even if its first VM is gone: its record is still there, but it
// does not answer connections.
func TestDomainStartsWithoutItsFirstDaemon(t *testing.T) {
	t.Parallel()
	gone := Member{Name: "c-999", Domain: "d", Address: "10.255.255.1:1"}
	o := Options{Connect: func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == gone.Address {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return new(net.Dialer).DialContext(ctx, network, address)
	}}
	began := time.Now()
	c := newChainOf(t, 10, &fakeStore{version: 1}, o, gone)
	require.Eventually(t, func() bool { return c.allHave(1, -1) }, 6*time.Second, 10*time.Millisecond)
	require.Less(t, time.Since(began), 1300*time.Millisecond, "callers wait 0.9 s from the start")
	require.Equal(t, daemonName(0), c.storeFollowers())
}

// When a daemon in the middle of a chain is lost, the daemons below it still get changes
// in time.
func TestLossInTheMiddleOfAChain(t *testing.T) {
	t.Parallel()
	c := newChain(t, 4)
	require.Eventually(t, func() bool { return c.allHave(1, -1) && c.storeFollowers() == daemonName(0) }, 6*time.Second, 10*time.Millisecond)
	c.stop[2]()
	c.publish(2)
	began := time.Now()
	require.Eventually(t, func() bool { return c.allHave(2, 2) }, 3*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(began), 2*time.Second, "within the bound on configurations")
}

// A daemon without a full list of backend servers is no source: its followers would treat
// the missing ones as gone.
func TestDaemonWithoutAFullListIsNoSource(t *testing.T) {
	t.Parallel()
	inv := newFakeInventory(&fakeStore{})
	inv.state = &inventory.State{ConfigVersion: 1}
	inv.lastContact = time.Now()
	n := New(Options{Name: daemonName(0), Domain: "d"}, inv, inv, memberList{}, log.NewNopLogger())
	n.followsStore.Store(true)
	srv := httptest.NewServer(n)
	t.Cleanup(srv.Close)
	follower := New(Options{Name: daemonName(1), Domain: "d"}, inv, inv, memberList{}, log.NewNopLogger())
	first := Member{Name: daemonName(0), Domain: "d", Address: srv.Listener.Addr().String()}
	require.ErrorIs(t, follower.probe(t.Context(), first), errStarting)
	inv.mu.Lock()
	inv.state = &inventory.State{ConfigVersion: 1, Complete: true}
	inv.mu.Unlock()
	require.ErrorIs(t, follower.probe(t.Context(), first), errHealthy)
}

// A daemon with a full state but no freshness report from its source yet is starting, and
// its followers wait for it. A daemon that lost its source is not.
func TestStartingSourceIsAwaited(t *testing.T) {
	t.Parallel()
	inv := newFakeInventory(&fakeStore{})
	inv.state = &inventory.State{ConfigVersion: 1, Complete: true}
	n := New(Options{Name: daemonName(1), Domain: "d"}, inv, inv, memberList{}, log.NewNopLogger())
	srv := httptest.NewServer(n)
	t.Cleanup(srv.Close)
	source := Member{Name: daemonName(1), Domain: "d", Address: srv.Listener.Addr().String()}
	follower := New(Options{Name: daemonName(2), Domain: "d"}, inv, inv, memberList{}, log.NewNopLogger())
	require.ErrorIs(t, follower.probe(t.Context(), source), errStarting)
	n.setUpstream(t.Context(), &upstream{receivedAt: time.Now()})
	require.ErrorIs(t, follower.probe(t.Context(), source), errHealthy)
	n.clearUpstream()
	err := follower.probe(t.Context(), source)
	require.Error(t, err)
	require.NotErrorIs(t, err, errStarting)
	require.NotErrorIs(t, err, errHealthy)
}

// When the first daemon of a chain loses the store, no daemon of the chain is healthy.
func TestChainWithoutTheStoreIsNoSource(t *testing.T) {
	t.Parallel()
	c := newChain(t, 3)
	require.Eventually(t, func() bool { return c.allHave(1, -1) && c.storeFollowers() == daemonName(0) }, 6*time.Second, 10*time.Millisecond)
	c.store.mu.Lock()
	c.store.unavailable = true
	c.store.mu.Unlock()
	require.Eventually(t, func() bool {
		now := time.Now()
		return !c.nodes[0].healthy(now) && !c.nodes[1].healthy(now) && !c.nodes[2].healthy(now)
	}, 3*time.Second, 10*time.Millisecond)
}
