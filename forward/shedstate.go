package forward

import (
	"time"

	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/shedding"
	"github.com/snowspoke/snowspoke/site"
)

// renewAllFractions recomputes the fractions of all services with load shedding. It is called when
// demands or loads of other daemons arrive: a daemon of a large fleet gets a request every few
// seconds, and the projected usage needs the demand of the time between.
func (f *Forwarder) renewAllFractions() {
	now, view := time.Now(), f.inv.View()
	if view.Config == nil {
		return // other daemons may report before this one has the configuration
	}
	s := f.shedders
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, service := range view.Config.Services {
		if service.Engine == nil || !view.Config.Prioritizes(name) {
			continue
		}
		if sh := s.of(name); f.renewFractions(sh, name, service.Engine, view, now) {
			f.logFractions(sh, name, now)
		}
	}
}

// renewFractions recomputes the fractions of a service if they are outdated, and reports whether
// it did. f.shedders.mu must be held, except for a copy.
func (f *Forwarder) renewFractions(sh *shedder, service string, e *site.Engine, view *inventory.View, now time.Time) bool {
	if now.Sub(sh.at) < shedInterval {
		return false
	}
	sh.at = now
	sh.state = f.shedState(sh, service, e, view, now)
	sh.gate.SetFractions(shedding.Fractions(sh.state), now)
	return true
}

// shedState returns what this daemon knows about the demand and the usage of a service.
func (f *Forwarder) shedState(sh *shedder, service string, e *site.Engine, view *inventory.View, now time.Time) shedding.State {
	daemons := float64(max(1, f.fleet.Daemons()))
	assumed := f.assumedDaemons(daemons, now)
	s := shedding.State{Demands: f.loads.demands(relay.ServiceHash(service), sh.meter.Demands(now), daemons, assumed, now)}
	var usage pipeline.Usage
	own := 0.0
	for _, c := range f.usableServers(view, service, e, now) {
		ownKV, allKV := f.loads.latestKV(c.Server.ID, daemons, assumed, now)
		usage.Add(e, c.Server, allKV)
		own += ownKV
	}
	typical := pipeline.TypicalRequest(e)
	s.Capacity = usage.Capacity(typical)
	s.Hold = modeledHold(e, &usage, typical).Scale(sh.hold.Ratio())
	s.Hold.Stages = sh.spread.Stages()
	sh.recordDemand(&s, now)
	s.InUse = usage.Used()
	if age := f.loads.othersLoadAge(now); age > 0 {
		s.InUse = own + sh.history.Project(s.InUse-own, s.Capacity, now.Add(-age), s.Hold, 1-1/daemons, now)
	}
	return s
}

// recordDemand adds the demand and the admitted part of it to the history.
func (sh *shedder) recordDemand(s *shedding.State, now time.Time) {
	total, admitted := 0.0, 0.0
	for _, d := range s.Demands {
		total += d.KV
		admitted += d.KV * sh.gate.Fraction(d.Class)
	}
	if total > 0 {
		sh.history.Add(total, sh.accepted.Ratio()*admitted/total, now)
	}
}

// returnGrace is the time after a start within which all callers return at once. Their demand is
// not taken for that of all daemons.
const returnGrace = 2 * time.Second

// assumedDaemons returns the number of daemons that are taken to be as busy as this one while
// nothing is known of the others.
func (f *Forwarder) assumedDaemons(daemons float64, now time.Time) float64 {
	if now.Sub(f.started) < returnGrace {
		return min(daemons, maxAssumedDaemons)
	}
	return daemons
}

// modeledHold returns the hold time of a typical request by the model of the engine.
func modeledHold(e *site.Engine, u *pipeline.Usage, typical pipeline.Tokens) shedding.Hold {
	idle, full := u.StepMS(typical)
	answer := typical.Answer * float64(time.Millisecond)
	return shedding.Hold{Idle: time.Duration(idle * answer), Full: time.Duration(full * answer)}
}

// modeledHold returns the hold time of a typical request by the model at the present usage.
func (sh *shedder) modeledHold() time.Duration {
	if sh.state.Capacity <= 0 {
		return 0
	}
	return time.Duration(float64(sh.state.Hold.At(sh.state.InUse/sh.state.Capacity)) / sh.hold.Ratio())
}

// beginHold records the modeled hold time of a stream that begins.
func (r *run) beginHold() {
	if !r.sheds(r.f.inv.View()) {
		return
	}
	s := r.f.shedders
	s.mu.Lock()
	defer s.mu.Unlock()
	r.holdAtStart = s.of(r.req.Service).modeledHold()
}

// observeHold records for how long a complete stream has used its memory. The usage changes while
// it runs, so it is compared with the mean of the model at its begin and at its end.
func (r *run) observeHold(took time.Duration) {
	if !r.sheds(r.f.inv.View()) || r.sends > 1 {
		return
	}
	s := r.f.shedders
	s.mu.Lock()
	defer s.mu.Unlock()
	sh := s.of(r.req.Service)
	now, typical := time.Now(), float64(r.holdAtStart+sh.modeledHold())/2
	length := estimateTokens(r.req, r.engine).Answer / max(1, pipeline.TypicalRequest(r.engine).Answer)
	sh.hold.Observe(time.Duration(length*typical), took, now)
	if typical > 0 {
		sh.spread.Observe(float64(took)/typical, now)
	}
}

// observeAcceptance records once whether a backend server has accepted a request that load
// shedding has admitted.
func (r *run) observeAcceptance(accepted bool) {
	if !r.admitted {
		return
	}
	r.admitted = false
	s := r.f.shedders
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of(r.req.Service).accepted.Observe(accepted)
}
