package execution

import "errors"

// Sentinel errors of sending a request to a backend server, on both faces. Each
// says what is certain about execution; an adapter must choose the weakest
// statement that is.
var (
	// ErrNotSent says that no byte was handed to a connection.
	ErrNotSent = errors.New("execution: not sent")
	// ErrRefused says that the backend server answered that it did not run.
	ErrRefused = errors.New("execution: refused, not run")
	// ErrLost says that contact was lost after sending; it may have run.
	ErrLost = errors.New("execution: contact lost")
)

// After returns the state in which a failed send leaves a request.
func After(err error) State {
	switch {
	case errors.Is(err, ErrNotSent):
		return NotSent
	case errors.Is(err, ErrRefused):
		return Refused
	}
	return Unknown
}
