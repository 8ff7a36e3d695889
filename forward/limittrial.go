package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/site"
)

// Only the answer to a request shows that a limit has ended. A backend server with a limit
// may get no requests because other paths are cheaper, so the daemons together send it one
// from time to time, a trial. One that is no first hop is asked for a report instead.

// Intervals of trials.
const (
	// limitIdle is the time without a request of any daemon to a backend server with a
	// limit after which a request is sent there as a trial.
	limitIdle = 500 * time.Millisecond
	// trialAskInterval is the mean interval at which all daemons together ask for a trial.
	// Each asks at this interval times the number of daemons.
	trialAskInterval = 25 * time.Millisecond
)

// limitTrials holds when this daemon may ask for the next trial of each backend server. It
// is safe for concurrent use.
type limitTrials struct {
	mu   sync.Mutex
	next map[string]time.Time // by ID
}

func newLimitTrials() *limitTrials { return &limitTrials{next: map[string]time.Time{}} }

// due reports whether to ask for a trial now, and if so schedules the next. The first
// time is random, since all daemons learn a limit together.
func (l *limitTrials) due(limit quota.Limit, daemons int, now time.Time) bool {
	if now.Sub(limit.At) < limitIdle {
		return false // an answer has just stated it
	}
	interval := trialAskInterval * time.Duration(max(1, daemons))
	l.mu.Lock()
	defer l.mu.Unlock()
	next, known := l.next[limit.Server]
	if !known {
		next = now.Add(rand.N(interval))
		l.next[limit.Server] = next
	}
	if now.Before(next) {
		return false
	}
	l.next[limit.Server] = now.Add(interval/2 + rand.N(interval))
	return true
}

// isDue reports whether due would return true. It schedules nothing.
func (l *limitTrials) isDue(limit quota.Limit, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, known := l.next[limit.Server]
	return known && !now.Before(next) && now.Sub(limit.At) >= limitIdle
}

// postpone delays the next trial of a backend server until a time.
func (l *limitTrials) postpone(server string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next[server] = boottime.Later(l.next[server], until)
}

// prune removes the entries of unknown backend servers.
func (l *limitTrials) prune(known map[string]*site.BackendServer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.next {
		if known[id] == nil {
			delete(l.next, id)
		}
	}
}

// limitTrial returns a target with permits whose first hop is a backend server that is due
// for a trial, nil if there is none. Only the first send of a request may be a trial, unless
// the request is a suspect.
func (r *run) limitTrial(ctx context.Context) *target {
	if r.f.limits.Size() == 0 || r.tried.count() > 0 {
		return nil
	}
	if _, suspect := r.suspicion(); suspect {
		return nil
	}
	view := r.f.inv.View()
	for _, limit := range r.f.limits.All() {
		s := view.Servers[limit.Server]
		if s == nil || s.Service != r.req.Service || !r.f.trials.due(limit, r.f.fleet.Daemons(), boottime.Now()) {
			continue
		}
		if r.f.isInnerHop(s.ID) {
			go r.f.reportTrial(context.WithoutCancel(ctx), s, r.class())
			continue
		}
		if t := r.trialOf(ctx, s); t != nil {
			r.f.log.Add("limit_trial", "request", r.req.ID, "server", s.ID, "rate", limit.Rate, "known_for", limitAge(limit, boottime.Now()))
			return t
		}
	}
	return nil
}

// reportTrial asks a backend server that is no first hop for a report, which shows whether its
// limit has ended, if its limit permits a call.
func (f *Forwarder) reportTrial(ctx context.Context, s *site.BackendServer, class quota.Class) {
	d := f.permits.Permit(ctx, quota.PermitRequest{Servers: []string{s.ID}, Class: class, IdleFor: limitIdle})
	if !d.Granted {
		f.trials.postpone(s.ID, boottime.Now().Add(d.After))
		return
	}
	_, err := f.permitted.reportPermitted(ctx, s) // what it states is applied by ApplyStatement
	f.log.Add("limit_trial", "request", "", "server", s.ID, "by", CallReport, "err", err)
}

// trialOf returns a target with permits whose first hop is s, nil if there is none.
func (r *run) trialOf(ctx context.Context, s *site.BackendServer) *target {
	t := r.targetAt(s)
	if t == nil {
		return nil
	}
	limited := r.f.limitedHops(t.path)
	if len(limited) == 0 || limited[0] != s.ID {
		return nil // the limit has ended
	}
	d := r.f.permits.Permit(ctx, quota.PermitRequest{Servers: limited, Class: r.class(), IdleFor: limitIdle})
	if !d.Granted {
		r.f.trials.postpone(s.ID, boottime.Now().Add(d.After))
		return nil
	}
	t.permitted = true
	return t
}

// targetAt returns a target with capacity whose first hop is s and that stays within a
// failure domain, nil if there is none.
func (r *run) targetAt(s *site.BackendServer) *target {
	now := time.Now()
	cs, _ := r.withoutDenied(r.f.candidates(r.f.inv.View(), r.req.Service, r.engine, now))
	if r.engine == nil {
		cs = slices.DeleteFunc(cs, func(c pipeline.Candidate) bool { return c.Server.ID != s.ID || r.f.health.Cooling(s.ID, now) })
		t, err := r.findPlain(cs)
		if err != nil {
			return nil
		}
		return t
	}
	q := r.f.query(r.req, r.engine)
	q.First = s
	c, err := pipeline.ChooseWithin(q, cs, newRand())
	if err != nil || checkLayers(c.Path.CheckTiling(r.engine.Layers)) != nil {
		return nil
	}
	return &target{path: c.Path, choice: c, tokens: q.Tokens.Mean()}
}
