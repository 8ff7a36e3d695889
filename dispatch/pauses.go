package dispatch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/availability"
	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/execution"
)

// pauses keeps requests from backend servers and endpoints that have refused one with a
// Retry-After, until that time is over. They are identified by their configured names, so
// a restart does not end a pause. It is safe for concurrent use.
type pauses struct {
	table *availability.Table
	clock Clock
	log   *decision.Log
}

func newPauses(clock Clock, log *decision.Log) *pauses {
	return &pauses{table: availability.NewTable(), clock: clock, log: log}
}

// note records the pause that the error of a request to a server states, if any.
func (p *pauses) note(server, requestID string, err error) {
	var pause *backend.PauseError
	if !errors.As(err, &pause) {
		return
	}
	now := p.clock()
	p.table.Forget(func(string) bool { return true }, now)
	before, after := p.table.Apply(availability.Statement{Server: server, Pause: pause.After}, now)
	if before != after {
		p.log.Add(decision.Record{
			Time: now, Kind: decision.Pause, RequestID: requestID, Subject: server,
			Reason: fmt.Sprintf("asked for %s, paused for %s, before for %s", pause.After, left(after, now), left(before, now)),
		})
	}
}

func left(s availability.Status, now time.Time) time.Duration {
	if s.Until.IsZero() {
		return 0
	}
	return s.Until.Sub(now).Round(time.Millisecond)
}

// until returns the end of a server's pause, zero if it is not paused.
func (p *pauses) until(server string) time.Time { return p.table.Of(server, p.clock()).Until }

// all returns the ends of all pauses by server.
func (p *pauses) all() map[string]time.Time { return p.table.Pauses(p.clock()) }

// pausedError refuses a request because the backend servers that could run it are paused.
type pausedError struct {
	until time.Time // end of the first pause
	left  time.Duration
}

// newPausedError returns the refusal of a request that these pauses prevent.
func (p *pauses) newPausedError(ends []time.Time) *pausedError {
	first := ends[0]
	for _, at := range ends {
		if at.Before(first) {
			first = at
		}
	}
	return &pausedError{until: first, left: first.Sub(p.clock())}
}

// Error implements error.
func (e *pausedError) Error() string {
	return fmt.Sprintf("backend servers are paused for %s", e.left.Round(time.Millisecond))
}

// Unwrap returns execution.ErrNotSent.
func (e *pausedError) Unwrap() error { return execution.ErrNotSent }

// apiError returns the answer to a request that no other backend server can serve.
func (e *pausedError) apiError() *apierror.Error {
	return apierror.Wrap(apierror.Overloaded, e).WithRetryAfter(e.left + rand.N(retryJitter))
}

func isPaused(err error) bool {
	var paused *pausedError
	return errors.As(err, &paused)
}
