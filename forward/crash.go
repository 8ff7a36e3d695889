package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/site"
)

// A request may make the process that runs it end, wherever it is sent. Whether it may
// be sent again is therefore decided by what the fleet has seen of the request, not by
// this attempt: a caller comes back at another daemon under a new ID. Without that one
// request ended 13 to 17 first hops within a minute, three of them in 0.6 s, and each
// took with it the 20 to 130 streams of others.

// Times of a request at a backend server that ends.
const (
	// beginsWithin is the time from the head of an answer within which the end of its
	// backend server is put down to the request: those that end their backend server do
	// so as they begin to run, 40 to 110 ms later on cards of usual speed. Most others
	// that were there have run for longer.
	beginsWithin = 500 * time.Millisecond
	// outlives is the time from the head of an answer after which its backend server has
	// shown that the request does not end it.
	outlives = time.Second
	// heldSpread is the time over which callers of requests that are held back return.
	heldSpread = 500 * time.Millisecond
)

// errHeldBack ends a send of a request that is held back from now on.
var errHeldBack = errors.New("forward: held back, backend servers ended as they ran the request")

// sendStage is how far a send had come.
type sendStage string

// The stages of a send.
const (
	stageSent    sendStage = "sent"    // nothing came back
	stageBegun   sendStage = "begun"   // the head of the answer came not long ago
	stageRunning sendStage = "running" // it had run for longer than it takes to end a backend server
)

// progress is what is known of one send.
type progress struct {
	headAt time.Time // zero before the head of the answer came
}

// stage returns how far the send had come after so much time since the head of the answer.
func (p progress) stage(sinceHead time.Duration) sendStage {
	switch {
	case p.headAt.IsZero():
		return stageSent
	case sinceHead <= beginsWithin:
		return stageBegun
	}
	return stageRunning
}

// sinceHead returns the time from the head of the answer to another one, less that for
// which this process did not run: what came meanwhile is only read then, and a request
// that ended its backend server at once would look as if that had outlived it.
func (r *run) sinceHead(at time.Time) time.Duration {
	return at.Sub(r.progress.headAt) - r.f.stalls.Held(r.progress.headAt, at)
}

// weight returns how much the end of the backend server at a stage speaks against the
// request, 0 for nothing. The head of a stream comes as it begins to run; a plain
// answer says nothing before it is whole.
func (st sendStage) weight(stream bool) quarantine.Weight {
	switch {
	case st == stageBegun, st == stageSent && !stream:
		return quarantine.Likely
	case st == stageSent:
		return quarantine.Possible
	}
	return 0
}

// lostContact reports whether a send ended because nothing more came from its backend
// server, which this daemon had not given up.
func lostContact(err error) bool {
	given := errors.Is(err, errSilent) || errors.Is(err, errElsewhere) || errors.Is(err, errHeadDead) || errors.Is(err, errHeldBack)
	return !given && (errors.Is(err, execution.ErrLost) || errors.Is(err, errBroken))
}

// hasEnded reports whether an error of a probe says that the backend server's process
// is gone: its VM is there, and nobody listens. Silence says nothing of the kind.
func hasEnded(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// serverOf names a backend server among those that ended.
func serverOf(s *site.BackendServer) quarantine.Server {
	return quarantine.Server(xxhash.Sum64String(s.ID))
}

// streams reports whether the request is a stream of an engine.
func (r *run) streams() bool { return r.engine != nil && r.req.Route.Repeat == site.Stream }

// admit refuses a request that is held back.
func (r *run) admit(now time.Time) error {
	v := r.f.quarantine.Admit(r.print, now)
	switch {
	case v.Held:
		r.logQuarantine("held back", v)
		r.f.observe.HeldBack()
		wait := v.Until.Sub(now) + rand.N(heldSpread)
		return apierror.New(apierror.Quarantined, "%d backend servers ended as they ran it", v.Ends).WithRetryAfter(wait)
	case v.Trial:
		r.logQuarantine("tried", v)
	}
	return nil
}

// judge learns from how a send ended what the request does to backend servers, and
// returns once that is known: whether it is sent again depends on it.
func (r *run) judge(ctx context.Context, head *site.BackendServer, err error) {
	now := time.Now()
	if err == nil || errors.Is(err, errFailed) {
		r.outlived(now)
		return
	}
	if !lostContact(err) {
		return
	}
	since := r.sinceHead(now)
	stage := r.progress.stage(since)
	if stage == stageRunning {
		if since >= outlives {
			r.outlived(now)
		}
		// Whether the head has ended decides how often the stream may be sent again.
		go func() { _ = r.f.probe(context.WithoutCancel(ctx), head) }()
		return
	}
	r.blame(ctx, head, stage)
}

// outlived notes that a backend server outlived the request.
func (r *run) outlived(now time.Time) {
	if r.f.quarantine.Served(r.print, now) {
		r.f.log.Add("quarantine", "request", r.req.ID, "fingerprint", r.print, "outcome", "cleared")
	}
}

// blame puts the end of a backend server, if it has ended, down to the request, and
// reports whether the request is held back from now on.
func (r *run) blame(ctx context.Context, s *site.BackendServer, stage sendStage) (held bool) {
	if !hasEnded(r.f.probe(context.WithoutCancel(ctx), s)) {
		return false
	}
	v := r.f.quarantine.Ended(r.print, serverOf(s), stage.weight(r.streams()), time.Now())
	r.f.log.Add("ended", "server", s.ID, "address", s.Address, "request", r.req.ID, "fingerprint", r.print, "stage", string(stage),
		"ends", v.Ends, "score", v.Score, "held", v.Held)
	r.f.observe.EndedUnder()
	return v.Held
}

// heldBack reports whether a request that may have run is not sent again.
func (r *run) heldBack() bool {
	v := r.f.quarantine.Look(r.print, time.Now())
	if v.Held {
		r.logQuarantine("not sent again", v)
		r.f.observe.HeldBack()
	}
	return v.Held
}

func (r *run) logQuarantine(outcome string, v quarantine.Verdict) {
	r.f.log.Add("quarantine", "request", r.req.ID, "fingerprint", r.print, "outcome", outcome, "ends", v.Ends, "score", v.Score,
		"until", v.Until.UTC().Format(time.RFC3339))
}
