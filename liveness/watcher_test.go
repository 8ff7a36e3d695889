package liveness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
)

// dying returns a check of a process that accepts connections for a while, and then ends.
func dying(acceptsFor time.Duration, checks *int) Check {
	end := time.Now().Add(acceptsFor)
	return func() Verdict {
		*checks++
		if time.Now().Before(end) {
			return Unresponsive
		}
		return Ended
	}
}

// report is a call of Notify.
type report struct {
	verdict Verdict
	last    bool
}

// watchFor watches a process and returns the reports until the last one.
func watchFor(w *Watcher, check Check) (reports []report) {
	got := make(chan report, MaxReports)
	w.Watch("p", check, func(v Verdict, last bool) { got <- report{v, last} })
	for r := range got {
		reports = append(reports, r)
		if r.last {
			break
		}
	}
	return reports
}

// A process that accepts connections while it ends is found to have ended, with few checks.
func TestProcessThatAcceptsWhileItEndsIsGone(t *testing.T) {
	for _, d := range []time.Duration{0, 2 * time.Millisecond, 40 * time.Millisecond, 250 * time.Millisecond, 5 * time.Second} {
		virtual.Test(t, func(t *testing.T) {
			var w Watcher
			checks := 0
			reports := watchFor(&w, dying(d, &checks))
			require.Equal(t, report{Ended, true}, reports[len(reports)-1])
			require.Equal(t, d > UnresponsiveAfter, len(reports) == 2, "unresponsive for %s", d)
			require.LessOrEqual(t, checks, 20)
		})
	}
}

// That a process accepts connections and answers nothing is known before it is reported.
func TestUnresponsiveProcessIsKnownAtOnce(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		var w Watcher
		done := make(chan report, 2)
		w.Watch("p", dying(100*time.Millisecond, new(int)), func(v Verdict, last bool) { done <- report{v, last} })
		time.Sleep(50 * time.Millisecond)
		require.True(t, w.Unresponsive("p"))
		require.Equal(t, report{Ended, true}, <-done)
		require.False(t, w.Unresponsive("p"))
	})
}

// An answer to a check from before a loss of contact says nothing about what happened since.
func TestAnswerBeforeTheLossIsNotConclusive(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		var w Watcher
		checks := 0
		check := func() Verdict {
			checks++
			if checks == 1 {
				time.Sleep(50 * time.Millisecond)
				return Alive
			}
			return Replaced
		}
		first := make(chan report, 2)
		w.Watch("p", check, func(v Verdict, last bool) { first <- report{v, last} })
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, []report{{Replaced, true}}, watchFor(&w, check))
		require.Equal(t, report{Alive, true}, <-first)
		require.Empty(t, first)
		require.Equal(t, 2, checks)
	})
}

// A further loss of contact does not wait for the pause that earlier ones have reached.
func TestFurtherLossIsCheckedSoon(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		var w Watcher
		got := make(chan report, 2*MaxReports)
		check := func() Verdict { return Unknown }
		w.Watch("p", check, func(Verdict, bool) {})
		time.Sleep(4 * time.Second)
		lost := time.Now()
		w.Watch("p", check, func(v Verdict, last bool) { got <- report{v, last} })
		require.Equal(t, report{Unknown, false}, <-got)
		require.LessOrEqual(t, time.Since(lost), 2*minPause)
		<-got
	})
}

// A process of which nothing is known is watched for a bounded time.
func TestWatchIsBounded(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		var w Watcher
		began := time.Now()
		require.Equal(t, []report{{Unknown, false}, {Unknown, true}}, watchFor(&w, func() Verdict { return Unknown }))
		require.InDelta(t, watchLimit, time.Since(began), float64(maxPause))
		require.Equal(t, []report{{Ended, true}}, watchFor(&w, dying(0, new(int))))
	})
}
