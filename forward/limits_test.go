package forward

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/site"
)

// Times and rates of tests in which heads state limits.
const (
	limitPropagation  = 100 * time.Millisecond // until all daemons know a limit
	permitLatency     = 3 * time.Millisecond   // until a daemon has a permit
	sharePollInterval = 500 * time.Millisecond
	contributionTTL   = 1500 * time.Millisecond
	limitStart        = 4 * time.Second // from the start of the run until heads state limits
	limitRunLength    = 14 * time.Second
	limitGrace        = 3 * time.Second // until a stated limit must be kept
	limitRate         = 36.0            // streams that callers send per second
)

// limitedLab is a lab in which heads state limits that all daemons together must keep.
type limitedLab struct {
	*lab
	pools  []*quota.Pool
	limits []*quota.Limits

	mu            sync.Mutex
	named         map[string]float64     // by head, the limits in calls per second
	sends         map[string][]time.Time // by head, the times of calls
	refusals      []time.Duration        // times from a request to its refusal
	withRetryTime int                    // number of refusals with a retry time
}

// limitedBackends makes the calls of one daemon and records them. It implements Backends.
type limitedBackends struct {
	*limitedLab
	daemon int
}

// Send implements Backends.
func (b limitedBackends) Send(ctx context.Context, o *Outgoing) (*Answer, error) {
	sentAt := boottime.Now()
	b.mu.Lock()
	rate, named := b.named[o.Server.ID]
	b.sends[o.Server.ID] = append(b.sends[o.Server.ID], sentAt)
	b.mu.Unlock()
	a, err := b.lab.Send(ctx, o)
	if err == nil {
		b.forward[b.daemon].ApplyStatement(Statement{Server: o.Server.ID, Call: CallRequest, Ran: !a.NotRun, Limit: StatedLimit{Stated: named, Rate: rate}, SentAt: sentAt})
	}
	return a, err
}

// Report implements Backends.
func (b limitedBackends) Report(ctx context.Context, s *site.BackendServer) (Report, error) {
	sentAt := boottime.Now()
	b.mu.Lock()
	rate, named := b.named[s.ID]
	b.sends[s.ID] = append(b.sends[s.ID], sentAt)
	b.mu.Unlock()
	r, err := b.lab.Report(ctx, s)
	if err == nil {
		b.forward[b.daemon].ApplyStatement(Statement{Server: s.ID, Call: CallReport, Ran: true, Limit: StatedLimit{Stated: named, Rate: rate}, SentAt: sentAt})
	}
	return r, err
}

// limitedPermits requests permits from the first daemon. It implements Permits.
type limitedPermits struct {
	*limitedLab
	daemon int
}

// Permit implements Permits.
func (p limitedPermits) Permit(ctx context.Context, r quota.PermitRequest) quota.Decision {
	wait.For(ctx, permitLatency)
	return p.pools[0].Decide(daemonName(p.daemon), r, boottime.Now())
}

func daemonName(n int) string { return fmt.Sprintf("daemon-%03d", n) }

func newLimitedLab(daemons int) *limitedLab {
	l := &limitedLab{lab: newLab(1), named: map[string]float64{}, sends: map[string][]time.Time{}}
	l.forward = nil
	var names []string
	for n := range daemons {
		limits, sends := quota.NewLimits(), quota.NewSends()
		l.limits, l.pools = append(l.limits, limits), append(l.pools, quota.NewPool(daemonName(n), limits, sends))
		names = append(names, daemonName(n))
		l.forward = append(l.forward, New(
			Options{FailureDomain: string(rune('a' + n%3)), RetryRatio: 0.2, RetrySlack: 200, RetryWindow: 10 * time.Second},
			Dependencies{
				Inventory: labInventory{l.lab}, Fleet: labFleet(daemons), Backends: limitedBackends{l, n}, Log: NewLog(discard{}), Observer: l.lab,
				Limits: limits, Sends: sends, Permits: limitedPermits{l, n},
			}))
	}
	for _, p := range l.pools {
		p.SetFleet(names, boottime.Now())
	}
	return l
}

// discard is an io.Writer that drops its input.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// share makes all daemons contribute to the pool of the first daemon until ctx ends.
func (l *limitedLab) share(ctx context.Context) {
	for wait.For(ctx, sharePollInterval) {
		now := boottime.Now()
		for n := range l.forward[1:] {
			l.pools[n+1].ContributeTo(daemonName(0), now.Add(contributionTTL), now)
			sent := map[string]int{}
			for _, limit := range l.limits[n+1].All() {
				sent[limit.Server] = l.forward[n+1].sends.Recent(limit.Server, now)
			}
			l.pools[0].Polled(daemonName(n + 1))
			l.pools[0].AddContribution(daemonName(n+1), quota.Part{Until: now.Add(contributionTTL), Sent: sent})
		}
	}
}

// propagate merges the limits that daemons know until ctx ends.
func (l *limitedLab) propagate(ctx context.Context) {
	versions := make([]uint64, len(l.limits))
	for wait.For(ctx, limitPropagation) {
		var updates []quota.LimitReport
		for n, limits := range l.limits {
			reports, version := limits.Since(versions[n])
			versions[n] = version
			updates = append(updates, reports...)
		}
		for _, limits := range l.limits {
			for _, report := range updates {
				limits.Apply(report)
			}
		}
	}
}

// limit makes the busiest heads state a limit, a fraction of their rate so far.
func (l *limitedLab) limit(heads int, part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []string
	for id := range l.sends {
		all = append(all, id)
	}
	slices.SortFunc(all, func(x, y string) int { return len(l.sends[y]) - len(l.sends[x]) })
	for _, id := range all[:heads] {
		l.named[id] = part * float64(len(l.sends[id])) / limitStart.Seconds()
	}
}

// request sends a stream and records the time to its refusal.
func (l *limitedLab) request(n int) {
	now := time.Now()
	req := &Request{
		ID: fmt.Sprint("r", n), Body: fmt.Appendf(nil, "body %d", n), Service: labService, Received: now, Deadline: now.Add(20 * time.Second), Prompt: labPrompt,
		Route: &site.Route{Kind: site.Stream, Resumable: true, MaxAttempts: 2, Timeout: 20 * time.Second, Objective: 500 * time.Millisecond},
	}
	got := &labCaller{lab: l.lab, sent: now}
	err := l.forward[n%len(l.forward)].Do(context.Background(), req, got)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.completed++
	case got.events > 0:
		l.cut++
	default:
		l.refused++
		l.refusals = append(l.refusals, time.Since(now))
		if e := apierror.From(err); e.NotRun() && e.RetryAfter > 0 {
			l.withRetryTime++
		}
	}
}

// call sends streams for a duration and waits for all of them.
func (l *limitedLab) call(length time.Duration) {
	var calls sync.WaitGroup
	for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
		time.Sleep(time.Duration(l.rng.ExpFloat64() / limitRate * float64(time.Second)))
		calls.Go(func() { l.request(n) })
	}
	calls.Wait()
}

// excess returns the maximum number of calls to a head in excess of its limit, over all
// windows that end at from or later.
func (l *limitedLab) excess(head string, from time.Time) float64 {
	worst, at := -1e9, l.sends[head]
	for i, end := range at {
		if end.Before(from) {
			continue
		}
		first := slices.IndexFunc(at, func(b time.Time) bool { return b.After(end.Add(-quota.Window)) })
		worst = max(worst, float64(i-first+1)-1.5*l.named[head]*quota.Window.Seconds()-5)
	}
	return worst
}

// Two or all of three heads state a limit of a third of their rate. They receive nearly as
// many calls as allowed and no more, regardless of the number of daemons. Requests that
// cannot be served elsewhere are refused at once with a retry time.
func TestLimitsOfHeadsAreKeptAndUsed(t *testing.T) {
	for _, c := range []struct {
		daemons, heads int
		least          float64
	}{{3, 2, 0.9}, {8, 2, 0.9}, {8, 3, 0.9}, {73, 2, 0.8}, {300, 2, 0.8}, {300, 3, 0.8}} {
		if c.daemons != 8 && virtual.RaceDetector {
			continue // 8 daemons run with and without heads that have no limit
		}
		t.Run(fmt.Sprintf("daemons=%d/heads=%d", c.daemons, c.heads), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				l := newLimitedLab(c.daemons)
				ctx, cancel := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				wg.Go(func() { l.share(ctx) })
				wg.Go(func() { l.propagate(ctx) })
				var named time.Time
				wg.Go(func() {
					wait.For(ctx, limitStart)
					named = time.Now()
					l.limit(c.heads, 1.0/3)
				})
				l.call(limitRunLength)
				cancel()
				wg.Wait()
				require.Len(t, l.named, c.heads)
				for head, rate := range l.named {
					used := 0
					for _, at := range l.sends[head] {
						if at.After(named.Add(limitGrace)) {
							used++
						}
					}
					allowed := rate * (limitRunLength - limitStart - limitGrace).Seconds()
					t.Logf("limit %.1f: %d of %.1f calls used, %+.1f over", rate, used, allowed, l.excess(head, named.Add(limitGrace)))
					assert.LessOrEqual(t, l.excess(head, named.Add(limitGrace)), 0.0)
					assert.GreaterOrEqual(t, float64(used+1), c.least*allowed, "one call may fall outside the interval")
				}
				slices.Sort(l.refusals)
				t.Logf("completed %d, refused %d, cut %d", l.completed, l.refused, l.cut)
				assert.Zero(t, l.cut)
				require.Equal(t, c.heads == 3, len(l.refusals) > 0)
				if len(l.refusals) > 0 {
					assert.LessOrEqual(t, l.refusals[len(l.refusals)*9/10], 50*time.Millisecond, "refused at once")
				}
				assert.Equal(t, l.refused, l.withRetryTime)
			})
		})
	}
}

// After a backend server stops stating a limit, all daemons drop the limit within a second.
func TestLoadReturnsWithinASecondOfTheEndOfALimit(t *testing.T) {
	for _, daemons := range []int{8, 300} {
		if daemons >= maxRaceFleet && virtual.RaceDetector {
			continue
		}
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				l := newLimitedLab(daemons)
				ctx, cancel := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				wg.Go(func() { l.share(ctx) })
				wg.Go(func() { l.propagate(ctx) })
				wg.Go(func() {
					wait.For(ctx, limitStart)
					l.limit(2, 1.0/3)
					wait.For(ctx, limitStart)
					l.mu.Lock()
					clear(l.named)
					l.mu.Unlock()
					wait.For(ctx, time.Second)
					for _, limits := range l.limits {
						assert.Zero(t, limits.Size())
					}
				})
				l.call(2*limitStart + 2*time.Second)
				cancel()
				wg.Wait()
			})
		})
	}
}

// A head with a limit gets requests from time to time although other paths are cheaper,
// and the end of its limit is known within a second.
func TestLimitOfAHeadWithoutRequestsEnds(t *testing.T) {
	testLimitWithoutRequestsEnds(t, func(l *limitedLab) string { return "a-middle-0" })
}

// A backend server with a limit that is no first hop gets no requests, and the end of its limit is
// known within a second.
func TestLimitOfAnInnerHopEnds(t *testing.T) {
	testLimitWithoutRequestsEnds(t, func(l *limitedLab) string {
		var inner []string
		for id, s := range l.view.Servers {
			if s.Held.Len() > 0 && !s.Held.Has(0) {
				inner = append(inner, id)
			}
		}
		return slices.Min(inner)
	})
}

func testLimitWithoutRequestsEnds(t *testing.T, choose func(*limitedLab) string) {
	const (
		rate     = 20.0
		interval = 100 * time.Millisecond // of requests
		length   = 6 * time.Second
		idle     = 500 * time.Millisecond // between two trials
	)
	virtual.Test(t, func(t *testing.T) {
		l := newLimitedLab(8)
		head := choose(l)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { l.share(ctx) })
		wg.Go(func() { l.propagate(ctx) })
		n := 0
		call := func(length time.Duration) {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
				n++
				number := n
				wg.Go(func() { l.request(number) })
			}
		}
		l.named[head] = rate
		l.forward[0].ApplyStatement(Statement{Server: head, Call: CallReport, Limit: StatedLimit{Stated: true, Rate: rate}, SentAt: boottime.Now()})
		call(length)
		l.mu.Lock()
		calls := len(l.sends[head])
		clear(l.named)
		l.mu.Unlock()
		call(time.Second)
		for _, limits := range l.limits {
			assert.Zero(t, limits.Size())
		}
		t.Logf("%d calls in %v", calls, length)
		assert.LessOrEqual(t, calls, int(length/idle), "all other requests take the cheaper paths")
		assert.GreaterOrEqual(t, calls, int(length/idle)/2)
		cancel()
		wg.Wait()
	})
}

// A trial of a plain backend server is the first send of a request and respects pauses.
func TestTrialOfAPlainServer(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := plainForwarder(2, &scriptedBackends{})
		pool := quota.NewPool(localDaemonName, f.limits, f.sends)
		pool.SetFleet([]string{localDaemonName}, boottime.Now())
		f.permits = localPermits{pool, localDaemonName}
		f.ApplyStatement(Statement{Server: "b1", Call: CallReport, Limit: StatedLimit{Stated: true, Rate: 20}, SentAt: boottime.Now()})
		newRun := func() *run {
			time.Sleep(2 * limitIdle)
			return &run{f: f, req: &Request{ID: "r", Service: "cards", Route: &site.Route{MaxAttempts: 2}}}
		}
		for range 2 { // schedules the first trial, and begins the count of requests
			require.Nil(t, newRun().limitTrial(context.Background()))
		}
		trial := newRun().limitTrial(context.Background())
		require.NotNil(t, trial)
		require.Equal(t, "b1", trial.head().ID)
		require.True(t, trial.permitted)
		again := newRun()
		again.tried.add("b0")
		require.Nil(t, again.limitTrial(context.Background()), "not the first send")
		f.pause("b1", time.Minute)
		require.Nil(t, newRun().limitTrial(context.Background()))
		time.Sleep(time.Minute)
		require.NotNil(t, newRun().limitTrial(context.Background()))
	})
}

// Reports leave the capacity of a limit to requests; orders precede both.
func TestReportsLeaveTheLimitToRequests(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		const rate, length = 4.0, 20 * time.Second
		limits, sends := quota.NewLimits(), quota.NewSends()
		pool := quota.NewPool(localDaemonName, limits, sends)
		pool.SetFleet([]string{localDaemonName}, boottime.Now())
		l := newLab(1)
		f := New(Options{}, Dependencies{
			Inventory: labInventory{l}, Fleet: labFleet(1), Backends: l, Log: NewLog(discard{}), Observer: l,
			Limits: limits, Sends: sends, Permits: localPermits{pool, localDaemonName},
		})
		var head *site.BackendServer
		for _, s := range l.view.Servers {
			head = s
		}
		f.ApplyStatement(Statement{Server: head.ID, Call: CallReport, Limit: StatedLimit{Stated: true, Rate: rate}, SentAt: boottime.Now()})
		requests, reports, orders := 0, 0, 0
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for range 3 {
				if _, err := f.backends.Report(context.Background(), head); err == nil {
					reports++
				} else {
					require.ErrorIs(t, err, ErrNoPermit)
				}
			}
			if f.permits.Permit(context.Background(), quota.PermitRequest{Servers: []string{head.ID}, Class: quota.Class{Workspace: "w"}}).Granted {
				requests++
			}
			if orders < 5 && f.MayOrder(context.Background(), head.ID) == nil {
				orders++
			}
		}
		t.Logf("%d requests, %d reports, %d orders", requests, reports, orders)
		require.Equal(t, 5, orders)
		require.GreaterOrEqual(t, float64(requests+orders), 0.9*rate*length.Seconds())
		require.LessOrEqual(t, float64(requests+reports+orders), rate*length.Seconds()+5)
	})
}
