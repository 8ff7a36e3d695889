package forward

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/site"
)

const testWindow = 10 * time.Second

func TestBegunStreamsHaveAReserve(t *testing.T) {
	b := admission.NewBudget(0.2, 100, 10*time.Second)
	now := time.Unix(1000, 0)
	fresh := 0
	for b.Spend(now, retryPart(1, false, time.Minute, testWindow)) {
		fresh++
	}
	require.True(t, b.Allows(now, retryPart(1, true, time.Minute, testWindow)))
	begun := 0
	for b.Spend(now, retryPart(1, true, time.Minute, testWindow)) {
		begun++
	}
	require.Equal(t, 48, fresh)
	require.Equal(t, 32, begun)
}

// Daemons that use their parts of the budget stay within the fleet's budget.
func TestDaemonsShareTheBudget(t *testing.T) {
	const daemons = 8
	now := time.Unix(1000, 0)
	spent := 0
	for range daemons {
		b := admission.NewBudget(0.2, 200, 10*time.Second)
		for range 50 {
			b.Earn(now)
		}
		for b.Spend(now, retryPart(daemons, true, time.Minute, testWindow)) {
			spent++
		}
	}
	require.LessOrEqual(t, float64(spent), 0.2*50*daemons+200)
	require.Greater(t, spent, 200)
}

// Daemons that are restarted one after the other and use all retries that they may stay
// within the fleet's budget in every window, even if the number of daemons is unknown after
// the start.
func TestRestartedDaemonsShareTheBudget(t *testing.T) {
	const daemons, slack = 8, 200
	for name, known := range map[string]int{"known": daemons, "not known after the start": 0} {
		t.Run(name, func(t *testing.T) {
			type process struct {
				budget  *admission.Budget
				started time.Time
				known   int
			}
			begin := time.Unix(1000, 0)
			fleet := make([]process, daemons)
			for i := range fleet {
				fleet[i] = process{admission.NewBudget(0, slack, testWindow), begin.Add(-time.Minute), daemons}
			}
			var spent []time.Time
			for step := range 400 {
				now := begin.Add(time.Duration(step) * 100 * time.Millisecond)
				if step%10 == 5 {
					fleet[step/10%daemons] = process{admission.NewBudget(0, slack, testWindow), now, known}
				}
				for i := range fleet {
					p := &fleet[i]
					for p.budget.Spend(now, retryPart(p.known, true, now.Sub(p.started), testWindow)) {
						spent = append(spent, now)
					}
				}
			}
			for i := range spent {
				in := 0
				for j := i; j >= 0 && spent[i].Sub(spent[j]) < testWindow; j-- {
					in++
				}
				require.LessOrEqual(t, in, slack)
			}
		})
	}
}

func TestPruneRemovesUnknownServers(t *testing.T) {
	l := NewLoads()
	for _, id := range []string{"gone", "here"} {
		l.Enter(site.Path{{Server: &site.BackendServer{ID: id}}}, 1)()
	}
	l.Prune(map[string]*site.BackendServer{"here": {}})
	require.Len(t, l.servers, 1)
	r := newResultCache[int](time.Hour)
	for _, id := range []string{"gone", "here"} {
		_, err := r.get(id, func() (int, error) { return 1, nil })
		require.NoError(t, err)
	}
	r.prune(map[string]*site.BackendServer{"here": {}})
	v, err := r.get("here", func() (int, error) { return 2, nil })
	require.NoError(t, err)
	require.Equal(t, 1, v, "still the cached result")
	require.Len(t, r.byID, 1)
}

// Only sends that reach a backend server count as retries, beyond the first one of a
// request. Failed connections need no retry.
func TestUnreachedSendNeedsNoRetry(t *testing.T) {
	for _, kind := range []site.RequestKind{site.Safe, site.Unsafe} {
		b := &scriptedBackends{script: []behaviour{unreachable, unreachable, serving}}
		f := plainForwarder(4, b)
		f.budget = admission.NewBudget(0, 0, testWindow)
		require.NoError(t, f.Do(t.Context(), plainRequest(kind), &recordingSink{}))
		require.Equal(t, 1, b.arrivals)

		b.script = []behaviour{refusing, serving}
		require.Error(t, f.Do(t.Context(), plainRequest(kind), &recordingSink{}), "a refused send has arrived")
	}
}

// Without a retry left, the caller must receive the backend server's own error, not one
// that the daemon makes in its place.
func TestServerErrorIsDeliveredWithoutARetry(t *testing.T) {
	for retries, want := range map[float64]int{0: http.StatusInternalServerError, 1: http.StatusOK} {
		virtual.Test(t, func(t *testing.T) {
			b := &scriptedBackends{script: []behaviour{failing, serving}}
			f := plainForwarder(2, b)
			f.budget = admission.NewBudget(0, retries/(budgetShare*freshShare)+0.01*retries, testWindow)
			f.started = time.Now().Add(-time.Minute)
			sink := &recordingSink{}
			require.NoError(t, f.Do(t.Context(), plainRequest(site.Safe), sink))
			require.Equal(t, want, sink.status, "%g retries", retries)
		})
	}
}

// The request may be repeated, but nobody is left to take it.
func TestServerErrorIsDeliveredIfAllOthersArePaused(t *testing.T) {
	f := plainForwarder(2, &scriptedBackends{script: []behaviour{failing, serving}})
	f.pause("b1", time.Minute)
	sink := &recordingSink{}
	require.NoError(t, f.Do(t.Context(), plainRequest(site.Safe), sink))
	require.Equal(t, http.StatusInternalServerError, sink.status)
}

// A retry for a send that reached no server is returned to the budget and is available for
// the next send.
func TestRetryOfUnreachedSendIsReturned(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		b := &scriptedBackends{script: []behaviour{refusing, unreachable, unreachable, serving}}
		f := plainForwarder(6, b)
		f.budget = admission.NewBudget(0, 1/(budgetShare*freshShare)+0.01, testWindow)
		f.started = time.Now().Add(-time.Minute)
		require.NoError(t, f.Do(t.Context(), plainRequest(site.Safe), &recordingSink{}))
		require.Equal(t, 2, b.arrivals)
	})
}

// For any behaviour of backend servers, sends that arrive beyond the first one of each
// request stay within the budget.
func TestArrivalsStayWithinTheBudget(t *testing.T) {
	for seed := range uint64(300) {
		virtual.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			b := &scriptedBackends{}
			f := plainForwarder(1+rng.IntN(6), b)
			slack := rng.IntN(5)
			f.budget = admission.NewBudget(0, float64(slack), testWindow)
			f.started = time.Now().Add(-time.Minute)
			beyond := 0
			for range 1 + rng.IntN(8) {
				b.arrivals, b.script = 0, nil
				for range rng.IntN(7) {
					b.script = append(b.script, behaviour(rng.IntN(int(behaviourCount))))
				}
				_ = f.Do(t.Context(), plainRequest(site.Safe), &recordingSink{})
				beyond += max(0, b.arrivals-1)
			}
			require.LessOrEqual(t, beyond, slack, "arrivals beyond the first ones, seed %d", seed)
		})
	}
}

// A send that did not reach its head does not count against the maximum number of
// attempts.
func TestUnreachedHeadIsNoAttempt(t *testing.T) {
	b := &scriptedBackends{script: []behaviour{unreachable, unreachable, unreachable, serving}}
	f := plainForwarder(6, b)
	req := plainRequest(site.Safe)
	req.Route.MaxAttempts = 2
	require.NoError(t, f.Do(t.Context(), req, &recordingSink{}))
}

// Requests that cannot connect to a dead server are sent elsewhere without a retry. Daemons
// that have just started have few retries, so only requests that were running on the server
// may be refused.
func TestDeadHeadCostsNoRetries(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		daemons := 300
		if virtual.RaceDetector {
			daemons = 8
		}
		l := newFleetLab(1, daemons)
		time.AfterFunc(4*time.Second, func() { l.kill(0, false) })
		l.run(30, 10*time.Second)
		t.Logf("completed %d, refused %d, cut %d", l.completed, l.refused, l.cut)
		require.LessOrEqual(t, l.refused, 3, "of some 300")
	})
}

// A begun stream whose next head is dead continues at once, without the backoff that
// follows a refusal.
func TestBegunStreamSkipsDeadHeadAtOnce(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		r := &run{f: plainForwarder(2, &scriptedBackends{}), req: &Request{Route: &site.Route{Kind: site.Stream}}, lastEventAt: time.Now(), tracker: execution.New(true)}
		r.headSent.Store(true)
		require.NoError(t, r.tracker.Transition(execution.Sent))
		require.NoError(t, r.tracker.Transition(execution.NotSent))
		began := time.Now()
		require.True(t, r.Retry(t.Context(), execution.NotRunHere))
		require.LessOrEqual(t, time.Since(began), pollInterval)
	})
}

// plainRequest returns a request to a plain service.
func plainRequest(kind site.RequestKind) *Request {
	now := time.Now()
	return &Request{
		ID: "r", Service: "cards", Received: now, Deadline: now.Add(3 * time.Second),
		Route: &site.Route{Kind: kind, MaxAttempts: 3, Timeout: 3 * time.Second, Objective: time.Millisecond},
	}
}

// A head without a record may still serve, so it counts as an attempt. A head that has
// terminated never counts again.
func TestHeadWhoseRecordIsGoneCountsAsAnAttempt(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := plainForwarder(0, &scriptedBackends{})
		r := &run{f: f, req: &Request{Route: &site.Route{MaxAttempts: 2}}}
		r.tried.add("a")
		require.False(t, r.attemptsExhausted())
		r.tried.add("b")
		require.True(t, r.attemptsExhausted())
		f.health.Fail("a", time.Now())
		require.False(t, r.attemptsExhausted())
		time.Sleep(2 * cooldowns.MaxAfterFailures)
		require.False(t, r.attemptsExhausted(), "it has terminated")
		r.tried.add("c")
		require.True(t, r.attemptsExhausted())
		require.True(t, r.tried.has("a"))
		require.Equal(t, 3, r.tried.count())
	})
}

// A head that only looks dead counts as an attempt, even if connections are refused, since a
// partitioned network may refuse them on behalf of a head that serves others. If its record
// is gone as well, the head has terminated.
func TestHeadThatOnlyLooksDeadCountsAsAnAttempt(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := plainForwarder(3, &scriptedBackends{})
		r := &run{f: f, req: &Request{Route: &site.Route{MaxAttempts: 2}}}
		head := func(id string) *site.BackendServer { return f.inv.View().Servers[id] }
		r.tried.add("b0")
		r.tried.add("b1")
		f.markFailed(head("b0"), "probe", context.DeadlineExceeded, time.Now())
		require.True(t, f.Failed("b0"))
		require.True(t, r.attemptsExhausted(), "a timeout is no proof")
		f.markFailed(head("b1"), "probe", syscall.ECONNREFUSED, time.Now())
		require.True(t, r.attemptsExhausted(), "nor is a refused connection")

		time.Sleep(2 * cooldowns.MaxAfterFailures)
		servers := maps.Clone(f.inv.View().Servers)
		delete(servers, "b1")
		f.inv = fixed{inventory.NewView(f.inv.View().Config, servers)}
		require.False(t, r.attemptsExhausted(), "its record is gone as well")
		r.tried.add("b2")
		require.True(t, r.attemptsExhausted())
	})
}
