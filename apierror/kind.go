// Package apierror defines the error kinds that a caller can receive and the
// table that maps each kind to an HTTP status, whether the request ran, and
// whether the caller may send it again.
package apierror

import (
	"errors"
	"fmt"
	"time"
)

// Kind identifies a kind of error.
type Kind string

// The error kinds. The list is closed: each kind has exactly one row in the table.
const (
	BadRequest         Kind = "bad_request"
	BodyTooLarge       Kind = "body_too_large"
	BadEventID         Kind = "bad_event_id"
	StaleEventID       Kind = "stale_event_id"
	BadKey             Kind = "bad_idempotency_key"
	KeyExpired         Kind = "idempotency_key_expired"
	KeyReused          Kind = "idempotency_key_reused"
	Unauthorized       Kind = "unauthorized"
	Forbidden          Kind = "forbidden"
	UnknownModel       Kind = "unknown_model"
	UnknownService     Kind = "unknown_service"
	UnknownRequest     Kind = "unknown_request"
	UnknownRoute       Kind = "unknown_route"
	ConfigUnavailable  Kind = "config_unavailable"
	NoRoute            Kind = "no_route"
	DeadlinePassed     Kind = "deadline_passed"
	DeadlineUnlikely   Kind = "deadline_unlikely"
	Overloaded         Kind = "overloaded"
	WorkspaceLimit     Kind = "workspace_limit"
	Draining           Kind = "draining"
	StoreUnavailable   Kind = "store_unavailable"
	BackendUnreachable Kind = "backend_unreachable"
	BackendRefused     Kind = "backend_refused"
	BackendFailed      Kind = "backend_failed"
	Quarantined        Kind = "quarantined"
	OutcomeUnknown     Kind = "outcome_unknown"
	AlreadyRan         Kind = "already_ran"
	InProgress         Kind = "in_progress"
	DeadlineRunning    Kind = "deadline_while_running"
	SlowReader         Kind = "slow_reader"
	CallerGone         Kind = "caller_gone"
	Internal           Kind = "internal"
)

// Ran states whether a backend server executed any part of the request.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Answer is the row of a kind in the table.
type Answer struct {
	Kind       Kind
	Status     int           // HTTP status code
	Ran        Ran           // whether the request ran
	MayRetry   bool          // whether the caller may send the same request again
	RetryAfter time.Duration // default Retry-After; zero for none
	Meaning    string        // human-readable description
}

// Error is an error with a Kind.
type Error struct {
	Kind       Kind
	Detail     string        // sent to the caller
	RetryAfter time.Duration // overrides the value of the table unless 0; negative for none
	Err        error         // the wrapped error, if any
}

// NoRetryAfter as a RetryAfter means that the caller is told no time.
const NoRetryAfter = time.Duration(-1)

// New returns an Error of kind k whose detail is formatted like fmt.Sprintf.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error of kind k that wraps err and has its text as detail.
func Wrap(k Kind, err error) *Error {
	return &Error{Kind: k, Detail: err.Error(), Err: err}
}

// WithRetryAfter returns a copy of e with a Retry-After of d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Detail }

// Unwrap returns the wrapped error, if any.
func (e *Error) Unwrap() error { return e.Err }

// Answer returns the table row of e, with the Retry-After of e if it has one.
func (e *Error) Answer() Answer {
	a := Lookup(e.Kind)
	if e.RetryAfter != 0 {
		a.RetryAfter = max(0, e.RetryAfter)
	}
	return a
}

// From returns the *Error that err is or wraps; any other error becomes Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err)
}

// NotRun reports whether the kind of e guarantees that the request did not run.
func (e *Error) NotRun() bool { return Lookup(e.Kind).Ran == RanNo }

// Is reports whether err is or wraps an *Error of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
