package execution

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/snowspoke/snowspoke/apierror"
)

// scriptedSender is a Sender whose sends return the given errors. It ends its
// context after endAt sends.
type scriptedSender struct {
	tracker *Tracker
	sends   []error // nil means a complete answer
	retries int
	cancel  context.CancelFunc
	endAt   int // number of sends after which the context ends, 0 means never
	made    int
	ran     int // sends that may have run
}

func (s *scriptedSender) Send(context.Context) (Result, error) {
	err := s.sends[min(s.made, len(s.sends)-1)]
	s.made++
	if s.made == s.endAt {
		s.cancel()
	}
	if verr := s.tracker.Transition(Sent); verr != nil {
		return Answered, verr
	}
	if err == nil {
		s.ran++
		s.tracker.MarkRan()
		return Answered, s.tracker.Transition(Delivered)
	}
	if verr := s.tracker.Transition(StateAfter(err)); verr != nil {
		return Answered, verr
	}
	if s.tracker.State().NotRun() {
		return NotRunHere, err
	}
	s.ran++
	return MayHaveRun, err
}

func (s *scriptedSender) Retry(context.Context, Result) bool {
	s.retries--
	return s.retries >= 0
}

func (s *scriptedSender) Progress() string { return fmt.Sprintf("after %d sends", s.made) }

// Whatever errors the sends return, a request that is not repeatable must not run
// twice, and the answer must state correctly whether it ran.
func TestRunOutcomeMatchesSends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		tracker := New(rapid.Bool().Draw(t, "repeatable"))
		s := &scriptedSender{
			tracker: &tracker, cancel: cancel, retries: rapid.IntRange(0, 4).Draw(t, "retries"), endAt: rapid.IntRange(0, 4).Draw(t, "end"),
			sends: rapid.SliceOfN(rapid.SampledFrom([]error{ErrNotSent, ErrRefused, ErrLost, nil}), 1, 6).Draw(t, "sends"),
		}
		err := tracker.Run(ctx, s)
		if !tracker.Repeatable() && s.ran > 1 {
			t.Fatalf("may have run %d times", s.ran)
		}
		if err == nil {
			require.Equal(t, Delivered, tracker.State())
			return
		}
		ran := apierror.Lookup(apierror.From(err).Kind).Ran
		if ran == apierror.RanNo && s.ran > 0 {
			t.Fatalf("%v, yet %d sends may have run", err, s.ran)
		}
		if ran == apierror.RanYes && s.ran == 0 {
			t.Fatalf("%v, yet none ran", err)
		}
	})
}

// If a deadline passes while the request is not known to run, the answer must not
// state that it ran.
func TestEndedMatchesState(t *testing.T) {
	passed, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	canceled, cancelCaller := context.WithCancel(context.Background())
	cancelCaller()
	ran := New(true)
	require.NoError(t, ran.Transition(Sent))
	ran.MarkRan()
	sent := New(true)
	require.NoError(t, sent.Transition(Sent))
	fresh := New(true)
	for _, c := range []struct {
		ctx     context.Context
		tracker Tracker
		want    apierror.Kind
	}{
		{passed, fresh, apierror.DeadlinePassed},
		{passed, sent, apierror.OutcomeUnknown},
		{passed, ran, apierror.DeadlineRunning},
		{canceled, ran, apierror.CallerGone},
		{context.Background(), sent, apierror.OutcomeUnknown}, // about to end
	} {
		require.Equal(t, c.want, c.tracker.EndError(c.ctx, "").Kind)
	}
}
