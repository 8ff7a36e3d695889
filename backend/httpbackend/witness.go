package httpbackend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/execution"
)

// A process that ends closes all its connections at once. A second connection to it, on which
// nothing is sent, therefore tells its end from the end of a reply, even if another process
// listens at the address at once.

// Times of a witness.
const (
	// witnessDelay is the time after the end of a reply within which the end of its process
	// closes the witness.
	witnessDelay = 20 * time.Millisecond
	// witnessWindow is the time before the end of a reply within which a closed witness shows
	// the end of the process. Endpoints also close connections on which no request arrives.
	witnessWindow = 250 * time.Millisecond
	// listenTimeout bounds the connection to an endpoint. It allows for one lost packet, which
	// is sent again after a second.
	listenTimeout = 1500 * time.Millisecond
)

// errEndpointEnded is the reason why a reply that ended with its connection is not complete.
var errEndpointEnded = errors.New("the reply ended with its connection, and so did the process of the endpoint")

// witness is a connection to an endpoint that is held while a reply is read.
type witness struct {
	address string
	connect func(ctx context.Context, address string) (net.Conn, error)
	conn    net.Conn
	err     error         // of opening the connection
	closed  chan struct{} // closed when the endpoint closes the connection
	at      time.Time     // when that was; valid once closed is closed
}

// openWitness connects to an endpoint.
func (s *Services) openWitness(ctx context.Context, address string) *witness {
	w := &witness{address: address, connect: s.connect, closed: make(chan struct{})}
	if w.conn, w.err = w.connect(ctx, address); w.err != nil {
		return w
	}
	go func() {
		_, _ = w.conn.Read(make([]byte, 1)) // returns when either side closes
		w.at = time.Now()
		close(w.closed)
	}()
	return w
}

// connect opens a connection to an endpoint.
func (s *Services) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	return s.dial(ctx, "tcp", address)
}

// check returns an error that wraps execution.ErrLost unless the process of the endpoint has
// outlived a reply that has just ended.
func (w *witness) check(ctx context.Context) error {
	if w.err != nil {
		return fmt.Errorf("%w: %w: %w", execution.ErrLost, errEndpointEnded, w.err)
	}
	end := time.Now()
	select {
	case <-time.After(witnessDelay):
		return nil
	case <-w.closed:
	}
	if end.Sub(w.at) <= witnessWindow {
		return fmt.Errorf("%w: %w", execution.ErrLost, errEndpointEnded)
	}
	c, err := w.connect(ctx, w.address)
	if err != nil {
		return fmt.Errorf("%w: %w: %w", execution.ErrLost, errEndpointEnded, err)
	}
	return c.Close()
}

// close closes the connection. w may be nil.
func (w *witness) close() {
	if w != nil && w.conn != nil {
		_ = w.conn.Close()
	}
}

// maxUntilClose is the maximum number of endpoints that are known to reply until close.
const maxUntilClose = 4096

// untilCloseEndpoints is the set of endpoints that have replied until close. It is safe for
// concurrent use.
type untilCloseEndpoints struct {
	mu  sync.Mutex
	set map[string]bool
}

func (u *untilCloseEndpoints) has(address string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.set[address]
}

// note records how an endpoint has replied.
func (u *untilCloseEndpoints) note(address string, untilClose bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !untilClose {
		delete(u.set, address)
		return
	}
	if u.set == nil || len(u.set) >= maxUntilClose {
		u.set = map[string]bool{}
	}
	u.set[address] = true
}
