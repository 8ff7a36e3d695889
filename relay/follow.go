package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/wait"
)

// Run keeps the inventory up to date until ctx ends: from a source if there is a healthy
// one, otherwise from the store.
func (n *Node) Run(ctx context.Context) {
	n.running.Store(true)
	n.mu.Lock()
	n.runCtx = ctx
	n.mu.Unlock()
	go n.resolveConditions(ctx)
	if n.awaitInitialSource(ctx) {
		n.followParent(ctx)
	} else {
		n.followStoreAtStart(ctx) // returns once there is a source
	}
	for ctx.Err() == nil {
		source, found := n.findSource(ctx)
		if found && !n.followSource(ctx, source) {
			wait.For(ctx, minSearchPause) // it was healthy when it was probed
		}
	}
}

// findSource returns a source that searchSource finds. Without one it follows the store until
// there is a source. Meanwhile it keeps links for crashes.
func (n *Node) findSource(ctx context.Context) (source Member, found bool) {
	defer n.startCrashLinks(ctx)()
	if source, found = n.searchSource(ctx); !found {
		n.followStore(ctx)
	}
	return source, found
}

// followStoreAtStart follows the store until there is a source, with links for crashes.
func (n *Node) followStoreAtStart(ctx context.Context) {
	defer n.startCrashLinks(ctx)()
	n.followStore(ctx)
}

// awaitInitialSource waits at the start for a source of this domain. The first daemon of
// a domain does not wait. The second waits for a shorter time: if it did not wait, others
// would follow it and be cut off when it finds the first; if it waited longer, a domain
// whose first daemon is gone would have no configuration for longer. It reports whether a
// source was found.
func (n *Node) awaitInitialSource(ctx context.Context) bool {
	minWait := startWait
	if len(n.candidates()) < sourcesPerDomain {
		minWait = secondStartWait
	}
	for began := time.Now(); ctx.Err() == nil && len(n.candidates()) > 0 && time.Since(began) < maxStartWait; {
		result := n.probeInOrder(ctx)
		if errors.Is(result, errHealthy) {
			return true
		}
		isAwaited := errors.Is(result, errStarting) || time.Since(began) < minWait
		if !isAwaited && n.takesOver(ctx, result) {
			return false
		}
		wait.For(ctx, startPollInterval)
	}
	return false
}

// takesOver reports whether this daemon follows the store at its start, by the result of
// probeInOrder. If all earlier daemons have lost the store, only a head does that the store
// answers: in an outage for all, the later daemons wait.
func (n *Node) takesOver(ctx context.Context, result error) bool {
	if !errors.Is(result, errStoreLost) || len(n.candidates()) < sourcesPerDomain {
		return true
	}
	return n.isHead() && n.storeAnswers(ctx)
}

// probeInOrder probes the candidates in order. At the first that is healthy or starting it
// returns errHealthy or errStarting; if there is none errStoreLost if one has lost the
// store, nil otherwise. It does not go on after a starting one: all daemons would then
// follow the first of the domain instead of their parent.
func (n *Node) probeInOrder(ctx context.Context) (result error) {
	for _, m := range n.candidates() {
		err := n.probe(ctx, m)
		if isHealthy(err) {
			return errHealthy
		}
		if errors.Is(err, errStarting) {
			return errStarting
		}
		if errors.Is(err, errStoreLost) {
			result = errStoreLost
		}
	}
	return result
}

// followParent follows the first candidate until the link fails.
func (n *Node) followParent(ctx context.Context) {
	if candidates := n.candidates(); len(candidates) > 0 {
		n.followSource(ctx, candidates[0])
	}
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
		_ = level.Info(n.logger).Log("msg", "source left", "source", source.Name, "address", source.Address, "err", err,
			"store_answered", boottime.Since(n.inv.Contact().Last).Round(time.Millisecond))
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
	wg.Go(func() { n.confirmConfig(sctx) })
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
