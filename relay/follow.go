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

// Run keeps the inventory up to date until ctx ends: over a source if there is a
// sound one, else from the store itself.
func (n *Node) Run(ctx context.Context) {
	found := n.awaitFirstSource(ctx)
	for ctx.Err() == nil {
		if !found || !n.followSource(ctx) && !n.lookForSource(ctx) {
			n.followStore(ctx)
		}
		found = true // by followStore, or there was one
	}
}

// lookForSource looks for a sound source before a daemon that is not among the first of
// its domain follows the store itself: for as long as one before it is there, which looks
// for the store as well, and a configuration could still be in force in time; longer while
// the sources of other domains have lost the store too. It returns whether one was found.
func (n *Node) lookForSource(ctx context.Context) bool {
	began := time.Now()
	bound := n.opts.ConfigWithin - unheardFor(n.opts.ConfigWithin) - leaveTakes
	pause := lookPause
	for len(n.candidates()) >= ownSources && time.Since(began) < bound {
		if !wait.For(ctx, min(pause/2+rand.N(pause), bound-time.Since(began))) {
			return false
		}
		found, lost := n.look(ctx)
		switch {
		case found:
			return true
		case !lost[n.opts.Domain]:
			return false
		case len(lost) > 1:
			bound, pause = outageMost, outagePause
		}
	}
	return false
}

// look asks all candidates once: found says that one is a sound source, lost in which
// failure domains one is there that has lost the store, or is about to read it.
func (n *Node) look(ctx context.Context) (found bool, lost map[string]bool) {
	lost = map[string]bool{}
	for _, m := range n.candidates() {
		err := n.probe(ctx, m)
		if errors.Is(err, errFound) {
			return true, lost
		}
		if errors.Is(err, errLost) || errors.Is(err, errEarly) {
			lost[m.Domain] = true
		}
	}
	return false, lost
}

// awaitFirstSource gives the sources of this domain time to start: a full state
// from another one is large, and bytes between domains are paid for. The first
// daemon of a domain does not wait: it is its source. When the second did not wait
// either, it followed the store, others followed it, and all of them were left when
// it found the first: 129 links made anew in the 14 s before a calm day of 295 daemons.
// It does not wait for long: with a first daemon that was gone for good, a domain that
// was started anew knew no configuration for 2.7 s, and 314 callers were refused. It
// returns whether a source was found.
func (n *Node) awaitFirstSource(ctx context.Context) bool {
	began := time.Now()
	most := patience
	if len(n.candidates()) < ownSources {
		most = secondPatience
	}
	for ctx.Err() == nil && len(n.candidates()) > 0 && time.Since(began) < most {
		switch n.firstSource(ctx) {
		case errFound:
			return true
		case errEarly:
			most = longPatience
		}
		wait.For(ctx, patiencePause)
	}
	return false
}

// firstSource returns errFound if a source of this domain is sound and errEarly
// if one is about to be: the later ones are not asked then, or all daemons would
// follow the first.
func (n *Node) firstSource(ctx context.Context) error {
	for _, m := range n.candidates() {
		if m.Domain != n.opts.Domain {
			break
		}
		err := n.probe(ctx, m)
		if errors.Is(err, errFound) {
			return errFound
		}
		if errors.Is(err, errEarly) {
			return errEarly
		}
	}
	return nil
}

// followSource follows the first source that can be reached until it fails. It
// returns whether one was followed.
func (n *Node) followSource(ctx context.Context) bool {
	better := []Member{}
	for _, m := range n.candidates() {
		sctx, cancel := context.WithCancel(ctx)
		go n.lookForBetter(sctx, better, cancel)
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

// lookForBetter ends the following of a source when a better one is sound again.
func (n *Node) lookForBetter(ctx context.Context, better []Member, leave func()) {
	if len(better) == 0 {
		return
	}
	n.awaitAny(ctx, func() []Member { return better })
	leave()
}

// followStore follows the store itself until a source is found.
func (n *Node) followStore(ctx context.Context) {
	sctx, cancel := context.WithCancel(ctx)
	n.mu.Lock()
	n.source = sctx
	n.mu.Unlock()
	n.beforeStore.Do(func() { n.prepare(sctx) })
	var wg sync.WaitGroup
	first, longest := quickPause, quickPauseMost
	if len(n.candidates()) >= ownSources {
		first, longest = laterPause, laterPauseMost
	}
	wg.Go(func() { n.inv.Follow(sctx, first, longest) })
	wg.Go(func() { n.exchangeLoads(sctx) })
	if n.opts.Asker != nil {
		wg.Go(func() { n.watchConditions(sctx) })
	}
	n.readingSince.Store(time.Now().UnixNano())
	n.reading.Store(true)
	_ = level.Info(n.logger).Log("msg", "following the store", "domain", n.opts.Domain)
	n.awaitAny(ctx, n.candidates)
	n.reading.Store(false)
	cancel()
	wg.Wait()
}

// awaitAny returns when one of the daemons is a sound source, or ctx ends.
func (n *Node) awaitAny(ctx context.Context, candidates func() []Member) {
	t := time.NewTicker(tryAgain)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, m := range candidates() {
			if errors.Is(n.probe(ctx, m), errFound) {
				return
			}
		}
	}
}

// probe returns errFound for a sound source, errEarly for one that is about to be
// one, and what is wrong with any other daemon.
func (n *Node) probe(ctx context.Context, m Member) error {
	_, err := n.session(ctx, m, errFound)
	return err
}
