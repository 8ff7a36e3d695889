package placer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/forward"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/site"
)

const model = "model"

// cluster simulates the backend servers of one service. It implements Lease, Inventory,
// Backends, Health and Observer.
type cluster struct {
	mu      sync.Mutex
	held    bool
	servers map[string]*site.BackendServer
	orders  map[string][]site.Range
	delays  map[string]time.Duration // delay of the first order, which gets no answer
	failed  map[string]bool
	leaving map[string]bool
	dead    map[string]bool
	changed chan struct{}
	onOrder func()
	load    time.Duration // time to load all layers
	bound   int           // last observed value, in requests
	routes  []*site.Route
	dropped int // number of orders that drop layers at once
}

func newCluster(servers int) *cluster {
	c := &cluster{
		held: true, load: time.Second, servers: map[string]*site.BackendServer{}, orders: map[string][]site.Range{}, delays: map[string]time.Duration{},
		failed: map[string]bool{}, leaving: map[string]bool{}, dead: map[string]bool{}, changed: make(chan struct{}),
	}
	for i := range servers {
		c.add(fmt.Sprintf("card-%d", i))
	}
	return c
}

// add registers an empty backend server.
func (c *cluster) add(id string) { c.addAt(id, id) }

func (c *cluster) addAt(id, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := "card"
	if id == "card-0" {
		kind = "large"
	}
	c.servers[id] = &site.BackendServer{ID: id, Address: address, Service: model, FailureDomain: "a", Kind: kind, Slots: 100}
}

func (c *cluster) Held() (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 1, c.held
}

func (c *cluster) View() *inventory.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := &site.Engine{
		Slots: 100, Layers: 4, LayerMB: 100, KVTokenBytes: 400000, Prompt: 10, Answer: 10,
		// With capacity for 46 requests the large backend server holds two layers and
		// others one, with less capacity three and two.
		Kinds: map[string]site.Accelerator{
			"large": {MemoryMB: 340, Slowdown: 1, PrefillSlowdown: 1},
			"card":  {MemoryMB: 230, Slowdown: 1, PrefillSlowdown: 1},
		},
		Models: []site.EngineModel{{Name: "m", Load: c.load}},
	}
	servers := map[string]*site.BackendServer{}
	for id, s := range c.servers {
		servers[id] = s
	}
	return inventory.NewView(site.NewConfig(1, site.Limits{}, c.routes, []*site.Service{{Name: model, Engine: e}}, nil), servers)
}

func (c *cluster) Changed() <-chan struct{} { return c.changed }

func (c *cluster) Bound(_ string, requests int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bound = requests
}

func (c *cluster) Failed(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed[id]
}

func (c *cluster) Leaving(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving[id]
}

func (c *cluster) Report(_ context.Context, s *site.BackendServer) (forward.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead[s.ID] {
		return forward.Report{}, execution.ErrNotSent
	}
	return forward.Report{Orders: uint64(len(c.orders[s.ID]))}, nil
}

func (c *cluster) Hold(_ context.Context, s *site.BackendServer, layers site.Range, atOnce bool, after, _ uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.onOrder != nil {
		c.onOrder()
	}
	if atOnce {
		c.dropped++
	}
	if delay, ok := c.delays[s.ID]; ok {
		delete(c.delays, s.ID)
		time.AfterFunc(delay, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			_ = c.apply(s.ID, layers, after)
		})
		return execution.ErrLost
	}
	return c.apply(s.ID, layers, after)
}

// apply carries out an order if its number of previous orders is correct. c.mu must be
// held.
func (c *cluster) apply(id string, layers site.Range, after uint64) error {
	if int(after) != len(c.orders[id]) {
		return forward.ErrOrderRefused
	}
	c.orders[id] = append(c.orders[id], layers)
	held := *c.servers[id]
	held.Held = layers
	c.servers[id] = &held
	return nil
}

// layersOf returns the layers that a backend server holds.
func (c *cluster) layersOf(id string) site.Range {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[id].Held
}

// remove deletes the record of a backend server.
func (c *cluster) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.servers, id)
}

func (c *cluster) totalOrders() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, o := range c.orders {
		n += len(o)
	}
	return n
}

func (c *cluster) orderCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.orders[id])
}

// kill makes a backend server that holds the given number of layers fail.
func (c *cluster) kill(t *testing.T, layers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.servers {
		if s.Held.Len() == layers {
			c.failed[id], c.dead[id] = true, true
			return
		}
	}
	require.Fail(t, "no backend server holds this number of layers")
}

// startPlacer runs a placer until the end of the test.
func startPlacer(t *testing.T, c *cluster) {
	p := New(c, c, c, c, c, log.NewNopLogger())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func TestPlacesOnce(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(4)
		startPlacer(t, c)
		time.Sleep(settleDelay / 2)
		require.Zero(t, c.totalOrders(), "more backend servers may register")
		time.Sleep(time.Minute)
		require.Equal(t, 4, c.totalOrders())
		c.mu.Lock()
		defer c.mu.Unlock()
		require.Positive(t, c.bound)
	})
}

func TestNoOrdersWithoutLease(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(4)
		c.held = false
		startPlacer(t, c)
		time.Sleep(time.Minute)
		require.Zero(t, c.totalOrders())
	})
}

func TestLosingLeaseStopsRemainingOrders(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(40)
		c.onOrder = func() { c.held = false }
		startPlacer(t, c)
		time.Sleep(time.Minute)
		require.LessOrEqual(t, c.totalOrders(), maxConcurrentOrders)
	})
}

// An unanswered order is retried with the same number of previous orders, so that the order
// and its retry are not both carried out.
func TestUnansweredOrderIsCarriedOutOnce(t *testing.T) {
	for _, delay := range []time.Duration{0, orderRetryDelay / 2, 5 * time.Second, 12 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				c := newCluster(4)
				c.delays["card-0"] = delay
				startPlacer(t, c)
				time.Sleep(settleDelay + 2*pollInterval + 2*orderRetryDelay)
				require.Equal(t, 1, c.orderCount("card-0"), "the retry does not wait for the delayed order")
				held := c.layersOf("card-0")
				require.Positive(t, held.Len())
				time.Sleep(20 * time.Second)
				require.Equal(t, 1, c.orderCount("card-0"), "the delayed order is not carried out as well")
				require.Equal(t, held, c.layersOf("card-0"))
			})
		})
	}
}

func TestDeadServerIsReplacedBeforeItsRecordExpires(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(3) // the servers hold two layers, one and one
		startPlacer(t, c)
		time.Sleep(10 * time.Second)
		before := c.totalOrders()
		c.kill(t, 1)
		time.Sleep(3 * time.Second)
		require.Greater(t, c.totalOrders(), before, "a neighbor takes over its layer")
	})
}

// The record of the backend server that leaves still calls it ready.
func TestServerThatStatesLeavingIsReplaced(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(3)
		startPlacer(t, c)
		time.Sleep(10 * time.Second)
		c.mu.Lock()
		c.leaving["card-0"] = true
		c.mu.Unlock()
		orders := c.orderCount("card-0")
		c.add("card-new")
		time.Sleep(2 * pollInterval)
		require.Equal(t, 1, c.orderCount("card-new"), "it is not reserved for another that leaves")
		time.Sleep(10 * time.Second)
		require.Equal(t, orders, c.orderCount("card-0"))
	})
}

func TestFreshServerIsReserved(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(2)
		startPlacer(t, c)
		time.Sleep(10 * time.Second)
		require.Zero(t, c.orderCount("card-new"))
		c.add("card-new")
		time.Sleep(freshPeriod - 2*pollInterval)
		require.Zero(t, c.orderCount("card-new"), "another server may be about to drain")
		time.Sleep(4 * pollInterval)
		require.Equal(t, 1, c.orderCount("card-new"))
	})
}

func TestRestartedServerIsUsedAtOnce(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(3)
		startPlacer(t, c)
		time.Sleep(10 * time.Second)
		c.remove("card-0")
		time.Sleep(5 * time.Second)
		c.addAt("card-0-again", "card-0")
		time.Sleep(2 * pollInterval)
		require.Equal(t, 1, c.orderCount("card-0-again"))
	})
}

func TestPipelineIsRebuiltOnlyAfterDelay(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(3)
		c.load = 20 * time.Second
		startPlacer(t, c)
		time.Sleep(10 * time.Second)
		before := c.totalOrders()
		c.kill(t, 2) // loading weights takes the others longer than a crashed server takes to return
		time.Sleep(rebuildDelay - time.Second)
		require.Equal(t, before, c.totalOrders(), "the server may return")
		time.Sleep(3 * time.Second)
		require.Greater(t, c.totalOrders(), before)
	})
}

// Layers are not dropped at once if the requests on them cannot be resumed elsewhere.
func TestLayersAreDroppedAtOnceOnlyWithRepeatableRequests(t *testing.T) {
	for name, resumable := range map[string]bool{"resumable": true, "not resumable": false} {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				c := newCluster(3)
				c.routes = []*site.Route{{
					Name: "r", Host: "h", Prefix: "/", Kind: site.Stream, Resumable: resumable, Targets: []site.Target{{Service: model, Weight: 1}},
				}}
				startPlacer(t, c)
				time.Sleep(10 * time.Second)
				c.kill(t, 1)
				time.Sleep(time.Minute)
				c.mu.Lock()
				defer c.mu.Unlock()
				require.Equal(t, resumable, c.dropped > 0)
			})
		})
	}
}

// A backend server may still serve after its record was removed without a sign of failure.
// The layers of requests that pass through the server must not be dropped.
func TestLayersAreKeptWhileDepartedServerMayServe(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(3)
		startPlacer(t, c)
		time.Sleep(10 * time.Second)
		before := c.totalOrders()
		for id, s := range c.View().Servers {
			if s.Held.Len() == 1 {
				c.remove(id)
				break
			}
		}
		time.Sleep(3 * time.Second)
		require.Greater(t, c.totalOrders(), before, "its layer is taken over")
		c.mu.Lock()
		defer c.mu.Unlock()
		require.Zero(t, c.dropped)
	})
}
