package relay

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/inventory"
)

// daemonName names the i-th daemon so that names sort as numbers do.
func daemonName(i int) string { return fmt.Sprintf("d-%03d", i) }

type everybody []Member

func (e everybody) All() []Member { return e }

// The daemons of a domain form a tree: each has one above it that comes before
// it, none has more followers than it may, and all paths are short.
func TestDaemonsFormATreeOfBoundedFanOut(t *testing.T) {
	const daemons = 1 + fanOut + fanOut*fanOut
	var all everybody
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
			require.Less(t, m.Name, daemonName(i), "no circles")
		}
		followers[c[0].Name]++
		depth[daemonName(i)] = depth[c[0].Name] + 1
		require.LessOrEqual(t, depth[daemonName(i)], 2)
		if i >= ownSources {
			require.Contains(t, c, all[0])
			require.Contains(t, c, all[1])
		}
	}
	for name, f := range followers {
		require.LessOrEqual(t, f, fanOut, name)
	}
}

// copySource is the platform's store in these tests: a version that daemons follow.
type copySource struct {
	mu      sync.Mutex
	version uint64
	away    bool
}

// copied is a daemon's inventory: a version, with how fresh it is.
type copied struct {
	store *copySource

	mu      sync.Mutex
	state   *inventory.State
	heard   time.Time
	fresh   time.Time
	changed chan struct{}
	own     []LoadItem
	others  []LoadItem
	daemons int
	age     time.Duration
	applied int // full states
	refused int // loads
	cut     bool

	suspects   []string
	conditions map[string]Condition
}

func newCopied(s *copySource) *copied {
	return &copied{store: s, state: &inventory.State{}, changed: make(chan struct{})}
}

func (c *copied) set(version uint64) {
	if version <= c.state.ConfigVersion {
		return
	}
	c.state = &inventory.State{
		ConfigVersion: version, Config: []byte(fmt.Sprint(version)), Complete: true, Servers: map[string]inventory.Entry{"s": {At: 1}},
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *copied) State() *inventory.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *copied) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *copied) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.fresh)
}

func (c *copied) Heard() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard
}

func (c *copied) Apply(u inventory.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Full {
		c.applied++
	}
	var version uint64
	if _, err := fmt.Sscan(string(u.Config), &version); err == nil {
		c.set(version)
	}
}

func (c *copied) Vouch(version uint64, fresh time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.ConfigVersion >= version && fresh.After(c.fresh) {
		c.fresh = fresh
	}
}

func (c *copied) Follow(ctx context.Context, _, _ time.Duration) {
	for ctx.Err() == nil {
		c.store.mu.Lock()
		version, away := c.store.version, c.store.away
		c.store.mu.Unlock()
		c.mu.Lock()
		if !away && !c.cut {
			c.set(version)
			c.heard, c.fresh = time.Now(), time.Now()
		}
		c.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// cutOff takes the store away from this daemon alone.
func (c *copied) cutOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
}

func (c *copied) OwnLoads() []LoadItem {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own
}

func (c *copied) TakeOthers(others Loads) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.others, c.daemons, c.age = others.Items, others.Daemons, others.Age
}

func (c *copied) TakeSuspects() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.suspects
	c.suspects = nil
	return out
}

func (c *copied) TakeConditions(known map[string]Condition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conditions = known
}

func (c *copied) RefuseLoads(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused += n
}

// chain runs daemons of which each follows the one before it.
type chain struct {
	store  *copySource
	nodes  []*Node
	copies []*copied
	stop   []func()
}

func newChain(t *testing.T, n int) *chain {
	return newChainOf(t, n, &copySource{version: 1}, Options{FanOut: 1})
}

// newChainOf starts n daemons of one domain; o is what they have in common.
// gone are daemons whose records are still there.
func newChainOf(t *testing.T, n int, s *copySource, o Options, gone ...Member) *chain {
	c := &chain{store: s}
	all := everybody(gone)
	servers := make([]*httptest.Server, n)
	for i := range n {
		servers[i] = httptest.NewUnstartedServer(nil)
		all = append(all, Member{Name: daemonName(i), Domain: "d", Address: servers[i].Listener.Addr().String()})
	}
	for i := range n {
		inv := newCopied(c.store)
		inv.own = []LoadItem{{Server: "s", Running: 1 << i}}
		o := o
		o.Name, o.Domain = daemonName(i), "d"
		node := New(o, inv, inv, all, log.NewNopLogger())
		c.nodes, c.copies, c.stop = append(c.nodes, node), append(c.copies, inv), append(c.stop, start(t, node, servers[i]))
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

// readers names the daemons that follow the store itself.
func (c *chain) readers() string {
	var out []string
	for i, n := range c.nodes {
		if n.Reading() {
			out = append(out, daemonName(i))
		}
	}
	return strings.Join(out, " ")
}

func (c *chain) allHave(version uint64, but int) bool {
	for i, inv := range c.copies {
		if i != but && inv.State().ConfigVersion != version {
			return false
		}
	}
	return true
}

// Changes and loads travel through daemons that follow others, and only the
// first daemon reads the store.
func TestStateAndLoadsTravelDownAChain(t *testing.T) {
	t.Parallel()
	c := newChain(t, 4)
	require.Eventually(t, func() bool { return c.allHave(1, -1) && c.readers() == daemonName(0) }, 6*time.Second, 10*time.Millisecond)
	c.publish(2)
	require.Eventually(t, func() bool { return c.allHave(2, -1) }, time.Second, 5*time.Millisecond)
	for i, inv := range c.copies {
		want := 1 + 2 + 4 + 8 - 1<<i
		require.Eventually(t, func() bool {
			inv.mu.Lock()
			defer inv.mu.Unlock()
			return len(inv.others) == 1 && inv.others[0].Running == want && inv.daemons == 3
		}, 10*time.Second, 20*time.Millisecond, daemonName(i))
	}
	for i, inv := range c.copies[1:] {
		require.Equal(t, 1, inv.applied, "%s got one full state", daemonName(i+1))
		require.Less(t, inv.Age(time.Now()), 3*time.Second)
	}
}

// The loads of the others are told with their age, which grows with each step.
func TestAgeOfLoadsIsTold(t *testing.T) {
	t.Parallel()
	c := newChain(t, 3)
	last := c.copies[2]
	require.Eventually(t, func() bool {
		last.mu.Lock()
		defer last.mu.Unlock()
		return last.daemons == 2 && last.age > 0
	}, 10*time.Second, 20*time.Millisecond)
	last.mu.Lock()
	defer last.mu.Unlock()
	require.Less(t, last.age, 2*loadTTL(1), "each of two steps drops older ones")
}

// Only the first daemon of a domain reads the store at a start, also before it has
// answers: the second waits for it, and so nobody follows the second and is left.
func TestSecondDaemonWaitsForTheFirst(t *testing.T) {
	t.Parallel()
	c := newChainOf(t, 3, &copySource{version: 1, away: true}, Options{FanOut: 1})
	time.AfterFunc(500*time.Millisecond, func() {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		c.store.away = false
	})
	require.Never(t, func() bool { return c.nodes[1].Reading() || c.nodes[2].Reading() }, 2*time.Second, time.Millisecond)
	require.True(t, c.allHave(1, -1))
}

// A domain that starts knows the configuration within a second also when its first VM
// is gone for good but not yet its record: nothing answers there, not even by a reset.
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
	c := newChainOf(t, 10, &copySource{version: 1}, o, gone)
	require.Eventually(t, func() bool { return c.allHave(1, -1) }, 6*time.Second, 10*time.Millisecond)
	require.Less(t, time.Since(began), 1300*time.Millisecond, "callers are held for 0.9 s from the start")
	require.Equal(t, daemonName(0), c.readers())
}

// When a daemon in the middle is lost, those below it go on without it.
func TestLossInTheMiddleOfAChain(t *testing.T) {
	t.Parallel()
	c := newChain(t, 4)
	require.Eventually(t, func() bool { return c.allHave(1, -1) && c.readers() == daemonName(0) }, 6*time.Second, 10*time.Millisecond)
	c.stop[2]()
	c.publish(2)
	began := time.Now()
	require.Eventually(t, func() bool { return c.allHave(2, 2) }, 3*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(began), 2*time.Second, "the bound on configurations")
}

// A daemon that knows the configuration but not yet all backend servers is no
// source: its followers would take those it lacks to be gone.
func TestDaemonWithoutAFullListIsNoSource(t *testing.T) {
	t.Parallel()
	inv := newCopied(&copySource{})
	inv.state = &inventory.State{ConfigVersion: 1}
	inv.heard = time.Now()
	n := New(Options{Name: daemonName(0), Domain: "d"}, inv, inv, everybody{}, log.NewNopLogger())
	n.reading.Store(true)
	srv := httptest.NewServer(n)
	t.Cleanup(srv.Close)
	follower := New(Options{Name: daemonName(1), Domain: "d"}, inv, inv, everybody{}, log.NewNopLogger())
	first := Member{Name: daemonName(0), Domain: "d", Address: srv.Listener.Addr().String()}
	require.ErrorIs(t, follower.probe(t.Context(), first), errEarly)
	inv.mu.Lock()
	inv.state = &inventory.State{ConfigVersion: 1, Complete: true}
	inv.mu.Unlock()
	require.ErrorIs(t, follower.probe(t.Context(), first), errFound)
}

// A daemon that has all there is to know, but not yet its source's word on how
// fresh that is, is about to be a source: who starts below it waits. One that lost
// its source is none, and is passed over.
func TestDaemonThatIsAboutToBeASourceIsWaitedFor(t *testing.T) {
	t.Parallel()
	inv := newCopied(&copySource{})
	inv.state = &inventory.State{ConfigVersion: 1, Complete: true}
	n := New(Options{Name: daemonName(1), Domain: "d"}, inv, inv, everybody{}, log.NewNopLogger())
	srv := httptest.NewServer(n)
	t.Cleanup(srv.Close)
	above := Member{Name: daemonName(1), Domain: "d", Address: srv.Listener.Addr().String()}
	follower := New(Options{Name: daemonName(2), Domain: "d"}, inv, inv, everybody{}, log.NewNopLogger())
	require.ErrorIs(t, follower.probe(t.Context(), above), errEarly)
	n.noteUpstream(t.Context(), 0, time.Now())
	require.ErrorIs(t, follower.probe(t.Context(), above), errFound)
	n.forgetUpstream()
	err := follower.probe(t.Context(), above)
	require.Error(t, err)
	require.NotErrorIs(t, err, errEarly)
	require.NotErrorIs(t, err, errFound)
}

// When the first daemon hears nothing from the store any more, nobody below it
// counts as a source.
func TestChainWithoutTheStoreIsNoSource(t *testing.T) {
	t.Parallel()
	c := newChain(t, 3)
	require.Eventually(t, func() bool { return c.allHave(1, -1) && c.readers() == daemonName(0) }, 6*time.Second, 10*time.Millisecond)
	c.store.mu.Lock()
	c.store.away = true
	c.store.mu.Unlock()
	require.Eventually(t, func() bool {
		now := time.Now()
		return !c.nodes[0].sound(now) && !c.nodes[1].sound(now) && !c.nodes[2].sound(now)
	}, 3*time.Second, 10*time.Millisecond)
}
