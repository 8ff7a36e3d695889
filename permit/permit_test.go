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

// limited is a number of daemons that keep the limits of backend servers together.
type limited struct {
	all    []Member
	nodes  []*Node
	stop   []func()
	limits []*quota.Limits
	sends  []*quota.Sends
}

func newLimited(t *testing.T, daemons int) *limited {
	l := &limited{}
	servers := make([]*httptest.Server, daemons)
	for i := range daemons {
		servers[i] = httptest.NewUnstartedServer(nil)
		l.all = append(l.all, Member{Name: daemonName(i), Address: servers[i].Listener.Addr().String()})
	}
	for i := range daemons {
		limits, sends := quota.NewLimits(), quota.NewSends()
		node := New(Options{
			Name: daemonName(i), Members: func() []Member { return l.all }, Client: http.DefaultClient, Scheme: "http",
			Limits: limits, Sends: sends, Pool: quota.NewPool(daemonName(i), limits, sends), Logger: log.NewNopLogger(),
			HearLimit: func(w quota.Word, _ string) { limits.Hear(w) },
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
		l.nodes, l.stop, l.limits, l.sends = append(l.nodes, node), append(l.stop, stop), append(l.limits, limits), append(l.sends, sends)
	}
	return l
}

// first returns the daemon that all take for their allocator.
func (l *limited) first() int {
	name := l.nodes[0].allocators()[0].Name
	return slices.IndexFunc(l.all, func(m Member) bool { return m.Name == name })
}

// linked waits until all that run but one are linked to that one.
func (l *limited) linked(t *testing.T, to int, running []int) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, i := range running {
			a := l.nodes[i].allocator.Load()
			if i != to && (a == nil || a.name != l.all[to].Name) {
				return false
			}
		}
		return true
	}, 5*time.Second, 5*time.Millisecond)
}

func (l *limited) name(daemon int, rate float64) {
	now := boottime.Now()
	l.limits[daemon].Hear(quota.Word{Server: "s", Named: true, Rate: rate, SentAt: now.Add(-time.Millisecond), At: now})
}

// take has some daemons ask for permits as fast as they get answers, for a time.
func (l *limited) take(daemons []int, length time.Duration) (granted int64) {
	var n atomic.Int64
	var wg sync.WaitGroup
	for _, i := range daemons {
		wg.Go(func() {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if l.nodes[i].Permit(context.Background(), quota.PermitRequest{Servers: []string{"s"}, Class: quota.Class{Workspace: "w"}}).Granted {
					n.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return n.Load()
}

// A limit that one daemon hears of is known to all at once, wherever it lies in the order,
// and all together use it and no more, also while the daemon that gave out the permits
// goes; its end is known to all as soon.
func TestLimitIsKnownToAllAndKeptThroughTheLossOfTheAllocator(t *testing.T) {
	t.Parallel()
	const rate = 20
	l := newLimited(t, 6)
	running := []int{0, 1, 2, 3, 4, 5}
	first := l.first()
	l.linked(t, first, running)
	heard := (first + 1) % 6
	l.name(heard, rate)
	knowAll := func(known int, daemons []int) func() bool {
		return func() bool {
			return !slices.ContainsFunc(daemons, func(i int) bool { return l.limits[i].Size() != known })
		}
	}
	require.Eventually(t, knowAll(1, running), 500*time.Millisecond, time.Millisecond)
	time.Sleep(pollEvery) // the parts are contributed
	got := l.take(running, 4*time.Second)
	require.LessOrEqual(t, got, int64(rate*4+5))
	require.GreaterOrEqual(t, got, int64(0.8*rate*4))

	l.stop[first]()
	running = slices.DeleteFunc(running, func(i int) bool { return i == first })
	got = l.take(running, 4*time.Second)
	require.LessOrEqual(t, got, int64(rate*4+5))
	require.GreaterOrEqual(t, got, int64(0.5*rate*4), "five parts of six, less the time until they are together again")

	now := boottime.Now()
	l.limits[heard].Hear(quota.Word{Server: "s", SentAt: now.Add(-time.Millisecond), At: now})
	require.Eventually(t, knowAll(0, running), 500*time.Millisecond, time.Millisecond)
}

// A daemon whose allocator says nothing for a while has its own part again, and no more.
func TestDaemonWhoseAllocatorFallsSilentUsesItsPart(t *testing.T) {
	t.Parallel()
	const rate = 60
	l := newLimited(t, 3)
	first := l.first()
	l.linked(t, first, []int{0, 1, 2})
	other := (first + 1) % 3
	l.name(other, rate)
	time.Sleep(2 * pollEvery)
	l.nodes[other].opts.Pool.Lend("gone", boottime.Now().Add(lentFor), boottime.Now())
	require.Zero(t, l.take([]int{other}, lentFor/2), "its part is lent to one that does not answer")
	got := l.take([]int{other}, 2*time.Second)
	require.LessOrEqual(t, got, int64(rate*2+5))
}

func TestWordsOnLimitsSurviveTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := boottime.Now()
		sent := time.Duration(rapid.IntRange(0, 5000).Draw(t, "sent")) * time.Millisecond
		came := time.Duration(rapid.IntRange(0, int(sent.Milliseconds())).Draw(t, "came")) * time.Millisecond
		w := quota.Word{
			Server: rapid.String().Draw(t, "server"), Named: rapid.Bool().Draw(t, "named"),
			Rate: rapid.Float64Range(0, 1e6).Draw(t, "rate"), SentAt: now.Add(-sent), At: now.Add(-came),
		}
		data, err := cbor.Marshal(&frame{Words: packWords([]quota.Word{w}, now)})
		require.NoError(t, err)
		var f frame
		require.NoError(t, cbor.Unmarshal(data, &f))
		require.True(t, f.Words[0].possible())
		got := f.Words[0].unpack(now)
		if !w.Named {
			got.SentAt = got.SentAt.Add(newsSlack)
		}
		require.Equal(t, w, got)
	})
}

// What no daemon tells is not believed.
func TestImpossibleWordsOnLimitsAreDropped(t *testing.T) {
	zero := 0.0
	for _, p := range []packedWord{{Rate: -1}, {Rate: zero / zero}, {Age: -1}, {SentAge: 1, Age: 2}} {
		require.False(t, p.possible())
	}
}

// What the daemons send each other while a limit is known, for each of them and for the
// allocator: a poll and a part twice a second, and two messages a permit that is asked for.
func TestPermitsCostABoundedRate(t *testing.T) {
	size := func(f *frame) int {
		data, err := cbor.Marshal(f)
		require.NoError(t, err)
		return len(data)
	}
	id := "i-7a8aaead84"
	poll := size(&frame{Poll: &poll{Number: 1000}}) + size(&frame{Part: &part{Number: 1000, Sent: map[string]int{id: 12}}})
	decided := size(&frame{Ask: &ask{Number: 1000, Servers: []string{id}, Workspace: "workspace-17"}}) +
		size(&frame{Decision: &decision{Number: 1000, Server: id, After: time.Second, Back: 5 * time.Second}})
	perSecond := float64(poll) * float64(time.Second) / float64(pollEvery)
	t.Logf("%.0f bytes a second a daemon and %d bytes a request; the allocator of 8 daemons %.0f bytes a second, of 300 %.0f", perSecond, decided, 7*perSecond, 299*perSecond)
	require.Less(t, perSecond, 150.0)
	require.Less(t, decided, 150)
}
