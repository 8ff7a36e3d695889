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
// limits, queues the request, or refuses it early. It is safe for concurrent use.
type Gate struct {
	table      *fleet.Table
	clock      Clock
	maxStreams int
	queueLimit int
	shares     Shares

	mu         sync.Mutex
	queues     map[routing.Key]*planQueue
	limits     map[string]*admission.Limit
	buckets    map[string]*admission.Bucket
	budgets    map[budgetKey]*admission.Budget
	demand     map[string]*admission.Rate // tokens requested, by model
	limitCfg   admission.LimitConfig
	retryRatio float64
	inFlight   int
	waiting    int
	draining   bool
	rng        *rand.Rand
}

// Shares provides this daemon's share of each workspace's limit.
type Shares interface {
	// Share returns the share of the workspace's limit as a fraction. It is called
	// once for each request of a workspace with a limit.
	Share(workspace string) float64
}

// FullShare gives the daemon the full limit of every workspace.
type FullShare struct{}

// Share implements Shares.
func (FullShare) Share(string) float64 { return 1 }

// budgetKey identifies a retry budget; subject is a model or a plain service.
type budgetKey struct{ workspace, subject string }

// Bounds of a retry budget: each window allows retrySlack retries in addition to
// the configured ratio of the requests served in it.
const (
	retrySlack  = 10
	retryWindow = 10 * time.Second
)

// GateOptions are the settings of a gate.
type GateOptions struct {
	MaxStreams int     // requests in flight
	QueueLimit int     // requests queued for one model, unless the model sets its own limit
	RetryRatio float64 // retries allowed per successful request
	Limit      admission.LimitConfig
	Shares     Shares
	Seed       uint64 // of the route choices; 0 means random
}

// gateStream is the PCG stream of the gate, distinct from other streams that use
// the same seed.
const gateStream = 0x67617465

// NewGate returns an open gate.
func NewGate(o GateOptions, table *fleet.Table, clock Clock) *Gate {
	if o.Shares == nil {
		o.Shares = FullShare{}
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return &Gate{
		table: table, clock: clock, maxStreams: o.MaxStreams, queueLimit: o.QueueLimit, shares: o.Shares,
		queues: map[routing.Key]*planQueue{}, limits: map[string]*admission.Limit{},
		buckets: map[string]*admission.Bucket{}, budgets: map[budgetKey]*admission.Budget{}, demand: map[string]*admission.Rate{},
		limitCfg: o.Limit, retryRatio: o.RetryRatio,
		rng: rand.New(rand.NewPCG(o.Seed, gateStream)),
	}
}

// ticket permits a request to run along a route. It must be released once.
type ticket struct {
	choice  routing.Choice
	servers []*fleet.Server
	links   []*fleet.Link
	began   time.Time
	key     routing.Key
	waited  time.Duration
}

// chooseFunc picks a route. It is called with Gate.mu held.
type chooseFunc func(r *rand.Rand) (routing.Choice, error)

// Admit waits until a route is available and returns a ticket for it. It returns
// an *apierror.Error when the request is refused.
func (g *Gate) Admit(ctx context.Context, r *Request, m *topology.Model, key routing.Key, choose chooseFunc) (*ticket, error) {
	now := g.clock()
	g.mu.Lock()
	if err := g.check(r, now); err != nil {
		g.mu.Unlock()
		return nil, err
	}
	q := g.queueFor(key)
	g.recordDemand(q, r, m.Name, now)
	if q.queue.Len() == 0 {
		t, err := g.grant(key, choose)
		if err == nil {
			g.mu.Unlock()
			return t, nil
		}
		if err != routing.ErrFull && (asPausedError(err) != nil || !q.buffering(now)) {
			g.mu.Unlock()
			return nil, routeError(m.Name, err)
		}
	}
	if err := g.refuseEarly(q, r, m, now); err != nil {
		g.mu.Unlock()
		return nil, err
	}
	p := g.enqueue(q, r, choose)
	g.grantWaiting()
	g.mu.Unlock()
	return g.wait(ctx, q, p, r, now)
}

func routeError(model string, err error) *apierror.Error {
	if paused := asPausedError(err); paused != nil {
		return paused.apiError()
	}
	return apierror.New(apierror.NoRoute, "model %s: %v", model, err)
}

// check refuses a request for reasons that do not depend on the queue. The caller
// holds the lock.
func (g *Gate) check(r *Request, now time.Time) error {
	if g.draining {
		return apierror.New(apierror.Draining, "the daemon is stopping")
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return apierror.New(apierror.DeadlinePassed, "the deadline passed %s ago", now.Sub(r.Deadline))
	}
	return g.checkWorkspaceLimit(r.Workspace, now)
}

// CheckService refuses a service call when the daemon is stopping or the
// workspace is at its limit.
func (g *Gate) CheckService(w *topology.Workspace) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.check(&Request{Workspace: w}, g.clock())
}

func (g *Gate) queueFor(key routing.Key) *planQueue {
	q := g.queues[key]
	if q == nil {
		q = &planQueue{queue: admission.NewQueue()}
		g.queues[key] = q
	}
	return q
}

// refuseEarly refuses a request that would wait beyond its deadline or whose
// queue is full. The error carries a retry delay.
func (g *Gate) refuseEarly(q *planQueue, r *Request, m *topology.Model, now time.Time) error {
	limit := g.queueLimit
	if m.QueueLimit > 0 {
		limit = m.QueueLimit
	}
	drain := q.drainTime()
	if q.queue.Len() >= limit {
		return apierror.New(apierror.Overloaded, "model %s: %d requests wait", m.Name, q.queue.Len()).WithRetryAfter(drain)
	}
	if r.Deadline.IsZero() || q.rate <= 0 {
		return nil
	}
	ahead := q.queue.Ahead(r.Workspace.Name, r.Workspace.FairWeight(), r.Priority)
	margin := waitMargin
	if q.queue.WithinShare(r.Workspace.Name, r.Workspace.FairWeight(), r.Priority) {
		margin = withinShareMargin
	}
	wait := seconds(margin * float64(ahead+1) / q.rate)
	left := r.Deadline.Sub(now)
	need := wait + q.serviceTime(r)
	if need <= left {
		return nil
	}
	return apierror.New(apierror.DeadlineUnlikely, "model %s: expected wait %s and service %s exceed %s",
		m.Name, wait.Round(time.Millisecond), q.serviceTime(r).Round(time.Millisecond), left.Round(time.Millisecond)).
		WithRetryAfter(max(need-left, drain/2))
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 3600) * float64(time.Second))
}

// Release returns the ticket of a request that has ended. tokens is the number of
// tokens produced, and requested is the maximum that the request allowed.
func (g *Gate) Release(t *ticket, tokens, requested int) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseRoute(t)
	g.inFlight--
	g.queueFor(t.key).observe(now.Sub(t.began), tokens, requested, now)
	g.grantWaiting()
}

// Adopt returns a ticket for a request that already runs, such as a resumed
// stream. It never waits and ignores limits.
func (g *Gate) Adopt(key routing.Key, c routing.Choice) *ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &ticket{choice: c, key: key}
	g.acquireRoute(t)
	g.inFlight++
	return t
}

// Swap moves a ticket to another route, as recovery does. It never waits.
func (g *Gate) Swap(t *ticket, c routing.Choice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	began := t.began
	g.releaseRoute(t)
	t.choice = c
	g.acquireRoute(t)
	t.began = began
	g.grantWaiting()
}

// Wake retries waiting requests after the fleet or its limits changed.
func (g *Gate) Wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grantWaiting()
}

// Drain makes the gate refuse new requests; admitted and waiting ones continue.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// InFlight returns the numbers of requests that run and that wait.
func (g *Gate) InFlight() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight, g.waiting
}
