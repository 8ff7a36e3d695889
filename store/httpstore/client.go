// Package httpstore implements the HTTP client of the platform's object store
// and VM list. Only this package and the test fakes know the wire format.
package httpstore

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/snowspoke/snowspoke/internal/readall"
	"github.com/snowspoke/snowspoke/store"
)

// HeaderRevision carries the store's revision on a list response.
const HeaderRevision = "X-Store-Revision"

// maxObjectBytes bounds one encoded object, which holds a spec of up to
// store.MaxValueBytes in base64 and the other fields.
const maxObjectBytes = 2 * store.MaxValueBytes

// maxListBytes bounds a list response.
const maxListBytes = 256 << 20

// Client is a client of the platform. It implements store.Store and
// store.VMLister.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the platform at base, such as http://10.0.0.1:2000.
func New(base string, hc *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: hc}
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, kind, name string) (store.Object, error) {
	var o store.Object
	_, err := c.do(ctx, http.MethodGet, objectPath(kind, name), nil, nil, maxObjectBytes, &o)
	return o, err
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, kind string) ([]store.Object, store.Position, error) {
	var os []store.Object
	h, err := c.do(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(kind), nil, nil, maxListBytes, &os)
	if err != nil {
		return nil, 0, err
	}
	rev, err := strconv.ParseUint(h.Get(HeaderRevision), 10, 64)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: revision header: %v", store.ErrUnavailable, err)
	}
	return os, store.Position(rev), nil
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, kind, name string, spec []byte, ifVersion store.Position) (store.Position, error) {
	return c.write(ctx, http.MethodPut, kind, name, spec, ifVersion)
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion store.Position) (store.Position, error) {
	return c.write(ctx, http.MethodDelete, kind, name, nil, ifVersion)
}

func (c *Client) write(ctx context.Context, method, kind, name string, spec []byte, ifVersion store.Position) (store.Position, error) {
	h := http.Header{"If-Match": {strconv.FormatUint(uint64(ifVersion), 10)}}
	var o store.Object
	_, err := c.do(ctx, method, objectPath(kind, name), h, spec, maxObjectBytes, &o)
	return o.Version, err
}

// do sends one bounded call. Without a definite status it returns the error of
// store.CallError.
func (c *Client) do(ctx context.Context, method, path string, h http.Header, body []byte, limit int64, out any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, store.RequestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for k, v := range h {
		req.Header[k] = v
	}
	isWrite := method != http.MethodGet
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, store.CallError(isWrite, err)
	}
	defer resp.Body.Close()
	data, err := readall.AtMost(resp.Body, limit)
	if err != nil {
		return nil, store.CallError(isWrite, err)
	}
	if err := statusError(resp.StatusCode, isWrite); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return nil, store.CallError(isWrite, err)
	}
	return resp.Header, nil
}

func statusError(code int, isWrite bool) error {
	switch code {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusNotFound:
		return store.ErrNotFound
	case http.StatusPreconditionFailed, http.StatusConflict:
		return store.ErrConflict
	case http.StatusGone:
		return store.ErrCompacted
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", store.ErrUnavailable, code)
	}
	return store.CallError(isWrite, fmt.Errorf("status %d", code))
}

// Watch implements store.Store with a long-lived GET whose response has one
// JSON object per line.
func (c *Client) Watch(ctx context.Context, kinds []string, since store.Position, fn func(store.Object)) error {
	q := url.Values{"kind": kinds, "since": {strconv.FormatUint(uint64(since), 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/watch?"+q.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %v", store.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode, false); err != nil {
		return err
	}
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, 0, 4096), maxObjectBytes)
	for sc.Scan() {
		if len(sc.Bytes()) == 0 {
			continue // keep-alive
		}
		var o store.Object
		if err := json.Unmarshal(sc.Bytes(), &o); err != nil {
			return fmt.Errorf("%w: watch line: %v", store.ErrUnavailable, err)
		}
		fn(o)
	}
	return fmt.Errorf("%w: watch ended: %v", store.ErrUnavailable, errors.Join(sc.Err(), ctx.Err()))
}

// ListVMs implements store.VMLister.
func (c *Client) ListVMs(ctx context.Context) ([]store.VM, error) {
	var vms []store.VM
	_, err := c.do(ctx, http.MethodGet, "/v1/vms", nil, nil, maxListBytes, &vms)
	return vms, err
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}
