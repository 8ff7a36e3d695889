package detour

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of requests to carriers.
const (
	// carrierHedge is the time without a response after which the next carriers are asked.
	carrierHedge = 15 * time.Millisecond
	// firstAsked is the number of carriers that a search asks at once: one of them may be cut
	// off as well.
	firstAsked = 3
	// claimTimeout is the time after which a connection that a search has opened and nobody
	// uses is closed.
	claimTimeout = 50 * time.Millisecond
)

// errNoCarrier is returned if there is no carrier to ask.
var errNoCarrier = errors.New("detour: no carrier to ask")

// carry opens a connection through a carrier: one that has carried a connection recently, or one
// that a search finds.
func (d *Dialer) carry(ctx context.Context, address string) attempt {
	var provenErr error
	if asked, proven := d.opts.Paths.Ask(address, d.opts.Carriers(), time.Now()); proven > 0 {
		r := d.askWithin(ctx, d.opts.Timing.Proven, asked[0], address)
		if r.err == nil {
			return r
		}
		provenErr = fmt.Errorf("through %s: %w", r.carrier.Name, r.err)
	}
	found := d.searches.DoChan(address, func() (any, error) { return d.search(context.WithoutCancel(ctx), address) })
	select {
	case <-ctx.Done():
		return attempt{err: context.Cause(ctx)}
	case f := <-found:
		if f.Err != nil {
			return attempt{err: errors.Join(provenErr, f.Err)}
		}
		found := f.Val.(*foundCarrier)
		if conn := found.claim(); conn != nil {
			return attempt{conn: conn, carrier: found.carrier}
		}
		return d.askWithin(ctx, d.opts.Timing.Carrier, found.carrier, address)
	}
}

// foundCarrier is the result of a search: a carrier and a connection through it, which one of
// those who share the search may claim.
type foundCarrier struct {
	carrier Carrier
	conn    net.Conn
	claimed atomic.Bool
}

// claim returns the connection to the first caller, nil to others.
func (f *foundCarrier) claim() net.Conn {
	if f.claimed.Swap(true) {
		return nil
	}
	return f.conn
}

// closeUnclaimed closes the connection if all who shared the search have given up.
func (f *foundCarrier) closeUnclaimed() {
	if c := f.claim(); c != nil {
		_ = c.Close()
	}
}

// askWithin asks one carrier within a timeout.
func (d *Dialer) askWithin(ctx context.Context, timeout time.Duration, c Carrier, address string) attempt {
	ctx, cancel := d.opts.Stalls.WithTimeout(ctx, timeout)
	defer cancel()
	r := d.ask(ctx, c, address)
	if r.err != nil {
		d.noteCarrierError(ctx, r, address)
	}
	return r
}

// search returns a carrier that reaches an address. Connections that are opened at once share
// one search.
func (d *Dialer) search(ctx context.Context, address string) (*foundCarrier, error) {
	asked, _ := d.opts.Paths.Ask(address, d.opts.Carriers(), time.Now())
	if len(asked) == 0 {
		return nil, errNoCarrier
	}
	ctx, cancel := d.opts.Stalls.WithTimeout(ctx, d.opts.Timing.Carrier)
	defer cancel()
	results := make(chan attempt, len(asked))
	started, failures := 0, 0
	start := func(n int) {
		for ; n > 0 && started < len(asked) && failures < maxFailures && ctx.Err() == nil; n-- {
			c := asked[started]
			started++
			go func() { results <- d.ask(ctx, c, address) }()
		}
	}
	start(firstAsked)
	t := time.NewTicker(carrierHedge)
	defer t.Stop()
	var errs []error
	for len(errs) < started {
		select {
		case r := <-results:
			if r.err == nil {
				go closeLate(results, started-len(errs)-1)
				found := &foundCarrier{carrier: r.carrier, conn: r.conn}
				time.AfterFunc(claimTimeout, found.closeUnclaimed)
				return found, nil
			}
			errs = append(errs, fmt.Errorf("through %s: %w", r.carrier.Name, r.err))
			if errors.Is(r.err, errUnreachableThere) {
				failures++
			}
			d.noteCarrierError(ctx, r, address)
			start(1)
		case <-t.C:
			start(firstAsked)
		}
	}
	return nil, errors.Join(errs...)
}

// noteCarrierError records why a carrier did not carry a connection.
func (d *Dialer) noteCarrierError(ctx context.Context, r attempt, address string) {
	switch {
	case errors.Is(r.err, errUnreachableThere), errors.Is(r.err, errNotDirect):
		conclusive := errors.Is(r.err, syscall.ECONNREFUSED) || errors.Is(r.err, errNotDirect)
		d.opts.Paths.CarrierFailed(r.carrier.Name, address, conclusive, time.Now())
	case ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		d.opts.Paths.Avoid(r.carrier.Name, time.Now())
	}
}

// ask opens a connection through one carrier.
func (d *Dialer) ask(ctx context.Context, c Carrier, address string) attempt {
	conn, err := d.opts.DialCarrier(ctx, "tcp", c.Address)
	if err != nil {
		return attempt{carrier: c, err: fmt.Errorf("%w: %w", errUnavailable, err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	carried, err := open(conn, c, address, d.opts.Header)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = conn.Close()
		return attempt{carrier: c, err: err}
	}
	return attempt{carrier: c, conn: carried}
}
