package standins

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/platform/standin"
)

// path forwards connections to the store. Single connections can go silent for good.
type path struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns map[*pathConn]struct{}
}

// pathConn is a connection through a path.
type pathConn struct {
	mu     sync.Mutex
	last   string // the last request line of the daemon
	silent bool
}

func (p *play) newPath(to string) *path {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.check(err)
	t := &path{listener: l, to: to, conns: map[*pathConn]struct{}{}}
	go t.accept()
	return t
}

func (t *path) address() string { return t.listener.Addr().String() }

func (t *path) accept() {
	for {
		daemon, err := t.listener.Accept()
		if err != nil {
			return
		}
		store, err := net.Dial("tcp", t.to)
		if err != nil {
			_ = daemon.Close()
			continue
		}
		c := &pathConn{}
		t.mu.Lock()
		t.conns[c] = struct{}{}
		t.mu.Unlock()
		ended := func() {
			_ = daemon.Close()
			_ = store.Close()
			t.mu.Lock()
			delete(t.conns, c)
			t.mu.Unlock()
		}
		go func() { defer ended(); c.copy(store, daemon, true) }()
		go func() { defer ended(); c.copy(daemon, store, false) }()
	}
}

// copy forwards bytes, or discards them once the connection is silent.
func (c *pathConn) copy(to io.Writer, from io.Reader, requests bool) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		if line, _, found := bytes.Cut(buf[:n], []byte("\r\n")); requests && found {
			c.last = string(line)
		}
		silent := c.silent
		c.mu.Unlock()
		if !silent && n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silence makes the connections silent whose last request has this text in its first line. It returns
// their number and that of all connections.
func (t *path) silence(text string) (silent, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.mu.Lock()
		if strings.Contains(c.last, text) {
			c.silent = true
			silent++
		}
		c.mu.Unlock()
	}
	return silent, len(t.conns)
}

// Times after a connection to the store has gone silent.
const (
	silentRounds = 3
	drainingAt   = 3300 * time.Millisecond // over contactMs: a runner is set to draining
	sendAt       = 2300 * time.Millisecond // after that, over drainMs: requests are sent
	endsAt       = 2900 * time.Millisecond // after that: the runner ends
)

// playSilent lets one of the daemon's connections to the store go silent. The rule is that no request
// reaches a runner later than drainMs after the store has acknowledged that it is draining.
func playSilent(p *play) {
	store := standin.NewStore()
	defer store.Close()
	t := p.newPath(store.Address())
	staying := p.newRunner("runner-0", "")
	register := func(r *runner, state string, born int64) {
		store.Set("servers", r.id, r.entry("zone-a", state, born))
		p.note("runner %s: its entry is written, %s", r.id, state)
	}
	register(staying, "ready", time.Now().UnixMilli())
	store.Set("config", "main", config(13, []string{keptKey}, nil))
	d := p.newDaemon(0, "front-a-1", "zone-a", t.address())
	defer d.keep()
	p.awaitReady(d)
	time.Sleep(4 * time.Second)
	for round := 1; round <= silentRounds; round++ {
		leaving := p.newRunner(fmt.Sprintf("runner-%d", round), "")
		born := time.Now().UnixMilli()
		register(leaving, "ready", born)
		time.Sleep(800 * time.Millisecond)
		if p.trouble {
			silent, all := t.silence("/objects/servers?watch=")
			p.note("%d of the daemon's %d connections to the store are silent from now on", silent, all)
			if silent != 1 || 2*silent > all {
				panic(notRun("another number of connections is silent"))
			}
		}
		time.Sleep(drainingAt)
		leaving.leave()
		register(leaving, "draining", born)
		acknowledged := time.Now()
		time.Sleep(sendAt)
		var wg sync.WaitGroup
		for n := range 8 {
			id, at := fmt.Sprintf("late-%d-%d", round, n), time.Since(acknowledged)
			wg.Go(func() {
				a := call(d, "POST", "/unsafe/work", keptKey, id)
				p.note("request %s, sent %.3f s after the acknowledgement: %d, error %v", id, at.Seconds(), a.Status, a.Err)
			})
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Until(acknowledged.Add(endsAt)))
		leaving.kill()
		store.Remove("servers", leaving.id)
		wg.Wait()
		leaving.mu.Lock()
		for _, l := range leaving.lines {
			if strings.HasPrefix(l, "runs late-") {
				p.breaks("the draining runner %s %s, sent over drainMs after the acknowledgement", leaving.id, l)
			}
		}
		leaving.mu.Unlock()
		time.Sleep(7 * time.Second)
	}
}
