package relay

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/internal/wait"
)

// Run keeps the inventory up to date until ctx ends: from a source if there is a healthy
// one, otherwise from the store.
func (n *Node) Run(ctx context.Context) {
	if !n.awaitInitialSource(ctx) {
		n.followStore(ctx) // returns once there is a source
	}
	var found []Member // by the last search
	for ctx.Err() == nil {
		if n.followSource(ctx, found) {
			found = nil
			continue
		}
		if found = n.searchSource(ctx); len(found) == 0 {
			n.followStore(ctx)
		}
	}
}

// searchSource searches for a healthy source before a daemon that is not among the first
// of its domain follows the store itself. It searches while an earlier daemon of its
// domain is starting or has lost the store. A head gives an earlier daemon time to become a
// source, but stops early enough for a configuration to be in force within MaxConfigDelay.
// Then it follows the store if that answers, or else a head of another domain. The later
// daemons follow a head. searchSource returns the source, none if this daemon must follow
// the store.
func (n *Node) searchSource(ctx context.Context) (source []Member) {
	began := time.Now()
	takeover := n.opts.MaxConfigDelay - contactTimeout(n.opts.MaxConfigDelay) - maxSwitchDelay
	longest, interval := takeover, searchInterval
	for len(n.candidates()) >= sourcesPerDomain && time.Since(began) < longest {
		if !wait.For(ctx, min(interval/2+rand.N(interval), longest-time.Since(began))) {
			return nil
		}
		source, lost := n.probeAll(ctx, n.probedCandidates())
		if len(source) > 0 {
			return source
		}
		if !lost {
			n.logSearch("no earlier daemon answers", began)
			return nil
		}
		if time.Since(began) < takeover {
			continue
		}
		longest, interval = maxOutageSearch, outageSearchInterval
		if !n.isHead() {
			continue
		}
		if n.storeAnswers(ctx) {
			n.logSearch("the store answers this daemon", began)
			return nil
		}
		if source, _ := n.probeAll(ctx, n.probedOthers()); len(source) > 0 {
			return source
		}
	}
	n.logSearch("no source found", began)
	return nil
}

func (n *Node) logSearch(reason string, began time.Time) {
	_ = level.Info(n.logger).Log("msg", "decision", "kind", "store followed", "reason", reason, "searched", time.Since(began).Round(time.Millisecond),
		"config", n.inv.State().ConfigVersion)
}

// storeAnswers reports whether the store answers this daemon.
func (n *Node) storeAnswers(ctx context.Context) bool {
	return n.opts.StoreAnswers != nil && n.opts.StoreAnswers(ctx)
}

// probeAll probes daemons. source is the first that is a healthy source, if any; lost
// reports whether one before it has lost the store or is about to read it.
func (n *Node) probeAll(ctx context.Context, members []Member) (source []Member, lost bool) {
	for _, m := range members {
		err := n.probe(ctx, m)
		if isHealthy(err) {
			return []Member{m}, lost
		}
		if errors.Is(err, errStoreLost) || errors.Is(err, errStarting) {
			lost = true
		}
	}
	return nil, lost
}

// probedCandidates returns the candidates that one step of a search probes: of a later
// daemon its parent and some heads. Daemons whose parent is one of the first two of the
// domain probe all heads: those two have no source while the store turns them away.
func (n *Node) probedCandidates() []Member {
	all, before := n.candidates(), n.predecessors()
	if len(before) < max(headsPerDomain, levelOneSize(before)) {
		return all
	}
	return append(all[:1:1], sample(all[1:], headsPerProbe)...)
}

// probedOthers returns the daemons of other domains that one step of a search probes: the
// first of each domain, and some heads.
func (n *Node) probedOthers() []Member {
	firsts := slices.SortedFunc(maps.Values(n.otherSources()), byRank)
	heads := slices.Concat(slices.Collect(maps.Values(n.otherHeads()))...)
	return append(firsts, sample(heads, otherHeadsPerProbe)...)
}

// sample returns up to size members at random.
func sample(members []Member, size int) []Member {
	out := make([]Member, 0, size)
	for _, i := range rand.Perm(len(members))[:min(size, len(members))] {
		out = append(out, members[i])
	}
	return out
}

// awaitInitialSource waits at the start for a source of this domain. The first daemon of
// a domain does not wait. The second waits for a shorter time: if it did not wait, others
// would follow it and be cut off when it finds the first; if it waited longer, a domain
// whose first daemon is gone would have no configuration for longer. It reports whether a
// source was found.
func (n *Node) awaitInitialSource(ctx context.Context) bool {
	began := time.Now()
	timeout := startWait
	if len(n.candidates()) < sourcesPerDomain {
		timeout = secondStartWait
	}
	for ctx.Err() == nil && len(n.candidates()) > 0 && time.Since(began) < timeout {
		switch n.probeInOrder(ctx) {
		case errHealthy:
			return true
		case errStarting:
			timeout = maxStartWait
		}
		wait.For(ctx, startPollInterval)
	}
	return false
}

// probeInOrder probes the candidates in order. At the first that is healthy or starting it
// returns errHealthy or errStarting; nil if there is none. It does not go on after a
// starting one: all daemons would then follow the first of the domain instead of their
// parent.
func (n *Node) probeInOrder(ctx context.Context) error {
	for _, m := range n.candidates() {
		err := n.probe(ctx, m)
		if isHealthy(err) {
			return errHealthy
		}
		if errors.Is(err, errStarting) {
			return errStarting
		}
	}
	return nil
}

// followSource follows the first reachable source until the link fails, of the candidates
// and then of found. It reports whether one was followed. A head leaves it once an earlier candidate is healthy, a later daemon
// once its parent is.
func (n *Node) followSource(ctx context.Context, found []Member) bool {
	better := []Member{}
	for _, m := range append(n.candidates(), found...) {
		sctx, cancel := context.WithCancel(ctx)
		go n.awaitBetterSource(sctx, better, cancel)
		followed, err := n.session(sctx, m, nil)
		cancel()
		if ctx.Err() != nil {
			return true
		}
		if followed {
			_ = level.Info(n.logger).Log("msg", "source left", "source", m.Name, "address", m.Address, "err", err)
			return true
		}
		if len(better) == 0 || n.isHead() {
			better = append(better, m)
		}
	}
	return false
}

// awaitBetterSource calls leave once a better source is healthy.
func (n *Node) awaitBetterSource(ctx context.Context, better []Member, leave func()) {
	if len(better) == 0 {
		return
	}
	n.awaitSource(ctx, func() []Member { return better }, isHealthy)
	leave()
}

// followStore follows the store until a source is found. It does not leave the store for a
// source that follows another domain: daemons that cannot reach the store may have their
// state from this one.
func (n *Node) followStore(ctx context.Context) {
	sctx, cancel := context.WithCancel(ctx)
	n.mu.Lock()
	n.sourceCtx = sctx
	n.mu.Unlock()
	n.beforeStore.Do(func() { n.prepare(sctx) })
	var wg sync.WaitGroup
	first, longest := minRetryDelay, maxRetryDelay
	if len(n.candidates()) >= sourcesPerDomain {
		first, longest = minLaterRetryDelay, maxLaterRetryDelay
	}
	wg.Go(func() { n.inv.Follow(sctx, first, longest) })
	wg.Go(func() { n.exchangeLoads(sctx) })
	if n.opts.ConditionReader != nil {
		wg.Go(func() { n.pollConditions(sctx) })
	}
	n.followsStoreSince.Store(time.Now().UnixNano())
	n.followsStore.Store(true)
	_ = level.Info(n.logger).Log("msg", "following the store", "domain", n.opts.Domain)
	n.awaitSource(ctx, n.candidates, func(err error) bool { return errors.Is(err, errHealthy) })
	n.followsStore.Store(false)
	cancel()
	wg.Wait()
}

// awaitSource returns when the result of probing one of the candidates is accepted, or when
// ctx ends.
func (n *Node) awaitSource(ctx context.Context, candidates func() []Member, accept func(result error) bool) {
	t := time.NewTicker(sourceCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, m := range candidates() {
			if accept(n.probe(ctx, m)) {
				return
			}
		}
	}
}

// isHealthy reports whether the result of a probe is that of a healthy source.
func isHealthy(result error) bool {
	return errors.Is(result, errHealthy) || errors.Is(result, errCrossing)
}

// probe returns errHealthy or errCrossing for a healthy source, errStarting for a daemon that is about to
// be a source, and otherwise the reason why the daemon is not a source.
func (n *Node) probe(ctx context.Context, m Member) error {
	_, err := n.session(ctx, m, errHealthy)
	return err
}
