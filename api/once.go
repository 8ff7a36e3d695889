package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/claims"
	"github.com/snowspoke/snowspoke/dispatch"
)

// Claimer runs a function for the first use of a key and gives every later use
// the same answer.
type Claimer interface {
	// Once calls run if this is the first use of the key anywhere in the fleet.
	// run returns the answer, or an error; it must say in the error's kind
	// whether the request ran.
	Once(ctx context.Context, u claims.Use, run func() (*claims.Answer, error)) (*claims.Answer, error)
}

// detach returns a context that a caller who goes away does not end: what was
// begun under a key is finished within its deadline, so that the caller can come
// back for the answer.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(context.WithoutCancel(ctx))
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// teeSink streams an answer to the caller as long as it listens, and collects
// it all the same.
type teeSink struct {
	live *eventSink // nil when there is nothing to stream
	gone bool       // the caller no longer takes tokens
	text textSink
}

// Token implements dispatch.Sink.
func (s *teeSink) Token(t dispatch.Token) error {
	if s.live != nil && !s.gone {
		s.gone = s.live.Token(t) != nil
	}
	return s.text.Token(t)
}

// completeOnce runs a request with an idempotency key. The answer is collected,
// so that a later use of the key can be given the same.
func (h *Callers) completeOnce(ctx context.Context, w http.ResponseWriter, req *dispatch.Request, b *completionBody, f form, key string) {
	u := claims.Use{Workspace: req.Workspace.Name, Key: key, BodyHash: req.BodyHash, RequestID: req.ID}
	sink := &teeSink{}
	if b.Stream {
		sink.live = newEventSink(h, w, req, f)
	}
	var out dispatch.Outcome
	a, err := h.claims.Once(ctx, u, func() (*claims.Answer, error) {
		rctx, cancel := detach(ctx)
		defer cancel()
		var err error
		if out, err = h.models.Do(rctx, req, sink); err != nil {
			return nil, err
		}
		return completionAnswer(req, b, f, sink.text.text.String(), &out, h.clock())
	})
	switch {
	case sink.live == nil || !sink.live.started:
		h.writeAnswer(w, a, err)
	case err != nil:
		sink.live.fail(err)
	default:
		sink.live.end(&out)
	}
}

func completionAnswer(req *dispatch.Request, b *completionBody, f form, text string, out *dispatch.Outcome, now time.Time) (*claims.Answer, error) {
	data, err := json.Marshal(answerOf(req, f, text, out, now))
	if err != nil {
		return nil, apierror.Wrap(apierror.Internal, err)
	}
	kind := "application/json"
	if b.Stream {
		kind = "text/event-stream"
		data = fmt.Appendf(nil, "data: %s\n\ndata: [DONE]\n\n", data)
	}
	return &claims.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {kind}, HeaderRequestID: {req.ID}}, Body: data}, nil
}

// callOnce runs a service call with an idempotency key.
func (h *Callers) callOnce(ctx context.Context, w http.ResponseWriter, call *dispatch.ServiceRequest, key string) {
	u := claims.Use{Workspace: call.Workspace.Name, Key: key, BodyHash: callHash(call), RequestID: call.Call.RequestID}
	a, err := h.claims.Once(ctx, u, func() (*claims.Answer, error) {
		rctx, cancel := detach(ctx)
		defer cancel()
		reply, err := h.services.Do(rctx, call)
		if err != nil {
			return nil, err
		}
		defer reply.Body.Close()
		var body bytes.Buffer
		if _, err := io.Copy(&body, reply.Body); err != nil {
			return nil, brokenReply(err)
		}
		hd := reply.Header.Clone()
		hd.Del("Content-Length")
		hd.Set(HeaderRequestID, call.Call.RequestID)
		return &claims.Answer{Status: reply.Status, Header: hd, Body: body.Bytes()}, nil
	})
	h.writeAnswer(w, a, err)
}

func brokenReply(err error) error {
	return apierror.New(apierror.BackendFailed, "%v: %v", errBrokenReply, err)
}

func (h *Callers) writeAnswer(w http.ResponseWriter, a *claims.Answer, err error) {
	writeDeadline(w, h.opts.WriteTimeout)
	if err != nil {
		writeError(w, err)
		return
	}
	for k, v := range a.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
