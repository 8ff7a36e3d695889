package forward

import (
	"context"
	"maps"
	"math/rand/v2"
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

// Daemons that keep to their parts stay together within the fleet's budget.
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

// Daemons that are started again one after the other, and spend all they may,
// stay within the budget in every window; so do those that know nothing of the
// others.
func TestDaemonsThatRestartShareTheBudget(t *testing.T) {
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

func TestWhatIsKnownOfTheGoneIsForgotten(t *testing.T) {
	l := NewLoads()
	for _, id := range []string{"gone", "here"} {
		l.Enter(site.Path{{Server: &site.BackendServer{ID: id}}}, 1)()
	}
	l.Prune(map[string]*site.BackendServer{"here": {}})
	require.Len(t, l.servers, 1)
	r := newRecent[int](time.Hour)
	for _, id := range []string{"gone", "here"} {
		_, err := r.get(id, func() (int, error) { return 1, nil })
		require.NoError(t, err)
	}
	r.prune(map[string]*site.BackendServer{"here": {}})
	v, err := r.get("here", func() (int, error) { return 2, nil })
	require.NoError(t, err)
	require.Equal(t, 1, v, "still the last answer")
	require.Len(t, r.byID, 1)
}

// A retry is what reaches a backend server beyond the first send of a request that does. A
// send that could not be connected reaches nobody: with no retry left, requests were refused
// for want of one as soon as the first backend server that was chosen for them had died.
func TestSendThatReachesNobodyNeedsNoRetry(t *testing.T) {
	for _, repeat := range []site.Repeat{site.Safe, site.Unsafe} {
		b := &scripted{script: []behaviour{unreachable, unreachable, serving}}
		f := plainForwarder(4, b)
		f.budget = admission.NewBudget(0, 0, testWindow)
		require.NoError(t, f.Do(t.Context(), plainRequest(repeat), &taken{}))
		require.Equal(t, 1, b.arrivals)

		b.script = []behaviour{refusing, serving}
		require.Error(t, f.Do(t.Context(), plainRequest(repeat), &taken{}), "a refused send has arrived")
	}
}

// A retry that reached nobody goes back into the budget: with one retry in a window, it is
// there for the send after it.
func TestRetryThatReachesNobodyIsGivenBack(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		b := &scripted{script: []behaviour{refusing, unreachable, unreachable, serving}}
		f := plainForwarder(6, b)
		f.budget = admission.NewBudget(0, 1/(budgetUse*freshUse)+0.01, testWindow)
		f.started = time.Now().Add(-time.Minute)
		require.NoError(t, f.Do(t.Context(), plainRequest(site.Safe), &taken{}))
		require.Equal(t, 2, b.arrivals)
	})
}

// Whatever backend servers do, what reaches them beyond the first send of each request
// stays within the budget.
func TestArrivalsStayWithinTheBudget(t *testing.T) {
	for seed := range uint64(300) {
		virtual.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			b := &scripted{}
			f := plainForwarder(1+rng.IntN(6), b)
			slack := rng.IntN(5)
			f.budget = admission.NewBudget(0, float64(slack), testWindow)
			f.started = time.Now().Add(-time.Minute)
			beyond := 0
			for range 1 + rng.IntN(8) {
				b.arrivals, b.script = 0, nil
				for range rng.IntN(7) {
					b.script = append(b.script, behaviour(rng.IntN(int(behaviours))))
				}
				_ = f.Do(t.Context(), plainRequest(site.Safe), &taken{})
				beyond += max(0, b.arrivals-1)
			}
			require.LessOrEqual(t, beyond, slack, "arrivals beyond the first ones, seed %d", seed)
		})
	}
}

// A send that did not reach its head is not one of those that a request may be made at:
// behind two that could not be connected, a request that may be sent to two goes to a third.
func TestHeadThatWasNotReachedIsNoAttempt(t *testing.T) {
	b := &scripted{script: []behaviour{unreachable, unreachable, unreachable, serving}}
	f := plainForwarder(6, b)
	req := plainRequest(site.Safe)
	req.Route.MaxAttempts = 2
	require.NoError(t, f.Do(t.Context(), req, &taken{}))
}

// 300 daemons that have just started have a retry in half an hour each. One card that dies
// costs the requests that were on it, and no other: those that meet it dead go elsewhere.
func TestDeadHeadIsLeftWithoutRetries(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newFleetLab(1, 300)
		time.AfterFunc(4*time.Second, func() { l.kill(0, false) })
		l.run(30, 10*time.Second)
		t.Logf("whole %d, refused %d, cut %d", l.whole, l.refused, l.cut)
		require.LessOrEqual(t, l.refused, 3, "of some 300")
	})
}

// A begun stream whose next head is dead too is not kept waiting as behind one that is full.
func TestBegunStreamPassesADeadHeadAtOnce(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		r := &run{f: plainForwarder(2, &scripted{}), req: &Request{Route: &site.Route{Repeat: site.Stream}}, lastAt: time.Now(), life: execution.New(true)}
		r.headSent.Store(true)
		require.NoError(t, r.life.Move(execution.Sent))
		require.NoError(t, r.life.Move(execution.NotSent))
		began := time.Now()
		require.True(t, r.Retry(t.Context(), execution.NotRunHere))
		require.LessOrEqual(t, time.Since(began), holdStep)
	})
}

// plainRequest is a request to a plain service.
func plainRequest(repeat site.Repeat) *Request {
	now := time.Now()
	return &Request{
		ID: "r", Service: "cards", Received: now, Deadline: now.Add(3 * time.Second),
		Route: &site.Route{Repeat: repeat, MaxAttempts: 3, Timeout: 3 * time.Second, Objective: time.Millisecond},
	}
}

// A head whose record is gone may serve on, so it counts among those that a request may
// be sent to; one that has shown signs of its death does not, also later.
func TestHeadWhoseRecordIsGoneCountsAsAnAttempt(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := plainForwarder(0, &scripted{})
		r := &run{f: f, req: &Request{Route: &site.Route{MaxAttempts: 2}}}
		r.tried.add("a")
		require.False(t, r.attemptsUsed())
		r.tried.add("b")
		require.True(t, r.attemptsUsed())
		f.health.Fail("a", time.Now())
		require.False(t, r.attemptsUsed())
		time.Sleep(2 * cooldowns.FailedMost)
		require.False(t, r.attemptsUsed(), "it has ended")
		r.tried.add("c")
		require.True(t, r.attemptsUsed())
		require.True(t, r.tried.has("a"))
		require.Equal(t, 3, r.tried.count())
	})
}

// A head that only looks dead counts as an attempt, also where connections to it are
// refused: streams of two daemons that a cut kept from a head, by resets, went to a third
// while it served the other daemons. One whose record is gone besides has ended.
func TestHeadThatOnlyLooksDeadCountsAsAnAttempt(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := plainForwarder(3, &scripted{})
		r := &run{f: f, req: &Request{Route: &site.Route{MaxAttempts: 2}}}
		head := func(id string) *site.BackendServer { return f.inv.View().Servers[id] }
		r.tried.add("b0")
		r.tried.add("b1")
		f.fail(head("b0"), "probe", context.DeadlineExceeded, time.Now())
		require.True(t, f.Failed("b0"))
		require.True(t, r.attemptsUsed(), "silence is no proof")
		f.fail(head("b1"), "probe", syscall.ECONNREFUSED, time.Now())
		require.True(t, r.attemptsUsed(), "nor is a connection that is refused")

		time.Sleep(2 * cooldowns.FailedMost)
		servers := maps.Clone(f.inv.View().Servers)
		delete(servers, "b1")
		f.inv = fixed{inventory.NewView(f.inv.View().Config, servers)}
		require.False(t, r.attemptsUsed(), "its record is gone as well")
		r.tried.add("b2")
		require.True(t, r.attemptsUsed())
	})
}
