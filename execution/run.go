package execution

import (
	"context"
	"errors"

	"github.com/snowspoke/snowspoke/apierror"
)

// Result is the result of a send and decides whether another may follow.
type Result uint8

// The results.
const (
	Answered   Result = iota // final: the caller has an answer, or gets the error
	NotRunHere               // did not run; may be sent elsewhere
	MayHaveRun               // may be sent again only if the request is repeatable
)

// Sender performs the sends of one request.
type Sender interface {
	// Send picks a target, sends the request there once and relays the answer.
	Send(ctx context.Context) (Result, error)
	// Retry reports whether the request may be sent again after a result, and takes
	// the retry out of its budget. It may wait for a retry to become available.
	Retry(ctx context.Context, r Result) bool
	// Progress describes how far the request got. It becomes part of error details.
	Progress() string
}

// Run sends a request until it is answered or may not be sent again. The platform's
// requests and plain services use it. An error is an *apierror.Error that covers all
// sends together.
func (t *Tracker) Run(ctx context.Context, s Sender) error {
	for {
		result, err := s.Send(ctx)
		if result == Answered {
			if err == nil {
				return nil
			}
			return t.Answer(err)
		}
		if ctx.Err() != nil {
			return t.EndError(ctx, s.Progress())
		}
		if result == MayHaveRun && !t.repeatable {
			return t.FinalError(err)
		}
		if s.Retry(ctx, result) {
			continue
		}
		if ctx.Err() != nil {
			return t.EndError(ctx, s.Progress())
		}
		return t.FinalError(err)
	}
}

// EndError returns the error of a request whose deadline has passed or is about to
// pass, or whose caller canceled it.
func (t *Tracker) EndError(ctx context.Context, progress string) *apierror.Error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.DeadlineExceeded) {
		return apierror.New(apierror.CallerGone, "%s", progress)
	}
	switch {
	case t.NotRun():
		return apierror.New(apierror.DeadlinePassed, "before the request ran, %s", progress)
	case t.ran:
		return apierror.New(apierror.DeadlineRunning, "%s", progress)
	}
	return apierror.New(apierror.OutcomeUnknown, "the deadline passed before the backend server answered, %s", progress)
}

// FinalError returns the error of a request that is not sent again after err.
func (t *Tracker) FinalError(err error) *apierror.Error {
	kind := apierror.OutcomeUnknown
	switch {
	case t.NotRun() && errors.Is(err, ErrNotSent):
		kind = apierror.BackendUnreachable
	case t.NotRun():
		kind = apierror.BackendRefused
	case t.ran:
		kind = apierror.BackendFailed
	}
	return apierror.Wrap(kind, err)
}
