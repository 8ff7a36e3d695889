package dispatch

import (
	"maps"
	"time"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/topology"
)

func (g *Gate) takeShare(w *topology.Workspace, now time.Time) error {
	if w.RequestsPerSecond <= 0 {
		return nil
	}
	b := g.buckets[w.Name]
	if b == nil {
		if len(g.buckets) >= maxIdle {
			maps.DeleteFunc(g.buckets, func(_ string, b *admission.Bucket) bool { return b.Idle(now) })
		}
		b = &admission.Bucket{}
		g.buckets[w.Name] = b
	}
	share := g.shares.Share(w.Name)
	ok, wait := b.Take(w.RequestsPerSecond*share, float64(w.Burst)*share, now)
	if ok {
		return nil
	}
	return apierror.New(apierror.WorkspaceLimit, "workspace %s: %g requests a second", w.Name, w.RequestsPerSecond).WithRetryAfter(wait)
}

func (g *Gate) ensureLimit(s *fleet.Server) {
	if g.limits[s.Name()] == nil {
		l := admission.NewLimit(g.limitCfg)
		g.limits[s.Name()] = l
		s.SetLimit(int64(l.Value()))
	}
}

// ObserveHop feeds the token time of a hop to the backend server's limit.
func (g *Gate) ObserveHop(h backend.HopLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.limits[h.BackendServer]
	s := g.table.Server(h.BackendServer)
	if l == nil || s == nil {
		return
	}
	s.SetLimit(int64(l.Observe(seconds(h.TokenSeconds), int(s.InFlight()))))
}

// Shrink lowers the limit of a backend server that refused.
func (g *Gate) Shrink(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, s := g.limits[server], g.table.Server(server); l != nil && s != nil {
		s.SetLimit(int64(l.Shrink()))
	}
}

// SpendRetry takes one retry out of the budget of a workspace and model or
// service.
func (g *Gate) SpendRetry(workspace, subject string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(workspace, subject).Spend(g.clock(), admission.Whole)
}

// EarnRetry counts a success for the budget.
func (g *Gate) EarnRetry(workspace, subject string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(workspace, subject).Earn(g.clock())
}

// maxIdle is the number of buckets or budgets from which those are dropped that
// are as good as new.
const maxIdle = 4096

func (g *Gate) budget(workspace, subject string) *admission.Budget {
	k := budgetKey{workspace, subject}
	b := g.budgets[k]
	if b == nil {
		if len(g.budgets) >= maxIdle {
			now := g.clock()
			maps.DeleteFunc(g.budgets, func(_ budgetKey, b *admission.Budget) bool { return b.Idle(now) })
		}
		b = admission.NewBudget(g.retry, retrySlack, retryWindow)
		g.budgets[k] = b
	}
	return b
}

// noteDemand counts the tokens that a request will probably need, whether it is
// admitted or not.
func (g *Gate) noteDemand(l *line, r *Request, model string, now time.Time) {
	rate := g.demand[model]
	if rate == nil {
		rate = &admission.Rate{}
		g.demand[model] = rate
	}
	used := l.used
	if used == 0 {
		used = 1
	}
	rate.Add(max(1, used*float64(r.MaxTokens)), now)
}

// Demand calls fn with the tokens a second that callers ask of each model.
func (g *Gate) Demand(fn func(model string, tokens float64)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	for model, rate := range g.demand {
		fn(model, rate.PerSecond(now))
	}
}
