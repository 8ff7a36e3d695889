package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/topology"
)

// ServiceRequest is a caller's call to a plain service.
type ServiceRequest struct {
	Workspace  *topology.Workspace
	Service    string
	Repeatable bool // the caller allows a second execution
	Call       backend.ServiceCall
}

// maxServiceAttempts bounds the attempts of one call.
const maxServiceAttempts = 3

// endpointCooldowns configures the cooldown of a failed endpoint. A cooling endpoint
// is used only if no other is left. A refusal starts no cooldown, since the endpoint
// is only busy.
var endpointCooldowns = health.CooldownConfig{AfterFailure: time.Second, MaxAfterFailures: time.Second}

// Services runs calls to plain services. It is safe for concurrent use.
type Services struct {
	opts    Options
	client  backend.Services
	catalog Catalog
	table   *fleet.Table
	gate    *Gate
	log     *decision.Log
	observe Observer
	clock   Clock

	limits *CallLimits
	pauses *pauses
	health *health.Cooldowns // by endpoint

	mu       sync.Mutex
	inFlight map[endpointKey]int
}

type endpointKey struct{ service, endpoint string }

// String returns the endpoint's key in the table of cooldowns.
func (k endpointKey) String() string { return topology.EndpointID(k.service, k.endpoint) }

// NewServices returns a Services that shares the dependencies of d.
func NewServices(d *Dispatcher, client backend.Services) *Services {
	return &Services{
		opts: d.opts, client: client, catalog: d.catalog, table: d.table, gate: d.gate, log: d.log,
		observe: d.observe, clock: d.clock, limits: d.limits, pauses: d.pauses, health: health.NewCooldowns(endpointCooldowns), inFlight: map[endpointKey]int{},
	}
}

// Do sends a call. The caller must close the reply's body; a read error before
// io.EOF means that the answer is incomplete. What io.EOF means depends on its framing,
// see backend.ServiceReply.
func (s *Services) Do(ctx context.Context, req *ServiceRequest) (*backend.ServiceReply, error) {
	c := &call{s: s, req: req, tried: map[string]bool{}, began: s.clock()}
	if err := c.run(ctx); err != nil {
		e := c.Answer(err)
		c.finish(decision.Refuse, string(e.Kind), e.Error())
		return nil, e
	}
	return c.reply, nil
}

// finish logs and counts the end of a call.
func (c *call) finish(kind decision.Kind, result, reason string) {
	now := c.s.clock()
	c.s.log.Add(decision.Record{
		Time: now, Kind: kind, RequestID: c.req.Call.RequestID, Attempt: c.attempt,
		Workspace: c.req.Workspace.Name, Subject: c.req.Service, Reason: reason,
	})
	c.s.observe.Finished(result, now.Sub(c.began))
}

// replyEnded finishes a call whose reply has ended; err is nil unless it broke off.
func (c *call) replyEnded(k endpointKey, f framing.Framing, err error) {
	closed := errors.Is(err, errClosed)
	c.s.callEnded(k, err == nil || closed)
	switch {
	case err == nil:
		c.finish(decision.Finish, "whole", fmt.Sprintf("whole, framed by %s", f))
	case closed:
		c.finish(decision.Finish, string(apierror.CallerGone), fmt.Sprintf("reply framed by %s: %v", f, err))
	default:
		c.finish(decision.Finish, string(apierror.BackendFailed), fmt.Sprintf("reply framed by %s broke off: %v", f, err))
	}
}

// call is the state of one call. It implements execution.Sender.
type call struct {
	execution.Tracker
	s       *Services
	req     *ServiceRequest
	svc     *topology.Service
	tried   map[string]bool
	attempt int
	began   time.Time
	reply   *backend.ServiceReply
}

func (c *call) run(ctx context.Context) error {
	c.svc = c.s.catalog.Snapshot().Services[c.req.Service]
	if c.svc == nil {
		return apierror.New(apierror.UnknownService, "service %q", c.req.Service)
	}
	if err := c.s.gate.CheckService(c.req.Workspace); err != nil {
		return err
	}
	c.Tracker = execution.New(c.req.Repeatable && c.svc.IsRepeatable(c.req.Call.Method, c.req.Call.Path))
	return c.Run(ctx, c)
}

// Send implements execution.Sender.
func (c *call) Send(ctx context.Context) (execution.Result, error) {
	e, err := c.acquireEndpoint(ctx)
	if err != nil {
		return execution.Answered, err
	}
	reply, err := c.sendTo(ctx, c.svc, e)
	if err == nil {
		c.reply = reply
		c.s.gate.EarnRetry(c.req.Workspace.Name, c.svc.Name)
		return execution.Answered, nil
	}
	if c.State().NotRun() {
		return execution.NotRunHere, err
	}
	return execution.MayHaveRun, err
}

// acquireEndpoint returns the best endpoint that is below its declared limit. One
// call to it is counted against that limit.
func (c *call) acquireEndpoint(ctx context.Context) (*topology.Endpoint, error) {
	var limitErr *limitReached
	for {
		e := c.s.pickEndpoint(c.svc, c.tried)
		if e == nil && limitErr != nil {
			c.s.observe.LimitReached()
			return nil, limitErr.apiError()
		}
		if e == nil {
			return nil, c.s.noEndpointError(c.svc)
		}
		c.tried[e.Name] = true
		id := topology.EndpointID(c.svc.Name, e.Name)
		if limitErr = c.s.limits.acquire(ctx, []string{id}, classOf(c.req.Workspace.Name, 0)); limitErr != nil {
			continue
		}
		if !c.s.pauses.has(id) { // a permit may have taken time
			return e, nil
		}
	}
}

// noEndpointError returns the refusal of a call for which no endpoint is left.
func (s *Services) noEndpointError(svc *topology.Service) error {
	ids := make([]string, len(svc.Endpoints))
	for i := range svc.Endpoints {
		ids[i] = topology.EndpointID(svc.Name, svc.Endpoints[i].Name)
	}
	if paused := s.pauses.errorOf(ids...); paused != nil {
		return paused.apiError()
	}
	return apierror.New(apierror.NoRoute, "service %s has no endpoint in service", svc.Name)
}

// Retry implements execution.Sender. It takes a retry out of the budget only if
// another endpoint is left.
func (c *call) Retry(context.Context, execution.Result) bool {
	if c.attempt+1 >= maxServiceAttempts || c.s.pickEndpoint(c.svc, c.tried) == nil || !c.s.gate.SpendRetry(c.req.Workspace.Name, c.svc.Name) {
		return false
	}
	c.attempt++
	return true
}

// Progress implements execution.Sender.
func (c *call) Progress() string {
	return fmt.Sprintf("after %d sends to service %s", c.attempt+1, c.req.Service)
}

// sendTo makes one attempt at an endpoint.
func (c *call) sendTo(ctx context.Context, svc *topology.Service, e *topology.Endpoint) (*backend.ServiceReply, error) {
	c.s.log.Add(decision.Record{
		Time: c.s.clock(), Kind: decision.Route, RequestID: c.req.Call.RequestID, Attempt: c.attempt,
		Workspace: c.req.Workspace.Name, Subject: svc.Name, Chosen: e.Name, Reason: "least in flight",
	})
	if err := c.Transition(execution.Sent); err != nil {
		return nil, err
	}
	k := endpointKey{svc.Name, e.Name}
	c.s.callStarted(k)
	reply, err := c.s.client.Call(ctx, backend.Target{BackendServer: e.Name, Address: e.Address}, &c.req.Call)
	if err == nil {
		c.MarkRan()
		reply.Body = &countedBody{body: reply.Body, onEnd: func(err error) { c.replyEnded(k, reply.Framing, err) }}
		return reply, c.Transition(execution.Delivered)
	}
	c.s.pauses.note(k.String(), c.req.Call.RequestID, err)
	c.s.callEnded(k, errors.Is(err, execution.ErrRefused))
	if verr := c.Transition(execution.StateAfter(err)); verr != nil {
		return nil, verr
	}
	return nil, err
}

// coolingPenalty ranks cooling endpoints after all others.
const coolingPenalty = 1 << 20

// pickEndpoint returns the untried endpoint with the fewest calls in flight, or nil.
// Among equals it prefers one in this daemon's failure domain. Endpoints that failed
// recently come last; paused ones are left out.
func (s *Services) pickEndpoint(svc *topology.Service, tried map[string]bool) *topology.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	var best *topology.Endpoint
	bestCost := 0
	for i := range svc.Endpoints {
		e := &svc.Endpoints[i]
		if e.Drain || tried[e.Name] || s.table.VMLeaving(e.Name) {
			continue
		}
		k := endpointKey{svc.Name, e.Name}
		if s.pauses.has(k.String()) {
			continue
		}
		cost := 2 * s.inFlight[k]
		if e.FailureDomain != s.opts.FailureDomain {
			cost++
		}
		if s.health.Cooling(k.String(), now) {
			cost += coolingPenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

func (s *Services) callStarted(k endpointKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[k]++
}

// callEnded ends a call that callStarted began; ok is false if it failed.
func (s *Services) callEnded(k endpointKey, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[k]--
	if s.inFlight[k] == 0 {
		delete(s.inFlight, k)
	}
	if !ok {
		s.health.Fail(k.String(), s.clock())
	}
}
