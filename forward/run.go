package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/detour"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/site"
)

// run is the state of one request from admission to its result.
type run struct {
	f               *Forwarder
	req             *Request
	guard           *quarantine.Guard
	unresolved      atomic.Int32              // sends whose lost backend server may have ended
	unexplainedAt   atomic.Pointer[time.Time] // loss of a backend server that answers nothing since, nil for none
	attributedMu    sync.Mutex
	attributed      []attribution // one for each send with an ended backend server
	lastHeardAt     time.Time     // when the current send was last heard of
	sink            Sink
	deadline        time.Time // on the clock of package boottime
	preview         *preview  // of Explain, nil for a request that is sent
	engine          *site.Engine
	healthPath      string     // of the service, "" for none
	maxConns        int        // connections that a backend server of the service accepts, 0 for unlimited
	tried           triedHeads // first hops of all sends
	sends           int
	reserve         float64   // fraction of memory that a new request leaves to more urgent ones, see pipeline.Query
	refusals        int       // sends that did not run after the stream had begun
	reached         bool      // a send may have reached a backend server
	retryTakenAt    time.Time // when a retry was taken for the last send, zero if none was
	tracker         execution.Tracker
	headSent        atomic.Bool               // the head of the answer was written to the caller
	unnumbered      atomic.Bool               // the caller has events, none of them with an ID
	reserved        atomic.Pointer[time.Time] // when a retry was taken for the next send, nil if none
	lastEvent       string                    // ID of the last event written to the caller
	unfinished      bool                      // the last send ended before its stream did
	lastEventAt     time.Time
	firstEventAfter time.Duration               // from the request to its first event
	longestPause    time.Duration               // longest pause between two events
	interruptedAt   time.Time                   // zero unless the stream is interrupted
	cause           string                      // cause of the interruption
	progress        progress                    // of the current send
	placement       placement                   // of the last path
	awaitsPath      bool                        // a long prompt waits for capacity on its paths
	admitted        bool                        // by load shedding, and not yet accepted by a backend server
	holdAtStart     time.Duration               // modeled hold time when the stream began
	noPath          bool                        // it waits and found no path beside servers that refused others
	refusedBy       map[string]time.Time        // when backend servers refused it, by ID
	refusalBackoff  *backoff.ExponentialBackOff // between refused sends of an interrupted stream
}

// Delays and bounds of a request.
const (
	// pollInterval is the pause between two attempts to find a path or to take a retry.
	pollInterval = 20 * time.Millisecond
	// maxSends bounds the sends of one request, including repeated sends to the same
	// first hop, so that a head that fails at once does not use up the retry budget.
	maxSends = 6
	// minRefusalDelay and maxRefusalDelay bound the exponential backoff of a begun stream
	// after a refusal. Without it, a stream would use up its sends within 0.3 s and be cut
	// off, although its caller waits for two seconds.
	minRefusalDelay = 200 * time.Millisecond
	maxRefusalDelay = 1200 * time.Millisecond
	// refusalJitter is the random fraction of that backoff.
	refusalJitter = 0.2
	// minTimeLeft is the time until the deadline below which a request is not sent.
	minTimeLeft = 20 * time.Millisecond
)

// target is the destination of one send.
type target struct {
	path   site.Path // a single hop without layers for a plain service
	choice pipeline.Choice
	tokens float64
	// permitted is set if a permit was taken for the call to the first hop.
	permitted bool
}

func (t *target) head() *site.BackendServer { return t.path[0].Server }

// serve sends the request until it is answered. It returns BackendRefused with a retry time
// for a request that did not run because it was refused or could not be sent.
func (r *run) serve(ctx context.Context) error {
	r.useService(r.f.inv.View())
	if r.engine != nil {
		defer r.f.longPrompts.begin(r.req.Service, r.engine, r.req, time.Now())()
	}
	err := r.tracker.Run(ctx, r)
	r.observeAcceptance(false)
	if apierror.Is(err, apierror.BackendUnreachable) || apierror.Is(err, apierror.BackendRefused) {
		return apierror.Wrap(apierror.BackendRefused, errors.Unwrap(err)).WithRetryAfter(r.retryAfter(time.Now()))
	}
	return err
}

// useService sets the properties of the request's service.
func (r *run) useService(view *inventory.View) {
	if s := view.Config.Services[r.req.Service]; s != nil {
		r.engine, r.healthPath, r.maxConns = s.Engine, s.HealthPath, s.MaxConns
	}
}

// Send implements execution.Sender.
func (r *run) Send(ctx context.Context) (execution.Result, error) {
	t, err := r.pick(ctx)
	if err != nil {
		r.returnRetry()
		return execution.Answered, err
	}
	result, err := r.send(ctx, t)
	if result != execution.Answered {
		r.f.log.Add("unanswered", "request", r.req.ID, "attempt", r.sends, "by", t.head().ID, "state", r.tracker.State(), "ran", r.tracker.HasRun(), "err", err)
	}
	return result, err
}

// Retry implements execution.Sender.
func (r *run) Retry(ctx context.Context, result execution.Result) bool {
	if result == execution.NotRunHere && r.headSent.Load() {
		return r.pauseBegun(ctx) && r.awaitRetry(ctx)
	}
	if result == execution.MayHaveRun && (!r.canResume() || r.isQuarantined(ctx)) {
		return false
	}
	return r.sends-r.refusals < maxSends && r.awaitRetry(ctx)
}

// canResume reports whether a further send would not repeat events that the caller has.
func (r *run) canResume() bool { return !r.unnumbered.Load() }

// Progress implements execution.Sender.
func (r *run) Progress() string { return fmt.Sprintf("after %d sends", r.sends) }

// endError returns the error for a caller that is gone or a deadline that has passed or is
// near.
func (r *run) endError(ctx context.Context) error { return r.tracker.EndError(ctx, r.Progress()) }

// send makes one send and forwards the answer. The state is execution.Sent from before the
// first byte is sent until the outcome is known.
func (r *run) send(ctx context.Context, t *target) (execution.Result, error) {
	left := boottime.Until(r.deadline)
	if left < minTimeLeft {
		return execution.Answered, r.endError(ctx)
	}
	r.sends++
	triedBefore := r.tried.has(t.head().ID)
	r.tried.add(t.head().ID)
	r.logRoute(t, left)
	if err := r.tracker.Transition(execution.Sent); err != nil {
		return execution.Answered, err
	}
	r.progress, r.lastHeardAt = progress{}, time.Now()
	result, err := r.carry(ctx, t, left)
	if result == execution.MayHaveRun || err == nil {
		r.recordOutcome(ctx, t.head(), err)
	}
	if lerr := r.tracker.Transition(stateAfter(result, err)); lerr != nil {
		return execution.Answered, lerr
	}
	if r.tracker.State() != execution.NotSent {
		r.reached = true
		return result, err
	}
	r.returnRetry()
	if !triedBefore {
		r.tried.drop(t.head().ID)
	}
	return result, err
}

// stateAfter returns the execution state after a send.
func stateAfter(result execution.Result, err error) execution.State {
	switch {
	case result == execution.Answered && err == nil:
		return execution.Delivered
	case result == execution.NotRunHere:
		return execution.StateAfter(err)
	}
	return execution.Unknown
}

// carry sends the request to its first hop and forwards the answer to the caller.
func (r *run) carry(ctx context.Context, t *target, left time.Duration) (execution.Result, error) {
	if r.isStream() {
		return r.sendStream(ctx, t, left)
	}
	leave := r.f.loads.Enter(t.path, t.tokens)
	defer leave()
	a, err := r.f.backends.Send(ctx, r.outgoing(t, left))
	if result, rerr := r.refused(t, a, err); result != execution.Answered {
		return result, rerr
	}
	defer a.Body.Close()
	return r.relayComplete(ctx, t, a)
}

func (r *run) logRoute(t *target, left time.Duration) {
	now := time.Now()
	head := r.f.availability.Of(t.head().ID, now)
	r.f.log.Add("route", "request", r.req.ID, "attempt", r.sends, "route", r.req.Route.Name, "service", r.req.Service,
		"config", r.f.inv.View().Config.Version, "config_age", r.f.inv.Age(boottime.Now()).Round(time.Millisecond),
		"path", t.path.String(), "predicted_first_ms", int(t.choice.FirstMS), "predicted_step_ms", int(t.choice.StepMS),
		"fullest", int(100*t.choice.Fullest), "after_event", r.lastEvent, "left", left.Round(time.Millisecond),
		"prompt", int(r.req.Prompt), "placement", string(r.placement), "head_state", head.State, "head_pause_left", head.PauseLeft(now))
}

func (r *run) outgoing(t *target, left time.Duration) *Outgoing {
	o := &Outgoing{
		Request: r.req, Server: t.head(), Left: left, LastEvent: r.lastEvent,
		Priority: r.enginePriority(), Fresh: !r.req.Route.Repeatable(), Permitted: t.permitted,
		MaxIdle: idleShare(r.maxConns, t.head().Slots, r.f.fleet.Daemons()),
	}
	if r.engine != nil {
		o.Path = t.path
	}
	return o
}

// priority returns the priority of the request, 0 for the most urgent. The workspace's
// priority takes precedence over the route's.
func (r *run) priority() int {
	if w := r.req.Workspace; w != nil && w.HasPriority {
		return w.Priority
	}
	return r.req.Route.Priority
}

// enginePriority returns the priority by which backend servers order waiting requests. Where the
// routes of a service have different priorities, the route's decides among workspaces of the same
// priority.
func (r *run) enginePriority() int {
	if c := r.f.inv.View().Config; c.Prioritizes(r.req.Service) {
		return min(maxEnginePriority, c.PriorityRank(r.req.Service, r.priority(), r.req.Route.Priority))
	}
	return r.priority()
}

// maxEnginePriority is the least urgent priority that backend servers distinguish.
const maxEnginePriority = 9

// refused evaluates the result of a send; execution.Answered means that the answer may be
// forwarded. If the head refuses because of another hop, that hop may be full or dead. It is
// probed, so that later requests avoid a dead hop before its record is gone.
func (r *run) refused(t *target, a *Answer, err error) (execution.Result, error) {
	now := time.Now()
	head := t.head()
	if errors.Is(err, ErrNotAccepting) {
		return execution.NotRunHere, err
	}
	if errors.Is(err, execution.ErrNotSent) {
		r.f.markUnreachable(head, "cannot be connected to", err, now)
		return execution.NotRunHere, err
	}
	if err != nil {
		r.f.health.Refuse(head.ID, now)
		return execution.MayHaveRun, err
	}
	if a.Carrier != "" {
		r.f.log.Add("carried", "request", r.req.ID, "attempt", r.sends, "by", head.ID, "carrier", a.Carrier)
	}
	if !a.NotRun {
		r.observeAcceptance(true)
		r.tracker.MarkRan()
		r.progress.headAt, r.lastHeardAt = now, now
		if !r.isStream() {
			r.progress.beganAt = now
		}
		return execution.Answered, nil
	}
	_ = a.Body.Close()
	at := head
	if s := t.path.At(a.AtFault); s != nil {
		at = s
	}
	if a.FromOther {
		r.f.markFailed(head, "another process has its address", ErrRestarted, now)
	}
	r.f.health.Refuse(at.ID, now)
	r.noteRefusal(at, now)
	if at.ID != head.ID {
		go func() { _ = r.f.probe(context.Background(), at) }() // marks the hop as failed if it is dead
	}
	r.f.log.Add("refused", "request", r.req.ID, "attempt", r.sends, "by", head.ID, "status", a.Status, "at_fault", at.ID)
	return execution.NotRunHere, &HopError{Address: at.Address, Err: execution.ErrRefused}
}

// relayComplete buffers an answer and writes it to the caller. It writes a server error
// only if the request cannot be repeated or no retry is left.
func (r *run) relayComplete(ctx context.Context, t *target, a *Answer) (execution.Result, error) {
	body, release, err := r.f.readAnswer(ctx, a)
	defer release()
	if err != nil && ctx.Err() != nil {
		return execution.Answered, r.endError(ctx)
	}
	if err := r.checkEnd(ctx, t.path, answerEnd{framing: a.Framing, partial: r.partialEvent(a, body), err: err}); err != nil {
		return execution.MayHaveRun, errors.Join(execution.ErrLost, err)
	}
	if a.Status < http.StatusInternalServerError {
		r.f.markServed(t.path)
	}
	if !a.Signed {
		return execution.MayHaveRun, errUnsigned
	}
	if r.headSent.Load() {
		// The caller is receiving a stream, so no other answer can be written.
		return execution.MayHaveRun, errFailed
	}
	failed := a.Status >= http.StatusInternalServerError || impliesNotRun(a.Status)
	if failed && r.mayRepeat() && r.reserveRetry() {
		return execution.MayHaveRun, errFailed
	}
	if impliesNotRun(a.Status) {
		// The status would imply to the caller that the request did not run.
		return execution.Answered, apierror.New(apierror.OutcomeUnknown, "backend server answered %d without saying that it did not run", a.Status)
	}
	if err := r.sink.Complete(a.Status, a.Header, body); err != nil {
		return execution.Answered, apierror.Wrap(apierror.CallerGone, err)
	}
	return execution.Answered, nil
}

var (
	errUnsigned = errors.New("forward: answer without a signature")
	errFailed   = errors.New("forward: backend server failed the request")
)

// mayRepeat reports whether a failed request may be sent to another backend server. It does
// not take a retry.
func (r *run) mayRepeat() bool {
	return r.req.Route.Repeatable() && !r.attemptsExhausted() && r.hasUntried(time.Now())
}

// hasUntried reports whether a backend server to which the request was not sent accepts
// requests as a first hop.
func (r *run) hasUntried(now time.Time) bool {
	return slices.ContainsFunc(r.f.inv.View().OfService(r.req.Service), func(s *site.BackendServer) bool {
		return !r.tried.has(s.ID) && r.isFirstHop(s, now)
	})
}

// reachesOtherHead reports whether a backend server other than head accepts requests as a first hop
// and can be connected to.
func (r *run) reachesOtherHead(ctx context.Context, head *site.BackendServer) bool {
	return slices.ContainsFunc(r.f.inv.View().OfService(r.req.Service), func(s *site.BackendServer) bool {
		return s.ID != head.ID && r.isFirstHop(s, time.Now()) && r.f.probe(ctx, s) == nil
	})
}

// isFirstHop reports whether a backend server accepts requests as a first hop.
func (r *run) isFirstHop(s *site.BackendServer, now time.Time) bool {
	return (r.engine == nil || s.Held.Has(0)) && r.f.isUsable(s, r.engine, now) && !r.f.isPaused(s.ID, now)
}

// impliesNotRun reports whether a status implies to the caller that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// markFailed records that a backend server looks dead because of err, and triggers a check
// of the streams that pass through it. sign is the kind of evidence.
func (f *Forwarder) markFailed(s *site.BackendServer, sign string, err error, now time.Time) {
	if hasEnded(err) {
		f.health.End(s.ID)
	}
	if errors.Is(err, ErrRestarted) || errors.Is(err, errSuperseded) {
		f.health.Replace(s.ID)
	}
	if !f.health.Fail(s.ID, now) {
		return
	}
	f.log.Add("health", "server", s.ID, "address", s.Address, "state", "failed", "sign", sign, "ended", hasEnded(err), "err", err)
	f.live.checkNow(s.ID)
}

// markUnreachable is markFailed for a failed connection. A connection that succeeded later, as
// through another daemon, outdates the failure. It may do so at any moment until the failure is
// recorded.
func (f *Forwarder) markUnreachable(s *site.BackendServer, sign string, err error, now time.Time) {
	if f.reaches(s.Address) {
		return
	}
	f.markFailed(s, sign, err, now)
	if f.reaches(s.Address) {
		f.health.Recover(s.ID)
	}
}

// reaches reports whether connections to an address are known to succeed.
func (f *Forwarder) reaches(address string) bool {
	return f.way != nil && f.way(address) != detour.Unreachable
}

// markServed records that all hops of a path served a request.
func (f *Forwarder) markServed(p site.Path) {
	for _, h := range p {
		f.health.Succeed(h.Server.ID)
	}
}
