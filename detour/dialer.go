package detour

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/stall"
)

// Timing holds the times of connections, by the delays of the network.
type Timing struct {
	// ConnectHedge and ProbeHedge are the times without a response after which carriers are
	// asked, while the direct attempt goes on.
	ConnectHedge, ProbeHedge time.Duration
	// Carrier bounds the request to one carrier, including its own attempt, and Proven the
	// same for a carrier that has carried a connection recently.
	Carrier, Proven time.Duration
}

// RegionTiming is for daemons and backend servers of one region.
var RegionTiming = Timing{
	ConnectHedge: 100 * time.Millisecond, ProbeHedge: 40 * time.Millisecond,
	Carrier: 300 * time.Millisecond, Proven: 100 * time.Millisecond,
}

// WideAreaTiming is for several regions, with round trips of up to 200 ms.
var WideAreaTiming = Timing{
	ConnectHedge: 600 * time.Millisecond, ProbeHedge: 300 * time.Millisecond,
	Carrier: 1500 * time.Millisecond, Proven: time.Second,
}

// ErrIsolated is returned if several backend servers are unreachable and none was reached
// since: it is no evidence that a backend server has ended.
var ErrIsolated = errors.New("detour: this daemon reaches no backend server")

// Observer receives the events that logs and metrics record.
type Observer interface {
	// WayChanged reports a change of the way to an address. err is the error of the direct
	// attempt, nil if it succeeded or was not made.
	WayChanged(address string, before, now Way, carrier string, err error)
	// Ways reports the number of addresses by way, except direct.
	Ways(count map[Way]int)
	// Carrying reports the number of connections that this daemon carries.
	Carrying(connections int)
	// CarryRefused reports a connection that this daemon did not carry.
	CarryRefused(address string, status int, err error)
}

// Options configure a Dialer.
type Options struct {
	Timing   Timing
	Direct   network.Connector
	Paths    *Paths
	Carriers func() []Carrier // the other daemons
	// DialCarrier opens a connection to a carrier.
	DialCarrier network.DialFunc
	// Header holds further headers of requests to carriers. It may be nil.
	Header   http.Header
	Exists   func(address string) bool // reports whether a backend server has an address
	Observer Observer
	Stalls   *stall.Monitor // may be nil
}

// Dialer opens connections to backend servers, directly if possible. It implements
// network.Connector. It is safe for concurrent use.
type Dialer struct {
	opts     Options
	searches singleflight.Group // by address
	// Signals to Run that the way to an address has changed.
	impeded, carried, restored chan struct{}
}

// NewDialer returns a Dialer; Run must be called.
func NewDialer(o Options) *Dialer {
	return &Dialer{opts: o, impeded: make(chan struct{}, 1), carried: make(chan struct{}, 1), restored: make(chan struct{}, 1)}
}

// Connect implements network.Connector.
func (d *Dialer) Connect(ctx context.Context, address string) (net.Conn, error) {
	return d.dial(ctx, address, d.opts.Direct.Connect, d.opts.Timing.ConnectHedge)
}

// Probe implements network.Connector.
func (d *Dialer) Probe(ctx context.Context, address string) (net.Conn, error) {
	return d.dial(ctx, address, d.opts.Direct.Probe, d.opts.Timing.ProbeHedge)
}

type connectFunc func(ctx context.Context, address string) (net.Conn, error)

// dial opens a connection. An address without direct reach is tried through carriers first.
func (d *Dialer) dial(ctx context.Context, address string, direct connectFunc, hedge time.Duration) (net.Conn, error) {
	if d.opts.Paths.Way(address) != Carried {
		return d.race(ctx, address, direct, hedge)
	}
	a := d.carry(ctx, address)
	if a.err == nil {
		return a.conn, nil
	}
	c, err := d.race(ctx, address, direct, hedge)
	if err != nil {
		return nil, fmt.Errorf("%w, after %w", err, a.err)
	}
	return c, nil
}

// attempt is the result of one way to connect.
type attempt struct {
	conn    net.Conn
	err     error
	carrier Carrier // the zero Carrier for a direct attempt
}

// race connects directly, and through carriers as well once that has failed or taken longer
// than hedge. The first connection is used.
func (d *Dialer) race(ctx context.Context, address string, direct connectFunc, hedge time.Duration) (net.Conn, error) {
	attempts, cancel := context.WithCancel(ctx)
	defer cancel()
	directly, carried := make(chan attempt, 1), make(chan attempt, 1)
	go func() {
		c, err := direct(attempts, address)
		directly <- attempt{conn: c, err: err}
	}()
	late := make(chan struct{})
	timer := d.opts.Stalls.AfterFunc(hedge, func() { close(late) })
	defer timer.Stop()
	select {
	case a := <-directly:
		if a.err == nil {
			d.noteDirect(address)
			return a.conn, nil
		}
		directly <- a
	case <-late:
	}
	go func() { carried <- d.carry(attempts, address) }()
	return d.first(ctx, address, directly, carried)
}

// first returns the first connection of two attempts and closes the other one.
func (d *Dialer) first(ctx context.Context, address string, directly, carried chan attempt) (net.Conn, error) {
	var directErr, carryErr error
	for directErr == nil || carryErr == nil {
		select {
		case a := <-directly:
			if a.err == nil {
				d.noteDirect(address)
				if carryErr == nil {
					go closeLate(carried, 1)
				}
				return a.conn, nil
			}
			directErr = a.err
		case a := <-carried:
			if a.err == nil {
				d.noteCarried(address, a.carrier, directErr)
				if directErr == nil {
					go closeLate(directly, 1)
				}
				return a.conn, nil
			}
			carryErr = a.err
		}
	}
	if ctx.Err() == nil {
		d.note(address, d.opts.Paths.Fail(address, time.Now()), Unreachable, "", directErr)
	}
	return nil, d.failure(directErr, carryErr)
}

// closeLate closes the connections of pending attempts, which are no longer needed.
func closeLate(results <-chan attempt, pending int) {
	for range pending {
		if a := <-results; a.err == nil {
			_ = a.conn.Close()
		}
	}
}

// failure returns the error of a backend server that was reached neither directly nor through
// a carrier.
func (d *Dialer) failure(direct, carried error) error {
	if d.opts.Paths.Isolated() {
		return fmt.Errorf("%w: %w (%w)", ErrIsolated, direct, carried)
	}
	return fmt.Errorf("%w (%w)", direct, carried)
}

func (d *Dialer) noteDirect(address string) {
	d.note(address, d.opts.Paths.Reached(address, time.Now()), Direct, "", nil)
}

// noteCarried records a connection through a carrier. directErr is the error of the direct
// attempt, nil if there was none.
func (d *Dialer) noteCarried(address string, c Carrier, directErr error) {
	d.note(address, d.opts.Paths.Carry(address, c.Name, time.Now()), Carried, c.Name, directErr)
}

// note reports a change of the way to an address.
func (d *Dialer) note(address string, before, now Way, carrier string, err error) {
	if before == now {
		return
	}
	d.opts.Observer.WayChanged(address, before, now, carrier, err)
	d.opts.Observer.Ways(d.opts.Paths.Count())
	switch now {
	case Direct:
		signal(d.restored)
		return
	case Carried:
		signal(d.carried)
	case Unreachable:
		// A carrier may have been found while the search for this address failed.
		if d.opts.Paths.HasProven(time.Now()) {
			signal(d.carried)
		}
	}
	signal(d.impeded)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
