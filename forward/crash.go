package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/detour"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/site"
)

// A request may crash the process that runs it, on any backend server. Whether it may be
// sent again therefore depends on its history in the fleet, since the caller may retry it
// at another daemon under a new ID.

// Times that decide whether the end of a backend server is attributed to a request.
const (
	// attributionWindow is the time after the head of an answer within which the end of
	// the backend server is attributed to the request. A request that crashes its backend
	// server does so when it begins to run, typically 40 to 110 ms after the head; most
	// others have run for longer.
	attributionWindow = 500 * time.Millisecond
	// survivalThreshold is the time after the head of an answer from which the request
	// counts as not crashing its backend server.
	survivalThreshold = time.Second
	// identifyTimeout bounds the check which process is at an address. A stream goes on after it.
	identifyTimeout = 100 * time.Millisecond
	// quarantineSpread is the range of the random delay that is added to the retry times
	// of quarantined requests.
	quarantineSpread = 500 * time.Millisecond
)

// errQuarantined ends a send of a request that has become quarantined.
var errQuarantined = errors.New("forward: held back, backend servers ended as they ran the request")

// sendStage is the progress of a send.
type sendStage string

// The stages of a send.
const (
	stageSent    sendStage = "sent"    // no answer yet
	stageBegun   sendStage = "begun"   // the head of the answer was received within attributionWindow
	stageRunning sendStage = "running" // running for longer than attributionWindow
)

// progress is the state of one send.
type progress struct {
	headAt time.Time // zero until the head of the answer is received
}

// stage returns the stage of the send at the given time after the head of the answer.
func (p progress) stage(sinceHead time.Duration) sendStage {
	switch {
	case p.headAt.IsZero():
		return stageSent
	case sinceHead <= attributionWindow:
		return stageBegun
	}
	return stageRunning
}

// sinceHead returns the time from the head of the answer to at, excluding time for which
// this process did not run. An end during such time is noticed late. If the time counted,
// the backend server would seem to have survived the request.
func (r *run) sinceHead(at time.Time) time.Duration {
	return at.Sub(r.progress.headAt) - r.f.stalls.StallTime(r.progress.headAt, at)
}

// weight returns the weight of the end of a backend server at a stage as evidence against
// the request, 0 for none. The head of a stream is received when the request begins to run,
// the head of a plain answer only when the answer is complete.
func (st sendStage) weight(stream bool) quarantine.Weight {
	switch {
	case st == stageBegun, st == stageSent && !stream:
		return quarantine.Likely
	case st == stageSent:
		return quarantine.Possible
	}
	return 0
}

// lostContact reports whether a send ended because contact with the backend server was
// lost, and not because this daemon ended the send.
func lostContact(err error) bool {
	abandoned := errors.Is(err, errSilent) || errors.Is(err, errResumeElsewhere) || errors.Is(err, errHeadDead) || errors.Is(err, errQuarantined)
	return !abandoned && (errors.Is(err, execution.ErrLost) || errors.Is(err, errBroken))
}

// hasEnded reports whether an error is a sign that the process of the backend server has
// ended: the VM responds but refuses connections. A timeout is no such sign, nor is any error
// of a daemon that reaches no backend server.
func hasEnded(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, detour.ErrIsolated)
}

// quarantineServer returns the quarantine ID of a backend server.
func quarantineServer(s *site.BackendServer) quarantine.Server {
	return quarantine.Server(xxhash.Sum64String(s.ID))
}

// isStream reports whether the request is a stream of a service with an engine.
func (r *run) isStream() bool { return r.engine != nil && r.req.Route.Kind == site.Stream }

// admit refuses a quarantined request.
func (r *run) admit(now time.Time) error {
	d := r.f.quarantine.Admit(r.fingerprint, now)
	switch {
	case d.Quarantined:
		r.logQuarantine("held back", d)
		r.f.observer.Quarantined()
		wait := d.Until.Sub(now) + rand.N(quarantineSpread)
		return apierror.New(apierror.Quarantined, "%d backend servers ended as they ran it", d.Ends).WithRetryAfter(wait)
	case d.Trial:
		r.logQuarantine("tried", d)
	}
	return nil
}

// recordOutcome updates the quarantine with the outcome of a send. If the end of the head
// would count against the request, it waits for a probe of the head, since the decision to
// send the request again depends on it.
func (r *run) recordOutcome(ctx context.Context, head *site.BackendServer, err error) {
	now := time.Now()
	if err == nil || errors.Is(err, errFailed) {
		r.recordSurvival(now)
		return
	}
	if !lostContact(err) || errors.Is(err, errServerGone) && r.f.isLeaving(head.ID) {
		return // a leaving backend server ends after its last answer
	}
	since := r.sinceHead(now)
	stage := r.progress.stage(since)
	if stage == stageRunning {
		if since >= survivalThreshold {
			r.recordSurvival(now)
		}
		// The probe determines whether the head still counts as an attempt.
		go func() { _ = r.f.probe(context.WithoutCancel(ctx), head) }()
		return
	}
	r.attributeEnd(ctx, head, stage)
}

// recordSurvival records that a backend server survived the request.
func (r *run) recordSurvival(now time.Time) {
	if r.f.quarantine.Served(r.fingerprint, now) {
		r.f.log.Add("quarantine", "request", r.req.ID, "fingerprint", r.fingerprint, "outcome", "cleared")
	}
}

// attributeEnd probes a backend server. If the server has ended, attributeEnd records this
// against the request and reports whether the request is now quarantined.
func (r *run) attributeEnd(ctx context.Context, s *site.BackendServer, stage sendStage) (quarantined bool) {
	if !r.isEnded(context.WithoutCancel(ctx), s) {
		return false
	}
	d := r.f.quarantine.RecordEnd(r.fingerprint, quarantineServer(s), stage.weight(r.isStream()), time.Now())
	r.f.log.Add("ended", "server", s.ID, "address", s.Address, "request", r.req.ID, "fingerprint", r.fingerprint,
		"parts", partsLabel(r.req.Parts), "stage", string(stage), "ends", d.Ends, "score", d.Score, "held", d.Quarantined)
	r.f.observer.ServerEnded()
	return d.Quarantined
}

// isEnded reports whether the process of a backend server has ended. A connection may be accepted
// by another process that has started at the address at once.
func (r *run) isEnded(ctx context.Context, s *site.BackendServer) bool {
	err := r.f.probe(ctx, s)
	if err == nil {
		err = r.identify(ctx, s)
	}
	if errors.Is(err, ErrRestarted) {
		r.f.markFailed(s, "another process has its address", err, time.Now())
	}
	return isGone(err)
}

// identify checks which process is at the address of a backend server. It returns nil if there is
// no result within identifyTimeout.
func (r *run) identify(ctx context.Context, s *site.BackendServer) error {
	result := make(chan error, 1)
	go func() { result <- r.endCheck()(ctx, s, time.Now()) }()
	select {
	case err := <-result:
		return err
	case <-time.After(identifyTimeout):
		return nil
	}
}

// isQuarantined reports whether a request that may have run must not be sent again, and
// logs and counts it if so.
func (r *run) isQuarantined() bool {
	d := r.f.quarantine.Check(r.fingerprint, time.Now())
	if d.Quarantined {
		r.logQuarantine("not sent again", d)
		r.f.observer.Quarantined()
	}
	return d.Quarantined
}

func (r *run) logQuarantine(outcome string, d quarantine.Decision) {
	r.f.log.Add("quarantine", "request", r.req.ID, "fingerprint", r.fingerprint, "outcome", outcome, "ends", d.Ends, "score", d.Score,
		"until", d.Until.UTC().Format(time.RFC3339))
}
