package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/site"
)

// check asks the head about a silent stream and moves it away from the hop at
// fault. It runs on the timer's goroutine.
func (s *stream) check(ctx context.Context) {
	s.mu.Lock()
	if s.ended || s.asking {
		s.mu.Unlock()
		return
	}
	s.asking = true
	path, quiet, bound, probed := s.path, s.quietFor(time.Now()), s.bound, s.probed
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.asking = false
		s.mu.Unlock()
	}()
	head := path[0].Server
	if !probed {
		probed = s.r.f.probePath(ctx, path)
		s.noteProbe(path, probed)
	}
	if failed := s.failedHop(path); failed != nil {
		s.leaveHop(ctx, head, failed)
		return
	}
	if quiet < bound {
		again := bound - quiet
		if !probed {
			again = min(again, heardWithin)
		}
		s.timer.Reset(again)
		return
	}
	rep, err := s.r.f.ask(ctx, head)
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrNoPermit) {
		s.timer.Reset(askAgain) // its hops are looked after all the same
		return
	}
	if err != nil {
		s.r.f.fail(head, "no report", err, time.Now())
		s.giveUp(errHeadDead)
		return
	}
	if rep.Waiting > 0 {
		s.r.f.loads.conditions.suspect(path[:1], time.Now())
	}
	for _, st := range rep.Stalled {
		if at := path.At(st.Address); at != nil && at.ID != head.ID {
			s.r.f.fail(at, "stalls streams of "+head.ID, errStalled, time.Now())
			if st.RequestID == s.r.req.ID {
				s.move(ctx, at)
				return
			}
		}
	}
	if quiet >= silenceMost && rep.Waiting == 0 {
		s.giveUp(errSilent)
		return
	}
	s.timer.Reset(askAgain)
}

// quietFor returns how long the stream has said nothing while this process ran and
// could have heard it; the caller holds the lock.
func (s *stream) quietFor(now time.Time) time.Duration {
	return now.Sub(s.quietAt) - s.r.f.stalls.Held(s.quietAt, now)
}

// noteProbe keeps whether all hops of the stream's path were connected to since its
// last event.
func (s *stream) noteProbe(path site.Path, all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if samePath(s.path, path) {
		s.probed = all
	}
}

// giveUp ends a send that stands still, so that the request goes on elsewhere. A
// stream that has begun is left as it is when it could not: silence alone is no
// reason to cut an answer off. So is one that only waits for its first event: if
// all that wait were given up, what their heads have read would be read for
// nothing, and the queue would never get shorter.
func (s *stream) giveUp(why error) {
	waits := s.r.headSent.Load() || errors.Is(why, errSilent)
	if waits && !s.reserveSend() {
		s.timer.Reset(askAgain)
		return
	}
	s.cancel(why)
}

// reserveSend reports whether the stream may be sent once more, and takes the
// retry for it.
func (s *stream) reserveSend() bool {
	return s.r.req.Route.Repeatable() && s.attempt < maxSends && s.r.reserveRetry()
}

// leaveHop goes on without a hop that has failed, unless that is put down to the
// request: moved on to other hops it would end them too.
func (s *stream) leaveHop(ctx context.Context, head, failed *site.BackendServer) {
	if stage := s.stageAtLastSign(); stage != stageRunning && s.r.blame(ctx, failed, stage) {
		s.cancel(errHeldBack)
		return
	}
	if failed.ID == head.ID {
		s.giveUp(errHeadDead)
		return
	}
	s.move(ctx, failed)
}

// failedHop returns a hop of the path that is known to have failed, or nil.
func (s *stream) failedHop(p site.Path) *site.BackendServer {
	now := time.Now()
	for _, h := range p {
		if s.r.f.health.Dead(h.Server.ID, now) {
			return h.Server
		}
	}
	return nil
}

// move orders the head to go on over another path; the hops that both paths
// share keep their memory of the request.
func (s *stream) move(ctx context.Context, failed *site.BackendServer) {
	r := s.r
	for range repathTries {
		old := s.currentPath()
		p, err := r.repair(old)
		if err != nil {
			r.f.log.Add("repath", "request", r.req.ID, "failed", failed.ID, "err", err)
			break
		}
		if samePath(p, old) {
			break
		}
		if crosses(p, old) && s.reserveResume() {
			s.cancel(errElsewhere)
			return
		}
		err = r.f.backends.Repath(ctx, old[0].Server, r.req.ID, p)
		r.f.log.Add("repath", "request", r.req.ID, "failed", failed.ID, "path", p.String(), "err", err)
		if err == nil {
			s.take(p)
			return
		}
		if errors.Is(err, ErrNoPermit) && s.reserveResume() {
			s.cancel(errElsewhere)
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
		s.timer.Reset(askAgain)
	}
}

// crosses reports whether a repaired path has new hops in another failure domain
// than its head. All tokens so far would go through the pipe between the two, for
// every stream of the lost hop, one after the other; reading them again in one
// failure domain is faster.
func crosses(p, old site.Path) bool {
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

// reserveResume reports whether the stream may go on at another head, and takes the
// retry for it.
func (s *stream) reserveResume() bool {
	return !s.r.attemptsUsed() && s.reserveSend()
}

func samePath(a, b site.Path) bool { return a.String() == b.String() }

func (s *stream) take(p site.Path) {
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
	s.timer.Reset(firstSilence)
}

// repair finds a path with the same head that keeps what it can.
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
	if !containsServer(cs, old[0].Server.ID) {
		cs = append(cs, pipeline.Candidate{Server: old[0].Server})
	}
	c, err := pipeline.Choose(q, cs, newRand())
	if err != nil && !errors.Is(err, pipeline.ErrFull) {
		return nil, err
	}
	return c.Path, checkLayers(c.Path.CheckOrder(r.engine.Layers))
}

// withoutNewLimits leaves out the backend servers that have named a limit, unless the
// stream passes them already: a moved stream is a further call to them.
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
