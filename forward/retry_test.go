package forward

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/internal/virtual"
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

// A head that only looks dead counts as an attempt: streams that were believed to have
// lost their head, which lived, once ran on four heads where two are allowed. One at
// whose address nobody listens has ended.
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
		require.False(t, r.attemptsUsed())
		r.tried.add("b2")
		require.True(t, r.attemptsUsed())
	})
}
