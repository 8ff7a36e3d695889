package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/platform/sitetrial"
	"github.com/snowspoke/snowspoke/platform/standin"
)

// Load of a daemon that has a part of a processor and gets nearly all new connections.
const (
	hotProcessor   = 0.05
	hotPeriod      = 20 * time.Millisecond // in which it runs for that part
	hotCalmRate    = 4                     // new connections per second
	hotRate        = 120
	hotCalm        = 4 * time.Second
	hotFor         = 8 * time.Second
	hotDetection   = 3 * time.Second // after which a daemon must have adapted to its load
	hotServed      = 0.75            // least share of first attempts served, of that in the calm
	hotEventualAim = 0.95            // least share of requests served, by this or another daemon
	giveUpAfter    = 2 * time.Second // without an event
)

// A daemon with little processor time that gets nearly all new connections serves those that it
// reads, and the others are served elsewhere.
func TestHotDaemonServesTheConnectionsThatItReads(t *testing.T) {
	site := sitetrial.New([]string{"a"}, 2, 8, 8)
	t.Cleanup(site.Close)
	for _, s := range site.Servers() {
		s.Events, s.EventGap = streamEvents, streamGap
	}
	hot := startProcess(t, &process{
		name: "daemon-0", dir: t.TempDir(), proxy: newProxy(t, site.Store.Address()), processors: hotProcessor,
	}, "a")
	others := []*process{newProcess(t, "daemon-1", "a", site.Store.Address()), newProcess(t, "daemon-2", "a", site.Store.Address())}
	for _, p := range append(others, hot) {
		require.Eventually(t, p.isReady, 10*time.Second, 20*time.Millisecond, p.name)
	}
	ctx, stop := context.WithCancel(t.Context())
	var throttled sync.WaitGroup
	throttled.Go(func() { throttle(ctx, hot, hotProcessor, hotPeriod) })
	t.Cleanup(func() {
		stop()
		throttled.Wait()
	})
	calm := callHot(hot, others, "calm", hotCalmRate, hotCalm, 0)
	during := callHot(hot, others, "hot", hotRate, hotFor, hotDetection)
	t.Logf("calm: %s; hot: %s", calm, during)
	require.GreaterOrEqual(t, during.firstShare(), hotServed*calm.firstShare(), "first attempts that were read")
	require.GreaterOrEqual(t, during.share(), hotEventualAim, "all requests")
	require.GreaterOrEqual(t, during.first, int(hotCalmRate*(hotFor-hotDetection)/time.Second), "the daemon serves no less than in the calm")
	for _, s := range site.Servers() {
		for _, r := range s.Runs() {
			require.False(t, slices.Contains(during.unreadIDs, r.ID), "%s ran, although its connection was closed unread", r.ID)
		}
	}
}

// throttle lets a process run for a part of each period until ctx ends.
func throttle(ctx context.Context, p *process, part float64, period time.Duration) {
	running := time.Duration(part * float64(period))
	for ctx.Err() == nil {
		p.signal(syscall.SIGCONT)
		time.Sleep(running)
		p.signal(syscall.SIGSTOP)
		time.Sleep(period - running)
	}
	p.signal(syscall.SIGCONT)
}

// Daemons that are throttled during the soak, one after the other.
const (
	maxThrottleInterval = 4 * time.Second // until the next one
	minThrottled        = 300 * time.Millisecond
	maxThrottled        = 1500 * time.Millisecond
	throttlePeriod      = 100 * time.Millisecond
	minThrottledPart    = 0.1
	maxThrottledPart    = 0.4
)

// throttleDaemons throttles random daemons until ctx ends.
func (f *faults) throttleDaemons(ctx context.Context, r *rand.Rand) {
	for wait.For(ctx, time.Duration(r.Int64N(int64(maxThrottleInterval)))) {
		p := f.all[r.IntN(len(f.all))]
		length := minThrottled + time.Duration(r.Int64N(int64(maxThrottled-minThrottled)))
		part := minThrottledPart + r.Float64()*(maxThrottledPart-minThrottledPart)
		throttledCtx, cancel := context.WithTimeout(ctx, length)
		throttle(throttledCtx, p, part, throttlePeriod)
		cancel()
		f.noteDisturbance()
		f.noteRestart(p)
	}
}

// maxEndlessInterval is the maximum time until another backend server sends bytes without end.
const maxEndlessInterval = time.Second

// sendEndlessBytes makes the next answers of random backend servers have no end, until ctx ends.
func (f *faults) sendEndlessBytes(ctx context.Context, r *rand.Rand) {
	for wait.For(ctx, time.Duration(r.Int64N(int64(maxEndlessInterval)))) {
		all := f.site.Servers()
		all[r.IntN(len(all))].AddFaults([]standin.Fault{standin.EndlessHead, standin.EndlessBody}[r.IntN(2)])
	}
}

// hotResult counts requests.
type hotResult struct {
	mu        sync.Mutex
	all       int
	unreadIDs []string // of first attempts whose connection was closed unread
	first     int      // served at the first attempt
	served    int      // at the first or second attempt
}

func (r *hotResult) firstShare() float64 {
	return float64(r.first) / float64(max(1, r.all-len(r.unreadIDs)))
}
func (r *hotResult) share() float64 { return float64(r.served) / float64(max(1, r.all)) }
func (r *hotResult) String() string {
	return fmt.Sprintf("%d requests, %d closed unread, %d served at the first attempt, %d in all", r.all, len(r.unreadIDs), r.first, r.served)
}

// callHot sends requests at a rate over new connections to a daemon. Those that fail are sent once
// more, to another daemon. Requests of the first part of the time are not counted.
func callHot(hot *process, others []*process, name string, rate int, length, uncounted time.Duration) *hotResult {
	out := &hotResult{}
	var wg sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < length; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		counted := time.Since(start) >= uncounted
		wg.Go(func() {
			id := fmt.Sprintf("%s-%d", name, n)
			first, unread := callStream(hot.callers, id)
			second := !first
			if second {
				second, _ = callStream(others[n%len(others)].callers, id+"-again")
			}
			if !counted {
				return
			}
			out.mu.Lock()
			defer out.mu.Unlock()
			out.all++
			if first {
				out.first++
			}
			if first || second {
				out.served++
			}
			if unread {
				out.unreadIDs = append(out.unreadIDs, id)
			}
		})
	}
	wg.Wait()
	return out
}

// callStream requests a stream over a new connection. It gives up after a gap of giveUpAfter. It
// reports whether the stream was complete, and whether the connection ended without a byte.
func callStream(address, id string) (complete, unread bool) {
	c, err := net.DialTimeout("tcp", address, giveUpAfter)
	if err != nil {
		return false, false
	}
	defer c.Close()
	body := "body of " + id
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nSnowspoke-Request-Id: %s\r\nSnowspoke-Deadline-Ms: 5000\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		sitetrial.StreamPath, sitetrial.Host, sitetrial.Key, id, len(body), body) // a closed connection shows on read
	r := bufio.NewReader(&impatientReader{c})
	if _, err := r.Peek(1); err != nil {
		timeout, ok := err.(net.Error)
		return false, !ok || !timeout.Timeout()
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return false, false
	}
	data, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.HasSuffix(string(data), sitetrial.Events(streamEvents, streamEvents)), false
}

// impatientReader reads from a connection and fails after a gap of giveUpAfter.
type impatientReader struct{ net.Conn }

func (r *impatientReader) Read(p []byte) (int, error) {
	_ = r.SetReadDeadline(time.Now().Add(giveUpAfter)) // fails only on a closed connection
	return r.Conn.Read(p)
}
