package permit

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/quota"
)

// daemonName names the i-th daemon.
func daemonName(i int) string { return fmt.Sprintf("d-%03d", i) }

// realFleet is a number of daemons that enforce limits together over local connections.
type realFleet struct {
	all    []Member
	nodes  []*Node
	stop   []func()
	limits []*quota.Limits
	sends  []*quota.Sends
}

func newRealFleet(t *testing.T, daemons int) *realFleet {
	f := &realFleet{}
	servers := make([]*httptest.Server, daemons)
	for i := range daemons {
		servers[i] = httptest.NewUnstartedServer(nil)
		f.all = append(f.all, Member{Name: daemonName(i), Address: servers[i].Listener.Addr().String()})
	}
	for i := range daemons {
		limits, sends := quota.NewLimits(), quota.NewSends()
		node := New(Options{
			Name: daemonName(i), Members: func() []Member { return f.all }, Client: http.DefaultClient, Scheme: "http",
			Limits: limits, Sends: sends, Pool: quota.NewPool(daemonName(i), limits, sends), Logger: log.NewNopLogger(),
			ApplyLimit: func(r quota.LimitReport, _ string) { limits.Apply(r) },
		})
		servers[i].Config.Handler = node
		servers[i].Start()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			node.Run(ctx)
		}()
		stop := sync.OnceFunc(func() {
			cancel()
			<-ended
			servers[i].CloseClientConnections()
			servers[i].Close()
		})
		t.Cleanup(stop)
		f.nodes, f.stop, f.limits, f.sends = append(f.nodes, node), append(f.stop, stop), append(f.limits, limits), append(f.sends, sends)
	}
	return f
}

// first returns the daemon that all prefer as their allocator.
func (f *realFleet) first() int {
	name := f.nodes[0].allocators()[0].Name
	return slices.IndexFunc(f.all, func(m Member) bool { return m.Name == name })
}

// waitForLinks waits until all other running daemons are linked to a daemon.
func (f *realFleet) waitForLinks(t *testing.T, to int, running []int) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, i := range running {
			a := f.nodes[i].allocator.Load()
			if i != to && (a == nil || a.name != f.all[to].Name) {
				return false
			}
		}
		return true
	}, 5*time.Second, 5*time.Millisecond)
}

// stateLimit reports a limit to one daemon.
func (f *realFleet) stateLimit(daemon int, rate float64) {
	now := boottime.Now()
	f.limits[daemon].Apply(quota.LimitReport{Server: "s", Stated: true, Rate: rate, SentAt: now.Add(-time.Millisecond), At: now})
}

// take requests permits at some daemons repeatedly for a time, and returns how many were
// granted.
func (f *realFleet) take(daemons []int, length time.Duration) (granted int64) {
	var n atomic.Int64
	var wg sync.WaitGroup
	for _, i := range daemons {
		wg.Go(func() {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if f.nodes[i].Permit(context.Background(), quota.PermitRequest{Servers: []string{"s"}, Class: quota.Class{Workspace: "w"}}).Granted {
					n.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return n.Load()
}

// A limit reported to one daemon, and later its end, are soon known to all. Together the
// daemons use the limit and do not exceed it, also after the allocator has stopped.
func TestLimitIsKnownToAllAndKeptThroughTheLossOfTheAllocator(t *testing.T) {
	t.Parallel()
	const rate = 20
	f := newRealFleet(t, 6)
	running := []int{0, 1, 2, 3, 4, 5}
	first := f.first()
	f.waitForLinks(t, first, running)
	informed := (first + 1) % 6
	f.stateLimit(informed, rate)
	allKnow := func(known int, daemons []int) func() bool {
		return func() bool {
			return !slices.ContainsFunc(daemons, func(i int) bool { return f.limits[i].Size() != known })
		}
	}
	require.Eventually(t, allKnow(1, running), 500*time.Millisecond, time.Millisecond)
	time.Sleep(pollInterval) // the parts are contributed
	got := f.take(running, 4*time.Second)
	require.LessOrEqual(t, got, int64(rate*4+5))
	require.GreaterOrEqual(t, got, int64(0.8*rate*4))

	f.stop[first]()
	running = slices.DeleteFunc(running, func(i int) bool { return i == first })
	got = f.take(running, 4*time.Second)
	require.LessOrEqual(t, got, int64(rate*4+5))
	require.GreaterOrEqual(t, got, int64(0.5*rate*4), "five parts of six, less the time until they have a common allocator")

	now := boottime.Now()
	f.limits[informed].Apply(quota.LimitReport{Server: "s", SentAt: now.Add(-time.Millisecond), At: now})
	require.Eventually(t, allKnow(0, running), 500*time.Millisecond, time.Millisecond)
}

// A daemon whose allocator has stopped polling uses only its own part.
func TestDaemonWithSilentAllocatorUsesItsPart(t *testing.T) {
	t.Parallel()
	const rate = 60
	f := newRealFleet(t, 3)
	first := f.first()
	f.waitForLinks(t, first, []int{0, 1, 2})
	other := (first + 1) % 3
	f.stateLimit(other, rate)
	time.Sleep(2 * pollInterval)
	f.nodes[other].opts.Pool.ContributeTo("gone", boottime.Now().Add(partTTL), boottime.Now())
	require.Zero(t, f.take([]int{other}, partTTL/2), "its part is lent to a daemon that does not answer")
	got := f.take([]int{other}, 2*time.Second)
	require.LessOrEqual(t, got, int64(rate*2+5))
}

// A trial is decided by the requests of all daemons.
func TestTrialIsDecidedByTheAllocator(t *testing.T) {
	t.Parallel()
	f := newRealFleet(t, 2)
	first := f.first()
	f.waitForLinks(t, first, []int{0, 1})
	other := 1 - first
	f.stateLimit(other, 20)
	request := quota.PermitRequest{Servers: []string{"s"}, Class: quota.Class{Workspace: "w"}}
	require.Eventually(t, func() bool { return f.nodes[first].Permit(context.Background(), request).Granted }, 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return f.nodes[other].Permit(context.Background(), request).Granted }, 5*time.Second, 10*time.Millisecond)
	trial := request
	trial.IdleFor = time.Hour
	d := f.nodes[other].Permit(context.Background(), trial)
	require.False(t, d.Granted)
	require.Greater(t, d.After, time.Hour/2)
	trial.IdleFor = time.Millisecond
	require.Eventually(t, func() bool { return f.nodes[other].Permit(context.Background(), trial).Granted }, 5*time.Second, 10*time.Millisecond)
}

func TestLimitReportsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := boottime.Now()
		sent := time.Duration(rapid.IntRange(0, 5000).Draw(t, "sent")) * time.Millisecond
		received := time.Duration(rapid.IntRange(0, int(sent.Milliseconds())).Draw(t, "came")) * time.Millisecond
		report := quota.LimitReport{
			Server: rapid.String().Draw(t, "server"), Stated: rapid.Bool().Draw(t, "named"),
			Rate: rapid.Float64Range(0, 1e6).Draw(t, "rate"), SentAt: now.Add(-sent), At: now.Add(-received),
		}
		data, err := cbor.Marshal(&frame{Reports: packReports([]quota.LimitReport{report}, now)})
		require.NoError(t, err)
		var f frame
		require.NoError(t, cbor.Unmarshal(data, &f))
		require.True(t, f.Reports[0].valid())
		got := f.Reports[0].unpack(now)
		if !report.Stated {
			got.SentAt = got.SentAt.Add(reportSlack)
		}
		require.Equal(t, report, got)
	})
}

// Reports that no daemon can have sent are rejected.
func TestInvalidLimitReportsAreRejected(t *testing.T) {
	zero := 0.0
	for _, p := range []packedReport{{Rate: -1}, {Rate: zero / zero}, {Age: -1}, {SentAge: 1, Age: 2}} {
		require.False(t, p.valid())
	}
}

// The traffic while a limit is known is bounded: a poll and a part twice a second for each
// daemon, and two messages for each permit request.
func TestPermitsCostABoundedRate(t *testing.T) {
	size := func(f *frame) int {
		data, err := cbor.Marshal(f)
		require.NoError(t, err)
		return len(data)
	}
	id := "i-7a8aaead84"
	poll := size(&frame{Poll: &poll{Number: 1000}}) + size(&frame{Part: &part{Number: 1000, Sent: map[string]int{id: 12}}})
	decided := size(&frame{Request: &permitRequest{Number: 1000, Servers: []string{id}, Workspace: "workspace-17"}}) +
		size(&frame{Decision: &decision{Number: 1000, Server: id, After: time.Second, RetryAfter: 5 * time.Second}})
	perSecond := float64(poll) * float64(time.Second) / float64(pollInterval)
	t.Logf("%.0f bytes a second a daemon and %d bytes a request; the allocator of 8 daemons %.0f bytes a second, of 300 %.0f", perSecond, decided, 7*perSecond, 299*perSecond)
	require.Less(t, perSecond, 150.0)
	require.Less(t, decided, 150)
}
