package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/availability"
	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/site"
)

// pause makes a daemon believe that a backend server has asked it for a pause.
func (f *Forwarder) pause(id string, d time.Duration) {
	f.ApplyStatement(Statement{Server: id, Call: CallRequest, RetryAfter: d})
}

func TestRequestIsRefusedAtOnceIfAllBackendServersArePaused(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		first := true
		l.eachHead(func(id string) {
			pause := 9 * time.Second
			if first {
				pause, first = 3*time.Second, false
			}
			l.forward[0].pause(id, pause)
		})
		took, refusal := requestRefusal(t, l.forward[0])
		require.Zero(t, took)
		require.Equal(t, apierror.Overloaded, refusal.Kind)
		require.GreaterOrEqual(t, refusal.RetryAfter, 3*time.Second, "the first pause ends then")
		require.Less(t, refusal.RetryAfter, 6*time.Second)
	})
}

// A request that has used up its attempts may return while other backend servers accept.
func TestRetryTimeIgnoresPausesWhileOthersAccept(t *testing.T) {
	fl := newSheddingFleet(1, 2)
	fl.refuses = time.Now().Add(time.Hour)
	call := func() *apierror.Error {
		now := time.Now()
		err := fl.daemons[0].Do(context.Background(), shedRequest("r", site.Unsafe, 1, now.Add(shedDeadline)), discardSink{})
		var refusal *apierror.Error
		require.ErrorAs(t, err, &refusal)
		return refusal
	}
	require.Less(t, call().Answer().RetryAfter, time.Second, "the other one accepts")
	require.GreaterOrEqual(t, call().Answer().RetryAfter, shedPause-time.Second, "both are paused")
}

// A pause that ends within a cooldown is waited for.
func TestRequestWaitsForTheEndOfAShortPause(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		l.eachHead(func(id string) { l.forward[0].pause(id, cooldowns.AfterRefusal) })
		l.run(2, time.Second)
		require.Zero(t, l.refused)
		require.NotZero(t, l.completed)
	})
}

func TestFailuresAndSuccessesDoNotShortenAPause(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := plainForwarder(1, &scriptedBackends{})
		f.pause("b0", time.Minute)
		f.health.Fail("b0", time.Now())
		f.health.Succeed("b0")
		f.health.Refuse("b0", time.Now())
		f.prune(map[string]*site.BackendServer{}) // the list of backend servers is away
		time.Sleep(time.Minute - time.Nanosecond)
		require.ErrorIs(t, f.CheckCall("b0", CallRequest), ErrNotAccepting)
		time.Sleep(time.Nanosecond)
		require.NoError(t, f.CheckCall("b0", CallRequest))
	})
}

// A choice precedes its send. A pause that begins in between holds, and the backend server
// does not count as failed.
func TestPauseBetweenChoiceAndSend(t *testing.T) {
	f := plainForwarder(2, &scriptedBackends{})
	f.permits = pausingPermits{f}
	for id := range f.inv.View().Servers {
		f.ApplyStatement(Statement{Server: id, Call: CallReport, Limit: StatedLimit{Stated: true, Rate: 1}})
	}
	now := time.Now()
	err := f.Do(context.Background(), &Request{
		ID: "r", Service: "cards", Received: now, Deadline: now.Add(3 * time.Second), Route: &site.Route{Kind: site.Unsafe, MaxAttempts: 3, Timeout: 3 * time.Second},
	}, discardSink{})
	require.True(t, apierror.Is(err, apierror.Overloaded), "%v", err)
	require.True(t, apierror.From(err).NotRun())
	require.False(t, f.Failed("b0") || f.Failed("b1"))
}

// pausingPermits grants all permits; the backend servers ask for a pause at the same time.
type pausingPermits struct{ f *Forwarder }

// Permit implements Permits.
func (p pausingPermits) Permit(_ context.Context, r quota.PermitRequest) quota.Decision {
	for _, id := range r.Servers {
		p.f.pause(id, time.Minute)
	}
	return quota.Decision{Granted: true}
}

// Reports and orders are calls too. They are not made to a paused backend server, nor is a
// stream cut for want of them.
func TestPausedBackendServerGetsNoReportsAndOrders(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		f := l.forward[0]
		var head *site.BackendServer
		l.eachHead(func(id string) { head = l.view.Servers[id] })
		f.pause(head.ID, time.Second)
		_, err := f.backends.Report(t.Context(), head)
		require.ErrorIs(t, err, ErrNotAccepting)
		require.ErrorIs(t, f.backends.Repath(t.Context(), head, "r", nil), ErrNotAccepting)
		require.ErrorIs(t, f.MayOrder(t.Context(), head.ID), ErrNotAccepting)
		_, err = f.Condition(t.Context(), head.ID)
		require.ErrorIs(t, err, ErrNotAccepting)
		require.False(t, f.Failed(head.ID))
		time.Sleep(time.Second)
		_, err = f.backends.Report(t.Context(), head)
		require.NoError(t, err)
	})
}

// sheddingFleet is a plain service in virtual time. Each backend server runs as many
// requests at once as it has slots, and refuses others with a Retry-After.
type sheddingFleet struct {
	daemons []*Forwarder
	view    *inventory.View

	mu       sync.Mutex
	running  map[string]int       // by backend server
	refuses  time.Time            // all requests are refused until then
	paused   map[string]time.Time // by daemon and backend server, end of the pause
	inPause  int                  // requests that arrived within a pause
	refusals int                  // by backend servers
	served   []time.Time
	took     []time.Duration // from a caller's first request to its answer
	failed   int             // requests that were not served
	returns  int             // refused requests whose callers returned
}

const (
	shedSlots    = 6
	shedWork     = 600 * time.Millisecond
	shedPause    = 3 * time.Second
	shedDeadline = 12 * time.Second
)

// sheddingBackends makes the calls of one daemon. It implements Backends.
type sheddingBackends struct {
	Backends
	fleet  *sheddingFleet
	daemon int
}

// Send implements Backends.
func (b sheddingBackends) Send(ctx context.Context, o *Outgoing) (*Answer, error) {
	fl, now, id := b.fleet, time.Now(), o.Server.ID
	key := fmt.Sprint(b.daemon, " ", id)
	fl.mu.Lock()
	if now.Before(fl.paused[key]) {
		fl.inPause++
	}
	if now.Before(fl.refuses) || fl.running[id] >= shedSlots {
		fl.refusals++
		fl.paused[key] = now.Add(shedPause)
		fl.mu.Unlock()
		fl.daemons[b.daemon].pause(id, shedPause)
		return &Answer{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody}, nil
	}
	fl.running[id]++
	fl.mu.Unlock()
	time.Sleep(shedWork)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.running[id]--
	return &Answer{Status: http.StatusOK, Signed: true, Header: http.Header{}, Framing: framing.Length, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

func newSheddingFleet(daemons, servers int) *sheddingFleet {
	fl := &sheddingFleet{running: map[string]int{}, paused: map[string]time.Time{}}
	known := map[string]*site.BackendServer{}
	for i := range servers {
		id := fmt.Sprint("b", i)
		known[id] = &site.BackendServer{ID: id, Service: "cards", Address: id, FailureDomain: string(rune('a' + i%3)), Slots: shedSlots}
	}
	fl.view = inventory.NewView(site.NewConfig(1, site.Limits{}, nil, []*site.Service{{Name: "cards"}}, nil), known)
	for n := range daemons {
		fl.daemons = append(fl.daemons, New(
			Options{FailureDomain: string(rune('a' + n%3)), RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second},
			Dependencies{Inventory: fixed{fl.view}, Fleet: labFleet(daemons), Backends: sheddingBackends{fleet: fl, daemon: n}, Log: NewLog(discard{}), Observer: noObserver{}}))
	}
	return fl
}

// shedRequest returns a request that is received now.
func shedRequest(id string, kind site.RequestKind, maxAttempts int, deadline time.Time) *Request {
	return &Request{
		ID: id, Service: "cards", Received: time.Now(), Deadline: deadline,
		Route: &site.Route{Kind: kind, MaxAttempts: maxAttempts, Timeout: shedDeadline},
	}
}

// callOnce makes a request that does not return.
func (fl *sheddingFleet) callOnce(n int) {
	req := shedRequest(fmt.Sprint("r", n), site.Safe, 2, time.Now().Add(shedDeadline))
	err := fl.daemons[n%len(fl.daemons)].Do(context.Background(), req, discardSink{})
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if err == nil {
		fl.served = append(fl.served, time.Now())
	}
}

// call makes a request that returns after each refusal until its deadline.
func (fl *sheddingFleet) call(n int) {
	first := time.Now()
	deadline := first.Add(shedDeadline)
	for try := 0; ; try++ {
		req := shedRequest(fmt.Sprint("r", n, "-", try), site.Safe, 2, deadline)
		err := fl.daemons[(n+try)%len(fl.daemons)].Do(context.Background(), req, discardSink{})
		fl.mu.Lock()
		if err == nil {
			fl.served = append(fl.served, time.Now())
			fl.took = append(fl.took, time.Since(first))
			fl.mu.Unlock()
			return
		}
		wait := min(apierror.From(err).Answer().RetryAfter, time.Until(deadline)/3)
		if wait < time.Millisecond {
			fl.failed++
			fl.mu.Unlock()
			return
		}
		fl.returns++
		fl.mu.Unlock()
		time.Sleep(wait)
	}
}

// All backend servers of a service refuse for a second and ask for a pause. None is called
// within it, and all callers who can be are served after it.
func TestFleetReturnsAfterPauseOfAllBackendServers(t *testing.T) {
	for _, c := range []struct {
		daemons, servers int
		loads            []float64 // fractions of the capacity
	}{{3, 3, []float64{0.5, 0.9, 2}}, {60, 12, []float64{0.5, 0.9}}, {300, 36, []float64{0.5}}} {
		if c.daemons >= maxRaceFleet && virtual.RaceDetector {
			continue
		}
		for _, load := range c.loads {
			t.Run(fmt.Sprintf("daemons=%d/load=%g", c.daemons, load), func(t *testing.T) {
				virtual.Test(t, func(t *testing.T) {
					fl := newSheddingFleet(c.daemons, c.servers)
					rng := rand.New(rand.NewPCG(uint64(c.daemons), uint64(load*10)))
					capacity := float64(c.servers*shedSlots) / shedWork.Seconds()
					start := time.Now()
					refusesAt := start.Add(2 * time.Second)
					var wg sync.WaitGroup
					n := 0
					for ; time.Since(start) < 10*time.Second; n++ {
						time.Sleep(time.Duration(rng.ExpFloat64() / (load * capacity) * float64(time.Second)))
						fl.mu.Lock()
						if fl.refuses.IsZero() && time.Now().After(refusesAt) {
							fl.refuses = time.Now().Add(time.Second)
						}
						fl.mu.Unlock()
						id := n
						wg.Go(func() { fl.call(id) })
					}
					wg.Wait()
					end := refusesAt.Add(time.Second + shedPause)
					firstSecond := 0
					for _, at := range fl.served {
						if at.After(end) && at.Before(end.Add(time.Second)) {
							firstSecond++
						}
					}
					slices.Sort(fl.took)
					t.Logf("%d requests, %d served after %s (median) and %s (p90), %d failed, %d returns, %d refusals by backend servers, %d served in the second after the pauses (capacity %.0f)",
						n, len(fl.served), fl.took[len(fl.took)/2].Round(time.Millisecond), fl.took[9*len(fl.took)/10].Round(time.Millisecond), fl.failed, fl.returns, fl.refusals, firstSecond, capacity)
					require.Zero(t, fl.inPause)
					require.NotZero(t, fl.refusals)
					require.NotZero(t, firstSecond)
					if load < 1 {
						require.Less(t, float64(fl.failed), 0.05*float64(n))
					}
				})
			})
		}
	}
}

// The server refuses requests beyond its slots and asks for a pause.
func TestServerIsNotFilledToALoadThatLedToAPause(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		fl := newSheddingFleet(1, 1)
		burst := func() (served int) {
			before := len(fl.served)
			var wg sync.WaitGroup
			for n := range 2 * shedSlots {
				wg.Go(func() { fl.callOnce(n) })
				time.Sleep(time.Millisecond)
			}
			wg.Wait()
			return len(fl.served) - before
		}
		require.Equal(t, shedSlots, burst())
		require.Equal(t, 1, fl.refusals, "how many requests the server queues is not known before")
		for range 3 {
			time.Sleep(shedPause)
			require.Equal(t, shedSlots, burst())
		}
		require.Equal(t, 1, fl.refusals)
	})
}

// A stream is not moved away from a paused hop that still runs it.
func TestRepairedPathKeepsPausedHops(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		f := l.forward[0]
		now := time.Now()
		r := &run{f: f, engine: l.engine, req: &Request{Service: labService, Prompt: labPrompt, Route: &site.Route{MaxAttempts: 2}}}
		found, err := r.find(context.Background())
		require.NoError(t, err)
		require.Greater(t, len(found.path), 2)
		kept, lost := found.path[1].Server, found.path[len(found.path)-1].Server
		f.pause(kept.ID, time.Minute)
		f.health.Fail(lost.ID, now)
		p, err := r.repair(found.path)
		require.NoError(t, err)
		require.True(t, p.Uses(kept.ID))
		require.False(t, p.Uses(lost.ID))
		fresh, err := r.find(context.Background())
		require.NoError(t, err)
		require.False(t, fresh.path.Uses(kept.ID), "a new request does not pass it")
		require.Equal(t, availability.Paused, f.availability.Of(kept.ID, now).State)
	})
}
