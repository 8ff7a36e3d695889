package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/internal/wait"
)

// Run keeps the inventory up to date until ctx ends: from a source if there is a healthy
// one, otherwise from the store.
func (n *Node) Run(ctx context.Context) {
	found := n.awaitInitialSource(ctx)
	for ctx.Err() == nil {
		if !found || !n.followSource(ctx) && !n.searchSource(ctx) {
			n.followStore(ctx)
		}
		found = true // followStore returns once a source is found
	}
}

// searchSource searches for a healthy source before a daemon that is not among the first
// of its domain follows the store itself. It searches while an earlier daemon of its
// domain is starting or has lost the store, and stops early enough for a configuration to
// be in force within MaxConfigDelay. While daemons of several domains have lost the store,
// it searches for up to maxOutageSearch. It reports whether a source was found.
func (n *Node) searchSource(ctx context.Context) bool {
	began := time.Now()
	bound := n.opts.MaxConfigDelay - contactTimeout(n.opts.MaxConfigDelay) - maxSwitchDelay
	interval := searchInterval
	for len(n.candidates()) >= sourcesPerDomain && time.Since(began) < bound {
		if !wait.For(ctx, min(interval/2+rand.N(interval), bound-time.Since(began))) {
			return false
		}
		found, lost := n.probeAll(ctx)
		switch {
		case found:
			return true
		case !lost[n.opts.Domain]:
			return false
		case len(lost) > 1:
			bound, interval = maxOutageSearch, outageSearchInterval
		}
	}
	return false
}

// probeAll probes all candidates once. found reports whether one is a healthy source; lost
// holds the failure domains in which a daemon has lost the store or is about to read it.
func (n *Node) probeAll(ctx context.Context) (found bool, lost map[string]bool) {
	lost = map[string]bool{}
	for _, m := range n.candidates() {
		err := n.probe(ctx, m)
		if errors.Is(err, errHealthy) {
			return true, lost
		}
		if errors.Is(err, errStoreLost) || errors.Is(err, errStarting) {
			lost[m.Domain] = true
		}
	}
	return false, lost
}

// awaitInitialSource waits at the start for a source of this domain, since a full state
// from another domain is large and traffic between domains is billed. The first daemon of
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
		switch n.probeOwnDomain(ctx) {
		case errHealthy:
			return true
		case errStarting:
			timeout = maxStartWait
		}
		wait.For(ctx, startPollInterval)
	}
	return false
}

// probeOwnDomain probes the candidates of this domain in order. At the first that is
// healthy or starting it returns errHealthy or errStarting; nil if there is none. It does
// not go on after a starting one: all daemons would then follow the first of the domain
// instead of their parent.
func (n *Node) probeOwnDomain(ctx context.Context) error {
	for _, m := range n.candidates() {
		if m.Domain != n.opts.Domain {
			break
		}
		err := n.probe(ctx, m)
		if errors.Is(err, errHealthy) {
			return errHealthy
		}
		if errors.Is(err, errStarting) {
			return errStarting
		}
	}
	return nil
}

// followSource follows the first reachable source until the link fails. It reports whether
// one was followed.
func (n *Node) followSource(ctx context.Context) bool {
	better := []Member{}
	for _, m := range n.candidates() {
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
		better = append(better, m)
	}
	return false
}

// awaitBetterSource calls leave once a better source is healthy.
func (n *Node) awaitBetterSource(ctx context.Context, better []Member, leave func()) {
	if len(better) == 0 {
		return
	}
	n.awaitHealthy(ctx, func() []Member { return better })
	leave()
}

// followStore follows the store until a source is found.
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
	n.awaitHealthy(ctx, n.candidates)
	n.followsStore.Store(false)
	cancel()
	wg.Wait()
}

// awaitHealthy returns when one of the candidates is a healthy source, or when ctx ends.
func (n *Node) awaitHealthy(ctx context.Context, candidates func() []Member) {
	t := time.NewTicker(sourceCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, m := range candidates() {
			if errors.Is(n.probe(ctx, m), errHealthy) {
				return
			}
		}
	}
}

// probe returns errHealthy for a healthy source, errStarting for a daemon that is about to
// be a source, and otherwise the reason why the daemon is not a source.
func (n *Node) probe(ctx context.Context, m Member) error {
	_, err := n.session(ctx, m, errHealthy)
	return err
}
