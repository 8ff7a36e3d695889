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

// cluster is an inventory, a duty and backend servers in one; it implements what
// a placer needs.
type cluster struct {
	mu      sync.Mutex
	held    bool
	servers map[string]*site.BackendServer
	orders  map[string][]site.Range
	late    map[string]time.Duration // after which the first order, without an answer, arrives
	failed  map[string]bool
	dead    map[string]bool
	changed chan struct{}
	onOrder func()
	load    time.Duration // of the whole model
	bound   int           // as last told, in requests
	routes  []*site.Route
	dropped int // orders to drop layers at once
}

func newCluster(cards int) *cluster {
	c := &cluster{
		held: true, load: time.Second, servers: map[string]*site.BackendServer{}, orders: map[string][]site.Range{}, late: map[string]time.Duration{},
		failed: map[string]bool{}, dead: map[string]bool{}, changed: make(chan struct{}),
	}
	for i := range cards {
		c.add(fmt.Sprintf("card-%d", i))
	}
	return c
}

// add registers an empty card.
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
		// With room for 46 requests a large card holds two layers and another one, with
		// less room three and two.
		Kinds: map[string]site.Accelerator{
			"large": {MemoryMB: 340, Pace: 1, ReadPace: 1},
			"card":  {MemoryMB: 230, Pace: 1, ReadPace: 1},
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
	if late, ok := c.late[s.ID]; ok {
		delete(c.late, s.ID)
		time.AfterFunc(late, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			_ = c.take(s.ID, layers, after)
		})
		return execution.ErrLost
	}
	return c.take(s.ID, layers, after)
}

// take carries an order out if just so many came before it. The caller holds the
// lock.
func (c *cluster) take(id string, layers site.Range, after uint64) error {
	if int(after) != len(c.orders[id]) {
		return forward.ErrOrderRefused
	}
	c.orders[id] = append(c.orders[id], layers)
	held := *c.servers[id]
	held.Held = layers
	c.servers[id] = &held
	return nil
}

// layersOf returns the layers that a card holds.
func (c *cluster) layersOf(id string) site.Range {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[id].Held
}

// remove takes a card away.
func (c *cluster) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.servers, id)
}

func (c *cluster) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, o := range c.orders {
		n += len(o)
	}
	return n
}

func (c *cluster) taken(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.orders[id])
}

// kill lets a card die that holds so many layers.
func (c *cluster) kill(t *testing.T, layers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.servers {
		if s.Held.Len() == layers {
			c.failed[id], c.dead[id] = true, true
			return
		}
	}
	require.Fail(t, "no card holds so many layers")
}

func run(t *testing.T, c *cluster) {
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

func TestPlacesOnceAndThenLeavesTheCardsAlone(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(4)
		run(t, c)
		time.Sleep(settle / 2)
		require.Zero(t, c.total(), "more cards may register")
		time.Sleep(time.Minute)
		require.Equal(t, 4, c.total())
		c.mu.Lock()
		defer c.mu.Unlock()
		require.Positive(t, c.bound)
	})
}

func TestWithoutTheDutyNoOrders(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(4)
		c.held = false
		run(t, c)
		time.Sleep(time.Minute)
		require.Zero(t, c.total())
	})
}

func TestDutyLostBetweenOrdersStopsTheRest(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(40)
		c.onOrder = func() { c.held = false }
		run(t, c)
		time.Sleep(time.Minute)
		require.LessOrEqual(t, c.total(), ordersAtOnce)
	})
}

// An order without an answer is given again soon, and names the same orders before
// it: of the two, whenever the first is carried out, only one is.
func TestOrderWithoutAnAnswerMayStillBeCarriedOut(t *testing.T) {
	for _, late := range []time.Duration{0, orderAgain / 2, 5 * time.Second, 12 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				c := newCluster(4)
				c.late["card-0"] = late
				run(t, c)
				time.Sleep(settle + 2*round + 2*orderAgain)
				require.Equal(t, 1, c.taken("card-0"), "it does not wait for the late one")
				held := c.layersOf("card-0")
				require.Positive(t, held.Len())
				time.Sleep(20 * time.Second)
				require.Equal(t, 1, c.taken("card-0"), "the late one is not carried out on top of it")
				require.Equal(t, held, c.layersOf("card-0"))
			})
		})
	}
}

func TestCardThatLooksDeadIsReplacedBeforeItsRecordLapses(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(3) // they hold two layers, one and one
		run(t, c)
		time.Sleep(10 * time.Second)
		before := c.total()
		c.kill(t, 1)
		time.Sleep(3 * time.Second)
		require.Greater(t, c.total(), before, "a neighbour takes its layer over")
	})
}

func TestCardThatJustCameIsKeptForOneThatLeaves(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(2)
		run(t, c)
		time.Sleep(10 * time.Second)
		require.Zero(t, c.taken("card-new"))
		c.add("card-new")
		time.Sleep(freshFor - 2*round)
		require.Zero(t, c.taken("card-new"), "one may be about to leave")
		time.Sleep(4 * round)
		require.Equal(t, 1, c.taken("card-new"))
	})
}

func TestCardThatIsStartedAgainIsUsedAtOnce(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(3)
		run(t, c)
		time.Sleep(10 * time.Second)
		c.remove("card-0")
		time.Sleep(5 * time.Second)
		c.addAt("card-0-again", "card-0")
		time.Sleep(2 * round)
		require.Equal(t, 1, c.taken("card-0-again"))
	})
}

func TestPipelineIsLaidOutAnewOnlyAfterAWhile(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(3)
		c.load = 20 * time.Second
		run(t, c)
		time.Sleep(10 * time.Second)
		before := c.total()
		c.kill(t, 2) // the others would read weights for longer than it may be away
		time.Sleep(patience - time.Second)
		require.Equal(t, before, c.total(), "the card may come back")
		time.Sleep(3 * time.Second)
		require.Greater(t, c.total(), before)
	})
}

// Requests that cannot go on elsewhere would be lost with the layers they pass: then
// layers are dropped only when nothing passes them.
func TestLayersAreDroppedAtOnceOnlyUnderRepeatableRequests(t *testing.T) {
	for name, resumable := range map[string]bool{"resumable": true, "not resumable": false} {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				c := newCluster(3)
				c.routes = []*site.Route{{
					Name: "r", Host: "h", Prefix: "/", Repeat: site.Stream, Resumable: resumable, Targets: []site.Target{{Service: model, Weight: 1}},
				}}
				run(t, c)
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

// A backend server whose record vanishes without a sign of death may still serve: the
// requests that pass it and others are not stopped for its layers.
func TestLayersAreKeptWhileOneThatLeftMayServe(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		c := newCluster(3)
		run(t, c)
		time.Sleep(10 * time.Second)
		before := c.total()
		for id, s := range c.View().Servers {
			if s.Held.Len() == 1 {
				c.remove(id)
				break
			}
		}
		time.Sleep(3 * time.Second)
		require.Greater(t, c.total(), before, "its layer is taken over")
		c.mu.Lock()
		defer c.mu.Unlock()
		require.Zero(t, c.dropped)
	})
}
