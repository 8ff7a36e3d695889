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

// checkWorkspaceLimit takes a request out of the workspace's token bucket, whose rate and
// burst are scaled to this daemon's share. The caller holds the lock.
func (g *Gate) checkWorkspaceLimit(w *topology.Workspace, now time.Time) error {
	if w.RequestsPerSecond <= 0 {
		return nil
	}
	b := g.buckets[w.Name]
	if b == nil {
		if len(g.buckets) >= idleEvictionThreshold {
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

// ObserveHop updates the backend server's limit from the token time of a hop.
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

// SpendRetry takes one retry out of the budget of a workspace and a model or
// service, and reports whether there was one.
func (g *Gate) SpendRetry(workspace, subject string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(workspace, subject).Spend(g.clock(), admission.EntireBudget)
}

// EarnRetry counts a successful request towards the budget.
func (g *Gate) EarnRetry(workspace, subject string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(workspace, subject).Earn(g.clock())
}

// idleEvictionThreshold is the number of buckets or budgets at which idle ones are
// dropped before another is added.
const idleEvictionThreshold = 4096

func (g *Gate) budget(workspace, subject string) *admission.Budget {
	k := budgetKey{workspace, subject}
	b := g.budgets[k]
	if b == nil {
		if len(g.budgets) >= idleEvictionThreshold {
			now := g.clock()
			maps.DeleteFunc(g.budgets, func(_ budgetKey, b *admission.Budget) bool { return b.Idle(now) })
		}
		b = admission.NewBudget(g.retryRatio, retrySlack, retryWindow)
		g.budgets[k] = b
	}
	return b
}

// recordDemand counts the tokens that a request is expected to need. A request that
// the queue refuses counts too.
func (g *Gate) recordDemand(q *planQueue, r *Request, model string, now time.Time) {
	rate := g.demand[model]
	if rate == nil {
		rate = &admission.Rate{}
		g.demand[model] = rate
	}
	used := q.usedRatio
	if used == 0 {
		used = 1
	}
	rate.Add(max(1, used*float64(r.MaxTokens)), now)
}

// Demand calls fn for each model with the demand of callers in tokens per second.
func (g *Gate) Demand(fn func(model string, tokens float64)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	for model, rate := range g.demand {
		fn(model, rate.PerSecond(now))
	}
}
