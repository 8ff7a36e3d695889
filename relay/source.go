package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/inventory"
)

// Inventory is what is passed on, and where what is received goes.
type Inventory interface {
	// State is immutable; two calls without a change between give the same.
	State() *inventory.State
	Changed() <-chan struct{}
	Age(now time.Time) time.Duration
	// Heard returns when the store last answered this daemon itself, the zero time
	// when it is lost.
	Heard() time.Time
	Apply(u inventory.Update)
	Vouch(version uint64, fresh time.Time)
	// Follow follows the store itself until ctx ends, with pauses between first and
	// longest after failed calls.
	Follow(ctx context.Context, first, longest time.Duration)
}

// LoadBook tells this daemon's own loads and takes those of the others.
type LoadBook interface {
	OwnLoads() []LoadItem
	// TakeOthers takes the loads that the other daemons cause together.
	TakeOthers(others Loads)
	// RefuseLoads is told how many loads were dropped as impossible.
	RefuseLoads(n int)
	// TakeSuspects returns the backend servers that this daemon suspects to be slow
	// since the last call.
	TakeSuspects() []string
	// TakeConditions takes all that are known to be slow or crowded. The map must not be
	// changed.
	TakeConditions(known map[string]Condition)
}

// ServeHTTP serves one follower until the link ends: changes as they come, and
// an answer to each ping.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	sameDomain := query.Get(domainParam) == n.opts.Domain
	now := boottime.Now()
	switch {
	case n.starting(now):
		http.Error(w, "starting", http.StatusTooEarly)
		return
	case !sameDomain && !n.reading.Load():
		http.Error(w, "no source of this domain", http.StatusMisdirectedRequest)
		return
	case !n.sound(now):
		http.Error(w, "the store is lost", http.StatusServiceUnavailable)
		return
	}
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		_ = level.Warn(n.logger).Log("msg", "link not accepted", "err", err)
		return
	}
	defer func() { _ = c.CloseNow() }()
	c.SetReadLimit(maxFrameBytes)
	ctx, cancel := context.WithCancel(n.sourceContext())
	defer cancel()
	if query.Has(probeParam) {
		n.answerPings(ctx, c)
		return
	}
	go func() {
		defer cancel()
		n.answerPings(ctx, c)
	}()
	// What is known of crashing requests goes first: the follower sends requests on once
	// it has the state.
	var crashes crashTeller
	if n.tellKnownCrashes(ctx, c, &crashes) != nil {
		return // the follower is gone
	}
	go n.tellCrashes(ctx, c, &crashes)
	go n.pushConditions(ctx, c)
	n.pushChanges(ctx, c)
}

// pushChanges sends the full state and then what changes.
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
				return // the follower notices and comes back
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

// frames keeps the last frames that carry a change, encoded: most followers need
// the same one.
type frames struct {
	mu   sync.Mutex
	kept []keptFrame
}

type keptFrame struct {
	from, to *inventory.State
	data     []byte
}

// framesKept is how many frames are kept: the full state and the last change.
const framesKept = 3

// between returns the encoded change from one state to another, nil for none;
// from nil is the full state.
func (f *frames) between(from, to *inventory.State) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.kept {
		if k.from == from && k.to == to {
			return k.data, nil
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
	f.kept = append(f.kept, keptFrame{from, to, data})
	if len(f.kept) > framesKept {
		f.kept = f.kept[1:]
	}
	return data, nil
}

// diff returns what changed between two states, nil for nothing. From nil it is
// the full state.
func diff(old, now *inventory.State) *update {
	u := &update{Full: old == nil, Restored: now.Restored, Servers: map[string]inventory.Entry{}}
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
		if _, there := now.Servers[id]; !there {
			u.Gone = append(u.Gone, id)
		}
	}
	if !u.Full && u.Config == nil && u.Change == nil && len(u.Servers) == 0 && len(u.Gone) == 0 {
		return nil
	}
	return u
}

// deltaFrom is the part of a configuration that a difference must spare to be sent.
const deltaFrom = 0.5

// setConfig sets the configuration, as the difference from the last one that was sent
// if that is much shorter.
func (u *update) setConfig(last, now []byte) {
	if len(last) > 0 {
		if d := newDelta(last, now); float64(d.size()) < deltaFrom*float64(len(now)) {
			u.Change = d
			return
		}
	}
	u.Config = now
}

// answerPings answers a follower until the link ends.
func (n *Node) answerPings(ctx context.Context, c *websocket.Conn) {
	follower, toldAt := "", time.Time{}
	fromFollower := listener{refused: n.book.RefuseLoads}
	var toFollower teller
	var conditionsTold uint64
	var crashes crashTeller
	defer func() { n.ledger.drop(follower, toldAt) }()
	for {
		f, err := readFrame(ctx, c)
		if err != nil {
			return // the link is over
		}
		n.hearCrashes(f.Crashes)
		if f.Ping == nil {
			continue
		}
		now := boottime.Now()
		p := f.Ping
		sameDomain := p.Domain == n.opts.Domain
		if p.HasLoads && !p.LoadsOnly {
			follower, toldAt = p.Sender, now
			n.ledger.put(follower, told{at: now, domain: p.Domain, loads: p.told(&fromFollower, n.serverNames())})
		}
		heard, ok := n.heard(now)
		if !ok || heard >= unheardFor(n.opts.ConfigWithin) {
			return // the follower leaves at once
		}
		answer := &pong{Number: p.Number, Age: n.inv.Age(now), Heard: heard, Version: n.inv.State().ConfigVersion}
		if p.HasLoads {
			loads := n.loadsFor(p.Sender, sameDomain, now)
			answer.Loads, answer.Daemons, answer.LoadsAge = toFollower.changes(loads.Items), loads.Daemons, loads.Age
		}
		n.conditions.suspect(p.Suspects)
		if !sameDomain {
			conditionsTold = n.tellConditions(answer, conditionsTold)
		}
		if p.LoadsOnly {
			n.hearCrashes(p.Crashes)
			answer.Crashes = crashes.next(n.opts.Quarantine)
		}
		if p.WantsConfig {
			answer.Config = n.inv.State().Config
		}
		if err := writeFrame(ctx, c, &frame{Pong: answer}); err != nil {
			return // the link is over
		}
	}
}

// tellConditions adds to an answer for the source of another domain what this daemon
// found out itself of slow and crowded backend servers, if that has changed since the
// version told. It returns the version told now.
func (n *Node) tellConditions(answer *pong, told uint64) uint64 {
	known, version := n.conditions.all(func(from string) bool { return from == own })
	if version == told {
		return told
	}
	answer.HasConditions, answer.Conditions = true, packConditions(known)
	return version
}

// loadsFor adds up the loads for another daemon: for one of this domain all but
// its own and those of its followers, for the source of another domain those of
// this domain alone.
func (n *Node) loadsFor(sender string, sameDomain bool, now time.Time) Loads {
	keep := func(domain string) bool { return sameDomain || domain == n.opts.Domain }
	ttl, sum := n.ttl(), newLoadSum()
	n.ledger.addTo(sum, sender, keep, ttl, now)
	sum.addOwn(n.book.OwnLoads())
	if sameDomain {
		n.beyond().addTo(sum, "", allDomains, ttl, now)
	}
	return sum.loads()
}

func allDomains(string) bool { return true }

// beyond returns the loads of the daemons that are not below this one: those of
// the other domains, or what the source told.
func (n *Node) beyond() *ledger {
	if n.reading.Load() {
		return n.otherDomains
	}
	return n.above
}

// loadsBelow adds up the loads of this daemon and its followers.
func (n *Node) loadsBelow(now time.Time) Loads {
	sum := newLoadSum()
	n.ledger.addTo(sum, "", n.ownDomain, n.ttl(), now)
	sum.addOwn(n.book.OwnLoads())
	return sum.loads()
}

// takeOthers tells the load book of all daemons but this one.
func (n *Node) takeOthers(now time.Time) {
	ttl, sum := n.ttl(), newLoadSum()
	n.ledger.addTo(sum, "", n.ownDomain, ttl, now)
	n.beyond().addTo(sum, "", allDomains, ttl, now)
	n.book.TakeOthers(sum.loads())
}

// serverNames returns the IDs of the backend servers by their hash.
func (n *Node) serverNames() map[uint32]string { return n.names.of(n.inv.State()) }

func (n *Node) ownDomain(domain string) bool { return domain == n.opts.Domain }

// ttl is how long loads that were told count.
func (n *Node) ttl() time.Duration { return loadTTL(len(n.inv.State().Servers)) }
