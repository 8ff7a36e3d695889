package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/claims"
	"github.com/snowspoke/snowspoke/dispatch"
	"github.com/snowspoke/snowspoke/internal/readall"
)

// Claimer runs a function once for each idempotency key and returns the same
// response for every later use of the key.
type Claimer interface {
	// Once calls run if this is the first use of the key in the fleet. An error
	// of run must have a kind that states whether the request ran.
	Once(ctx context.Context, u claims.Use, run func() (*claims.Answer, error)) (*claims.Answer, error)
}

// detach returns a context that keeps the deadline of ctx but not its
// cancellation. A request with an idempotency key continues after its caller has
// disconnected, so that the caller can fetch the response later.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(context.WithoutCancel(ctx))
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// teeSink collects a response. It also streams it to the caller, until a write fails.
type teeSink struct {
	stream     *eventSink // nil unless the caller asked for a stream
	callerGone bool       // a write to the caller has failed
	text       textSink
}

// Token implements dispatch.Sink.
func (s *teeSink) Token(t dispatch.Token) error {
	if s.stream != nil && !s.callerGone {
		s.callerGone = s.stream.Token(t) != nil
	}
	return s.text.Token(t)
}

// completeOnce runs a request with an idempotency key. The response is collected
// so that later uses of the key get the same one.
func (h *Callers) completeOnce(ctx context.Context, w http.ResponseWriter, req *dispatch.Request, b *completionBody, f format, key string) {
	u := claims.Use{Workspace: req.Workspace.Name, Key: key, BodyHash: req.BodyHash, RequestID: req.ID}
	sink := &teeSink{}
	if b.Stream {
		sink.stream = newEventSink(h, w, req, f)
	}
	var out dispatch.Outcome
	a, err := h.claims.Once(ctx, u, func() (*claims.Answer, error) {
		rctx, cancel := detach(ctx)
		defer cancel()
		var err error
		if out, err = h.models.Do(rctx, req, sink); err != nil {
			return nil, err
		}
		return newAnswer(req, b, f, sink.text.text.String(), &out, h.clock())
	})
	switch {
	case sink.stream == nil || !sink.stream.started:
		h.writeAnswer(w, a, err)
	case err != nil:
		sink.stream.fail(err)
	default:
		sink.stream.end(&out)
	}
}

func newAnswer(req *dispatch.Request, b *completionBody, f format, text string, out *dispatch.Outcome, now time.Time) (*claims.Answer, error) {
	data, err := json.Marshal(newCompletion(req, f, text, out, now))
	if err != nil {
		return nil, apierror.Wrap(apierror.Internal, err)
	}
	contentType := "application/json"
	if b.Stream {
		contentType = "text/event-stream"
		data = fmt.Appendf(nil, "data: %s\n\ndata: [DONE]\n\n", data)
	}
	return &claims.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {contentType}, HeaderRequestID: {req.ID}}, Body: data}, nil
}

// maxOnceReply is the size in bytes of the largest reply to a call with an idempotency key.
const maxOnceReply = 8 << 20

// callOnce runs a service call with an idempotency key. A reply that is not known to be
// complete is given to the first caller but not kept: later uses of the key get
// apierror.AlreadyRan.
func (h *Callers) callOnce(ctx context.Context, w http.ResponseWriter, call *dispatch.ServiceRequest, key string) {
	u := claims.Use{Workspace: call.Workspace.Name, Key: key, BodyHash: callHash(call), RequestID: call.Call.RequestID}
	var unconfirmed *claims.Answer
	a, err := h.claims.Once(ctx, u, func() (*claims.Answer, error) {
		rctx, cancel := detach(ctx)
		defer cancel()
		reply, err := h.services.Do(rctx, call)
		if err != nil {
			return nil, err
		}
		defer reply.Body.Close()
		body, err := readall.AtMost(reply.Body, maxOnceReply)
		if err != nil {
			return nil, truncatedReply(err)
		}
		hd := reply.Header.Clone()
		hd.Del("Content-Length")
		hd.Set(HeaderRequestID, call.Call.RequestID)
		answer := &claims.Answer{Status: reply.Status, Header: hd, Body: body}
		if reply.Framing.Delimited() {
			return answer, nil
		}
		unconfirmed = answer
		return nil, apierror.New(apierror.AlreadyRan, "the service's answer had neither a length nor chunks and may have been incomplete")
	})
	if unconfirmed != nil {
		a, err = unconfirmed, nil
	}
	h.writeAnswer(w, a, err)
}

func truncatedReply(err error) error {
	return apierror.New(apierror.BackendFailed, "%v: %v", errTruncatedReply, err)
}

func (h *Callers) writeAnswer(w http.ResponseWriter, a *claims.Answer, err error) {
	writeDeadline(w, h.opts.WriteTimeout)
	if err != nil {
		h.refuse(w, err)
		return
	}
	for k, v := range a.Header {
		w.Header()[k] = v
	}
	if len(a.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
