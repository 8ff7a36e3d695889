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
			Reason: fmt.Sprintf("asked for %s, paused for %s, before for %s", pause.After, after.PauseLeft(now), before.PauseLeft(now)),
		})
	}
}

// has reports whether a server is paused.
func (p *pauses) has(server string) bool { return p.table.Of(server, p.clock()).IsPaused() }

// all returns the ends of all pauses by server.
func (p *pauses) all() map[string]time.Time { return p.table.Pauses(p.clock()) }

// errorOf returns the refusal of a request that the pauses of these servers prevent, nil
// if none of them is paused.
func (p *pauses) errorOf(servers ...string) *pausedError {
	now := p.clock()
	var first time.Time
	for _, server := range servers {
		s := p.table.Of(server, now)
		if s.IsPaused() && (first.IsZero() || s.Until.Before(first)) {
			first = s.Until
		}
	}
	if first.IsZero() {
		return nil
	}
	return &pausedError{left: first.Sub(now)}
}

// pausedError refuses a request because the backend servers that could run it are paused.
type pausedError struct{ left time.Duration } // until the end of the first pause

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

// asPausedError returns the *pausedError that err wraps, nil if there is none.
func asPausedError(err error) *pausedError {
	var paused *pausedError
	if errors.As(err, &paused) {
		return paused
	}
	return nil
}
