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

// wholeBytes is the size up to which a service's answer is read to its end
// before any of it is sent, so that a break still gets an honest status.
const wholeBytes = 256 << 10

// errBrokenReply says that a service's answer ended early.
var errBrokenReply = errors.New("api: the service's answer ended early")

// service serves calls of plain services.
func (h *Callers) service(w http.ResponseWriter, r *http.Request) {
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
		writeError(w, err)
		return
	}
	defer reply.Body.Close()
	h.passOn(w, reply)
}

func (h *Callers) declaredRepeatable(c *dispatch.ServiceRequest) bool {
	svc := h.config.Snapshot().Services[c.Service]
	return svc != nil && c.Repeatable && svc.IsRepeatable(c.Call.Method, c.Call.Path)
}

func (h *Callers) readCall(w http.ResponseWriter, r *http.Request) (*dispatch.ServiceRequest, time.Time, error) {
	ws, err := h.workspace(r)
	if err != nil {
		return nil, time.Time{}, err
	}
	p, err := h.particulars(r, ws)
	if err != nil {
		return nil, time.Time{}, err
	}
	body, err := h.readBody(w, r)
	if err != nil {
		return nil, time.Time{}, err
	}
	return newCall(w.Header().Get(HeaderRequestID), ws, p, r, body), h.callDeadline(r, p.deadline), nil
}

// callDeadline shortens the deadline to the service's own longest call.
func (h *Callers) callDeadline(r *http.Request, deadline time.Time) time.Time {
	svc := h.config.Snapshot().Services[r.PathValue("name")]
	if svc == nil || svc.Timeout == 0 {
		return deadline
	}
	if own := h.clock().Add(time.Duration(svc.Timeout)); own.Before(deadline) {
		return own
	}
	return deadline
}

func newCall(id string, ws *topology.Workspace, p particulars, r *http.Request, body []byte) *dispatch.ServiceRequest {
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	hd := r.Header.Clone()
	// The caller's token is for snowspoke alone.
	hd.Del("Authorization")
	hd.Del("Accept-Encoding")
	hd.Set("Snowspoke-Workspace", ws.Name)
	return &dispatch.ServiceRequest{
		Workspace: ws, Service: r.PathValue("name"), Repeatable: p.repeatable,
		Call: backend.ServiceCall{RequestID: id, Method: r.Method, Path: path, Header: hd, Body: body},
	}
}

// callHash binds an idempotency key to what it was first used for.
func callHash(c *dispatch.ServiceRequest) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.Service + "\x00" + c.Call.Method + "\x00" + c.Call.Path + "\x00")
	_, _ = d.Write(c.Call.Body)
	return d.Sum64()
}

// passOn sends a service's answer. A short one is read whole first; a long one
// is streamed, and if it breaks the connection is cut, so that it can not be
// taken for whole.
func (h *Callers) passOn(w http.ResponseWriter, reply *backend.ServiceReply) {
	var first bytes.Buffer
	_, err := io.CopyN(&first, reply.Body, wholeBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		writeError(w, brokenReply(err))
		return
	}
	hd := w.Header()
	for k, v := range reply.Header {
		hd[k] = v
	}
	if errors.Is(err, io.EOF) {
		hd.Set("Content-Length", strconv.Itoa(first.Len()))
		writeDeadline(w, h.opts.WriteTimeout)
		w.WriteHeader(reply.Status)
		_, _ = w.Write(first.Bytes())
		return
	}
	w.WriteHeader(reply.Status)
	if err := h.copyAll(w, io.MultiReader(&first, reply.Body)); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (h *Callers) copyAll(w http.ResponseWriter, r io.Reader) error {
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
			return nil
		}
		if err != nil {
			return err
		}
	}
}
