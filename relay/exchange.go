package relay

import (
	"context"
	"time"

	"github.com/coder/websocket"

	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/inventory"
)

// exchangeFactor is how much less often than within a domain the sources of the
// domains tell each other their loads: bytes between domains are paid for.
const exchangeFactor = 2

// exchangeLoads asks the sources of the other domains for their loads while this
// daemon is a source, and takes what its followers need.
func (n *Node) exchangeLoads(ctx context.Context) {
	links := map[string]*loadLink{}
	defer func() {
		for _, l := range links {
			_ = l.conn.CloseNow()
		}
	}()
	for {
		wait.For(ctx, exchangeFactor*loadsPeriod(len(n.inv.State().Servers)))
		if ctx.Err() != nil {
			return
		}
		for domain, m := range n.otherSources() {
			n.askDomain(ctx, links, domain, m)
		}
		n.takeOthers(time.Now())
	}
}

// loadLink is a link to the source of another domain, for loads alone.
type loadLink struct {
	conn  *websocket.Conn
	heard listener
}

// askDomain makes one exchange with the source of another domain.
func (n *Node) askDomain(ctx context.Context, links map[string]*loadLink, domain string, m Member) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l := links[domain]
	if l == nil {
		c, err := n.dial(ctx, m, true)
		if err != nil {
			return // tried again at the next exchange; its last loads run out
		}
		l = &loadLink{conn: c, heard: listener{refused: n.book.RefuseLoads}}
		links[domain] = l
	}
	c := l.conn
	p := &ping{Number: 1, Sender: n.opts.Name, Domain: n.opts.Domain, HasLoads: true, LoadsOnly: true}
	if err := writeFrame(ctx, c, &frame{Ping: p}); err != nil {
		_ = c.CloseNow()
		delete(links, domain)
		return
	}
	for {
		f, err := readFrame(ctx, c)
		if err != nil {
			_ = c.CloseNow()
			delete(links, domain)
			return
		}
		if f.Pong != nil {
			n.otherDomains.put(domain, told{at: time.Now(), domain: domain, loads: f.Pong.told(&l.heard, n.serverNames())})
			return
		}
	}
}

func toUpdate(u *update) inventory.Update {
	return inventory.Update{Config: u.Config, Servers: u.Servers, Gone: u.Gone, Full: u.Full}
}
