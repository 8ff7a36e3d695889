package relay

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/quota"
)

// What backend servers take from all daemons together is given out by one daemon, the
// allocator, to which the others contribute their parts (package quota). Each keeps a link
// to the first daemon that it can reach in an order which all work out alike from the list
// of daemons. News of limits goes over these links at once in both directions; nothing
// else does while no limit is known. No daemon relies on the others having the same list:
// two allocators give out only what was contributed to each.

// PermitPath is where a daemon serves the links of those that contribute to it. In the
// query, nameParam names the daemon that does.
const (
	PermitPath = "/permits"
	nameParam  = "name"
)

// Times of permits.
const (
	// pollEvery is the period at which an allocator asks for parts while a limit is known,
	// and lentFor how long a part is contributed, from the poll: two polls may be late.
	pollEvery = 500 * time.Millisecond
	lentFor   = 1500 * time.Millisecond
	// pollSilent is how long an allocator may not ask while a limit is known until it is
	// left.
	pollSilent = 1200 * time.Millisecond
	// decideWithin bounds the wait for a decision, which takes a few milliseconds.
	decideWithin = 250 * time.Millisecond
	// newsSlack is taken off the time at which a limit is said to have ended: it looks
	// later by what the news was under way for.
	newsSlack = 100 * time.Millisecond
)

// packedWord is a quota.Word on a link, with ages for times: the clocks of two daemons
// have nothing in common.
type packedWord struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Named   bool
	Rate    float64
	SentAge time.Duration
	Age     time.Duration
}

// packWords makes words ready for a link. The clock that counts suspensions is read twice
// and may step back by a microsecond: what came just now has no age.
func packWords(words []quota.Word, now time.Time) []packedWord {
	out := make([]packedWord, len(words))
	for i, w := range words {
		age := max(0, now.Sub(w.At))
		out[i] = packedWord{Server: w.Server, Named: w.Named, Rate: w.Rate, SentAge: max(age, now.Sub(w.SentAt)), Age: age}
	}
	return out
}

func (p *packedWord) unpack(now time.Time) quota.Word {
	w := quota.Word{Server: p.Server, Named: p.Named, Rate: p.Rate, SentAt: now.Add(-p.SentAge), At: now.Add(-p.Age)}
	if !w.Named {
		w.SentAt = w.SentAt.Add(-newsSlack)
	}
	return w
}

// possible reports whether a backend server can have said so.
func (p *packedWord) possible() bool {
	return p.Rate >= 0 && p.SentAge >= p.Age && p.Age >= 0 // no comparison holds for what is not a number
}

// permitFrame is one message on a link between a daemon and its allocator; one field is
// set.
type permitFrame struct {
	Poll     *poll        `cbor:"1,keyasint,omitempty"` // by the allocator
	Part     *part        `cbor:"2,keyasint,omitempty"`
	Ask      *ask         `cbor:"3,keyasint,omitempty"`
	Decision *decision    `cbor:"4,keyasint,omitempty"` // by the allocator
	Words    []packedWord `cbor:"5,keyasint,omitempty"` // by both
}

// poll asks for a daemon's part.
type poll struct {
	Number uint64 `cbor:"1,keyasint"`
	// Returned says that the part is the daemon's own again at once.
	Returned bool `cbor:"2,keyasint,omitempty"`
}

// part contributes the sender's part until lentFor after the poll was sent.
type part struct {
	Number uint64         `cbor:"1,keyasint"`           // of the poll
	Sent   map[string]int `cbor:"2,keyasint,omitempty"` // within the window, by backend server with a limit
}

// ask asks for permits.
type ask struct {
	Number    uint64   `cbor:"1,keyasint"`
	Servers   []string `cbor:"2,keyasint"`
	Priority  int      `cbor:"3,keyasint"`
	Workspace string   `cbor:"4,keyasint,omitempty"`
}

// decision answers an ask of the same number.
type decision struct {
	Number  uint64        `cbor:"1,keyasint"`
	Granted bool          `cbor:"2,keyasint,omitempty"`
	Server  string        `cbor:"3,keyasint,omitempty"`
	After   time.Duration `cbor:"4,keyasint,omitempty"`
	Back    time.Duration `cbor:"5,keyasint,omitempty"`
}

func writePermit(ctx context.Context, c *websocket.Conn, f *permitFrame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	return writeData(ctx, c, data)
}

func readPermit(ctx context.Context, c *websocket.Conn) (*permitFrame, error) {
	_, data, err := c.Read(ctx)
	if err != nil {
		return nil, err
	}
	var f permitFrame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	return &f, nil
}

// allocatorsMost is how many daemons are tried: where that many cannot be reached, a daemon
// is better off alone.
const allocatorsMost = 8

// allocators returns the first daemons of the order in which all try them.
func (n *Node) allocators() []Member {
	all := slices.Clone(n.members.All())
	slices.SortFunc(all, func(x, y Member) int {
		return cmp.Or(cmp.Compare(allocatorWeight(x), allocatorWeight(y)), byName(x, y))
	})
	return all[:min(len(all), allocatorsMost)]
}

func allocatorWeight(m Member) uint64 { return xxhash.Sum64String("allocator " + m.Name) }

// hearWords takes news of limits.
func (n *Node) hearWords(from string, packed []packedWord) {
	now := boottime.Now()
	for i := range packed {
		if packed[i].possible() {
			n.opts.HearLimit(packed[i].unpack(now), from)
		}
	}
}

// tellWords tells the other end of a link of limits as they change, until the link ends.
func (n *Node) tellWords(ctx context.Context, c *websocket.Conn) {
	told := uint64(0)
	for {
		changed := n.opts.Limits.Changed()
		words, version := n.opts.Limits.Since(told)
		told = version
		if len(words) > 0 && writePermit(ctx, c, &permitFrame{Words: packWords(words, boottime.Now())}) != nil {
			return // the link is over
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// servePermits serves a daemon that contributes its part, until the link ends.
func (n *Node) servePermits(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get(nameParam)
	if n.opts.Pool == nil || name == "" {
		http.NotFound(w, r)
		return
	}
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		_ = level.Warn(n.logger).Log("msg", "link not accepted", "err", err)
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
	err := writePermit(context.WithoutCancel(ctx), l.conn, &permitFrame{Poll: &poll{Returned: true}})
	if err != nil {
		_ = level.Info(l.node.logger).Log("msg", "part not given back, it ends by itself", "name", l.name, "err", err)
	}
}

func (l *contributor) poll(ctx context.Context) error {
	l.node.opts.Pool.Polled(l.name)
	l.sentAt.Store(sinceStart(boottime.Now()))
	return writePermit(ctx, l.conn, &permitFrame{Poll: &poll{Number: l.number.Add(1)}})
}

// processStart is what times that are kept as numbers are counted from.
var processStart = boottime.Now()

func sinceStart(t time.Time) int64 { return int64(t.Sub(processStart)) }

// read takes parts, requests and news. A part counts from the poll that it answers, which
// was sent before the daemon gave it.
func (l *contributor) read(ctx context.Context) {
	pool := l.node.opts.Pool
	for {
		f, err := readPermit(ctx, l.conn)
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
	return writePermit(ctx, l.conn, &permitFrame{Decision: &decision{Number: a.Number, Granted: d.Granted, Server: d.Server, After: d.After, Back: d.Back}})
}
