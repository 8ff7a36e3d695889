package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
)

// errorBody is the JSON form of an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind       apierror.Kind `json:"kind"`
	Message    string        `json:"message"`
	Ran        apierror.Ran  `json:"ran"`
	MayRetry   bool          `json:"mayRetry"`
	RetryAfter float64       `json:"retryAfterSeconds,omitempty"`
}

func detailOf(err error) (errorDetail, apierror.Answer) {
	e := apierror.From(err)
	a := e.Answer()
	return errorDetail{
		Kind: e.Kind, Message: e.Detail, Ran: a.Ran, MayRetry: a.MayRetry, RetryAfter: a.RetryAfter.Seconds(),
	}, a
}

// writeError sends err with the status and headers of its row in the error table.
func writeError(w http.ResponseWriter, err error) {
	d, a := detailOf(err)
	h := w.Header()
	h.Set(HeaderKind, string(d.Kind))
	h.Set(HeaderRan, string(d.Ran))
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	writeJSON(w, a.Status, errorBody{Error: d})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// writeDeadline bounds the time in which the caller must accept the next write.
func writeDeadline(w http.ResponseWriter, d time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(d))
}
