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
	if n.awaitInitialSource(ctx) {
		n.followParent(ctx)
	} else {
		n.followStore(ctx) // returns once there is a source
	}
	for ctx.Err() == nil {
		if source, found := n.searchSource(ctx); found {
			n.followSource(ctx, source)
		} else {
			n.followStore(ctx)
		}
	}
}

// searchSource searches for a healthy source before a daemon that is not among the first
// of its domain follows the store itself. It searches while an earlier daemon of its
// domain is starting or has lost the store. A head gives an earlier daemon time to become a
// source, but stops early enough for a configuration to be in force within MaxConfigDelay.
// Then it follows the store if that answers, or else a head of another domain. The later
// daemons follow a head. Without a source this daemon must follow the store.
func (n *Node) searchSource(ctx context.Context) (source Member, found bool) {
	began := time.Now()
	takeover := n.opts.MaxConfigDelay - contactTimeout(n.opts.MaxConfigDelay) - maxSwitchDelay
	pause := minSearchPause
	for ctx.Err() == nil && len(n.candidates()) > 0 {
		source, found, lost := n.probeCandidates(ctx)
		isOutage := time.Since(began) >= takeover
		switch {
		case found:
			return source, true
		case !lost || len(n.candidates()) < sourcesPerDomain:
			n.logSearch("no earlier daemon is a source", began)
			return Member{}, false
		case time.Since(began) >= maxOutageSearch:
			n.logSearch("no source found", began)
			return Member{}, false
		case isOutage && n.isHead() && n.storeAnswers(ctx):
			n.logSearch("the store answers this daemon", began)
			return Member{}, false
		}
		if isOutage && n.isHead() {
			if source, found, _ := n.probeAll(ctx, n.probedOthers()); found {
				return source, true
			}
		}
		next := pause/2 + rand.N(pause)
		if !isOutage {
			next = min(next, takeover-time.Since(began))
		}
		wait.For(ctx, next)
		pause = min(2*pause, maxSearchPause)
	}
	return Member{}, false
}

func (n *Node) logSearch(reason string, began time.Time) {
	_ = level.Info(n.logger).Log("msg", "decision", "kind", "store followed", "reason", reason, "searched", time.Since(began).Round(time.Millisecond),
		"config", n.inv.State().ConfigVersion)
}

// storeAnswers reports whether the store answers this daemon.
func (n *Node) storeAnswers(ctx context.Context) bool {
	return n.opts.StoreAnswers != nil && n.opts.StoreAnswers(ctx)
}

// probeCandidates makes one step of a search. Where a part of the candidates was probed and
// none has answered, it probes all of them.
func (n *Node) probeCandidates(ctx context.Context) (source Member, found, lost bool) {
	all, probed := n.candidates(), n.probedCandidates()
	if len(probed) < len(all) {
		sampleCtx, cancel := context.WithTimeout(ctx, sampleTimeout)
		defer cancel()
		if source, found, lost = n.probeAll(sampleCtx, probed); found || lost {
			return source, found, lost
		}
	}
	return n.probeAll(ctx, all)
}

// probeAll probes daemons concurrently. source is the first in order that is healthy, if
// any. lost reports whether one has lost the store or is about to read it. Once a daemon
// has answered so, or that it is healthy, the others have probeSettleDelay to answer.
func (n *Node) probeAll(ctx context.Context, members []Member) (source Member, found, lost bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		index  int
		result error
	}
	answers := make(chan answer, len(members))
	for i, m := range members {
		go func() { answers <- answer{i, n.probe(ctx, m)} }()
	}
	best := len(members)
	var settled <-chan time.Time
	for pending := len(members); pending > 0; {
		select {
		case a := <-answers:
			pending--
			if isHealthy(a.result) {
				best = min(best, a.index)
			}
			lost = lost || errors.Is(a.result, errStoreLost) || errors.Is(a.result, errStarting)
		case <-settled:
			pending = 0
		}
		if settled == nil && (lost || best < len(members)) {
			settled = time.After(probeSettleDelay)
		}
	}
	if best == len(members) {
		return Member{}, false, lost
	}
	return members[best], true, lost
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

// followParent follows the first candidate until the link fails. It reports whether that
// was a healthy source.
func (n *Node) followParent(ctx context.Context) bool {
	candidates := n.candidates()
	return len(candidates) > 0 && n.followSource(ctx, candidates[0])
}

// followSource follows a source until the link fails. It reports whether the source was
// healthy. A head leaves it once an earlier candidate is healthy, a later daemon once its
// parent is.
func (n *Node) followSource(ctx context.Context, source Member) bool {
	sctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.awaitBetterSource(sctx, n.betterSources(source), cancel)
	followed, err := n.session(sctx, source, nil)
	if ctx.Err() != nil {
		return true
	}
	if followed {
		_ = level.Info(n.logger).Log("msg", "source left", "source", source.Name, "address", source.Address, "err", err)
	}
	return followed
}

// betterSources returns the candidates for which this daemon leaves a source.
func (n *Node) betterSources(source Member) []Member {
	better := n.candidates()
	if at := slices.Index(better, source); at >= 0 {
		better = better[:at]
	}
	if len(better) > 0 && !n.isHead() {
		better = better[:1]
	}
	return better
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
