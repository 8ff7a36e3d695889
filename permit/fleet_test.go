package permit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/quota"
)

// virtualFleet is a number of daemons that enforce limits together over links in memory.
type virtualFleet struct {
	net    *memnet.Net
	all    []Member
	nodes  []*Node
	limits []*quota.Limits

	mu    sync.Mutex
	calls []time.Time // permitted calls
}

func newVirtualFleet(t *testing.T, ctx context.Context, daemons int) *virtualFleet {
	f := &virtualFleet{net: memnet.New()}
	for i := range daemons {
		f.all = append(f.all, Member{Name: daemonName(i), Address: host(i) + ":80"})
	}
	for i := range daemons {
		limits, sends := quota.NewLimits(), quota.NewSends()
		here := f.net.Host(host(i))
		node := New(Options{
			Name: daemonName(i), Members: func() []Member { return f.all }, Client: network.Client(here, 1), Scheme: "http",
			Limits: limits, Sends: sends, Pool: quota.NewPool(daemonName(i), limits, sends), Logger: log.NewNopLogger(),
			ApplyLimit: func(r quota.LimitReport, _ string) { limits.Apply(r) },
		})
		f.nodes, f.limits = append(f.nodes, node), append(f.limits, limits)
		server := &memnet.Server{Net: hostNet{here, f.all[i].Address}, Handler: node}
		require.NoError(t, server.Start())
		t.Cleanup(server.Close)
		go node.Run(ctx)
	}
	return f
}

// hostNet listens at one address of a host, whatever address is requested.
type hostNet struct {
	*memnet.Host
	address string
}

// Listen implements network.Network.
func (h hostNet) Listen(string) (net.Listener, error) { return h.Host.Listen(h.address) }

// host returns a daemon's address without its port.
func host(i int) string { return fmt.Sprintf("10.0.%d.%d", i/250, 1+i%250) }

// countKnown returns how many daemons know a limit.
func (f *virtualFleet) countKnown() int {
	n := 0
	for _, l := range f.limits {
		n += l.Size()
	}
	return n
}

// call makes perSecond calls a second at random daemons until ctx ends.
func (f *virtualFleet) call(ctx context.Context, perSecond float64, rng *rand.Rand) {
	for wait.For(ctx, time.Duration(rng.ExpFloat64()/perSecond*float64(time.Second))) {
		n := f.nodes[rng.IntN(len(f.nodes))]
		if n.Permit(ctx, quota.PermitRequest{Servers: []string{"s"}, Class: quota.Class{Workspace: "w"}}).Granted {
			f.mu.Lock()
			f.calls = append(f.calls, time.Now())
			f.mu.Unlock()
		}
	}
}

// between returns the number of calls after from and up to to.
func (f *virtualFleet) between(from, to time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.calls {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// isolate cuts the links between a daemon and all others.
func (f *virtualFleet) isolate(i int) {
	for j := range f.nodes {
		if j != i {
			f.net.Cut(host(i), host(j))
		}
	}
}

// A limit reported to one daemon is known to all within half a second. The daemons use the
// limit and do not exceed it, also while the allocator is isolated and after it returns.
func TestFleetKeepsALimitWhileItsAllocatorIsIsolated(t *testing.T) {
	const rate = 8.0
	for _, c := range []struct {
		daemons int
		minUsed float64
	}{{3, 0.9}, {8, 0.9}, {73, 0.8}, {300, 0.8}} {
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newVirtualFleet(t, ctx, c.daemons)
				time.Sleep(2*preferredCheckInterval + time.Second) // all daemons have linked to the first one
				start := time.Now()
				now := boottime.Now()
				f.limits[c.daemons/2].Apply(quota.LimitReport{Server: "s", Stated: true, Rate: rate, SentAt: now, At: now})
				for f.countKnown() < c.daemons && time.Since(start) < time.Second {
					time.Sleep(time.Millisecond)
				}
				t.Logf("known to all after %s", time.Since(start))
				assert.LessOrEqual(t, time.Since(start), 500*time.Millisecond)

				var callers sync.WaitGroup
				callers.Go(func() { f.call(ctx, 3*rate, rand.New(rand.NewPCG(uint64(c.daemons), 5))) })
				time.Sleep(20 * time.Second)
				used := float64(f.between(time.Now().Add(-15*time.Second), time.Now())) / rate / 15
				first := slices.IndexFunc(f.all, func(m Member) bool { return m.Name == f.nodes[0].allocators()[0].Name })
				f.isolate(first)
				time.Sleep(6 * time.Second)
				isolated := float64(f.between(time.Now().Add(-3*time.Second), time.Now())) / rate / 3
				f.net.Heal()
				time.Sleep(8 * time.Second)
				cancel()
				callers.Wait()
				t.Logf("used %.2f of the limit, %.2f without the allocator", used, isolated)
				assert.GreaterOrEqual(t, used, c.minUsed)
				assert.GreaterOrEqual(t, isolated, 0.5, "the others have a common allocator again")
				maxCalls := 0
				for _, end := range f.calls {
					maxCalls = max(maxCalls, f.between(end.Add(-quota.Window), end))
				}
				t.Logf("%d calls in four seconds at most", maxCalls)
				assert.LessOrEqual(t, float64(maxCalls), 1.5*rate*quota.Window.Seconds()+5)
				time.Sleep(time.Second)
			})
		})
	}
}
