package httpbackend

import (
	"bytes"
	"context"
	"fmt"
	"net/http"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/execution"
)

// Services is the HTTP client of plain services. It implements
// backend.Services.
type Services struct {
	http   *http.Client
	scheme string
}

// NewServices returns a client; scheme is "http" or "https".
func NewServices(hc *http.Client, scheme string) *Services {
	return &Services{http: hc, scheme: scheme}
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
	resp, err := sendOnce(s.http, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= 500 && resp.Header.Get(HeaderRan) == RanNo {
		resp.Body.Close()
		return nil, withPause(fmt.Errorf("%w: status %d", execution.ErrRefused, resp.StatusCode), resp)
	}
	stripHopHeaders(resp.Header)
	return &backend.ServiceReply{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

func stripHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
