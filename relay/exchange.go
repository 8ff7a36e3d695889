package relay

import (
	"context"
	"time"

	"github.com/coder/websocket"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/quarantine"
)

// exchangeFactor is the ratio of the interval at which domains exchange loads to the
// interval within a domain. Traffic between domains is billed.
const exchangeFactor = 2

// exchangeInterval is the interval at which the sources of domains exchange suspects,
// conditions, crashes and changes of demands. Loads are exchanged less often.
const exchangeInterval = 500 * time.Millisecond

// exchangeLoads exchanges loads, demands, suspects, conditions and crashes with the sources of the
// other domains while this daemon follows the store. The source of a domain is usually its
// first daemon; while that does not follow the store, the other heads are tried in turn.
func (n *Node) exchangeLoads(ctx context.Context) {
	links, failures := map[string]*domainLink{}, map[string]int{}
	defer func() {
		for domain, l := range links {
			_ = l.conn.CloseNow()
			n.dropDomain(domain)
		}
	}()
	var loadsDueAt time.Time
	for wait.For(ctx, exchangeInterval) {
		now := boottime.Now()
		withLoads := !now.Before(loadsDueAt)
		for domain, heads := range n.otherHeads() {
			if !n.exchangeWith(ctx, links, domain, heads[failures[domain]%len(heads)], withLoads) {
				failures[domain]++
			}
		}
		if withLoads {
			loadsDueAt = now.Add(exchangeFactor * n.applyDomainLoads(links))
		}
	}
}

// applyDomainLoads applies the loads that an exchange with the sources of the other domains
// returned, and returns the interval that follows it.
func (n *Node) applyDomainLoads(links map[string]*domainLink) time.Duration {
	changes := 0
	for _, l := range links {
		changes = max(changes, l.loadChanges)
	}
	for domain, l := range links {
		l.loads.ttl = loadTTL(changes)
		n.domainLoads.put(domain, l.loads)
	}
	n.updateOthers(boottime.Now())
	return loadsInterval(changes)
}

// domainLink is a link to the source of another domain. It carries no state.
type domainLink struct {
	conn     *websocket.Conn
	received loadReceiver
	crashes  quarantine.Reporter

	loads       loadReport // of the last exchange with loads
	loadChanges int        // that it sent
}

// exchangeWith makes one exchange with the source of another domain, m unless there is a
// link. If that fails, the conditions received from it are dropped. It reports whether the
// exchange was made.
func (n *Node) exchangeWith(ctx context.Context, links map[string]*domainLink, domain string, m Member, withLoads bool) bool {
	ctx, cancel := n.opts.Stalls.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l := links[domain]
	if l == nil {
		c, err := n.dial(ctx, m, probeParam)
		if err != nil {
			return false // retried at the next exchange; its last loads expire
		}
		l = &domainLink{conn: c, received: loadReceiver{refused: n.loadExchange.RefuseLoads}}
		links[domain] = l
		n.conditions.setLinked(domain, true)
	}
	c := l.conn
	p := &ping{Number: 1, Sender: n.opts.Name, Domain: n.opts.Domain, HasLoads: withLoads, LoadsOnly: true, Suspects: n.conditions.drainOutbox(domain)}
	p.Crashes = l.crashes.Next(n.opts.Quarantine)
	sent := boottime.Now()
	answer, err := exchange(ctx, c, p)
	if err != nil {
		_ = c.CloseNow()
		delete(links, domain)
		n.dropDomain(domain)
		return false
	}
	n.inv.NoteContact(answer.contact(sent, boottime.Now()))
	if answer.Daemons > 0 {
		l.loads = loadReport{at: boottime.Now(), domain: domain, loads: answer.report(&l.received, n.serverNames())}
		l.loadChanges = len(answer.Loads)
	} else {
		n.applyDomainDemands(domain, l, answer.Demands)
	}
	n.opts.Quarantine.MergePacked(answer.Crashes, time.Now())
	n.noteDomainListed(domain, answer.ListedAt)
	if answer.HasConditions {
		n.applyConditions(domain, answer.Conditions)
	}
	return true
}

// applyDomainDemands applies changes of demands received from the source of another domain.
func (n *Node) applyDomainDemands(domain string, l *domainLink, changes packedDemands) {
	if len(changes) == 0 {
		return
	}
	l.loads.loads.Demands = l.received.changedDemands(changes)
	if n.domainLoads.setDemands(domain, l.loads.at, l.loads.loads.Demands) {
		n.updateDemands(boottime.Now())
	}
}

// dropDomain drops the conditions and the outbox of a domain whose source cannot be
// reached.
func (n *Node) dropDomain(domain string) {
	n.conditions.setLinked(domain, false)
	n.applyConditions(domain, nil)
}

// exchange sends a ping and returns its pong.
func exchange(ctx context.Context, c *websocket.Conn, p *ping) (*pong, error) {
	if err := writeFrame(ctx, c, &frame{Ping: p}); err != nil {
		return nil, err
	}
	for {
		f, err := readFrame(ctx, c)
		if err != nil {
			return nil, err
		}
		if f.Pong != nil {
			return f.Pong, nil
		}
	}
}

// toUpdate converts an update from its form on a link.
func toUpdate(u *update) inventory.Update {
	return inventory.Update{Config: u.Config, Servers: u.Servers, Gone: u.Gone, Full: u.Full, Restored: u.Restored, At: u.At}
}
