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

// ServeHTTP implements http.Handler. It serves the link of a daemon that contributes its
// part, until the link ends.
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
	n.contributors.Add(1)
	defer n.contributors.Add(-1)
	// Not derived from n.serving: the end of a read's context closes the link, over which the part
	// is returned.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := &contributor{node: n, conn: c, name: name}
	go n.sendReports(ctx, c)
	go l.pollLoop(ctx, cancel)
	l.read(ctx)
}

// contributor is an allocator's link to a daemon.
type contributor struct {
	node   *Node
	conn   *websocket.Conn
	name   string
	number atomic.Uint64 // of the last poll
	sentAt atomic.Int64  // of the last poll, see sinceStart
}

// pollLoop polls for the part while a limit is known, until the link ends or this daemon stops being
// an allocator. Then it returns the part, and ends the link.
func (l *contributor) pollLoop(ctx context.Context, end func()) {
	defer end()
	serving, stop := context.WithCancel(l.node.serving)
	defer context.AfterFunc(ctx, stop)()
	defer stop()
	limits := l.node.opts.Limits
	for serving.Err() == nil {
		changed := limits.Changed()
		if limits.Size() == 0 {
			select {
			case <-serving.Done():
			case <-changed:
			}
			continue
		}
		if l.poll(ctx) != nil {
			return // the link has ended
		}
		wait.For(serving, pollInterval)
	}
	if ctx.Err() == nil {
		l.returnPart(ctx)
	}
}

// returnPart returns the part when this daemon stops. Without that no daemon could use the
// part until the contribution expires.
func (l *contributor) returnPart(ctx context.Context) {
	l.node.opts.Pool.Withdraw(l.name)
	err := writeFrame(ctx, l.conn, &frame{Poll: &poll{Returned: true}})
	if err != nil {
		_ = level.Info(l.node.opts.Logger).Log("msg", "part not returned, it expires", "name", l.name, "err", err)
	}
}

func (l *contributor) poll(ctx context.Context) error {
	l.node.opts.Pool.Polled(l.name)
	l.sentAt.Store(sinceStart(boottime.Now()))
	return writeFrame(ctx, l.conn, &frame{Poll: &poll{Number: l.number.Add(1)}})
}

// processStart is the origin of times that are stored as numbers.
var processStart = boottime.Now()

// sinceStart returns the nanoseconds from processStart to t.
func sinceStart(t time.Time) int64 { return int64(t.Sub(processStart)) }

// read handles parts, permit requests and limit reports. The time of a contribution starts
// when the poll was sent, which is before the daemon contributed its part.
func (l *contributor) read(ctx context.Context) {
	pool := l.node.opts.Pool
	for {
		f, err := readFrame(ctx, l.conn)
		if err != nil {
			return // the link has ended
		}
		switch {
		case f.Part != nil && f.Part.Number == l.number.Load():
			until := processStart.Add(time.Duration(l.sentAt.Load())).Add(partTTL)
			pool.AddContribution(l.name, quota.Part{Until: until, Sent: f.Part.Sent, Joining: f.Part.Joining})
		case f.Request != nil:
			if l.decide(ctx, f.Request) != nil {
				return // the link has ended
			}
		case f.Reports != nil:
			l.node.receiveReports(l.name, f.Reports)
		}
	}
}

func (l *contributor) decide(ctx context.Context, in *permitRequest) error {
	request := quota.PermitRequest{Servers: in.Servers, Class: quota.Class{Priority: in.Priority, Workspace: in.Workspace}, IdleFor: in.IdleFor}
	d := l.node.opts.Pool.Decide(l.name, request, boottime.Now())
	return writeFrame(ctx, l.conn, &frame{Decision: &decision{Number: in.Number, Granted: d.Granted, Server: d.Server, After: d.After, RetryAfter: d.RetryAfter}})
}
