package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/snowspoke/snowspoke/detour"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/site"
)

// check probes the hops of a silent stream, asks its head for a report and moves the
// stream away from a hop at fault. The stream's timer calls it.
func (s *stream) check(ctx context.Context) {
	s.mu.Lock()
	if s.ended || s.checking {
		s.mu.Unlock()
		return
	}
	s.checking = true
	path, silent, askAfter, probed := s.path, s.silentFor(time.Now()), s.askAfter, s.probed
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.checking = false
		s.mu.Unlock()
	}()
	head := path[0].Server
	if !probed {
		probed = s.r.f.probePath(ctx, path)
		s.noteProbe(path, probed)
	}
	if failed := s.r.f.failedHop(path, time.Now()); failed != nil {
		if failed.ID == head.ID && s.keepsConnection(ctx, head) {
			return
		}
		s.avoidHop(ctx, head, failed)
		return
	}
	if silent < askAfter {
		delay := askAfter - silent
		if !probed {
			delay = min(delay, recentEventWindow)
		}
		s.timer.Reset(delay)
		return
	}
	rep, err := s.r.f.ask(ctx, head)
	if ctx.Err() != nil {
		return
	}
	if IsHeldBack(err) {
		s.timer.Reset(askRetryInterval) // the hops are probed all the same
		return
	}
	if err != nil {
		s.r.f.markFailed(head, "no report", err, time.Now())
		if !s.keepsConnection(ctx, head) {
			s.giveUp(errHeadDead)
		}
		return
	}
	if rep.Waiting > 0 {
		s.r.f.loads.conditions.suspect(path[:1], time.Now())
	}
	for _, st := range rep.Stalled {
		if at := path.At(st.Address); at != nil && at.ID != head.ID {
			s.r.f.markFailed(at, "stalls streams of "+head.ID, errStalled, time.Now())
			if st.RequestID == s.r.req.ID {
				s.move(ctx, at)
				return
			}
		}
	}
	if s.standsStill(head, silent, rep.Waiting) {
		s.giveUp(errSilent)
		return
	}
	s.timer.Reset(askRetryInterval)
}

// silentFor returns how long the stream has been silent, excluding time for which this
// process did not run. s.mu must be held.
func (s *stream) silentFor(now time.Time) time.Duration {
	return now.Sub(s.silentSince) - s.r.f.stalls.StallTime(s.silentSince, now)
}

// keepsConnection reports whether the send goes on although its head looks dead, and schedules the
// next check if so. A process that has ended closes its connections, so that events may still come
// over an open one. It is given up after a long silence, if the stream can go on elsewhere.
func (s *stream) keepsConnection(ctx context.Context, head *site.BackendServer) bool {
	s.mu.Lock()
	begun, silent := s.begun, s.silentFor(time.Now())
	s.mu.Unlock()
	if !begun {
		return false
	}
	if left := max(s.probeAfter(false), maxCutSilence) - silent; left > 0 {
		s.timer.Reset(left)
		return true
	}
	if s.r.reachesOtherHead(ctx, head) {
		return false
	}
	s.timer.Reset(askRetryInterval)
	return true
}

// standsStill reports whether a silence ends the send. A head with waiting requests is merely
// busy, unless the stream has events and its direct connection has probably stopped working.
func (s *stream) standsStill(head *site.BackendServer, silent time.Duration, waiting int) bool {
	s.mu.Lock()
	direct := s.begun && !s.carried
	s.mu.Unlock()
	if direct && s.r.f.isOutOfDirectReach(head.Address) {
		return silent >= maxSilence || silent >= maxCutSilence && waiting == 0
	}
	return silent >= maxSilence && waiting == 0
}

// isOutOfDirectReach reports whether direct connections to an address are known to fail.
func (f *Forwarder) isOutOfDirectReach(address string) bool {
	return f.way != nil && f.way(address) != detour.Direct
}

// noteProbe records whether all hops of the stream's path were probed since its last
// event, unless the path has changed.
func (s *stream) noteProbe(path site.Path, all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if samePath(s.path, path) {
		s.probed = all
	}
}

// giveUp ends a stalled send so that the request is resumed elsewhere. If the request
// cannot be sent again, the send continues in two cases: if the stream has begun, since
// silence alone does not justify cutting off an answer, and if the head responds. Ending
// all waiting sends of a head would waste the prompts that it has processed.
func (s *stream) giveUp(why error) {
	waits := s.r.headSent.Load() || errors.Is(why, errSilent)
	if waits && !s.reserveSend() {
		s.timer.Reset(askRetryInterval)
		return
	}
	s.cancel(why)
}

// reserveSend reports whether the request may be sent once more, and takes a retry for that
// send.
func (s *stream) reserveSend() bool {
	return s.r.req.Route.Repeatable() && s.r.canResume() && s.attempt < maxSends && s.r.reserveRetry()
}

// avoidHop routes the stream around a failed hop. It ends the send if the request is
// quarantined because of the failure.
func (s *stream) avoidHop(ctx context.Context, head, failed *site.BackendServer) {
	stage, at := s.stageAtLastEvent()
	if stage != stageRunning && s.r.attributeEnd(ctx, failed, sendEnd{s.attempt, stage, at}) {
		s.cancel(errQuarantined)
		return
	}
	if failed.ID == head.ID {
		s.giveUp(errHeadDead)
		return
	}
	s.move(ctx, failed)
}

// failedHop returns a hop of the path that is known to have failed, or nil.
func (f *Forwarder) failedHop(p site.Path, now time.Time) *site.BackendServer {
	for _, h := range p {
		if f.health.Dead(h.Server.ID, now) {
			return h.Server
		}
	}
	return nil
}

// move orders the head to continue the stream over another path. Hops that are on both
// paths keep the state of the request.
func (s *stream) move(ctx context.Context, failed *site.BackendServer) {
	r := s.r
	for range maxRepathAttempts {
		old := s.currentPath()
		p, err := r.repair(old)
		if err != nil {
			r.f.log.Add("repath", "request", r.req.ID, "failed", failed.ID, "err", err)
			break
		}
		if samePath(p, old) {
			break
		}
		if addsCrossing(p, old) && s.reserveResume() {
			s.cancel(errResumeElsewhere)
			return
		}
		err = r.f.backends.Repath(ctx, old[0].Server, r.req.ID, p)
		r.f.log.Add("repath", "request", r.req.ID, "failed", failed.ID, "path", p.String(), "err", err)
		if err == nil {
			s.setPath(p)
			return
		}
		if IsHeldBack(err) && s.reserveResume() {
			s.cancel(errResumeElsewhere)
			return
		}
		var hop *HopError
		if !errors.As(err, &hop) {
			break
		}
		if at := p.At(hop.Address); at != nil {
			r.f.health.Refuse(at.ID, time.Now())
		}
	}
	if ctx.Err() == nil {
		s.timer.Reset(askRetryInterval)
	}
}

// addsCrossing reports whether a repaired path has new hops outside the failure domain of
// its head. Each stream of the lost hop would send all its tokens so far over the
// cross-domain link. Processing them again within one failure domain is faster.
func addsCrossing(p, old site.Path) bool {
	kept := map[string]site.Range{}
	for _, h := range old {
		kept[h.Server.ID] = h.Layers
	}
	for _, h := range p {
		if kept[h.Server.ID] != h.Layers && h.Server.FailureDomain != p[0].Server.FailureDomain {
			return true
		}
	}
	return false
}

// reserveResume reports whether the request may be sent to another head, and takes a retry
// for that send.
func (s *stream) reserveResume() bool {
	return !s.r.attemptsExhausted() && s.reserveSend()
}

func samePath(a, b site.Path) bool { return a.String() == b.String() }

// setPath records that the stream was moved to a path.
func (s *stream) setPath(p site.Path) {
	leave := s.r.f.loads.Enter(p, s.tokens)
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		leave()
		return
	}
	old := s.leave
	s.path, s.leave, s.moved, s.stepMS = p, leave, true, 0
	s.mu.Unlock()
	old()
	s.timer.Reset(minFirstSilence)
}

// repair returns a path with the same head that keeps as many of the other hops as
// possible.
func (r *run) repair(old site.Path) (site.Path, error) {
	view := r.f.inv.View()
	now := time.Now()
	q := r.f.query(r.req, r.engine)
	q.Head, q.HeadLayers = old[0].Server, old[0].Layers
	q.Keep = map[string]site.Range{}
	for _, h := range old {
		q.Keep[h.Server.ID] = h.Layers
	}
	cs := r.withoutNewLimits(r.f.candidates(view, r.req.Service, r.engine, now), q.Keep)
	cs = r.f.withPaused(cs, old, now)
	if !containsServer(cs, old[0].Server.ID) {
		cs = append(cs, pipeline.Candidate{Server: old[0].Server})
	}
	c, err := pipeline.Choose(q, cs, newRand())
	if err != nil && !errors.Is(err, pipeline.ErrFull) {
		return nil, err
	}
	return c.Path, checkLayers(c.Path.CheckOrder(r.engine.Layers))
}

// withPaused adds the paused hops of a path to the candidates. They still run the request,
// and moving it away from them would process its prompt again.
func (f *Forwarder) withPaused(cs []pipeline.Candidate, path site.Path, now time.Time) []pipeline.Candidate {
	for _, h := range path {
		id := h.Server.ID
		if f.isPaused(id, now) && !f.health.Dead(id, now) && !containsServer(cs, id) {
			cs = append(cs, pipeline.Candidate{Server: h.Server, Load: f.loads.Of(id, float64(max(1, f.fleet.Daemons())), now)})
		}
	}
	return cs
}

// withoutNewLimits removes the backend servers with a limit that are not on the stream's
// path. Moving the stream to such a server would be a call that needs a permit.
func (r *run) withoutNewLimits(cs []pipeline.Candidate, kept map[string]site.Range) []pipeline.Candidate {
	if r.f.limits.Size() == 0 {
		return cs
	}
	return slices.DeleteFunc(cs, func(c pipeline.Candidate) bool {
		_, limited := r.f.limits.Of(c.Server.ID)
		_, has := kept[c.Server.ID]
		return limited && !has
	})
}

func containsServer(cs []pipeline.Candidate, id string) bool {
	for i := range cs {
		if cs[i].Server.ID == id {
			return true
		}
	}
	return false
}
