package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/stall"
)

// session follows a source until the link fails or the source is stale. followed reports
// whether the source was fresh at first. If probe is not nil, it is returned as soon as
// the source has proved fresh.
func (n *Node) session(ctx context.Context, m Member, probe error) (followed bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var marks []string
	if probe != nil {
		marks = []string{probeParam}
	}
	c, err := n.dial(ctx, m, marks...)
	if err != nil {
		return false, err
	}
	defer func() { _ = c.CloseNow() }()
	s := &session{
		node: n, otherDomain: m.Domain != n.opts.Domain, conn: c, sent: map[uint64]sentPing{}, probe: probe, cancel: cancel,
		received: loadReceiver{refused: n.loadExchange.RefuseLoads}, demands: demandSender{rate: followerDemandRate},
	}
	s.silenceTimer = n.opts.Stalls.AfterFunc(silenceTimeout, func() { cancel(errSilent) })
	defer s.silenceTimer.Stop()
	if probe == nil {
		defer n.clearUpstream()
		defer n.applyConditions(sourceKey, nil)
	}
	go s.pings(ctx)
	if probe == nil {
		go s.pushDemands(ctx)
		go new(quarantine.Reporter).SendChanges(ctx, n.opts.Quarantine, sendCrashes(ctx, c))
	}
	err = s.read(ctx)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return s.followed, err
}

// NewDialer returns the client that opens links, over connections from connect, or from
// net.Dialer if connect is nil. Stalls of this process do not count towards its timeout.
func NewDialer(connect network.DialFunc, stalls *stall.Monitor) *http.Client {
	if connect == nil {
		connect = new(net.Dialer).DialContext
	}
	return &http.Client{Transport: framing.CheckHeads(&http.Transport{MaxResponseHeaderBytes: framing.MaxHeadBytes, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := stalls.WithTimeout(ctx, connectTimeout)
		defer cancel()
		return connect(ctx, network, address)
	}, IdleConnTimeout: sourceCheckInterval})}
}

// dial opens a link, with parameters that mark its kind.
func (n *Node) dial(ctx context.Context, m Member, marks ...string) (*websocket.Conn, error) {
	ctx, cancel := n.opts.Stalls.WithTimeout(ctx, dialTimeout)
	defer cancel()
	query := url.Values{domainParam: {n.opts.Domain}, nameParam: {n.opts.Name}, fanOutParam: {strconv.Itoa(n.opts.FanOut)}}
	for _, mark := range marks {
		query.Set(mark, "")
	}
	c, resp, err := websocket.Dial(ctx, "ws://"+m.Address+Path+"?"+query.Encode(), &websocket.DialOptions{
		HTTPClient: n.dialer, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		if resp != nil && resp.StatusCode == http.StatusTooEarly {
			return nil, errStarting
		}
		if resp != nil && resp.StatusCode == http.StatusServiceUnavailable {
			return nil, errStoreLost
		}
		if resp != nil {
			return nil, fmt.Errorf("relay: %s: status %d", m.Name, resp.StatusCode)
		}
		return nil, fmt.Errorf("relay: %s: %w", m.Name, err)
	}
	c.SetReadLimit(maxFrameBytes)
	return c, nil
}

// sourceKey is the key of loads and conditions received from the source.
const sourceKey = "source"

// session is a link to a source. followed, complete, received, loads, config and members are
// used by the reading goroutine alone.
type session struct {
	node         *Node
	otherDomain  bool // the source is in another domain
	conn         *websocket.Conn
	silenceTimer *stall.Timer
	probe        error // nil unless this is a probe
	cancel       context.CancelCauseFunc

	followed bool // the source has proved fresh
	complete bool // the full state was received

	received loadReceiver // loads from the source
	loads    loadReport   // last loads received over the link
	config   []byte       // last configuration received over the link
	members  []Member     // last list of the daemons received over the link

	pingMu     sync.Mutex   // held while a ping is built and sent, so that changes of loads stay in order
	reporter   loadReporter // loads sent to the source; guarded by pingMu
	demands    demandSender // demands sent to the source; guarded by pingMu
	loadsDueAt time.Time    // when they are sent next; guarded by pingMu

	mu         sync.Mutex
	lastNumber uint64              // of pings
	sent       map[uint64]sentPing // unanswered pings, by number
}

// sentPing is a ping that has not been answered.
type sentPing struct {
	at          time.Time
	loadChanges int // number of loads that it reports
}

func (s *session) pings(ctx context.Context) {
	t := time.NewTicker(pingInterval)
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

// ping queries how fresh the source is. It is called by the pinging and the reading
// goroutine.
func (s *session) ping(ctx context.Context) error {
	s.pingMu.Lock()
	defer s.pingMu.Unlock()
	now := boottime.Now()
	p := &ping{Sender: s.node.opts.Name, Domain: s.node.opts.Domain}
	if s.probe == nil {
		s.node.collectSuspects()
		p.Suspects = s.node.conditions.takeSuspects()
	}
	p.HasLoads = !now.Before(s.loadsDueAt)
	if p.HasLoads {
		loads := s.node.subtreeLoads(now)
		p.Loads, p.Daemons, p.LoadsAge = s.reporter.changes(loads.Items), loads.Daemons, loads.Age
		p.Usage = inPercent(loads.Usage)
		p.Demands = s.demands.all(loads.Demands, now)
		s.loadsDueAt = loadsDue(now, len(p.Loads))
	} else {
		p.Demands = s.demands.changes(s.node.subtreeDemands, now)
	}
	p.Number = s.noteSent(sentPing{at: now, loadChanges: len(p.Loads)})
	return writeFrame(ctx, s.conn, &frame{Ping: p})
}

// pushDemands sends changes of demands to the source until the link ends.
func (s *session) pushDemands(ctx context.Context) {
	for wait.For(ctx, demandInterval) {
		if err := s.sendDemands(ctx); err != nil {
			s.cancel(err)
			return
		}
	}
}

func (s *session) sendDemands(ctx context.Context) error {
	s.pingMu.Lock()
	defer s.pingMu.Unlock()
	changes := s.demands.changes(s.node.subtreeDemands, boottime.Now())
	if len(changes) == 0 {
		return nil
	}
	return writeFrame(ctx, s.conn, &frame{Demands: changes})
}

// noteSent records a ping and returns its number.
func (s *session) noteSent(p sentPing) (number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	s.sent[s.lastNumber] = p
	return s.lastNumber
}

// takeSent returns the unanswered ping of a number and forgets it.
func (s *session) takeSent(number uint64) (p sentPing, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok = s.sent[number]
	delete(s.sent, number)
	return p, ok
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
			if err := s.resolveConfig(u); err != nil {
				return err
			}
			s.node.inv.Apply(toUpdate(u))
			if u.Full {
				if err := s.onFullState(ctx); err != nil {
					return err
				}
			}
		case f.Conditions != nil && s.probe == nil:
			s.node.applyConditions(sourceKey, f.Conditions.Known)
		case f.Members != nil && s.probe == nil:
			s.applyMembers(f.Members)
		case f.Demands != nil && s.probe == nil:
			s.applyDemands(f.Demands)
		case f.Crashes != nil:
			s.node.opts.Quarantine.MergePacked(f.Crashes, time.Now())
		case f.Pong != nil:
			if err := s.pong(ctx, f.Pong); err != nil {
				return err
			}
		}
	}
}

// resolveConfig makes the configuration of an update from its delta, if it has one, and
// keeps it as the base of the next delta. A source sends deltas against the configuration
// that it last sent over the link.
func (s *session) resolveConfig(u *update) error {
	if u.Change != nil {
		config, err := u.Change.apply(s.config)
		if err != nil {
			return err // a new link starts with the full state
		}
		u.Config = config
	}
	if u.Config != nil {
		s.config = u.Config
	}
	return nil
}

// onFullState pings at once, since earlier pings were answered before the configuration
// was known here. Loads that were received before the list of backend servers could not be
// resolved and are resolved now.
func (s *session) onFullState(ctx context.Context) error {
	s.complete = true
	if s.loads.loads.Daemons > 0 {
		s.loads.loads.Items = s.received.resolve(s.node.serverNames())
		s.applyLoads(s.loads)
	}
	return s.ping(ctx)
}

// applyLoads applies loads received from the source.
func (s *session) applyLoads(r loadReport) {
	s.loads = r
	s.node.sourceLoads.put(sourceKey, r)
	s.node.updateOthers(boottime.Now())
}

// applyDemands applies changes of demands received from the source.
func (s *session) applyDemands(changes packedDemands) {
	if len(changes) == 0 {
		return
	}
	s.loads.loads.Demands = s.received.changedDemands(changes)
	if s.node.sourceLoads.setDemands(sourceKey, s.loads.at, s.loads.loads.Demands) {
		s.node.updateDemands(boottime.Now())
	}
}

// pong handles the answer to a ping. The reported freshness counts from when the ping was
// sent. Loads are applied before setUpstream makes this daemon a source, so that its
// followers receive them.
func (s *session) pong(ctx context.Context, p *pong) error {
	s.silenceTimer.Reset(silenceTimeout)
	sent, ok := s.takeSent(p.Number)
	if !ok {
		return nil
	}
	s.node.inv.NoteContact(p.contact(sent.at, boottime.Now()))
	if p.SinceContact > contactTimeout(s.node.opts.MaxConfigDelay) {
		return errStale
	}
	if s.probe != nil && p.CrossesDomains {
		return errCrossing
	}
	if s.probe != nil {
		return s.probe
	}
	s.followed = true
	s.node.inv.ConfirmFresh(p.Version, sent.at.Add(-p.Age))
	now := boottime.Now()
	if p.Daemons > 0 {
		ttl := loadTTL(max(sent.loadChanges, len(p.Loads)))
		s.applyLoads(loadReport{at: now, ttl: ttl, loads: p.report(&s.received, s.node.serverNames())})
	} else {
		s.applyDemands(p.Demands)
	}
	if s.complete {
		s.node.setUpstream(ctx, &upstream{sinceContact: p.SinceContact, receivedAt: now, crossesDomains: p.CrossesDomains || s.otherDomain})
	}
	return nil
}
