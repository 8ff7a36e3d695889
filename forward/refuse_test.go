package forward

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/site"
)

// discardSink discards the answer. It implements Sink.
type discardSink struct{}

func (discardSink) Head(int, http.Header) error             { return nil }
func (discardSink) Complete(int, http.Header, []byte) error { return nil }
func (discardSink) Events([]byte) error                     { return nil }

// requestRefusal sends one request and returns the time to its refusal and the error.
func requestRefusal(t *testing.T, f *Forwarder) (time.Duration, *apierror.Error) {
	t.Helper()
	now := time.Now()
	err := f.Do(context.Background(), &Request{
		ID: "r", Service: labService, Received: now, Deadline: now.Add(20 * time.Second), Prompt: labPrompt,
		Route: &site.Route{Kind: site.Stream, MaxAttempts: 2, Timeout: 20 * time.Second, Objective: 2 * time.Second},
	}, discardSink{})
	var refusal *apierror.Error
	require.True(t, errors.As(err, &refusal), "%v", err)
	return time.Since(now), refusal
}

// eachHead calls fn with the ID of each first hop of the lab.
func (l *lab) eachHead(fn func(id string)) {
	for id, s := range l.view.Servers {
		if s.Held.Has(0) {
			fn(id)
		}
	}
}

// If no server holds some layers, a change is not expected soon. The request is refused at
// once regardless of its objective.
func TestRequestThatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		l.eachHead(func(id string) { l.view.Servers[id].Draining = true })
		took, refusal := requestRefusal(t, l.forward[0])
		require.Zero(t, took)
		require.Equal(t, apierror.NoRoute, refusal.Kind)
		require.Equal(t, defaultRetryAfter, refusal.RetryAfter)
	})
}

// If all heads have refused work, a request waits until the first head is available again.
func TestRequestWaitsForCooldownOfHead(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		l.eachHead(func(id string) { l.forward[0].health.Refuse(id, time.Now()) })
		l.run(2, time.Second)
		require.Zero(t, l.refused)
		require.NotZero(t, l.completed)
	})
}

// A request is not held for a backend server that its attempts do not allow.
func TestRequestWithoutAttemptsIsNotHeld(t *testing.T) {
	for name, c := range map[string]struct {
		attempts int
		paused   int // backend servers that have not been tried
	}{"one attempt": {1, 0}, "all tried": {3, 0}, "the rest paused": {3, 1}} {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				f := plainForwarder(2, &scriptedBackends{script: []behaviour{refusing, refusing, refusing}})
				if c.paused > 0 {
					f.pause("b0", time.Minute)
				}
				now := time.Now()
				err := f.Do(context.Background(), &Request{
					ID: "r", Service: "cards", Received: now, Deadline: now.Add(3 * time.Second),
					Route: &site.Route{Kind: site.Unsafe, MaxAttempts: c.attempts, Timeout: 3 * time.Second},
				}, discardSink{})
				require.True(t, apierror.From(err).NotRun(), "%v", err)
				require.Zero(t, time.Since(now))
			})
		})
	}
}

// The retry time of a refusal is when the first head that refused work is available again.
func TestRefusalHasRetryTime(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		f := l.forward[0]
		now := time.Now()
		l.eachHead(func(id string) { f.health.Refuse(id, now.Add(time.Second)) })
		after := f.retryAfter(labService, now)
		require.GreaterOrEqual(t, after, time.Second+cooldowns.AfterRefusal)
		require.Less(t, after, time.Second+cooldowns.AfterRefusal+retryAfterSpread)
		require.Equal(t, defaultRetryAfter, f.retryAfter("unknown", now))
	})
}

// A request does not wait for a dead head, whose return is not expected.
func TestDeadHeadIsNotWaitedFor(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		l.eachHead(func(id string) { l.forward[0].health.Fail(id, time.Now()) })
		took, _ := requestRefusal(t, l.forward[0])
		require.Zero(t, took)
	})
}

// A daemon with few requests detects a dead hop by one refusal. Later requests avoid the
// hop.
func TestRefusedHopIsProbed(t *testing.T) {
	for name, silent := range map[string]bool{"killed": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				l := newLab(1)
				dead := 0
				for id, s := range l.view.Servers {
					if s.Held.Has(40) && !s.Held.Has(0) && s.FailureDomain != "c" {
						l.servers[id].killed, l.servers[id].silent = !silent, silent
						dead++
					}
				}
				require.NotZero(t, dead)
				l.run(2, 4*time.Second)
				require.NotZero(t, l.hopFaults)
				require.LessOrEqual(t, l.hopFaults, dead, "each is detected by one refusal")
				require.Zero(t, l.cut)
			})
		})
	}
}

// A head that refuses with 421 may lack the layers of the path, and still runs.
func TestMisdirectedRequestIsNoProofOfAnotherProcess(t *testing.T) {
	f := plainForwarder(1, &scriptedBackends{})
	s := f.inv.View().Servers["b0"]
	r := f.newRun(&Request{Route: &site.Route{Kind: site.Safe, MaxAttempts: 1}}, &recordingSink{})
	refuse := func(byOther bool) {
		a := &Answer{Status: http.StatusMisdirectedRequest, NotRun: true, FromOther: byOther, Body: http.NoBody}
		result, _ := r.refused(&target{path: site.Path{{Server: s}}}, a, nil)
		require.Equal(t, execution.NotRunHere, result)
	}
	refuse(false)
	require.False(t, f.hasTerminated(s.ID))
	refuse(true)
	require.True(t, f.hasTerminated(s.ID))
}

// plainFeed decodes records of plain backend servers.
type plainFeed struct{ inventory.Feed }

func (plainFeed) DecodeServer(id string, _ []byte) (*site.BackendServer, error) {
	return &site.BackendServer{ID: id, Service: "cards", Address: id}, nil
}

// Guards against new requests to a backend server that has left, whose record the list of a new
// source lacks (review/3).
func TestServerThatLeftBehindALostSourceGetsNoRequests(t *testing.T) {
	f := plainForwarder(1, &scriptedBackends{})
	inv := inventory.New(plainFeed{}, log.NewNopLogger())
	f.inv = inv
	ids := func() (ids []string) {
		for _, p := range f.candidates(inv.View(), "cards", nil, time.Now()) {
			ids = append(ids, p.Server.ID)
		}
		return ids
	}
	entry := inventory.Entry{At: 5}
	inv.Apply(inventory.Update{Full: true, At: 5, Servers: map[string]inventory.Entry{"b0": entry, "b1": entry}})
	require.ElementsMatch(t, []string{"b0", "b1"}, ids())
	now := boottime.Now()
	inv.NoteContact(inventory.Contact{Since: now.Add(-time.Minute), Last: now})
	inv.Apply(inventory.Update{Full: true, At: 6, Servers: map[string]inventory.Entry{"b1": entry}})
	require.Equal(t, []string{"b1"}, ids())
	inv.Apply(inventory.Update{Full: true, At: 7})
	require.Empty(t, ids(), "the last one of the service has left")
}
