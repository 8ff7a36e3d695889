package relay

import (
	"context"
	"time"

	"github.com/coder/websocket"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/inventory"
)

// exchangeFactor is how much less often than within a domain the sources of the
// domains tell each other their loads: bytes between domains are paid for.
const exchangeFactor = 2

// exchangeEvery is how often a source tells those of the other domains its suspects and
// asks what they found out of slow backend servers; loads are asked for less often. A
// message takes some fifty bytes while nothing is slow.
const exchangeEvery = 500 * time.Millisecond

// exchangeLoads asks the sources of the other domains for their loads and for slow
// backend servers while this daemon is a source, and takes what its followers need.
func (n *Node) exchangeLoads(ctx context.Context) {
	links := map[string]*loadLink{}
	defer func() {
		for domain, l := range links {
			_ = l.conn.CloseNow()
			n.forgetDomain(domain)
		}
	}()
	loadsAt := boottime.Now()
	for wait.For(ctx, exchangeEvery) {
		withLoads := boottime.Since(loadsAt) >= exchangeFactor*loadsPeriod(len(n.inv.State().Servers))
		for domain, m := range n.otherSources() {
			n.askDomain(ctx, links, domain, m, withLoads)
		}
		if withLoads {
			loadsAt = boottime.Now()
			n.takeOthers(loadsAt)
		}
	}
}

// loadLink is a link to the source of another domain, which passes on no state.
type loadLink struct {
	conn    *websocket.Conn
	heard   listener
	crashes crashTeller
}

// askDomain makes one exchange with the source of another domain. What it found out of
// slow backend servers does not count any more when it cannot be asked.
func (n *Node) askDomain(ctx context.Context, links map[string]*loadLink, domain string, m Member, withLoads bool) {
	ctx, cancel := n.opts.Stalls.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l := links[domain]
	if l == nil {
		c, err := n.dial(ctx, m, true)
		if err != nil {
			return // tried again at the next exchange; its last loads run out
		}
		l = &loadLink{conn: c, heard: listener{refused: n.book.RefuseLoads}}
		links[domain] = l
		n.conditions.link(domain, true)
	}
	c := l.conn
	p := &ping{Number: 1, Sender: n.opts.Name, Domain: n.opts.Domain, HasLoads: withLoads, LoadsOnly: true, Suspects: n.conditions.collect(domain)}
	p.Crashes = l.crashes.next(n.opts.Quarantine)
	answer, err := exchange(ctx, c, p)
	if err != nil {
		_ = c.CloseNow()
		delete(links, domain)
		n.forgetDomain(domain)
		return
	}
	if withLoads {
		n.otherDomains.put(domain, told{at: boottime.Now(), domain: domain, loads: answer.told(&l.heard, n.serverNames())})
	}
	n.hearCrashes(answer.Crashes)
	if answer.HasConditions {
		n.hearConditions(domain, answer.Conditions)
	}
}

// forgetDomain says that the source of another domain cannot be asked any more.
func (n *Node) forgetDomain(domain string) {
	n.conditions.link(domain, false)
	n.hearConditions(domain, nil)
}

// exchange sends a ping and returns the answer.
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

func toUpdate(u *update) inventory.Update {
	return inventory.Update{Config: u.Config, Servers: u.Servers, Gone: u.Gone, Full: u.Full, Restored: u.Restored}
}
