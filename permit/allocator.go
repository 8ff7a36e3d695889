package permit

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/quota"
)

// ServeHTTP serves a daemon that contributes its part, until the link ends. It implements
// http.Handler.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get(nameParam)
	if name == "" {
		http.NotFound(w, r)
		return
	}
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		_ = level.Warn(n.opts.Logger).Log("msg", "link not accepted", "err", err)
		return
	}
	defer func() { _ = c.CloseNow() }()
	ctx, cancel := context.WithCancel(n.serving)
	defer cancel()
	l := &contributor{node: n, conn: c, name: name}
	go n.tellWords(ctx, c)
	go l.polls(ctx, cancel)
	l.read(ctx)
}

// contributor is an allocator's link to a daemon.
type contributor struct {
	node   *Node
	conn   *websocket.Conn
	name   string
	number atomic.Uint64 // of the last poll
	sentAt atomic.Int64  // of it, in nanoseconds of this process's clock
}

// polls asks for the part while a limit is known, until the link ends.
func (l *contributor) polls(ctx context.Context, end func()) {
	defer end()
	limits := l.node.opts.Limits
	for ctx.Err() == nil {
		changed := limits.Changed()
		if limits.Size() == 0 {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if l.poll(ctx) != nil {
			return // the link is over
		}
		wait.For(ctx, pollEvery)
	}
	if l.node.serving.Err() != nil {
		l.giveBack(ctx)
	}
}

// giveBack gives the part back when this daemon stops: else it would be nobody's until its
// time is over.
func (l *contributor) giveBack(ctx context.Context) {
	l.node.opts.Pool.Withdraw(l.name)
	err := writeFrame(context.WithoutCancel(ctx), l.conn, &frame{Poll: &poll{Returned: true}})
	if err != nil {
		_ = level.Info(l.node.opts.Logger).Log("msg", "part not given back, it ends by itself", "name", l.name, "err", err)
	}
}

func (l *contributor) poll(ctx context.Context) error {
	l.node.opts.Pool.Polled(l.name)
	l.sentAt.Store(sinceStart(boottime.Now()))
	return writeFrame(ctx, l.conn, &frame{Poll: &poll{Number: l.number.Add(1)}})
}

// processStart is what times that are kept as numbers are counted from.
var processStart = boottime.Now()

func sinceStart(t time.Time) int64 { return int64(t.Sub(processStart)) }

// read takes parts, requests and news. A part counts from the poll that it answers, which
// was sent before the daemon gave it.
func (l *contributor) read(ctx context.Context) {
	pool := l.node.opts.Pool
	for {
		f, err := readFrame(ctx, l.conn)
		if err != nil {
			return // the link is over
		}
		switch {
		case f.Part != nil && f.Part.Number == l.number.Load():
			pool.Contribute(l.name, processStart.Add(time.Duration(l.sentAt.Load())).Add(lentFor), f.Part.Sent)
		case f.Ask != nil:
			if l.decide(ctx, f.Ask) != nil {
				return // the link is over
			}
		case f.Words != nil:
			l.node.hearWords(l.name, f.Words)
		}
	}
}

func (l *contributor) decide(ctx context.Context, a *ask) error {
	request := quota.PermitRequest{Servers: a.Servers, Class: quota.Class{Priority: a.Priority, Workspace: a.Workspace}}
	d := l.node.opts.Pool.Decide(l.name, request, boottime.Now())
	return writeFrame(ctx, l.conn, &frame{Decision: &decision{Number: a.Number, Granted: d.Granted, Server: d.Server, After: d.After, Back: d.Back}})
}
