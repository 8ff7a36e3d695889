package dispatch

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/routing"
	"github.com/snowspoke/snowspoke/topology"
)

// Gate admits requests: it finds a route whose backend servers are below their
// limits, or makes the request wait its turn, or refuses it early.
type Gate struct {
	table      *fleet.Table
	clock      Clock
	maxStreams int
	queueLimit int
	shares     Shares

	mu       sync.Mutex
	queues   map[routing.Key]*line
	limits   map[string]*admission.Limit
	buckets  map[string]*admission.Bucket
	budgets  map[budgetKey]*admission.Budget
	demand   map[string]*admission.Rate // tokens asked for, by model
	limitCfg admission.LimitConfig
	retry    float64
	inFlight int
	waiting  int
	draining bool
	rng      *rand.Rand
}

// Shares tells which share of a workspace's limit this daemon has.
type Shares interface {
	Share(workspace string) float64
}

// WholeShare is the share of a daemon that is alone.
type WholeShare struct{}

// Share implements Shares.
func (WholeShare) Share(string) float64 { return 1 }

// budgetKey names a retry budget; subject is a model or a plain service.
type budgetKey struct{ workspace, subject string }

// Bounds of a retry budget: in each window, retrySlack retries beside the share
// of the requests that were served in it.
const (
	retrySlack  = 10
	retryWindow = 10 * time.Second
)

// GateOptions are the settings of a gate.
type GateOptions struct {
	MaxStreams int // requests in flight at once
	QueueLimit int // requests that wait for one model, unless the model says otherwise
	RetryRatio float64
	Limit      admission.LimitConfig
	Shares     Shares
	Seed       uint64 // of the choices; 0 for a random one
}

// gateStream tells the gate's random numbers from others of the same seed.
const gateStream = 0x67617465

// NewGate returns an open gate.
func NewGate(o GateOptions, table *fleet.Table, clock Clock) *Gate {
	if o.Shares == nil {
		o.Shares = WholeShare{}
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return &Gate{
		table: table, clock: clock, maxStreams: o.MaxStreams, queueLimit: o.QueueLimit, shares: o.Shares,
		queues: map[routing.Key]*line{}, limits: map[string]*admission.Limit{},
		buckets: map[string]*admission.Bucket{}, budgets: map[budgetKey]*admission.Budget{}, demand: map[string]*admission.Rate{},
		limitCfg: o.Limit, retry: o.RetryRatio,
		rng: rand.New(rand.NewPCG(o.Seed, gateStream)),
	}
}

// ticket is the right to run along a route; it must be released once.
type ticket struct {
	choice  routing.Choice
	servers []*fleet.Server
	links   []*fleet.Link
	began   time.Time
	key     routing.Key
	waited  time.Duration
}

// chooseFunc picks a route; it is called with the gate locked.
type chooseFunc func(r *rand.Rand) (routing.Choice, error)

// Admit waits until a route is free and returns its ticket.
func (g *Gate) Admit(ctx context.Context, r *Request, m *topology.Model, key routing.Key, choose chooseFunc) (*ticket, error) {
	now := g.clock()
	g.mu.Lock()
	if err := g.check(r, now); err != nil {
		g.mu.Unlock()
		return nil, err
	}
	l := g.line(key)
	g.noteDemand(l, r, m.Name, now)
	if l.queue.Len() == 0 {
		t, err := g.grant(key, choose)
		if err == nil {
			g.mu.Unlock()
			return t, nil
		}
		if err != routing.ErrFull && !l.buffers(now) {
			g.mu.Unlock()
			return nil, routeError(m.Name, err)
		}
	}
	if err := g.refuseEarly(l, r, m, now); err != nil {
		g.mu.Unlock()
		return nil, err
	}
	p := g.enqueue(l, r, choose)
	g.pump()
	g.mu.Unlock()
	return g.wait(ctx, l, p, r, now)
}

func routeError(model string, err error) *apierror.Error {
	return apierror.New(apierror.NoRoute, "model %s: %v", model, err)
}

// check refuses what needs no look at the queue.
func (g *Gate) check(r *Request, now time.Time) error {
	if g.draining {
		return apierror.New(apierror.Draining, "the daemon is stopping")
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return apierror.New(apierror.DeadlinePassed, "the deadline passed %s ago", now.Sub(r.Deadline))
	}
	return g.takeShare(r.Workspace, now)
}

// CheckService refuses a service call when the daemon is stopping or the
// workspace has used its limit.
func (g *Gate) CheckService(w *topology.Workspace) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.check(&Request{Workspace: w}, g.clock())
}

func (g *Gate) line(key routing.Key) *line {
	l := g.queues[key]
	if l == nil {
		l = &line{queue: admission.NewQueue()}
		g.queues[key] = l
	}
	return l
}

// refuseEarly refuses a request that would wait beyond its deadline or whose
// queue is full. It tells the caller when to come back.
func (g *Gate) refuseEarly(l *line, r *Request, m *topology.Model, now time.Time) error {
	limit := g.queueLimit
	if m.QueueLimit > 0 {
		limit = m.QueueLimit
	}
	drain := l.drain()
	if l.queue.Len() >= limit {
		return apierror.New(apierror.Overloaded, "model %s: %d requests wait", m.Name, l.queue.Len()).WithRetryAfter(drain)
	}
	if r.Deadline.IsZero() || l.rate <= 0 {
		return nil
	}
	ahead := l.queue.Ahead(r.Workspace.Name, r.Workspace.FairWeight(), r.Priority)
	margin := waitMargin
	if l.queue.Modest(r.Workspace.Name, r.Workspace.FairWeight(), r.Priority) {
		margin = modestMargin
	}
	wait := seconds(margin * float64(ahead+1) / l.rate)
	left := r.Deadline.Sub(now)
	need := wait + l.service(r)
	if need <= left {
		return nil
	}
	return apierror.New(apierror.DeadlineUnlikely, "model %s: expected wait %s and service %s exceed %s",
		m.Name, wait.Round(time.Millisecond), l.service(r).Round(time.Millisecond), left.Round(time.Millisecond)).
		WithRetryAfter(max(need-left, drain/2))
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 3600) * float64(time.Second))
}

// Release ends a ticket after tokens of at most asked were produced.
func (g *Gate) Release(t *ticket, tokens, asked int) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.putBack(t)
	g.inFlight--
	g.line(t.key).observe(now.Sub(t.began), tokens, asked, now)
	g.pump()
}

// Adopt counts in a request that already runs, as a resumed stream does.
func (g *Gate) Adopt(key routing.Key, c routing.Choice) *ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &ticket{choice: c, key: key}
	g.take(t)
	g.inFlight++
	return t
}

// Swap moves a ticket to another route, as recovery does; it never waits.
func (g *Gate) Swap(t *ticket, c routing.Choice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	began := t.began
	g.putBack(t)
	t.choice = c
	g.take(t)
	t.began = began
	g.pump()
}

// Wake lets waiting requests try again after the fleet or its limits changed.
func (g *Gate) Wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pump()
}

// Drain refuses new requests; those admitted or waiting go on.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// InFlight returns the requests admitted and waiting.
func (g *Gate) InFlight() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight, g.waiting
}
