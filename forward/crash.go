package forward

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snowspoke/snowspoke/detour"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/liveness"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/site"
)

// A request may crash the process that runs it, on any backend server, because of its content as
// a whole or of a part of its prompt that others share. Whether it may be sent therefore depends on
// the history of both in the fleet, since the caller may retry it at another daemon under a new ID.

// Times that decide whether the end of a backend server is attributed to a request.
const (
	// identifyTimeout bounds the wait for what became of a backend server. The request goes on
	// after it.
	identifyTimeout = 100 * time.Millisecond
	// silentWatch is the time for which a silent first hop is watched that was given up while it
	// answered checks, and silentWatchInterval the pause between the checks.
	silentWatch         = quarantine.AttributionWindow
	silentWatchInterval = 100 * time.Millisecond
)

// errQuarantined ends a send of a request that has become quarantined.
var errQuarantined = errors.New("forward: held back, backend servers ended as they ran the request")

// sendStage is the progress of a send.
type sendStage string

// The stages of a send.
const (
	stageSent    sendStage = "sent"    // no answer yet
	stageBegun   sendStage = "begun"   // the head of the answer was received, see progress
	stageRunning sendStage = "running" // running for longer than quarantine.AttributionWindow
)

// progress is the state of one send.
type progress struct {
	headAt   time.Time // zero until the head of the answer is received
	beganAt  time.Time // first event of a stream, head of any other answer; zero before
	survived bool      // an event came quarantine.SurvivalThreshold after beganAt
}

// stage returns the stage of the send at the given time after beganAt. The head of a stream may
// precede its first event by the time for which the request is queued.
func (p progress) stage(sinceBegan time.Duration) sendStage {
	switch {
	case p.headAt.IsZero():
		return stageSent
	case p.beganAt.IsZero() || sinceBegan <= quarantine.AttributionWindow:
		return stageBegun
	}
	return stageRunning
}

// sinceBegan returns the time from beganAt to at, excluding time for which this process did
// not run. An end during such time is noticed late. If the time counted, the backend server
// would seem to have survived the request.
func (r *run) sinceBegan(at time.Time) time.Duration {
	return at.Sub(r.progress.beganAt) - r.f.stalls.StallTime(r.progress.beganAt, at)
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

// fellSilent reports whether a send was given up because its first hop does not answer.
func fellSilent(err error) bool { return errors.Is(err, errSilent) || errors.Is(err, errHeadDead) }

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
func (r *run) admit(ctx context.Context) error {
	d := r.guard.Admit(ctx, r.f.trialRank)
	if d.Quarantined {
		return r.quarantined("held back", d)
	}
	if d.Trial {
		r.logQuarantine("tried", d)
	}
	return nil
}

// quarantined logs and counts the refusal of a quarantined request and returns it.
func (r *run) quarantined(outcome string, d quarantine.Decision) error {
	r.logQuarantine(outcome, d)
	r.f.observer.Quarantined()
	return d.Refusal()
}

// recordOutcome updates the quarantine with the outcome of a send. If the end of the head
// would count against the request, it waits for a probe of the head, since the decision to
// send the request again depends on it.
func (r *run) recordOutcome(ctx context.Context, head *site.BackendServer, err error) {
	now := time.Now()
	if err == nil {
		r.logCleared(r.guard.Survived(now))
		return
	}
	if errors.Is(err, errFailed) {
		r.logCleared(r.guard.ContentSurvived(now))
		return
	}
	if errors.Is(err, errServerGone) && r.f.isLeaving(head.ID) {
		return // a leaving backend server ends after its last answer
	}
	if fellSilent(err) {
		r.attributeSilence(ctx, head)
	}
	if !lostContact(err) {
		return
	}
	since := r.sinceBegan(now)
	stage := r.progress.stage(since)
	if stage == stageRunning {
		if since >= quarantine.SurvivalThreshold {
			r.logCleared(r.guard.ContentSurvived(now))
		}
		// The probe determines whether the head still counts as an attempt.
		go func() { _ = r.f.probe(context.WithoutCancel(ctx), head) }()
		return
	}
	r.attributeEnd(ctx, head, sendEnd{r.sends, stage, now})
}

// noteEvent records that the backend server survived the request, at the first event that shows
// it.
func (r *run) noteEvent(now time.Time) {
	if r.progress.beganAt.IsZero() {
		r.progress.beganAt = now
	}
	if r.progress.survived || r.sinceBegan(now) < quarantine.SurvivalThreshold {
		return
	}
	r.progress.survived = true
	r.logCleared(r.guard.Survived(now))
}

// logCleared logs what a survival cleared.
func (r *run) logCleared(cleared []quarantine.Fingerprint) {
	for _, fp := range cleared {
		r.f.log.Add("quarantine", "request", r.req.ID, "fingerprint", fp, "part", fp.IsPart(), "outcome", "cleared")
	}
}

// sendEnd is the end of the contact with a backend server during a send.
type sendEnd struct {
	send  int // number of the send, starting at 1
	stage sendStage
	at    time.Time
}

// attributeEnd finds out what became of a backend server with which contact was lost. If the server
// has ended, attributeEnd records this against the request and reports whether the request is now
// quarantined. It waits for a bounded time, and no longer if the server cannot be connected to; a later
// result is recorded all the same.
func (r *run) attributeEnd(ctx context.Context, s *site.BackendServer, end sendEnd) (quarantined bool) {
	result := make(chan bool, liveness.MaxReports)
	r.unresolved.Add(1)
	r.f.watchEnd(ctx, s, r.endCheck(), func(v liveness.Verdict, last bool) {
		result <- r.noteVerdict(s, end, v, last)
		if last {
			r.unresolved.Add(-1)
		}
	})
	timer := time.NewTimer(r.endTimeout())
	defer timer.Stop()
	select {
	case quarantined = <-result:
		return quarantined
	case <-timer.C:
		if r.f.ends.Unresponsive(s.ID) {
			r.unexplainedAt.Store(&end.at)
		}
		return false
	}
}

// endTimeout returns how long the request waits for what became of a backend server. While it is not
// known what became of the one before either, the request may be what ends them.
func (r *run) endTimeout() time.Duration {
	if r.unresolved.Load() > 1 {
		return liveness.UnresponsiveAfter + identifyTimeout
	}
	return identifyTimeout
}

// attributeSilence records against the request that a silent first hop has ended, if that turns out.
// The request goes on elsewhere meanwhile. That the hop does not answer is no evidence, since it may
// have been slow for all its requests.
func (r *run) attributeSilence(ctx context.Context, head *site.BackendServer) {
	end := sendEnd{r.sends, r.progress.stage(r.lastHeardAt.Sub(r.progress.beganAt)), r.lastHeardAt}
	if end.stage == stageRunning {
		return
	}
	r.watchSilent(ctx, head, end, time.Now().Add(silentWatch))
}

// watchSilent watches a silent first hop. A request may crash it after the daemon has given it up.
func (r *run) watchSilent(ctx context.Context, head *site.BackendServer, end sendEnd, until time.Time) {
	r.f.watchEnd(ctx, head, r.endCheck(), func(v liveness.Verdict, last bool) {
		switch {
		case last && v.Gone():
			r.noteVerdict(head, end, v, last)
		case last && time.Now().Before(until):
			time.AfterFunc(silentWatchInterval, func() { r.watchSilent(ctx, head, end, until) })
		}
	})
}

// noteVerdict records what is known of a backend server with which contact was lost, and reports
// whether the request is quarantined.
func (r *run) noteVerdict(s *site.BackendServer, end sendEnd, v liveness.Verdict, last bool) (quarantined bool) {
	if last || v != liveness.Unknown {
		r.logContactLost(s, end, v)
	}
	weight := end.stage.weight(r.isStream())
	switch {
	case v == liveness.Unresponsive:
		return r.recordEnd(s, end, min(weight, quarantine.Possible))
	case v.Gone():
		return r.recordEnd(s, end, weight)
	}
	return false
}

// logContactLost logs and counts what is known of a backend server with which contact was lost.
func (r *run) logContactLost(s *site.BackendServer, end sendEnd, v liveness.Verdict) {
	r.f.observer.ContactLost(v)
	r.f.log.Add("contact_lost", "server", s.ID, "address", s.Address, "request", r.req.ID, "fingerprint", r.guard.Content(),
		"stage", string(end.stage), "verdict", v, "after", time.Since(end.at).Round(time.Millisecond))
}

// attribution is a send and the backend server whose end was attributed to its request.
type attribution struct {
	send   int
	server string
}

// attribute reports whether the end of a backend server counts. Of the hops of one send only the
// first that is found to have ended does: a request crashes one of them, and several end together
// for another reason.
func (r *run) attribute(s *site.BackendServer, send int) bool {
	r.attributedMu.Lock()
	defer r.attributedMu.Unlock()
	for _, a := range r.attributed {
		if a.send == send {
			return a.server == s.ID
		}
	}
	r.attributed = append(r.attributed, attribution{send, s.ID})
	return true
}

// recordEnd records the end of a backend server against the request and reports whether the
// request is now quarantined.
func (r *run) recordEnd(s *site.BackendServer, end sendEnd, w quarantine.Weight) (quarantined bool) {
	if !r.attribute(s, end.send) {
		return r.guard.Check().Quarantined
	}
	d := r.guard.RecordEnd(quarantineServer(s), w, end.at)
	r.f.log.Add("ended", "server", s.ID, "address", s.Address, "request", r.req.ID, "fingerprint", r.guard.Content(),
		"parts", partsLabel(r.req.Parts), "stage", string(end.stage), "weight", int(w), "ends", d.Ends, "score", d.Score, "part", d.Part, "held", d.Quarantined)
	r.f.observer.ServerEnded()
	return d.Quarantined
}

// isQuarantined reports whether a request that may have run must not be sent again, and
// logs and counts it if so.
func (r *run) isQuarantined(ctx context.Context) bool {
	d := r.guard.CheckRepeat(ctx)
	if d.Quarantined {
		r.logQuarantine("not sent again", d)
		r.f.observer.Quarantined()
	}
	return d.Quarantined
}

// checkQuarantine returns the refusal of a request that became quarantined after it was admitted,
// and nil for all others.
func (r *run) checkQuarantine(ctx context.Context) error {
	if d, ok := r.guard.CheckSend(ctx); !ok {
		return r.quarantined("held back after it was admitted", d)
	}
	return nil
}

func (r *run) logQuarantine(outcome string, d quarantine.Decision) {
	r.f.log.Add("quarantine", "request", r.req.ID, "fingerprint", r.guard.Content(), "part", d.Part, "parts", partsLabel(r.req.Parts),
		"outcome", outcome, "ends", d.Ends, "score", d.Score, "until", d.Until.UTC().Format(time.RFC3339))
}
