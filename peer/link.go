package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/store"
)

// linkQueue is how many frames may wait on a link. A link that is slower than
// that is closed: it will be opened again and brought up to date.
const linkQueue = 512

// link is one WebSocket to another daemon.
type link struct {
	node   *Node
	peer   Member
	conn   *websocket.Conn
	out    chan []byte
	heard  atomic.Int64 // Unix nanoseconds
	cancel context.CancelFunc
	once   sync.Once
}

func (l *link) heardAt() time.Time { return time.Unix(0, l.heard.Load()) }

func (l *link) send(data []byte) {
	select {
	case l.out <- data:
	default:
		l.close("too slow")
	}
}

func (l *link) close(why string) {
	l.once.Do(func() {
		_ = level.Debug(l.node.logger).Log("msg", "link closed", "peer", l.peer.Name, "reason", why)
		l.cancel()
	})
}

// serveLink greets, registers the link and reads it until it ends.
func (n *Node) serveLink(ctx context.Context, c *websocket.Conn) {
	defer func() { _ = c.CloseNow() }()
	c.SetReadLimit(maxFrameBytes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peer, err := n.greet(ctx, c)
	if err != nil {
		return
	}
	l := &link{node: n, peer: peer, conn: c, out: make(chan []byte, linkQueue), cancel: cancel}
	l.heard.Store(time.Now().UnixNano())
	if !n.register(l) {
		return
	}
	go l.write(ctx)
	n.welcome(l)
	err = l.read(ctx)
	n.unregister(l, err)
}

// greet exchanges hellos.
func (n *Node) greet(ctx context.Context, c *websocket.Conn) (Member, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n.mu.Lock()
	self := n.members.Self()
	n.mu.Unlock()
	data, err := encode(&Frame{Hello: &Hello{Self: self}})
	if err != nil {
		return Member{}, err
	}
	if err := c.Write(ctx, websocket.MessageBinary, data); err != nil {
		return Member{}, err
	}
	_, data, err = c.Read(ctx)
	if err != nil {
		return Member{}, err
	}
	f, err := decodeFrame(data)
	if err != nil {
		return Member{}, err
	}
	if f.Hello == nil || f.Hello.Self.Name == self.Name {
		return Member{}, errNoHello
	}
	return f.Hello.Self, nil
}

// register adds a link; false means that there is one already.
func (n *Node) register(l *link) bool {
	n.mu.Lock()
	old := n.links[l.peer.Name]
	if old != nil && time.Since(old.heardAt()) < n.opts.Suspect && old.peer.Incarnation >= l.peer.Incarnation {
		n.mu.Unlock()
		return false
	}
	n.links[l.peer.Name] = l
	n.lastHeard = time.Now()
	news, changed := n.members.Apply(l.peer, time.Now())
	n.mu.Unlock()
	if old != nil {
		old.close("replaced")
	}
	if changed {
		n.spread(news, l.peer.Name)
	}
	return true
}

// unregister drops a link that ended and suspects the daemon behind it, unless
// it said that it leaves. A daemon that lives denies it within one round trip.
func (n *Node) unregister(l *link, err error) {
	n.mu.Lock()
	mine := n.links[l.peer.Name] == l
	if mine {
		delete(n.links, l.peer.Name)
		delete(n.differs, l.peer.Name)
	}
	n.mu.Unlock()
	l.close("ended")
	if mine && err != nil {
		n.accuse(l.peer.Name)
	}
}

// welcome brings the other side up to date on members and backend servers; its
// heartbeats will tell whether it needs configuration.
func (n *Node) welcome(l *link) {
	n.mu.Lock()
	f := &Frame{Members: n.members.All(), Beat: &Beat{Mark: n.catalog.Mark()}}
	if vms := n.vms; vms.ReadAt > 0 {
		f.VMs = &vms
	}
	n.mu.Unlock()
	f.Statuses = n.statuses.Known()
	n.sendTo(l, f)
}

func (n *Node) sendTo(l *link, f *Frame) {
	data, err := encode(f)
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "frame not sent", "err", err)
		return
	}
	l.send(data)
}

func (l *link) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-l.out:
			wctx, cancel := context.WithTimeout(ctx, writeTimeout)
			err := l.conn.Write(wctx, websocket.MessageBinary, data)
			cancel()
			if err != nil {
				l.close("write failed")
				return
			}
			l.node.sent.Add(int64(len(data)))
		}
	}
}

func (l *link) read(ctx context.Context) error {
	for {
		_, data, err := l.conn.Read(ctx)
		if err != nil {
			return err
		}
		now := time.Now()
		l.heard.Store(now.UnixNano())
		l.node.received.Add(int64(len(data)))
		f, err := decodeFrame(data)
		if err != nil {
			_ = level.Warn(l.node.logger).Log("msg", "bad frame", "peer", l.peer.Name, "err", err)
			return err
		}
		l.node.handle(l, f, now)
	}
}

// handle takes a frame.
func (n *Node) handle(l *link, f *Frame, now time.Time) {
	n.mu.Lock()
	n.lastHeard = now
	n.mu.Unlock()
	for _, m := range f.Members {
		n.takeMember(l, m, now)
	}
	if len(f.Objects) > 0 {
		n.takeObjects(f.Objects, l.peer.Name)
	}
	for _, st := range f.Statuses {
		n.takeStatus(st, l.peer.Name)
	}
	if f.VMs != nil {
		n.takeVMs(*f.VMs, l.peer.Name)
	}
	if f.Want != nil {
		n.answer(l, f.Want)
	}
	if len(f.Snapshot) > 0 {
		n.takeSnapshot(l, f.Snapshot)
	}
	if f.Beat != nil {
		n.compare(l, f.Beat, now)
	}
}

func (n *Node) takeMember(l *link, m Member, now time.Time) {
	n.mu.Lock()
	pass, changed := n.members.Apply(m, now)
	mine := changed && pass.Name == n.opts.Self.Name
	n.mu.Unlock()
	if !changed {
		return
	}
	from := l.peer.Name
	if mine {
		from = "" // a denial goes back to the accuser too
	}
	n.spread(pass, from)
}

// takeObjects applies configuration from a peer and passes on what was new.
func (n *Node) takeObjects(objects []store.Object, from string) {
	newer := map[store.ID]store.Position{}
	for _, v := range n.catalog.Apply(objects...) {
		newer[store.ID{Kind: v.Kind, Name: v.Name}] = v.Seen
	}
	var fresh []store.Object
	for _, o := range objects {
		if newer[o.ID()] == o.Version {
			fresh = append(fresh, o)
		}
	}
	if len(fresh) > 0 {
		n.broadcast(&Frame{Objects: fresh}, from)
	}
}

// PublishObjects passes on configuration that this daemon read from the store.
func (n *Node) PublishObjects(objects []store.Object) {
	if len(objects) > 0 {
		n.broadcast(&Frame{Objects: objects}, "")
	}
}

// PublishStatus passes on a report that this daemon read itself, if its
// structure is new; loads travel on replies.
func (n *Node) PublishStatus(st backend.Status) {
	if n.isNew(st) {
		n.broadcast(&Frame{Statuses: []backend.Status{st}}, "")
	}
}

func (n *Node) takeStatus(st backend.Status, from string) {
	if !n.isNew(st) {
		return
	}
	n.statuses.Take(st)
	n.broadcast(&Frame{Statuses: []backend.Status{st}}, from)
}

// isNew notes a report and reports whether it is newer than any before.
func (n *Node) isNew(st backend.Status) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	old, known := n.seen[st.BackendServer]
	if known && (st.Boot < old.boot || st.Boot == old.boot && st.Seq <= old.seq) {
		return false
	}
	n.seen[st.BackendServer] = stamp{st.Boot, st.Seq}
	return true
}

// compare asks for configuration when a neighbour's mark has differed for a
// while: news on its way would have arrived by then.
func (n *Node) compare(l *link, b *Beat, now time.Time) {
	mine := n.catalog.Mark()
	n.mu.Lock()
	defer n.mu.Unlock()
	if b.Mark == mine {
		n.differs[l.peer.Name] = 0
		return
	}
	n.differs[l.peer.Name]++
	empty := mine.Revision == 0
	due := n.differs[l.peer.Name] >= differBeats && now.Sub(n.wantedAt) >= wantPause
	if b.Mark.Revision < mine.Revision || !due && !empty {
		return
	}
	n.wantedAt = now
	data, err := encode(&Frame{Want: &Want{Mark: mine}})
	if err == nil {
		l.send(data)
	}
}

// answer sends what another daemon lacks: the changes above its revision, or
// everything when that would not do.
func (n *Node) answer(l *link, w *Want) {
	objects := n.catalog.Since(w.Mark.Revision)
	if w.Mark.Revision > 0 && len(objects) > 0 && len(objects) <= maxDelta {
		n.sendTo(l, &Frame{Objects: objects})
		return
	}
	data, err := packObjects(n.catalog.Since(0))
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "snapshot not sent", "err", err)
		return
	}
	n.sendTo(l, &Frame{Snapshot: data})
}

// maxDelta is the number of objects from which a snapshot is sent instead.
const maxDelta = 500

func (n *Node) takeSnapshot(l *link, data []byte) {
	objects, err := unpackObjects(data)
	if err != nil {
		_ = level.Warn(n.logger).Log("msg", "bad snapshot", "peer", l.peer.Name, "err", err)
		return
	}
	verdicts := n.catalog.Apply(objects...)
	_ = level.Info(n.logger).Log("msg", "snapshot applied", "peer", l.peer.Name, "objects", len(objects), "newer", len(verdicts))
}
