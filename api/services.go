package api

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/dispatch"
	"github.com/snowspoke/snowspoke/topology"
)

// maxBufferedReply is the size in bytes up to which the reply of a service is read
// in full before it is sent. If such a reply is truncated, the caller still gets an
// error status.
const maxBufferedReply = 256 << 10

// errTruncatedReply reports that the reply of a service is incomplete.
var errTruncatedReply = errors.New("api: the service's answer ended early")

// serveCall handles calls of plain services.
func (h *Callers) serveCall(w http.ResponseWriter, r *http.Request) {
	call, deadline, err := h.readCall(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	if key := r.Header.Get(HeaderKey); key != "" && !h.declaredRepeatable(call) {
		h.callOnce(ctx, w, call, key)
		return
	}
	reply, err := h.services.Do(ctx, call)
	if err != nil {
		h.refuse(w, err)
		return
	}
	defer reply.Body.Close()
	h.forwardReply(w, r.Method, reply)
}

// declaredRepeatable reports whether both the caller and the service declare the
// call repeatable.
func (h *Callers) declaredRepeatable(c *dispatch.ServiceRequest) bool {
	svc := h.config.Snapshot().Services[c.Service]
	return svc != nil && c.Repeatable && svc.IsRepeatable(c.Call.Method, c.Call.Path)
}

func (h *Callers) readCall(w http.ResponseWriter, r *http.Request) (*dispatch.ServiceRequest, time.Time, error) {
	ws, err := h.workspace(r)
	if err != nil {
		return nil, time.Time{}, err
	}
	o, err := h.requestOptions(r, ws)
	if err != nil {
		return nil, time.Time{}, err
	}
	body, err := h.readBody(w, r)
	if err != nil {
		return nil, time.Time{}, err
	}
	return newCall(w.Header().Get(HeaderRequestID), ws, o, r, body), h.callDeadline(r, o.deadline), nil
}

// callDeadline limits the deadline to the timeout of the service.
func (h *Callers) callDeadline(r *http.Request, deadline time.Time) time.Time {
	svc := h.config.Snapshot().Services[r.PathValue("name")]
	if svc == nil || svc.Timeout == 0 {
		return deadline
	}
	if limit := h.clock().Add(time.Duration(svc.Timeout)); limit.Before(deadline) {
		return limit
	}
	return deadline
}

func newCall(id string, ws *topology.Workspace, o requestOptions, r *http.Request, body []byte) *dispatch.ServiceRequest {
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	hd := r.Header.Clone()
	// The caller's token must not reach the service.
	hd.Del("Authorization")
	hd.Del("Accept-Encoding")
	hd.Set("Snowspoke-Workspace", ws.Name)
	return &dispatch.ServiceRequest{
		Workspace: ws, Service: r.PathValue("name"), Repeatable: o.repeatable,
		Call: backend.ServiceCall{RequestID: id, Method: r.Method, Path: path, Header: hd, Body: body},
	}
}

// callHash returns a hash of a call, by which a reuse of its idempotency key for
// another call is detected.
func callHash(c *dispatch.ServiceRequest) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.Service + "\x00" + c.Call.Method + "\x00" + c.Call.Path + "\x00")
	_, _ = d.Write(c.Call.Body)
	return d.Sum64()
}

// forwardReply sends the reply of a service to the caller. A reply of up to
// maxBufferedReply bytes is read in full first. A longer one is streamed. If it is
// truncated, the connection to the caller is aborted, since the caller could not
// otherwise detect that. A reply to HEAD keeps the length that the service stated.
func (h *Callers) forwardReply(w http.ResponseWriter, method string, reply *backend.ServiceReply) {
	var head bytes.Buffer
	_, err := io.CopyN(&head, reply.Body, maxBufferedReply)
	if err != nil && !errors.Is(err, io.EOF) {
		writeError(w, truncatedReply(err))
		return
	}
	hd := w.Header()
	for k, v := range reply.Header {
		hd[k] = v
	}
	if errors.Is(err, io.EOF) {
		if method != http.MethodHead {
			hd.Set("Content-Length", strconv.Itoa(head.Len()))
		}
		writeDeadline(w, h.opts.WriteTimeout)
		w.WriteHeader(reply.Status)
		_, _ = w.Write(head.Bytes())
		return
	}
	w.WriteHeader(reply.Status)
	if err := h.copyBody(w, io.MultiReader(&head, reply.Body)); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyBody streams r to the caller, with a write deadline for each chunk and for the end of
// the response, which the server writes after the handler has returned.
func (h *Callers) copyBody(w http.ResponseWriter, r io.Reader) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			writeDeadline(w, h.opts.WriteTimeout)
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			writeDeadline(w, h.opts.WriteTimeout)
			return nil
		}
		if err != nil {
			return err
		}
	}
}
