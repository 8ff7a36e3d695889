package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/store"
)

// fakeMembers is the list of the daemons of one daemon.
type fakeMembers struct {
	mu       sync.Mutex
	all      []Member
	listedAt store.Position
	changed  chan struct{}
}

func newFakeMembers(all []Member) *fakeMembers {
	return &fakeMembers{all: all, changed: make(chan struct{})}
}

func (f *fakeMembers) All() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.all
}

func (f *fakeMembers) Era() uint64 { return 1 }

func (f *fakeMembers) ListedAt() store.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listedAt
}

func (f *fakeMembers) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeMembers) Apply(all []Member, _ uint64) { f.set(all, 0) }

// set sets the list, and the position at which it was read unless that is 0.
func (f *fakeMembers) set(all []Member, at store.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all, f.listedAt = all, max(f.listedAt, at)
	close(f.changed)
	f.changed = make(chan struct{})
}

// virtualFleet runs the relays of several failure domains on a network in memory.
type virtualFleet struct {
	store   *fakeStore
	net     *memnet.Net
	all     []Member
	nodes   []*Node
	invs    []*fakeInventory
	members []*fakeMembers
	frozen  []atomic.Bool // accept connections and answer none
}

// hostNet listens at one address of a host, whatever address is requested.
type hostNet struct {
	*memnet.Host
	address string
}

// Listen implements network.Network.
func (h hostNet) Listen(string) (net.Listener, error) { return h.Host.Listen(h.address) }

// host returns the address of a daemon without its port.
func host(i int) string { return fmt.Sprintf("10.0.%d.%d", i/250, 1+i%250) }

// connectionLinger exceeds the time for which a closed connection still writes queued data. A
// bubble whose clock stops before that ends in a deadlock.
const connectionLinger = 2 * time.Second

// newVirtualFleet starts daemons that are spread over failure domains. It must run in
// virtual time; the daemons stop with ctx.
func newVirtualFleet(t *testing.T, ctx context.Context, daemons, domains int, maxConfigDelay time.Duration) *virtualFleet {
	f := &virtualFleet{net: memnet.New(), store: &fakeStore{version: 1}}
	t.Cleanup(func() { time.Sleep(connectionLinger) }) // after all other cleanup
	for i := range daemons {
		f.all = append(f.all, Member{Name: fmt.Sprintf("d-%04d", i), Domain: fmt.Sprint("domain-", i%domains), Address: host(i) + ":80"})
	}
	f.frozen = make([]atomic.Bool, daemons)
	var ended sync.WaitGroup
	for i, m := range f.all {
		inv, members := newFakeInventory(f.store), newFakeMembers(f.all)
		h := f.net.Host(host(i))
		node := New(Options{Name: m.Name, Domain: m.Domain, MaxConfigDelay: maxConfigDelay, StoreAnswers: inv.storeAnswers, Connect: h.DialContext}, inv, inv, members, log.NewNopLogger())
		server := &memnet.Server{Net: hostNet{h, m.Address}, Handler: f.freezable(i, node)}
		require.NoError(t, server.Start())
		t.Cleanup(server.Close)
		f.nodes, f.invs, f.members = append(f.nodes, node), append(f.invs, inv), append(f.members, members)
		ended.Go(func() { node.Run(ctx) })
	}
	t.Cleanup(ended.Wait)
	return f
}

// freezable returns a handler that does not answer while the daemon is frozen.
func (f *virtualFleet) freezable(i int, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.frozen[i].Load() {
			<-r.Context().Done()
			return
		}
		h.ServeHTTP(w, r)
	})
}

// freeze freezes daemons and ends their links.
func (f *virtualFleet) freeze(daemons []int) {
	for _, i := range daemons {
		f.frozen[i].Store(true)
		for j := range f.all {
			if j != i {
				f.net.Cut(host(i), host(j))
			}
		}
	}
	f.net.Heal()
}

// storeFollowers returns how many daemons follow the store.
func (f *virtualFleet) storeFollowers() (n int) {
	for _, node := range f.nodes {
		if node.FollowsStore() {
			n++
		}
	}
	return n
}

// lacking returns the names of the given daemons whose configuration is older than version.
func (f *virtualFleet) lacking(daemons []int, version uint64) (out []string) {
	for _, i := range daemons {
		if f.invs[i].State().ConfigVersion < version {
			out = append(out, f.all[i].Name)
		}
	}
	return out
}

func (f *virtualFleet) publish(version uint64) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.version = version
}

// awaitVersion waits until all given daemons have a version, and returns how long it took.
func (f *virtualFleet) awaitVersion(t *testing.T, daemons []int, version uint64, longest time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for len(f.lacking(daemons, version)) > 0 {
		if time.Since(began) > longest {
			require.Failf(t, "configuration not in force", "version %d after %s at %s", version, longest, strings.Join(f.lacking(daemons, version), " "))
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// daemonsOf returns the indices of all daemons that keep selects.
func (f *virtualFleet) daemonsOf(keep func(i int) bool) (out []int) {
	for i := range f.all {
		if keep(i) {
			out = append(out, i)
		}
	}
	return out
}

func everyDaemon(int) bool { return true }

// A daemon that joins must become known to a whole fleet within seconds, and so must the
// position up to which all failure domains have listed the records.
func TestListOfDaemonsReachesAll(t *testing.T) {
	for _, daemons := range []int{6, 86, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			inVirtualFleet(t, daemons, 3, func(f *virtualFleet) {
				f.awaitVersion(t, f.daemonsOf(everyDaemon), 1, 10*time.Second)
				time.Sleep(3 * time.Second)
				joined := slices.Insert(slices.Clone(f.all), 0, Member{Name: "c-0000", Domain: "domain-0", Address: "10.1.0.1:80"})
				began := time.Now()
				for i, node := range f.nodes {
					if node.FollowsStore() {
						f.members[i].set(joined, store.Position(7))
					}
				}
				f.awaitList(t, joined, 2*time.Second)
				t.Logf("known to all after %s", time.Since(began))
				// The sources exchange positions; the next list sends them down.
				time.Sleep(2 * exchangeInterval)
				for i, node := range f.nodes {
					if node.FollowsStore() {
						f.members[i].set(joined, store.Position(8))
					}
				}
				time.Sleep(2 * time.Second)
				for i, node := range f.nodes {
					require.GreaterOrEqual(t, node.ListedByAll(), store.Position(7), f.all[i].Name)
				}
			})
		})
	}
}

// awaitList waits until all daemons have a list.
func (f *virtualFleet) awaitList(t *testing.T, want []Member, longest time.Duration) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		lacking := f.daemonsOf(func(i int) bool { return !slices.Equal(f.members[i].All(), want) })
		if len(lacking) == 0 {
			return
		}
		require.Less(t, time.Since(began), longest, "%d daemons lack the list", len(lacking))
	}
}
