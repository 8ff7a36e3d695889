package execution

import (
	"context"
	"errors"

	"github.com/snowspoke/snowspoke/apierror"
)

// Result is the result of a send and decides whether another may follow.
type Result uint8

// The verdicts.
const (
	Answered   Result = iota // final: the caller has an answer, or gets the error
	NotRunHere               // did not run; may be sent elsewhere
	MayHaveRun               // may be sent again only if the request is repeatable
)

// Sender performs the sends of one request.
type Sender interface {
	// Send picks a target, sends the request there once and relays the answer.
	Send(ctx context.Context) (Result, error)
	// Retry reports whether the request may be sent again after a verdict, and takes
	// the retry out of its budget. It may wait for a retry to become available.
	Retry(ctx context.Context, v Result) bool
	// Progress describes how far the request got, for error details.
	Progress() string
}

// Run sends a request until it is answered or may not be sent again. The platform's
// requests and plain services use it. An error is an *apierror.Error that holds for
// all sends together.
func (l *Tracker) Run(ctx context.Context, s Sender) error {
	for {
		v, err := s.Send(ctx)
		if v == Answered {
			if err == nil {
				return nil
			}
			return l.Answer(err)
		}
		if ctx.Err() != nil {
			return l.Ended(ctx, s.Progress())
		}
		if v == MayHaveRun && !l.repeatable {
			return l.GaveUp(err)
		}
		if s.Retry(ctx, v) {
			continue
		}
		if ctx.Err() != nil {
			return l.Ended(ctx, s.Progress())
		}
		return l.GaveUp(err)
	}
}

// Ended returns the error of a request whose deadline has passed or is about to
// pass, or whose caller canceled it.
func (l *Tracker) Ended(ctx context.Context, progress string) *apierror.Error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.DeadlineExceeded) {
		return apierror.New(apierror.CallerGone, "%s", progress)
	}
	switch {
	case l.NotRun():
		return apierror.New(apierror.DeadlinePassed, "before the request ran, %s", progress)
	case l.ran:
		return apierror.New(apierror.DeadlineRunning, "%s", progress)
	}
	return apierror.New(apierror.OutcomeUnknown, "the deadline passed before the backend server answered, %s", progress)
}

// GaveUp returns the error of a request that is not sent again after err.
func (l *Tracker) GaveUp(err error) *apierror.Error {
	kind := apierror.OutcomeUnknown
	switch {
	case l.NotRun() && errors.Is(err, ErrNotSent):
		kind = apierror.BackendUnreachable
	case l.NotRun():
		kind = apierror.BackendRefused
	case l.ran:
		kind = apierror.BackendFailed
	}
	return apierror.Wrap(kind, err)
}
