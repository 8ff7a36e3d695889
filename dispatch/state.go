package dispatch

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

// life is the state machine of one request.
type life struct {
	state      State
	ran        bool // some attempt ran, at least in part
	repeatable bool
	sends      int // times that execution may have begun
}

// move goes to a state or reports a violated promise.
func (l *life) move(to State) error {
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

// answer turns an error into one whose statement about execution is true now.
func (l *life) answer(e *apierror.Error) *apierror.Error {
	if l.notRun() || !e.NotRun() {
		return e
	}
	kind := apierror.OutcomeUnknown
	if l.ran {
		kind = apierror.BackendFailed
	}
	return &apierror.Error{Kind: kind, Detail: fmt.Sprintf("%s, after it had been sent", e.Detail), Err: e}
}

// checkAnswer asserts that an answer as not run is true.
func (l *life) checkAnswer(e *apierror.Error) error {
	return invariant.Check(!e.NotRun() || l.notRun(), invariant.NotRunIsTrue,
		"%s answered in state %s after %d sends", e.Kind, l.state, l.sends)
}

// truth turns any error into an answer that is true now, or into the fault of an
// answer that is not.
func (l *life) truth(err error) *apierror.Error {
	e := l.answer(apierror.From(err))
	if verr := l.checkAnswer(e); verr != nil {
		return apierror.From(verr)
	}
	return e
}

func (l *life) notRun() bool { return l.state.NotRun() && !l.ran && l.sends == 0 }
