package httpbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	fastjson "github.com/goccy/go-json"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/internal/readall"
	"github.com/snowspoke/snowspoke/internal/retryafter"
	"github.com/snowspoke/snowspoke/internal/sse"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 64 << 10

// maxResponseBytes bounds a response that is not a stream.
const maxResponseBytes = 8 << 20

// CallTimeout bounds a call that is not a stream.
const CallTimeout = 5 * time.Second

// Engines is the HTTP client of model engines. It implements backend.Engine.
type Engines struct {
	http   *http.Client
	scheme string
}

// NewEngines returns a client; scheme is "http" or "https".
func NewEngines(hc *http.Client, scheme string) *Engines {
	return &Engines{http: hc, scheme: scheme}
}

// Generate implements backend.Engine.
func (e *Engines) Generate(ctx context.Context, t backend.Target, g *backend.Generate) (backend.Stream, error) {
	return e.stream(ctx, t, PathGenerate, &GenerateBody{
		RequestID: g.RequestID, Attempt: g.Attempt, Model: g.Model, Version: g.Version, Adapter: g.Adapter,
		Layers: g.Layers, Route: g.Route, Prompt: g.Prompt, Messages: g.Messages, Prior: g.Prior, KV: g.KV,
		MaxTokens: g.MaxTokens, Priority: g.Priority, Sampling: g.Sampling, CacheKey: g.CacheKey,
	})
}

// Resume implements backend.Engine.
func (e *Engines) Resume(ctx context.Context, t backend.Target, requestID string, attempt, from int) (backend.Stream, error) {
	return e.stream(ctx, t, PathResume, &AttemptBody{RequestID: requestID, Attempt: attempt, From: from})
}

// Cancel implements backend.Engine.
func (e *Engines) Cancel(ctx context.Context, t backend.Target, requestID string, attempt int) error {
	return e.call(ctx, t, http.MethodPost, PathCancel, &AttemptBody{RequestID: requestID, Attempt: attempt}, nil)
}

// Status implements backend.Engine.
func (e *Engines) Status(ctx context.Context, t backend.Target) (backend.Status, error) {
	var s backend.Status
	err := e.call(ctx, t, http.MethodGet, PathStatus, nil, &s)
	return s, err
}

// ExportKV implements backend.Engine.
func (e *Engines) ExportKV(ctx context.Context, t backend.Target, x backend.ExportKV) (string, error) {
	var h HandleBody
	err := e.call(ctx, t, http.MethodPost, PathExport, &x, &h)
	return h.Handle, err
}

// Order implements backend.Engine.
func (e *Engines) Order(ctx context.Context, t backend.Target, o backend.Order) error {
	return e.call(ctx, t, http.MethodPost, PathOrder, &o, nil)
}

// CacheEvents implements backend.Engine.
func (e *Engines) CacheEvents(ctx context.Context, t backend.Target, fn func(backend.CacheEvent)) error {
	resp, err := e.send(ctx, t, http.MethodGet, PathCache, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	r := sse.NewReader(resp.Body, maxEventBytes)
	for {
		received, err := r.Next()
		if err != nil {
			return fmt.Errorf("%w: %v", execution.ErrLost, err)
		}
		var ev backend.CacheEvent
		if err := json.Unmarshal(received.Data, &ev); err != nil {
			return fmt.Errorf("%w: cache event: %v", execution.ErrLost, err)
		}
		fn(ev)
	}
}

func (e *Engines) call(ctx context.Context, t backend.Target, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	resp, err := e.send(ctx, t, method, path, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := readall.AtMost(resp.Body, maxResponseBytes)
	if err != nil {
		return fmt.Errorf("%w: %v", execution.ErrLost, err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%w: %v", execution.ErrLost, err)
	}
	return nil
}

func (e *Engines) stream(ctx context.Context, t backend.Target, path string, in any) (backend.Stream, error) {
	resp, err := e.send(ctx, t, http.MethodPost, path, in)
	if err != nil {
		return nil, err
	}
	return &stream{body: resp.Body, events: sse.NewReader(resp.Body, maxEventBytes)}, nil
}

// send makes one HTTP call. Every outcome except success becomes an error that wraps
// the strongest statement about execution that is certain.
func (e *Engines) send(ctx context.Context, t backend.Target, method, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, fmt.Errorf("%w: %v", execution.ErrNotSent, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, e.scheme+"://"+t.Address+path, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", execution.ErrNotSent, err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := sendOnce(e.http, req)
	if err != nil {
		return nil, err
	}
	if err := classify(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// sendOnce sends req and prevents the transport from sending it again. An error before
// a connection was obtained wraps execution.ErrNotSent. After that the outcome is
// unknown and the error wraps execution.ErrLost.
func sendOnce(hc *http.Client, req *http.Request) (*http.Response, error) {
	// With GetBody set the transport may send the body a second time.
	req.GetBody = nil
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := hc.Do(req)
	if err != nil {
		if !gotConn.Load() {
			return nil, fmt.Errorf("%w: %v", execution.ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %v", execution.ErrLost, err)
	}
	if resp.StatusCode < http.StatusOK || !framing.ValidStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%w: invalid status %d", execution.ErrLost, resp.StatusCode)
	}
	return resp, nil
}

func classify(resp *http.Response) error {
	if resp.StatusCode < 300 {
		return nil
	}
	if resp.Header.Get(HeaderRan) == RanNo {
		if resp.StatusCode == http.StatusPreconditionFailed {
			return backend.ErrFenced
		}
		err := fmt.Errorf("%w: status %d", execution.ErrRefused, resp.StatusCode)
		if hop := resp.Header.Get(HeaderHop); hop != "" {
			err = &backend.HopError{BackendServer: hop, Err: err}
		}
		return withPause(err, resp)
	}
	switch resp.StatusCode {
	case http.StatusGone, http.StatusNotFound:
		return backend.ErrGone
	case http.StatusNotImplemented:
		return backend.ErrUnsupported
	}
	return fmt.Errorf("%w: status %d", execution.ErrLost, resp.StatusCode)
}

// withPause adds the Retry-After of a refusal with status 503 to its error. It concerns the
// backend server that answers, also if another hop caused the refusal.
func withPause(err error, resp *http.Response) error {
	after, _ := retryafter.Parse(resp.Header, time.Now())
	if resp.StatusCode != http.StatusServiceUnavailable || after <= 0 {
		return err
	}
	return &backend.PauseError{After: after, Err: err}
}

type stream struct {
	body   io.ReadCloser
	events *sse.Reader
}

// Next implements backend.Stream.
func (s *stream) Next() (backend.Event, error) {
	var ev backend.Event
	received, err := s.events.Next()
	if err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return ev, fmt.Errorf("%w: %v", execution.ErrLost, err)
	}
	if err := fastjson.Unmarshal(received.Data, &ev); err != nil {
		return ev, fmt.Errorf("%w: event: %v", execution.ErrLost, err)
	}
	return ev, nil
}

// Close implements backend.Stream.
func (s *stream) Close() error { return s.body.Close() }
