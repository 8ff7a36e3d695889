// Package execution keeps what is known about whether a request ran: one state
// machine for both faces of the daemon, which asserts that a request that may
// not be repeated is under way at most once and that "not run" is never said of
// one that may have run.
package execution

import (
	"fmt"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/invariant"
)

// State says what is known about the execution of a request.
type State uint8

// The states. Only NotSent and Refused may be answered as not run.
const (
	NotSent   State = iota // no byte was handed to a connection
	Sent                   // handed over, no explicit answer yet
	Refused                // the backend server said that it did not run
	Delivered              // the whole answer was received
	Unknown                // contact was lost, or a stage failed, after sending
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"not_sent", "sent", "refused", "delivered", "unknown"}[s]
}

// NotRun reports whether the request surely did not run.
func (s State) NotRun() bool { return s == NotSent || s == Refused }

// Legal reports whether a request may go from one state to another. Sending
// again from Unknown starts a second execution, so it takes a repeatable request.
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

// Life is the state machine of one request. It is not safe for concurrent use.
type Life struct {
	state      State
	ran        bool // some attempt ran, at least in part
	repeatable bool
	sends      int // times that execution may have begun
}

// New returns the life of a request that was not sent yet.
func New(repeatable bool) Life { return Life{repeatable: repeatable} }

// Begun returns the life of a request that another daemon has sent.
func Begun(repeatable bool) Life {
	return Life{state: Unknown, ran: true, repeatable: repeatable, sends: 1}
}

// State returns what is known now.
func (l *Life) State() State { return l.state }

// Repeatable reports whether the request may run more than once.
func (l *Life) Repeatable() bool { return l.repeatable }

// HasRun reports whether some attempt is known to have run, at least in part.
func (l *Life) HasRun() bool { return l.ran }

// MarkRan notes that an attempt runs or ran.
func (l *Life) MarkRan() { l.ran = true }

// Move goes to a state or reports a violated promise.
func (l *Life) Move(to State) error {
	if to == Unknown && l.state == Unknown {
		return nil // a resumed stream broke again
	}
	if !Legal(l.state, to, l.repeatable) {
		return invariant.Check(false, invariant.AtMostOnce, "illegal transition %s to %s", l.state, to)
	}
	if to == NotSent || to == Refused {
		l.sends-- // that one surely did not run
	}
	if to == Sent {
		l.sends++
	}
	l.state = to
	return invariant.Check(l.repeatable || l.sends <= 1, invariant.AtMostOnce,
		"a request that is not repeatable was sent %d times", l.sends)
}

// NotRun reports whether no attempt can have run.
func (l *Life) NotRun() bool { return l.state.NotRun() && !l.ran && l.sends == 0 }

// Truth turns any error into an answer that is true now, or into the fault of an
// answer that is not.
func (l *Life) Truth(err error) *apierror.Error {
	e := l.answer(apierror.From(err))
	if verr := l.checkAnswer(e); verr != nil {
		return apierror.From(verr)
	}
	return e
}

// answer turns an error into one whose statement about execution is true now.
func (l *Life) answer(e *apierror.Error) *apierror.Error {
	if l.NotRun() || !e.NotRun() {
		return e
	}
	kind := apierror.OutcomeUnknown
	if l.ran {
		kind = apierror.BackendFailed
	}
	return &apierror.Error{Kind: kind, Detail: fmt.Sprintf("%s, after it had been sent", e.Detail), Err: e}
}

// checkAnswer asserts that an answer as not run is true.
func (l *Life) checkAnswer(e *apierror.Error) error {
	return invariant.Check(!e.NotRun() || l.NotRun(), invariant.NotRunIsTrue,
		"%s answered in state %s after %d sends", e.Kind, l.state, l.sends)
}
