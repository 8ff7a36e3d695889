package apierror

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// statusClientClosed is the non-standard status for a connection that the client
// closed. It appears only in logs and metrics.
const statusClientClosed = 499

// table lists the kinds in the order of their constants. docs/ERRORS.md is generated
// from it.
var table = []Answer{
	{BadRequest, http.StatusBadRequest, RanNo, false, 0, "the request could not be parsed or a field is invalid"},
	{BodyTooLarge, http.StatusRequestEntityTooLarge, RanNo, false, 0, "the body exceeds the limit in the settings"},
	{BadEventID, http.StatusBadRequest, RanNo, false, 0, "Last-Event-ID was not issued by this fleet, or for another workspace or body"},
	{StaleEventID, http.StatusGone, RanUnknown, false, 0, "the stream that Last-Event-ID names is no longer kept; what had been delivered did run"},
	{BadKey, http.StatusBadRequest, RanNo, false, 0, "Idempotency-Key is malformed or too far in the future"},
	{KeyExpired, http.StatusGone, RanNo, false, 0, "Idempotency-Key is older than the retention window, this attempt was not run"},
	{KeyReused, http.StatusConflict, RanNo, false, 0, "Idempotency-Key was used before with another body; this body was not run"},
	{Unauthorized, http.StatusUnauthorized, RanNo, false, 0, "the token is missing or belongs to no workspace"},
	{Forbidden, http.StatusForbidden, RanNo, false, 0, "no routing rule of the workspace admits a request with these labels"},
	{UnknownModel, http.StatusNotFound, RanNo, false, 0, "no such model, model version or adapter"},
	{UnknownService, http.StatusNotFound, RanNo, false, 0, "no such service"},
	{UnknownRequest, http.StatusNotFound, RanUnknown, false, 0, "the daemon knows no such request of this workspace"},
	{UnknownRoute, http.StatusNotFound, RanNo, false, 0, "no route of the configuration has this host and path"},
	{ConfigUnavailable, http.StatusServiceUnavailable, RanNo, true, 500 * time.Millisecond, "no configuration is in force yet, or it may be out of date"},
	{NoRoute, http.StatusServiceUnavailable, RanNo, true, 2 * time.Second, "no admissible backend servers hold all layers of the model"},
	{DeadlinePassed, http.StatusGatewayTimeout, RanNo, false, 0, "the deadline had passed before the request was sent"},
	{DeadlineUnlikely, http.StatusTooManyRequests, RanNo, true, time.Second, "the expected wait exceeds the deadline"},
	{Overloaded, http.StatusServiceUnavailable, RanNo, true, time.Second, "the queue of the model, or the memory of the daemon for request bodies, is full"},
	{WorkspaceLimit, http.StatusTooManyRequests, RanNo, true, time.Second, "the workspace has used its limit"},
	{Draining, http.StatusServiceUnavailable, RanNo, true, time.Second, "the daemon is stopping; another one will answer"},
	{StoreUnavailable, http.StatusServiceUnavailable, RanNo, true, 5 * time.Second, "the claim of the key could not be recorded before the deadline"},
	{BackendUnreachable, http.StatusBadGateway, RanNo, true, time.Second, "no backend server could be connected to"},
	{BackendRefused, http.StatusServiceUnavailable, RanNo, true, time.Second, "every backend server that was asked refused without running"},
	{BackendFailed, http.StatusBadGateway, RanYes, false, 0, "a backend server failed while it ran the request"},
	{Quarantined, http.StatusServiceUnavailable, RanNo, true, 10 * time.Second, "backend servers ended as they ran the same request before; this attempt was not run"},
	{OutcomeUnknown, http.StatusBadGateway, RanUnknown, false, 0, "contact was lost after sending; the request may have run"},
	{AlreadyRan, http.StatusConflict, RanYes, false, 0, "a request with this key ran; its answer is no longer kept"},
	{InProgress, http.StatusConflict, RanUnknown, false, 0, "a request with this key was sent by a daemon that cannot be reached"},
	{DeadlineRunning, http.StatusGatewayTimeout, RanYes, false, 0, "the deadline passed while the request ran"},
	{SlowReader, http.StatusRequestTimeout, RanYes, false, 0, "the caller read too slowly and the stream was ended"},
	{CallerGone, statusClientClosed, RanUnknown, false, 0, "the caller closed the connection; the work was cancelled"},
	{Internal, http.StatusInternalServerError, RanUnknown, false, 0, "a fault of snowspoke itself"},
}

var byKind = func() map[Kind]Answer {
	m := make(map[Kind]Answer, len(table))
	for _, a := range table {
		m[a.Kind] = a
	}
	return m
}()

// Lookup returns the row of k, or that of Internal if k is unknown.
func Lookup(k Kind) Answer {
	if a, ok := byKind[k]; ok {
		return a
	}
	return byKind[Internal]
}

// All returns a copy of the rows of the table, in order.
func All() []Answer { return append([]Answer(nil), table...) }

// Markdown renders the table as docs/ERRORS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Errors\n\nPrinted by `go run ./cmd/snowspoke errors`; do not edit by hand.\n\n")
	b.WriteString("`ran` says whether any part of the request was executed. `retry` says whether the caller\n")
	b.WriteString("may send the same request again; for a repeatable request that is always safe, whatever `ran` says.\n\n")
	b.WriteString("| kind | status | ran | retry | Retry-After | meaning |\n|---|---|---|---|---|---|\n")
	for _, a := range table {
		after := "-"
		if a.RetryAfter > 0 {
			after = a.RetryAfter.String()
		}
		retry := "no"
		if a.MayRetry {
			retry = "yes"
		}
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s | %s |\n", a.Kind, a.Status, a.Ran, retry, after, a.Meaning)
	}
	return b.String()
}
