// Package execution tracks whether a request ran. Its state machine is used for
// model requests, plain services and the platform's requests. It asserts that a
// request that is not repeatable is in progress at most once, and that the answer to
// a request that may have run never states that it did not run.
package execution

import (
	"fmt"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/invariant"
)

// State is what is known about the execution of a request.
type State uint8

// The states. Only NotSent and Refused allow the answer that the request did not
// run.
const (
	NotSent   State = iota // no byte was written to a connection
	Sent                   // written, no explicit answer yet
	Refused                // the backend server reported that it did not run
	Delivered              // the complete answer was received
	Unknown                // contact was lost, or a hop failed, after sending
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"not_sent", "sent", "refused", "delivered", "unknown"}[s]
}

// NotRun reports whether it is certain that the latest send did not run.
func (s State) NotRun() bool { return s == NotSent || s == Refused }

// Legal reports whether a request may go from one state to another. Sending again
// from Unknown may start a second execution, so it requires a repeatable request.
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
	ran        bool // an attempt ran, at least in part
	repeatable bool
	sends      int // executions that may have started
}

// New returns the Tracker of a request that was not sent yet.
func New(repeatable bool) Tracker { return Tracker{repeatable: repeatable} }

// NewSent returns the Tracker of a request that another daemon has sent.
func NewSent(repeatable bool) Tracker {
	return Tracker{state: Unknown, ran: true, repeatable: repeatable, sends: 1}
}

// State returns the current state.
func (t *Tracker) State() State { return t.state }

// Repeatable reports whether the request may run more than once.
func (t *Tracker) Repeatable() bool { return t.repeatable }

// HasRun reports whether an attempt is known to have run, at least in part.
func (t *Tracker) HasRun() bool { return t.ran }

// MarkRan records that an attempt has run, at least in part.
func (t *Tracker) MarkRan() { t.ran = true }

// Transition changes the state. It returns an error if the change violates
// invariant.AtMostOnce.
func (t *Tracker) Transition(to State) error {
	if to == Unknown && t.state == Unknown {
		return nil // a resumed stream broke again
	}
	if !Legal(t.state, to, t.repeatable) {
		return invariant.Check(false, invariant.AtMostOnce, "illegal transition %s to %s", t.state, to)
	}
	if to == NotSent || to == Refused {
		t.sends-- // that attempt did not run
	}
	if to == Sent {
		t.sends++
	}
	t.state = to
	return invariant.Check(t.repeatable || t.sends <= 1, invariant.AtMostOnce,
		"a request that is not repeatable was sent %d times", t.sends)
}

// NotRun reports whether it is certain that no attempt ran.
func (t *Tracker) NotRun() bool { return t.state.NotRun() && !t.ran && t.sends == 0 }

// Answer converts any error into an answer that correctly states whether the
// request ran. If the converted answer is still wrong, it returns the violation of
// the invariant instead.
func (t *Tracker) Answer(err error) *apierror.Error {
	e := t.correct(apierror.From(err))
	if verr := t.checkAnswer(e); verr != nil {
		return apierror.From(verr)
	}
	return e
}

// correct replaces an error that states that the request did not run if it ran or
// may have run.
func (t *Tracker) correct(e *apierror.Error) *apierror.Error {
	if t.NotRun() || !e.NotRun() {
		return e
	}
	kind := apierror.OutcomeUnknown
	if t.ran {
		kind = apierror.BackendFailed
	}
	return &apierror.Error{Kind: kind, Detail: fmt.Sprintf("%s, after it had been sent", e.Detail), Err: e}
}

// checkAnswer asserts that an answer states that the request did not run only if
// that is certain.
func (t *Tracker) checkAnswer(e *apierror.Error) error {
	return invariant.Check(!e.NotRun() || t.NotRun(), invariant.NotRunIsTrue,
		"%s answered in state %s after %d sends", e.Kind, t.state, t.sends)
}
