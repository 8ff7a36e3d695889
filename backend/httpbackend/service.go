package httpbackend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/network"
)

// Services is the HTTP client of plain services. It implements
// backend.Services.
type Services struct {
	http   *http.Client
	dial   network.DialFunc
	scheme string

	untilClose untilCloseEndpoints
}

// NewServices returns a client; scheme is "http" or "https". The client must not
// decompress replies. dial connects to endpoints to find out whether they
// outlive their replies.
func NewServices(hc *http.Client, dial network.DialFunc, scheme string) *Services {
	return &Services{http: hc, dial: dial, scheme: scheme}
}

// hopHeaders are the hop-by-hop headers, which are not forwarded (RFC 9110,
// section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Call implements backend.Services. A response with any status is a reply, except a
// server error with HeaderRan set to RanNo, which is a refusal.
func (s *Services) Call(ctx context.Context, t backend.Target, c *backend.ServiceCall) (*backend.ServiceReply, error) {
	req, err := s.newRequest(ctx, t, c)
	if err != nil {
		return nil, err
	}
	var w *witness
	if s.untilClose.has(t.Address) {
		w = s.openWitness(ctx, t.Address)
	}
	var u uploadTrace
	reply, err := s.send(u.follow(req))
	if err != nil {
		w.close()
		return nil, err
	}
	s.untilClose.note(t.Address, !reply.Framing.Delimited())
	if reply.Framing.Delimited() {
		w.close()
		return reply, nil
	}
	if w == nil {
		w = s.openWitness(ctx, t.Address)
	}
	reply.Body = &untilCloseBody{ReadCloser: reply.Body, ctx: ctx, upload: &u, witness: w}
	return reply, nil
}

func (s *Services) newRequest(ctx context.Context, t backend.Target, c *backend.ServiceCall) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, s.scheme+"://"+t.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", execution.ErrNotSent, err)
	}
	req.Header = c.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set(HeaderRequestID, c.RequestID)
	stripHopHeaders(req.Header)
	return req, nil
}

// send sends a call and returns its reply.
func (s *Services) send(req *http.Request) (*backend.ServiceReply, error) {
	resp, err := sendOnce(s.http, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= 500 && resp.Header.Get(HeaderRan) == RanNo {
		resp.Body.Close()
		return nil, withPause(fmt.Errorf("%w: status %d", execution.ErrRefused, resp.StatusCode), resp)
	}
	stripHopHeaders(resp.Header)
	return &backend.ServiceReply{Status: resp.StatusCode, Header: resp.Header, Framing: framing.Of(resp), Body: resp.Body}, nil
}

// untilCloseBody is a body that ends with its connection. Its end counts as that of the
// reply only if the whole request was written and the process of the endpoint has outlived the reply.
type untilCloseBody struct {
	io.ReadCloser
	ctx     context.Context // of the call
	upload  *uploadTrace
	witness *witness
	err     error
}

// Read implements io.Reader.
func (b *untilCloseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if lost := b.checkEnd(); lost != nil {
			err = lost
		}
	}
	b.err = err
	return n, err
}

// checkEnd returns an error that wraps execution.ErrLost unless the reply is complete.
func (b *untilCloseBody) checkEnd() error {
	if err := b.upload.await(b.ctx); err != nil {
		return err
	}
	return b.witness.check(b.ctx)
}

// Close implements io.Closer.
func (b *untilCloseBody) Close() error {
	b.witness.close()
	return b.ReadCloser.Close()
}

func stripHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
