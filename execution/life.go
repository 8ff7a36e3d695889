// Package execution tracks whether a request ran. Its state machine, used for
// model requests, plain services and the platform's requests, asserts that a
// request that is not repeatable is in progress at most once, and that a request
// that may have run is never answered as not run.
package execution

import (
	"fmt"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/invariant"
)

// State is what is known about the execution of a request.
type State uint8

// The states. Only NotSent and Refused allow an answer of not run.
const (
	NotSent   State = iota // no byte was written to a connection
	Sent                   // written, no explicit answer yet
	Refused                // the backend server reported that it did not run
	Delivered              // the complete answer was received
	Unknown                // contact was lost, or a stage failed, after sending
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"not_sent", "sent", "refused", "delivered", "unknown"}[s]
}

// NotRun reports whether the request certainly did not run.
func (s State) NotRun() bool { return s == NotSent || s == Refused }

// Legal reports whether a request may go from one state to another. Sending again
// from Unknown may start a second execution, so the request must be repeatable.
func Legal(from, to State, repeatable bool) bool {
	switch from {
	case NotSent:
		return to == Sent
	case Sent:
		return to == NotSent || to == Refused || to == Delivered || to == Unknown
	case Refused:
		return to == Sent
	case Unknown:
		return to == Delivered || to == Refused || to == Sent && repeatable
	}
	return false
}

// Tracker is the state machine of one request. It is not safe for concurrent use.
type Tracker struct {
	state      State
	ran        bool // some attempt ran, at least in part
	repeatable bool
	sends      int // executions that may have begun
}

// New returns the Life of a request that was not sent yet.
func New(repeatable bool) Tracker { return Tracker{repeatable: repeatable} }

// NewSent returns the Life of a request that another daemon has sent.
func NewSent(repeatable bool) Tracker {
	return Tracker{state: Unknown, ran: true, repeatable: repeatable, sends: 1}
}

// State returns the current state.
func (l *Tracker) State() State { return l.state }

// Repeatable reports whether the request may run more than once.
func (l *Tracker) Repeatable() bool { return l.repeatable }

// HasRun reports whether some attempt is known to have run, at least in part.
func (l *Tracker) HasRun() bool { return l.ran }

// MarkRan records that an attempt runs or ran.
func (l *Tracker) MarkRan() { l.ran = true }

// Move goes to a state. It returns an error if that violates invariant.AtMostOnce.
func (l *Tracker) Move(to State) error {
	if to == Unknown && l.state == Unknown {
		return nil // a resumed stream broke again
	}
	if !Legal(l.state, to, l.repeatable) {
		return invariant.Check(false, invariant.AtMostOnce, "illegal transition %s to %s", l.state, to)
	}
	if to == NotSent || to == Refused {
		l.sends-- // that attempt did not run
	}
	if to == Sent {
		l.sends++
	}
	l.state = to
	return invariant.Check(l.repeatable || l.sends <= 1, invariant.AtMostOnce,
		"a request that is not repeatable was sent %d times", l.sends)
}

// NotRun reports whether certainly no attempt ran.
func (l *Tracker) NotRun() bool { return l.state.NotRun() && !l.ran && l.sends == 0 }

// Answer converts any error into an answer that correctly states whether the
// request ran. If the result is not correct, it returns the violated invariant.
func (l *Tracker) Answer(err error) *apierror.Error {
	e := l.correct(apierror.From(err))
	if verr := l.checkAnswer(e); verr != nil {
		return apierror.From(verr)
	}
	return e
}

// correct replaces an error that states that the request did not run if it ran or
// may have run.
func (l *Tracker) correct(e *apierror.Error) *apierror.Error {
	if l.NotRun() || !e.NotRun() {
		return e
	}
	kind := apierror.OutcomeUnknown
	if l.ran {
		kind = apierror.BackendFailed
	}
	return &apierror.Error{Kind: kind, Detail: fmt.Sprintf("%s, after it had been sent", e.Detail), Err: e}
}

// checkAnswer asserts that an answer of not run is given only if nothing ran.
func (l *Tracker) checkAnswer(e *apierror.Error) error {
	return invariant.Check(!e.NotRun() || l.NotRun(), invariant.NotRunIsTrue,
		"%s answered in state %s after %d sends", e.Kind, l.state, l.sends)
}
