package relay

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/quarantine"
)

// Inventory holds the state that is passed on to followers and receives that of the
// source.
type Inventory interface {
	// State returns an immutable state; without a change two calls return the same pointer.
	State() *inventory.State
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Age returns the age of the newest proof that no newer configuration exists.
	Age(now time.Time) time.Duration
	// LastContact returns when the store last answered this daemon itself, the zero time
	// if the store is lost.
	LastContact() time.Time
	// Contact returns when the store answered this daemon or another one, and NoteContact
	// records when it answered another one.
	Contact() inventory.Contact
	NoteContact(c inventory.Contact)
	// Apply applies an update received from another daemon.
	Apply(u inventory.Update)
	// ApplyConfirmed applies the configuration of another daemon, which was known to be current before
	// age, and DoubtsConfig reports whether the store may lack the newest one.
	ApplyConfirmed(config []byte, age time.Duration)
	DoubtsConfig() bool
	// ConfirmFresh records that no configuration newer than version existed at fresh.
	ConfirmFresh(version uint64, fresh time.Time)
	// Follow follows the store until ctx ends. Retry delays after failed calls are between
	// first and longest.
	Follow(ctx context.Context, first, longest time.Duration)
}

// LoadExchange provides the loads of this daemon and receives those of the others.
type LoadExchange interface {
	// OwnLoads returns the loads that this daemon causes.
	OwnLoads() []LoadItem
	// OwnUsage returns the processor time that this daemon uses, as a fraction of what it may use.
	OwnUsage() float64
	// OwnDemands returns the demand of this daemon's callers.
	OwnDemands() []Demand
	// SetOthers sets the summed loads of the other daemons.
	SetOthers(others Loads)
	// SetDemands sets the summed demands of the other daemons, and the number of daemons in the
	// sum. It is called when demands arrive between two calls of SetOthers, and does not prolong
	// the validity of the loads.
	SetDemands(demands []Demand, daemons int)
	// RefuseLoads counts loads that were dropped as invalid.
	RefuseLoads(n int)
	// TakeSuspects returns the backend servers newly suspected to be slow since the last
	// call.
	TakeSuspects() []string
	// SetConditions sets all backend servers that are known to be slow or saturated. The
	// map must not be changed.
	SetConditions(known map[string]Condition)
}

// ServeHTTP serves one follower until the link ends: it sends changes and answers pings.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has(crashesParam) {
		n.serveCrashes(w, r)
		return
	}
	if query.Has(configParam) {
		n.serveConfig(w)
		return
	}
	sameDomain := query.Get(domainParam) == n.opts.Domain
	now := boottime.Now()
	switch {
	case n.starting(now) && n.hasFailedToStart():
		http.Error(w, "the store is lost", http.StatusServiceUnavailable)
		return
	case n.starting(now):
		http.Error(w, "starting", http.StatusTooEarly)
		return
	case !sameDomain && !n.followsStore.Load():
		http.Error(w, "no source of this domain", http.StatusMisdirectedRequest)
		return
	case sameDomain && !query.Has(probeParam) && byRank(n.self(), followerOf(query)) >= 0:
		http.Error(w, "ranks before this daemon", http.StatusMisdirectedRequest)
		return
	case !n.healthy(now):
		http.Error(w, "the store is lost", http.StatusServiceUnavailable)
		return
	}
	c := n.accept(w, r)
	if c == nil {
		return
	}
	defer func() { _ = c.CloseNow() }()
	ctx, cancel := context.WithCancel(n.sourceContext())
	defer cancel()
	if query.Has(probeParam) {
		n.answerPings(ctx, &followerLink{conn: c, demands: demandSender{rate: domainDemandRate}})
		return
	}
	link := &followerLink{conn: c, demands: demandSender{rate: followerDemandRate}}
	go func() {
		defer cancel()
		n.answerPings(ctx, link)
	}()
	go func() {
		defer cancel()
		n.pushDemands(ctx, link, query.Get(nameParam), sameDomain)
	}()
	// Known crashes are sent first: the follower forwards requests once it has the state.
	var crashes quarantine.Reporter
	if crashes.SendKnown(n.opts.Quarantine, sendCrashes(ctx, c)) != nil {
		return // the follower is gone
	}
	go crashes.SendChanges(ctx, n.opts.Quarantine, sendCrashes(ctx, c))
	go n.pushConditions(ctx, c)
	go n.pushMembers(ctx, c)
	n.pushChanges(ctx, c)
}

// accept accepts a link. It returns nil after an error.
func (n *Node) accept(w http.ResponseWriter, r *http.Request) *websocket.Conn {
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		_ = level.Warn(n.logger).Log("msg", "link not accepted", "err", err)
		return nil
	}
	c.SetReadLimit(maxFrameBytes)
	return c
}

// serveCrashes serves a link for crashes until it ends or this daemon stops.
func (n *Node) serveCrashes(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	ctx := n.runCtx
	n.mu.Unlock()
	if ctx == nil || n.opts.Quarantine == nil {
		http.Error(w, "no crashes", http.StatusServiceUnavailable)
		return
	}
	if c := n.accept(w, r); c != nil {
		n.exchangeCrashes(ctx, c)
	}
}

// followerOf returns the daemon that opened a link with this query. An invalid fan-out
// ranks last.
func followerOf(query url.Values) Member {
	fanOut, err := strconv.Atoi(query.Get(fanOutParam))
	if err != nil {
		fanOut = 1
	}
	return Member{Name: query.Get(nameParam), Domain: query.Get(domainParam), FanOut: fanOut}
}

// pushChanges sends the full state, then changes, until the link ends.
func (n *Node) pushChanges(ctx context.Context, c *websocket.Conn) {
	var sent *inventory.State
	for {
		changed := n.inv.Changed()
		now := n.inv.State()
		data, err := n.frames.between(sent, now)
		if err != nil {
			_ = level.Error(n.logger).Log("msg", "state not passed on", "err", err)
			return
		}
		if data != nil {
			if writeData(ctx, c, data) != nil {
				return // the follower reconnects
			}
			sent = now
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// frameCache caches the last encoded updates, since most followers need the same one.
type frameCache struct {
	mu      sync.Mutex
	entries []cachedFrame
}

type cachedFrame struct {
	from, to *inventory.State
	data     []byte
}

// maxCachedFrames bounds the cached frames: the full state and the last changes.
const maxCachedFrames = 3

// between returns the encoded update from one state to another, nil if nothing changed.
// From nil it is the full state.
func (c *frameCache) between(from, to *inventory.State) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.entries {
		if e.from == from && e.to == to {
			return e.data, nil
		}
	}
	u := diff(from, to)
	if u == nil {
		return nil, nil
	}
	data, err := encodeUpdate(u)
	if err != nil {
		return nil, err
	}
	c.entries = append(c.entries, cachedFrame{from, to, data})
	if len(c.entries) > maxCachedFrames {
		c.entries = c.entries[1:]
	}
	return data, nil
}

// diff returns the update from one state to another, nil if nothing changed. From nil it
// is the full state.
func diff(old, now *inventory.State) *update {
	u := &update{Full: old == nil, Restored: now.Restored, At: now.At, Servers: map[string]inventory.Entry{}}
	if old == nil {
		old = &inventory.State{}
	}
	if now.ConfigVersion > old.ConfigVersion {
		u.setConfig(old.Config, now.Config)
	}
	for id, e := range now.Servers {
		if o, known := old.Servers[id]; !known || o.At != e.At || o.Lapsed != e.Lapsed {
			u.Servers[id] = e
		}
	}
	for id := range old.Servers {
		if _, ok := now.Servers[id]; !ok {
			u.Gone = append(u.Gone, id)
		}
	}
	if !u.Full && u.Config == nil && u.Change == nil && len(u.Servers) == 0 && len(u.Gone) == 0 {
		return nil
	}
	return u
}

// maxDeltaRatio is the size of a delta, relative to the full configuration, below which
// the delta is sent.
const maxDeltaRatio = 0.5

// setConfig sets the configuration, as a delta from the last one sent if that is much
// shorter.
func (u *update) setConfig(last, now []byte) {
	if len(last) > 0 {
		if d := newDelta(last, now); float64(d.size()) < maxDeltaRatio*float64(len(now)) {
			u.Change = d
			return
		}
	}
	u.Config = now
}

// followerLink is the sending end of a link to a follower, a probe or the source of another
// domain.
type followerLink struct {
	conn *websocket.Conn

	mu         sync.Mutex // held while loads or demands are built and sent, so that changes stay in order
	loads      loadReporter
	demands    demandSender
	loadsDueAt time.Time
}

// pushDemands sends changes of demands to a follower until the link ends.
func (n *Node) pushDemands(ctx context.Context, link *followerLink, follower string, sameDomain bool) {
	demands := func(now time.Time) []Demand { return n.demandsFor(follower, sameDomain, now) }
	for wait.For(ctx, demandInterval) {
		if link.sendDemands(ctx, demands) != nil {
			return // the link has ended
		}
	}
}

func (l *followerLink) sendDemands(ctx context.Context, demands func(now time.Time) []Demand) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes := l.demands.changes(demands, boottime.Now())
	if len(changes) == 0 {
		return nil
	}
	return writeFrame(ctx, l.conn, &frame{Demands: changes})
}

// answer sends the answer to a ping, with the loads and demands that are due.
func (l *followerLink) answer(ctx context.Context, n *Node, p *ping, a *pong, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	sameDomain := n.ownDomain(p.Domain)
	if p.HasLoads && !now.Before(l.loadsDueAt) {
		loads := n.loadsFor(p.Sender, sameDomain, now)
		a.Loads, a.Daemons, a.LoadsAge = l.loads.changes(loads.Items), loads.Daemons, loads.Age
		a.Usage = inPercent(loads.Usage)
		a.Demands = l.demands.all(loads.Demands, now)
		l.loadsDueAt = loadsDue(now, len(a.Loads))
	} else {
		a.Demands = l.demands.changes(func(now time.Time) []Demand { return n.demandsFor(p.Sender, sameDomain, now) }, now)
	}
	return writeFrame(ctx, l.conn, &frame{Pong: a})
}

// answerPings answers the pings of a follower, a probe or the source of another domain
// until the link ends.
func (n *Node) answerPings(ctx context.Context, link *followerLink) {
	follower, reportedAt := "", time.Time{}
	fromFollower := loadReceiver{refused: n.loadExchange.RefuseLoads}
	var conditionsVersion uint64
	var crashes quarantine.Reporter
	defer func() { n.followerLoads.drop(follower, reportedAt) }()
	for {
		f, err := readFrame(ctx, link.conn)
		if err != nil {
			return // the link has ended
		}
		n.opts.Quarantine.MergePacked(f.Crashes, time.Now())
		now := boottime.Now()
		applyDemands := func(changes packedDemands) {
			if len(changes) > 0 && n.followerLoads.setDemands(follower, reportedAt, fromFollower.changedDemands(changes)) {
				n.updateDemands(now)
			}
		}
		if f.Ping == nil {
			applyDemands(f.Demands)
			continue
		}
		p := f.Ping
		sameDomain := p.Domain == n.opts.Domain
		if p.HasLoads && !p.LoadsOnly {
			follower, reportedAt = p.Sender, now
			n.followerLoads.put(follower, loadReport{at: now, ttl: loadTTL(len(p.Loads)), domain: p.Domain, loads: p.report(&fromFollower, n.serverNames())})
			n.updateDemands(now)
		} else {
			applyDemands(p.Demands)
		}
		sinceContact, ok := n.sinceContact(now)
		if !ok || sinceContact >= contactTimeout(n.opts.MaxConfigDelay) {
			return // closes the link, so that the follower leaves at once
		}
		answer := &pong{Number: p.Number, Age: n.inv.Age(now), SinceContact: sinceContact, Version: n.inv.State().ConfigVersion, CrossesDomains: n.crossesDomains()}
		answer.setContact(n.inv.Contact(), now)
		n.conditions.addSuspects(p.Suspects)
		if !sameDomain {
			conditionsVersion = n.addConditions(answer, conditionsVersion)
			answer.ListedAt = n.members.ListedAt()
		}
		if p.LoadsOnly {
			n.opts.Quarantine.MergePacked(p.Crashes, time.Now())
			answer.Crashes = crashes.Next(n.opts.Quarantine)
		}
		if p.RequestsConfig {
			answer.Config = n.inv.State().Config
		}
		if link.answer(ctx, n, p, answer, now) != nil {
			return // the link has ended
		}
	}
}

// addConditions adds this daemon's own findings on slow and saturated backend servers to
// an answer for the source of another domain, if the version differs from the one sent
// last. It returns the version sent now.
func (n *Node) addConditions(answer *pong, sent uint64) uint64 {
	known, version := n.conditions.merged(func(from string) bool { return from == localKey })
	if version == sent {
		return sent
	}
	answer.HasConditions, answer.Conditions = true, packConditions(known)
	return version
}

// loadsFor returns the loads for another daemon. A daemon of this domain receives all loads
// except its own and those of its followers; the source of another domain receives the
// loads of this domain.
func (n *Node) loadsFor(sender string, sameDomain bool, now time.Time) Loads {
	sum := newLoadSum()
	n.sumFor(sum, sender, sameDomain, now)
	return sum.loads()
}

// demandsFor returns the demands of the daemons whose loads loadsFor returns.
func (n *Node) demandsFor(sender string, sameDomain bool, now time.Time) []Demand {
	sum := newDemandSum()
	n.sumFor(sum, sender, sameDomain, now)
	return sum.loads().Demands
}

func (n *Node) sumFor(sum *loadSum, sender string, sameDomain bool, now time.Time) {
	keep := func(domain string) bool { return sameDomain || domain == n.opts.Domain }
	n.followerLoads.addTo(sum, sender, keep, now)
	sum.addOwn(n.loadExchange)
	if sameDomain {
		n.outsideLoads().addTo(sum, "", allDomains, now)
	}
}

func allDomains(string) bool { return true }

// outsideLoads returns the loads of the daemons that are not below this one: those of the
// other domains, or those received from the source.
func (n *Node) outsideLoads() *loadTable {
	if n.followsStore.Load() {
		return n.domainLoads
	}
	return n.sourceLoads
}

// subtreeLoads returns the loads of this daemon and its followers.
func (n *Node) subtreeLoads(now time.Time) Loads {
	sum := newLoadSum()
	n.sumSubtree(sum, now)
	return sum.loads()
}

// subtreeDemands returns the demands of this daemon and its followers.
func (n *Node) subtreeDemands(now time.Time) []Demand {
	sum := newDemandSum()
	n.sumSubtree(sum, now)
	return sum.loads().Demands
}

func (n *Node) sumSubtree(sum *loadSum, now time.Time) {
	n.followerLoads.addTo(sum, "", n.ownDomain, now)
	sum.addOwn(n.loadExchange)
}

// updateOthers passes the loads of all other daemons to the LoadExchange.
func (n *Node) updateOthers(now time.Time) {
	n.othersMu.Lock()
	defer n.othersMu.Unlock()
	sum := newLoadSum()
	n.sumOthers(sum, now)
	n.loadExchange.SetOthers(sum.loads())
}

// updateDemands passes the demands of all other daemons to the LoadExchange.
func (n *Node) updateDemands(now time.Time) {
	n.othersMu.Lock()
	defer n.othersMu.Unlock()
	sum := newDemandSum()
	n.sumOthers(sum, now)
	n.loadExchange.SetDemands(sum.loads().Demands, sum.daemons)
}

func (n *Node) sumOthers(sum *loadSum, now time.Time) {
	n.followerLoads.addTo(sum, "", n.ownDomain, now)
	n.outsideLoads().addTo(sum, "", allDomains, now)
}

// serverNames returns the IDs of the backend servers by their hash.
func (n *Node) serverNames() map[uint32]string { return n.servers.forState(n.inv.State()) }

func (n *Node) ownDomain(domain string) bool { return domain == n.opts.Domain }
