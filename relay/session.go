package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/stall"
)

// session follows a source until the link fails or its knowledge is not fresh.
// followed says that it was fresh at first. With a probe error it returns that
// as soon as the source has shown to be fresh.
func (n *Node) session(ctx context.Context, m Member, probe error) (followed bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c, err := n.dial(ctx, m, probe != nil)
	if err != nil {
		return false, err
	}
	defer func() { _ = c.CloseNow() }()
	s := &session{
		node: n, conn: c, sent: map[uint64]time.Time{}, probe: probe, cancel: cancel,
		heard: listener{refused: n.book.RefuseLoads},
	}
	s.silent = n.opts.Stalls.AfterFunc(silentFor, func() { cancel(errSilent) })
	defer s.silent.Stop()
	if probe == nil {
		defer n.forgetUpstream()
		defer n.hearConditions(sourceLoads, nil)
	}
	go s.pings(ctx)
	if probe == nil {
		go n.tellCrashes(ctx, c, new(crashTeller))
	}
	err = s.read(ctx)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return s.followed, err
}

// NewDialer returns the client that opens links over connections of connect, nil for
// the usual ones.
func NewDialer(connect func(ctx context.Context, network, address string) (net.Conn, error), stalls *stall.Monitor) *http.Client {
	if connect == nil {
		connect = new(net.Dialer).DialContext
	}
	t := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := stalls.WithTimeout(ctx, connectTimeout)
		defer cancel()
		return connect(ctx, network, address)
	}, IdleConnTimeout: tryAgain}
	return &http.Client{Transport: t}
}

func (n *Node) dial(ctx context.Context, m Member, probe bool) (*websocket.Conn, error) {
	ctx, cancel := n.opts.Stalls.WithTimeout(ctx, dialTimeout)
	defer cancel()
	query := url.Values{domainParam: {n.opts.Domain}}
	if probe {
		query.Set(probeParam, "")
	}
	c, resp, err := websocket.Dial(ctx, "ws://"+m.Address+Path+"?"+query.Encode(), &websocket.DialOptions{
		HTTPClient: n.dialer, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		if resp != nil && resp.StatusCode == http.StatusTooEarly {
			return nil, errEarly
		}
		if resp != nil && resp.StatusCode == http.StatusServiceUnavailable {
			return nil, errLost
		}
		if resp != nil {
			return nil, fmt.Errorf("relay: %s: status %d", m.Name, resp.StatusCode)
		}
		return nil, fmt.Errorf("relay: %s: %w", m.Name, err)
	}
	c.SetReadLimit(maxFrameBytes)
	return c, nil
}

// sourceLoads names what the source told among the loads from above.
const sourceLoads = "source"

// session is one link to a source.
type session struct {
	node   *Node
	conn   *websocket.Conn
	silent *stall.Timer
	probe  error
	cancel context.CancelCauseFunc

	followed bool // it has shown to be fresh; used by the reader alone
	complete bool // the full state has come; used by the reader alone

	heard  listener // loads that the source told; used by the reader alone
	config []byte   // the last one that came over the link; used by the reader alone

	pinging sync.Mutex // held while a ping is made and sent: changes keep their order
	told    teller     // loads told to the source

	mu     sync.Mutex
	number uint64
	loads  time.Time            // when loads were last told
	sent   map[uint64]time.Time // of pings without an answer
}

func (s *session) pings(ctx context.Context) {
	t := time.NewTicker(pingEvery)
	defer t.Stop()
	for {
		if err := s.ping(ctx); err != nil {
			s.cancel(err)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// ping asks how fresh the source is. The pinging and the reading goroutine call
// it.
func (s *session) ping(ctx context.Context) error {
	s.pinging.Lock()
	defer s.pinging.Unlock()
	now := boottime.Now()
	p := &ping{Sender: s.node.opts.Name, Domain: s.node.opts.Domain}
	if s.probe == nil {
		s.node.gatherSuspects()
		p.Suspects = s.node.conditions.takeSuspects()
	}
	s.mu.Lock()
	s.number++
	p.Number = s.number
	s.sent[p.Number] = now
	p.HasLoads = now.Sub(s.loads) >= loadsPeriod(len(s.node.inv.State().Servers))
	if p.HasLoads {
		s.loads = now
	}
	s.mu.Unlock()
	if p.HasLoads {
		loads := s.node.loadsBelow(now)
		p.Loads, p.Daemons, p.LoadsAge = s.told.changes(loads.Items), loads.Daemons, loads.Age
	}
	return writeFrame(ctx, s.conn, &frame{Ping: p})
}

func (s *session) read(ctx context.Context) error {
	for {
		f, err := readFrame(ctx, s.conn)
		if err != nil {
			return err
		}
		switch {
		case f.Update != nil && s.probe == nil:
			u := f.Update
			if err := s.takeConfig(u); err != nil {
				return err
			}
			s.node.inv.Apply(toUpdate(u))
			if u.Full {
				if err := s.takeFullState(ctx); err != nil {
					return err
				}
			}
		case f.Conditions != nil && s.probe == nil:
			s.node.hearConditions(sourceLoads, f.Conditions.Known)
		case f.Crashes != nil:
			s.node.hearCrashes(f.Crashes)
		case f.Pong != nil:
			if err := s.pong(ctx, f.Pong); err != nil {
				return err
			}
		}
	}
}

// takeConfig keeps the configuration of an update for the next difference, and makes it
// out of one. A source sends differences from what it sent last over the link.
func (s *session) takeConfig(u *update) error {
	if u.Change != nil {
		config, err := u.Change.apply(s.config)
		if err != nil {
			return err // the link is made anew, with the full state
		}
		u.Config = config
	}
	if u.Config != nil {
		s.config = u.Config
	}
	return nil
}

// takeFullState asks again at once: the pings so far were answered for a configuration
// not yet known here. Loads are asked for with it. Those that came first were of
// backend servers not yet known and were left out, so that this daemon, and those that
// followed it, took all backend servers to be idle for up to a period of loads.
func (s *session) takeFullState(ctx context.Context) error {
	s.complete = true
	s.mu.Lock()
	s.loads = time.Time{}
	s.mu.Unlock()
	return s.ping(ctx)
}

// pong takes an answer. What the source knew is as fresh as it says, counted
// from when it was asked. Loads are taken first: once noteUpstream has made this
// daemon a source, its followers are told them.
func (s *session) pong(ctx context.Context, p *pong) error {
	s.silent.Reset(silentFor)
	s.mu.Lock()
	sent, ok := s.sent[p.Number]
	delete(s.sent, p.Number)
	s.mu.Unlock()
	if !ok {
		return nil
	}
	if p.Heard > unheardFor(s.node.opts.ConfigWithin) {
		return errStale
	}
	if s.probe != nil {
		return s.probe
	}
	s.followed = true
	s.node.inv.Vouch(p.Version, sent.Add(-p.Age))
	now := boottime.Now()
	if p.Daemons > 0 {
		s.node.above.put(sourceLoads, told{at: now, loads: p.told(&s.heard, s.node.serverNames())})
		s.node.takeOthers(now)
	}
	if s.complete {
		s.node.noteUpstream(ctx, p.Heard, now)
	}
	return nil
}
