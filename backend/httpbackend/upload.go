package httpbackend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/execution"
)

// uploadEndTimeout bounds the wait for the end of an upload after the endpoint has ended its side of the
// connection. If it has closed the connection, the upload fails at once.
const uploadEndTimeout = time.Second

// errNotUploaded is the reason why a reply that ended with its connection is not complete.
var errNotUploaded = errors.New("the reply ended before its request was written")

// uploadTrace follows the write of a request, which may go on while its reply is read.
type uploadTrace struct {
	mu    sync.Mutex
	ended chan struct{} // closed when the request was written, or could not be
	err   error         // valid once ended is closed
}

// follow returns a request whose write the trace follows.
func (u *uploadTrace) follow(req *http.Request) *http.Request {
	return req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { u.begin() }, WroteRequest: func(i httptrace.WroteRequestInfo) { u.end(i.Err) },
	}))
}

// begin records that a connection was obtained. The transport may have failed to write to another one
// before.
func (u *uploadTrace) begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended, u.err = make(chan struct{}), nil
}

// end records the end of a write. After the transport has sent a request without a body again, the end of its
// first write may come late.
func (u *uploadTrace) end(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case <-u.ended:
	default:
		u.err = err
		close(u.ended)
	}
}

// await waits for the end of the upload, for at most uploadEndTimeout. It returns an error that wraps
// execution.ErrLost unless the whole request was written.
func (u *uploadTrace) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, uploadEndTimeout)
	defer cancel()
	u.mu.Lock()
	ended := u.ended
	u.mu.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w: %w", execution.ErrLost, errNotUploaded, ctx.Err())
	}
	if u.err != nil {
		return fmt.Errorf("%w: %w: %w", execution.ErrLost, errNotUploaded, u.err)
	}
	return nil
}
