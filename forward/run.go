package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/site"
)

// run is one request on its way.
type run struct {
	f         *Forwarder
	req       *Request
	print     quarantine.Fingerprint
	sink      Sink
	until     time.Time // when the request must have its answer, on the clock of package boottime
	engine    *site.Engine
	maxConns  int   // connections that a backend server of the service takes, 0 for any number
	tried     heads // first hops that it was sent to
	sends     int
	refusals  int       // sends of the begun stream that did not run
	reached   bool      // some send may have reached a backend server
	paidAt    time.Time // when a retry was taken for the last send, the zero time if none was
	life      execution.Life
	headSent  atomic.Bool               // the caller has the head of the answer
	reserved  atomic.Pointer[time.Time] // when a retry was taken for the next send, nil if none was
	lastEvent string                    // ID of the last event that the caller has
	lastAt    time.Time
	firstIn   time.Duration               // from the request to its first event
	longest   time.Duration               // longest pause between two events
	failedAt  time.Time                   // set while a stream is interrupted
	cause     string                      // of the interruption
	progress  progress                    // of the send under way
	pause     *backoff.ExponentialBackOff // between sends of an interrupted stream that are refused
}

// Waits and pauses of a request.
const (
	// holdStep is the pause between two looks for a path.
	holdStep = 20 * time.Millisecond
	// maxSends bounds the sends of one request, also those to a first hop that it was
	// sent to before, so that one that fails at once cannot use up the budget.
	maxSends = 6
	// refusedPause and refusedPauseMost bound the pause of a begun stream after a
	// refusal, which doubles: six refusals within 0.3 s once cut streams off whose
	// callers would have stayed for two seconds.
	refusedPause     = 200 * time.Millisecond
	refusedPauseMost = 1200 * time.Millisecond
	// refusedJitter is the share by which such a pause varies.
	refusedJitter = 0.2
	// leastLeft is the least time worth handing to a backend server.
	leastLeft = 20 * time.Millisecond
)

// target is where one send goes.
type target struct {
	path   site.Path // of one hop with no layers for a plain service
	choice pipeline.Choice
	tokens float64
	// permitted says that a permit was taken for the call to the first hop.
	permitted bool
}

func (t *target) head() *site.BackendServer { return t.path[0].Server }

// serve sends the request until it is answered. One that surely did not run gets
// an answer that promises so and says when to come back, whether it was refused or
// could not be sent.
func (r *run) serve(ctx context.Context) error {
	if s := r.f.inv.View().Config.Services[r.req.Service]; s != nil {
		r.engine, r.maxConns = s.Engine, s.MaxConns
	}
	err := r.life.Run(ctx, r)
	if apierror.Is(err, apierror.BackendUnreachable) || apierror.Is(err, apierror.BackendRefused) {
		return apierror.Wrap(apierror.BackendRefused, errors.Unwrap(err)).WithRetryAfter(r.f.returnAfter(r.req.Service, time.Now()))
	}
	return err
}

// Send implements execution.Sender.
func (r *run) Send(ctx context.Context) (execution.Verdict, error) {
	t, err := r.pick(ctx)
	if err != nil {
		r.returnRetry()
		return execution.Answered, err
	}
	v, err := r.send(ctx, t)
	if v != execution.Answered {
		r.f.log.Add("unanswered", "request", r.req.ID, "attempt", r.sends, "by", t.head().ID, "state", r.life.State(), "ran", r.life.HasRun(), "err", err)
	}
	return v, err
}

// Retry implements execution.Sender.
func (r *run) Retry(ctx context.Context, v execution.Verdict) bool {
	if v == execution.NotRunHere && r.headSent.Load() {
		return r.pauseBegun(ctx) && r.awaitRetry(ctx)
	}
	if v == execution.MayHaveRun && r.heldBack() {
		return false
	}
	return r.sends-r.refusals < maxSends && r.awaitRetry(ctx)
}

// Progress implements execution.Sender.
func (r *run) Progress() string { return fmt.Sprintf("after %d sends", r.sends) }

// ended is the answer when the caller went away or the time is up, or nearly so.
func (r *run) ended(ctx context.Context) error { return r.life.Ended(ctx, r.Progress()) }

// send makes one send and carries the answer. The request counts as sent before
// the first byte can go out, and until something certain is known.
func (r *run) send(ctx context.Context, t *target) (execution.Verdict, error) {
	left := boottime.Until(r.until)
	if left < leastLeft {
		return execution.Answered, r.ended(ctx)
	}
	r.sends++
	again := r.tried.has(t.head().ID)
	r.tried.add(t.head().ID)
	r.logRoute(t, left)
	if err := r.life.Move(execution.Sent); err != nil {
		return execution.Answered, err
	}
	r.progress = progress{}
	v, err := r.carry(ctx, t, left)
	if v == execution.MayHaveRun || err == nil {
		r.judge(ctx, t.head(), err)
	}
	if lerr := r.life.Move(stateAfter(v, err)); lerr != nil {
		return execution.Answered, lerr
	}
	if r.life.State() != execution.NotSent {
		r.reached = true
		return v, err
	}
	r.returnRetry()
	if !again {
		r.tried.drop(t.head().ID)
	}
	return v, err
}

// stateAfter returns what a send leaves known about the execution.
func stateAfter(v execution.Verdict, err error) execution.State {
	switch {
	case v == execution.Answered && err == nil:
		return execution.Delivered
	case v == execution.NotRunHere:
		return execution.After(err)
	}
	return execution.Unknown
}

// carry hands a request to its first hop and its answer to the caller.
func (r *run) carry(ctx context.Context, t *target, left time.Duration) (execution.Verdict, error) {
	if r.streams() {
		return r.sendStream(ctx, t, left)
	}
	leave := r.f.loads.Enter(t.path, t.tokens)
	defer leave()
	a, err := r.f.backends.Send(ctx, r.outgoing(t, left))
	if v, rerr := r.refused(t, a, err); v != execution.Answered {
		return v, rerr
	}
	defer a.Body.Close()
	return r.whole(ctx, t, a)
}

func (r *run) logRoute(t *target, left time.Duration) {
	r.f.log.Add("route", "request", r.req.ID, "attempt", r.sends, "route", r.req.Route.Name, "service", r.req.Service,
		"config", r.f.inv.View().Config.Version, "config_age", r.f.inv.Age(boottime.Now()).Round(time.Millisecond),
		"path", t.path.String(), "predicted_first_ms", int(t.choice.FirstMS), "predicted_step_ms", int(t.choice.StepMS),
		"fullest", int(100*t.choice.Fullest), "after_event", r.lastEvent, "left", left.Round(time.Millisecond))
}

func (r *run) outgoing(t *target, left time.Duration) *Outgoing {
	o := &Outgoing{
		Request: r.req, Server: t.head(), Left: left, LastEvent: r.lastEvent,
		Priority: r.priority(), Fresh: !r.req.Route.Repeatable(), Permitted: t.permitted,
		IdleMost: idlePart(r.maxConns, t.head().Slots, r.f.fleet.Daemons()),
	}
	if r.engine != nil {
		o.Path = t.path
	}
	return o
}

// priority returns that of the request, 0 for the most urgent: its workspace's goes before
// its route's.
func (r *run) priority() int {
	if w := r.req.Workspace; w != nil && w.Ranked {
		return w.Priority
	}
	return r.req.Route.Priority
}

// refused looks at the outcome of a send. execution.Answered means that the answer
// may be carried. A hop for which the head refuses may be full or dead, and is probed:
// where a daemon sees two requests a second, each of them met the dead card again until
// its record was gone, and the fleet's retries were spent on it.
func (r *run) refused(t *target, a *Answer, err error) (execution.Verdict, error) {
	now := time.Now()
	head := t.head()
	if errors.Is(err, execution.ErrNotSent) {
		r.f.fail(head, "cannot be connected to", err, now)
		return execution.NotRunHere, err
	}
	if err != nil {
		r.f.health.Refuse(head.ID, now)
		return execution.MayHaveRun, err
	}
	if !a.NotRun {
		r.life.MarkRan()
		r.progress.headAt = now
		return execution.Answered, nil
	}
	_ = a.Body.Close()
	at := head
	if s := t.path.At(a.AtFault); s != nil {
		at = s
	}
	r.f.health.Refuse(at.ID, now)
	if at.ID != head.ID {
		go func() { _ = r.f.probe(context.Background(), at) }() // a dead one is noted
	}
	r.f.log.Add("refused", "request", r.req.ID, "attempt", r.sends, "by", head.ID, "status", a.Status, "at_fault", at.ID)
	return execution.NotRunHere, &HopError{Address: at.Address, Err: execution.ErrRefused}
}

// maxWholeBytes bounds an answer that is collected before it is handed on.
const maxWholeBytes = 32 << 20

// whole collects an answer and hands it on. A failure of a backend server is
// handed on as it is once nothing better can be had.
func (r *run) whole(ctx context.Context, t *target, a *Answer) (execution.Verdict, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxWholeBytes+1))
	if err == nil && len(body) > maxWholeBytes {
		err = errTooLong
	}
	if err != nil {
		if ctx.Err() != nil {
			return execution.Answered, r.ended(ctx)
		}
		return execution.MayHaveRun, errors.Join(execution.ErrLost, err)
	}
	if a.Status < http.StatusInternalServerError {
		r.f.served(t.path)
	}
	if !a.Sealed {
		return execution.MayHaveRun, errUnsealed
	}
	if r.headSent.Load() {
		// The caller is in the middle of a stream: no other answer may end it.
		return execution.MayHaveRun, errFailed
	}
	failed := a.Status >= http.StatusInternalServerError || promisesNotRun(a.Status)
	if failed && r.mayRepeat() {
		return execution.MayHaveRun, errFailed
	}
	if promisesNotRun(a.Status) {
		// The status would promise the caller that the request did not run.
		return execution.Answered, apierror.New(apierror.OutcomeUnknown, "backend server answered %d without saying that it did not run", a.Status)
	}
	if err := r.sink.Whole(a.Status, a.Header, body); err != nil {
		return execution.Answered, apierror.Wrap(apierror.CallerGone, err)
	}
	return execution.Answered, nil
}

var (
	errUnsealed = errors.New("forward: answer without a signature")
	errFailed   = errors.New("forward: backend server failed the request")
	errTooLong  = errors.New("forward: answer is too long to be collected")
)

// mayRepeat reports whether a failed request may be sent to another backend
// server, and takes nothing out of the budget.
func (r *run) mayRepeat() bool {
	view := r.f.inv.View()
	return r.req.Route.Repeatable() && !r.attemptsUsed() && len(view.OfService(r.req.Service)) > r.tried.count()
}

// promisesNotRun reports whether a status says that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// fail notes that a backend server looks dead, by what err says, and moves the streams
// that pass it.
func (f *Forwarder) fail(s *site.BackendServer, sign string, err error, now time.Time) {
	if hasEnded(err) {
		f.health.End(s.ID)
	}
	if !f.health.Fail(s.ID, now) {
		return
	}
	f.log.Add("health", "server", s.ID, "address", s.Address, "state", "failed", "sign", sign, "ended", hasEnded(err), "err", err)
	f.live.wake(s.ID)
}

// served notes that the hops of a path did their work.
func (f *Forwarder) served(p site.Path) {
	for _, h := range p {
		f.health.Serve(h.Server.ID)
	}
}
