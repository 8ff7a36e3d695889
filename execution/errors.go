package execution

import "errors"

// Errors of sending a request to a backend server. Each states what is certain
// about execution. An adapter must return the strongest statement that is certain.
var (
	// ErrNotSent means that no byte was written to a connection.
	ErrNotSent = errors.New("execution: not sent")
	// ErrRefused means that the backend server reported that the request did not run.
	ErrRefused = errors.New("execution: refused, not run")
	// ErrLost means that contact was lost after sending; the request may have run.
	ErrLost = errors.New("execution: contact lost")
)

// StateAfter returns the state of a request whose send failed with err.
func StateAfter(err error) State {
	switch {
	case errors.Is(err, ErrNotSent):
		return NotSent
	case errors.Is(err, ErrRefused):
		return Refused
	}
	return Unknown
}
