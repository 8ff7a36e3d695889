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

// maxLinkQueue is the number of frames that may wait on a link. A link whose
// queue is full is closed; the next link to the peer sends it the whole state again.
const maxLinkQueue = 512

// link is a WebSocket connection to another daemon.
type link struct {
	node        *Node
	peer        Member
	conn        *websocket.Conn
	out         chan []byte
	lastContact atomic.Int64 // time of the last frame received, Unix nanoseconds
	cancel      context.CancelFunc
	once        sync.Once
}

func (l *link) lastContactAt() time.Time { return time.Unix(0, l.lastContact.Load()) }

func (l *link) send(data []byte) {
	select {
	case l.out <- data:
	default:
		l.close("too slow")
	}
}

func (l *link) close(reason string) {
	l.once.Do(func() {
		_ = level.Debug(l.node.logger).Log("msg", "link closed", "peer", l.peer.Name, "reason", reason)
		l.cancel()
	})
}

// serveLink exchanges hellos, registers the link and reads it until it ends.
func (n *Node) serveLink(ctx context.Context, c *websocket.Conn) {
	defer func() { _ = c.CloseNow() }()
	c.SetReadLimit(maxFrameBytes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peer, err := n.exchangeHellos(ctx, c)
	if err != nil {
		return
	}
	l := &link{node: n, peer: peer, conn: c, out: make(chan []byte, maxLinkQueue), cancel: cancel}
	l.lastContact.Store(time.Now().UnixNano())
	if !n.register(l) {
		return
	}
	go l.write(ctx)
	n.sendState(l)
	err = l.read(ctx)
	n.unregister(l, err)
}

// exchangeHellos sends this daemon's hello and returns the member in the peer's
// hello.
func (n *Node) exchangeHellos(ctx context.Context, c *websocket.Conn) (Member, error) {
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

// register adds a link. It replaces a link to the same daemon that is silent or of
// an older incarnation, and returns false if there is another link to the daemon.
func (n *Node) register(l *link) bool {
	n.mu.Lock()
	old := n.links[l.peer.Name]
	if old != nil && time.Since(old.lastContactAt()) < n.opts.Suspect && old.peer.Incarnation >= l.peer.Incarnation {
		n.mu.Unlock()
		return false
	}
	n.links[l.peer.Name] = l
	n.lastActivityAt = time.Now()
	update, changed := n.members.Apply(l.peer, time.Now())
	n.mu.Unlock()
	if old != nil {
		old.close("replaced")
	}
	if changed {
		n.broadcastMember(update, l.peer.Name)
	}
	return true
}

// unregister removes a link that ended. If the link ended with an error and no other link
// has replaced it, unregister marks its daemon as suspect. A daemon that is alive refutes
// this within one round trip.
func (n *Node) unregister(l *link, err error) {
	n.mu.Lock()
	current := n.links[l.peer.Name] == l
	if current {
		delete(n.links, l.peer.Name)
		delete(n.mismatches, l.peer.Name)
	}
	n.mu.Unlock()
	l.close("ended")
	if current && err != nil {
		n.markSuspect(l.peer.Name)
	}
}

// sendState sends members, VMs and backend server statuses to a new peer.
// Configuration is sent on request, after heartbeats have been compared.
func (n *Node) sendState(l *link) {
	n.mu.Lock()
	f := &Frame{Members: n.members.All(), Heartbeat: n.heartbeat()}
	if vms := n.vms; vms.ReadAt > 0 {
		f.VMs = &vms
	}
	n.mu.Unlock()
	f.Statuses = n.statuses.Reports()
	n.sendTo(l, f)
	n.sendKnownCrashes(l)
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
		l.lastContact.Store(now.UnixNano())
		l.node.received.Add(int64(len(data)))
		f, err := decodeFrame(data)
		if err != nil {
			_ = level.Warn(l.node.logger).Log("msg", "bad frame", "peer", l.peer.Name, "err", err)
			return err
		}
		l.node.handle(l, f, now)
	}
}

// handle applies a frame.
func (n *Node) handle(l *link, f *Frame, now time.Time) {
	n.mu.Lock()
	n.lastActivityAt = now
	n.mu.Unlock()
	for _, m := range f.Members {
		n.applyMember(l, m, now)
	}
	if len(f.Objects) > 0 {
		n.applyObjects(f.Objects, l.peer.Name)
	}
	for _, st := range f.Statuses {
		n.applyStatus(st, l.peer.Name)
	}
	n.opts.Quarantine.MergePacked(f.Crashes, now)
	if f.VMs != nil {
		n.applyVMs(*f.VMs, l.peer.Name)
	}
	if f.ConfigRequest != nil {
		n.sendMissing(l, f.ConfigRequest)
	}
	if len(f.Snapshot) > 0 {
		n.applySnapshot(l, f.Snapshot)
	}
	if f.Heartbeat != nil {
		n.compareMarks(l, f.Heartbeat, now)
	}
}

func (n *Node) applyMember(l *link, m Member, now time.Time) {
	n.mu.Lock()
	update, changed := n.members.Apply(m, now)
	refuted := changed && update.Name == n.opts.Self.Name
	n.mu.Unlock()
	if !changed {
		return
	}
	from := l.peer.Name
	if refuted {
		from = "" // a refutation is also sent to the peer that sent the suspicion
	}
	n.broadcastMember(update, from)
}

// applyObjects applies configuration from a peer and forwards the objects that
// were newer.
func (n *Node) applyObjects(objects []store.Object, from string) {
	newVersions := map[store.ID]store.Position{}
	for _, v := range n.catalog.Apply(objects...) {
		newVersions[store.ID{Kind: v.Kind, Name: v.Name}] = v.Seen
	}
	var newObjects []store.Object
	for _, o := range objects {
		if newVersions[o.ID()] == o.Version {
			newObjects = append(newObjects, o)
		}
	}
	if len(newObjects) > 0 {
		n.broadcast(&Frame{Objects: newObjects}, from)
	}
}

// PublishObjects broadcasts configuration that this daemon read from the store.
func (n *Node) PublishObjects(objects []store.Object) {
	if len(objects) > 0 {
		n.broadcast(&Frame{Objects: objects}, "")
	}
}

// PublishStatus broadcasts a status that this daemon read itself, if it is newer
// than those seen before. Loads are carried by replies instead.
func (n *Node) PublishStatus(st backend.Status) {
	if n.recordIfNewer(st) {
		n.broadcast(&Frame{Statuses: []backend.Status{st}}, "")
	}
}

func (n *Node) applyStatus(st backend.Status, from string) {
	if !n.recordIfNewer(st) {
		return
	}
	n.statuses.ApplyStatus(st)
	n.broadcast(&Frame{Statuses: []backend.Status{st}}, from)
}

// recordIfNewer reports whether a status is newer than all seen before, and
// records its version if so.
func (n *Node) recordIfNewer(st backend.Status) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	old, known := n.seen[st.BackendServer]
	if known && (st.Boot < old.boot || st.Boot == old.boot && st.Seq <= old.seq) {
		return false
	}
	n.seen[st.BackendServer] = statusVersion{st.Boot, st.Seq}
	return true
}

// heartbeat returns the next heartbeat. Completeness is read before the mark, so that it holds
// for the mark.
func (n *Node) heartbeat() *Heartbeat {
	complete := n.catalog.Complete()
	return &Heartbeat{Mark: n.catalog.Mark(), Complete: complete}
}

// compareMarks requests configuration when a peer's mark has differed for
// mismatchThreshold heartbeats, which leaves time for updates in transit. An
// empty catalog requests it at once.
func (n *Node) compareMarks(l *link, b *Heartbeat, now time.Time) {
	own := n.catalog.Mark()
	n.mu.Lock()
	defer n.mu.Unlock()
	if b.Mark == own {
		n.mismatches[l.peer.Name] = 0
		if b.Complete {
			n.catalog.SetComplete(own)
		}
		return
	}
	n.mismatches[l.peer.Name]++
	empty := own.Revision == 0
	due := n.mismatches[l.peer.Name] >= mismatchThreshold && now.Sub(n.configRequestedAt) >= configRequestInterval
	if b.Mark.Revision < own.Revision || !due && !empty {
		return
	}
	n.configRequestedAt = now
	data, err := encode(&Frame{ConfigRequest: &ConfigRequest{Mark: own}})
	if err == nil {
		l.send(data)
	}
}

// sendMissing sends the objects that a peer lacks: the changes above its revision,
// or a snapshot if the peer has no configuration, or if there are no changes or more
// than maxDelta.
func (n *Node) sendMissing(l *link, w *ConfigRequest) {
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

// maxDelta is the maximum number of objects sent without a snapshot.
const maxDelta = 500

func (n *Node) applySnapshot(l *link, data []byte) {
	objects, err := unpackObjects(data)
	if err != nil {
		_ = level.Warn(n.logger).Log("msg", "bad snapshot", "peer", l.peer.Name, "err", err)
		return
	}
	applied := n.catalog.Apply(objects...)
	_ = level.Info(n.logger).Log("msg", "snapshot applied", "peer", l.peer.Name, "objects", len(objects), "newer", len(applied))
}
