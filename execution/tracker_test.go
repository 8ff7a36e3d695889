package execution

import (
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/invariant"
)

// After any sequence of legal transitions, a request that is not repeatable must be
// in progress at most once, and an answer that it did not run must be correct.
func TestAnswerMatchesExecution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(rapid.Bool().Draw(t, "repeatable"))
		executions := 0 // that may have started
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			to := State(rapid.IntRange(int(NotSent), int(Unknown)).Draw(t, "to"))
			if !Legal(tracker.state, to, tracker.repeatable) {
				continue
			}
			if to == Sent {
				executions++
			}
			if to == NotSent || to == Refused {
				executions--
			}
			require.NoError(t, tracker.Transition(to))
			tracker.ran = tracker.ran || to == Delivered
			if !tracker.repeatable && executions > 1 {
				t.Fatalf("%d executions", executions)
			}
			e := tracker.correct(apierror.New(apierror.Overloaded, "x"))
			if executions > 0 && apierror.Lookup(e.Kind).Ran == apierror.RanNo {
				t.Fatalf("answered %s with %d executions under way", e.Kind, executions)
			}
			require.NoError(t, tracker.checkAnswer(e))
		}
	})
}

func TestIllegalMoveViolatesInvariant(t *testing.T) {
	before := invariant.Count(invariant.AtMostOnce)
	tracker := Tracker{state: Unknown, sends: 1}
	require.Error(t, tracker.Transition(Sent))
	require.Equal(t, before+1, invariant.Count(invariant.AtMostOnce))
	before = invariant.Count(invariant.NotRunIsTrue)
	require.Error(t, tracker.checkAnswer(apierror.New(apierror.Overloaded, "x")))
	require.Equal(t, before+1, invariant.Count(invariant.NotRunIsTrue))
}

// An error that does not state whether the request ran must lead to Unknown.
func TestStateAfterAnError(t *testing.T) {
	require.Equal(t, NotSent, StateAfter(fmt.Errorf("dial: %w", ErrNotSent)))
	require.Equal(t, Refused, StateAfter(fmt.Errorf("%w: full", ErrRefused)))
	require.Equal(t, Unknown, StateAfter(ErrLost))
	require.Equal(t, Unknown, StateAfter(io.ErrUnexpectedEOF))
}
