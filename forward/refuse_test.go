package forward

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/site"
)

// deaf is a caller that takes anything. It implements Sink.
type deaf struct{}

func (deaf) Head(int, http.Header) error          { return nil }
func (deaf) Whole(int, http.Header, []byte) error { return nil }
func (deaf) Events([]byte) error                  { return nil }

// refusedAfter sends one request and returns how long it took and the refusal.
func refusedAfter(t *testing.T, f *Forwarder) (time.Duration, *apierror.Error) {
	t.Helper()
	now := time.Now()
	err := f.Do(context.Background(), &Request{
		ID: "r", Service: labService, Received: now, Deadline: now.Add(20 * time.Second), Prompt: labPrompt,
		Route: &site.Route{Repeat: site.Stream, MaxAttempts: 2, Timeout: 20 * time.Second, Objective: 2 * time.Second},
	}, deaf{})
	var refusal *apierror.Error
	require.True(t, errors.As(err, &refusal), "%v", err)
	return time.Since(now), refusal
}

// heads calls fn with each first hop of the lab.
func (l *lab) heads(fn func(id string)) {
	for id, s := range l.view.Servers {
		if s.Held.Has(0) {
			fn(id)
		}
	}
}

// Where no layers lie, nothing is known to change within the time of a request: it is
// refused at once, however long its objective is.
func TestRequestThatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		l.heads(func(id string) { l.view.Servers[id].Draining = true })
		took, refusal := refusedAfter(t, l.forward[0])
		require.Zero(t, took)
		require.Equal(t, apierror.NoRoute, refusal.Kind)
		require.Equal(t, retryAfter, refusal.RetryAfter)
	})
}

// Where all heads have refused, the request waits until the first is asked again.
func TestRequestWaitsForAHeadThatIsAskedAgain(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		l.heads(func(id string) { l.forward[0].health.Refuse(id, time.Now()) })
		l.run(2, time.Second)
		require.Zero(t, l.refused)
		require.NotZero(t, l.whole)
	})
}

// A caller that is refused is told when the first head that refused is asked again.
func TestRefusedCallerIsToldWhenToReturn(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		f := l.forward[0]
		now := time.Now()
		l.heads(func(id string) { f.health.Refuse(id, now.Add(time.Second)) })
		after := f.returnAfter(labService, now)
		require.GreaterOrEqual(t, after, time.Second+cooldowns.Refused)
		require.Less(t, after, time.Second+cooldowns.Refused+returnSpread)
		require.Equal(t, retryAfter, f.returnAfter("unknown", now))
	})
}

// One that looks dead says nothing of when there is a path again.
func TestDeadHeadIsNotWaitedFor(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		l.heads(func(id string) { l.forward[0].health.Fail(id, time.Now()) })
		took, _ := refusedAfter(t, l.forward[0])
		require.Zero(t, took)
	})
}

// A daemon that sees few requests learns from one refusal that a hop is dead: those that
// follow do not try it again until its record is gone.
func TestHopThatIsRefusedForIsProbed(t *testing.T) {
	for name, silent := range map[string]bool{"killed": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				l := newLab(1)
				dead := 0
				for id, s := range l.view.Servers {
					if s.Held.Has(40) && !s.Held.Has(0) && s.FailureDomain != "c" {
						l.cards[id].killed, l.cards[id].silent = !silent, silent
						dead++
					}
				}
				require.NotZero(t, dead)
				l.run(2, 4*time.Second)
				require.NotZero(t, l.hopFaults)
				require.LessOrEqual(t, l.hopFaults, dead, "each is found by one refusal")
				require.Zero(t, l.cut)
			})
		})
	}
}
