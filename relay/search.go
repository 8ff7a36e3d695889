package relay

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/internal/wait"
)

// searchSource searches for a healthy source before a daemon that is not among the first
// of its domain follows the store itself. It searches while an earlier daemon of its
// domain is starting or has lost the store. A head gives an earlier daemon time to become a
// source, but stops early enough for a configuration to be in force within MaxConfigDelay.
// Then it follows the store if that answers, or else a head of another domain. If the store
// did not answer it before, the outage has just ended, and the first daemons of the domain
// have time to retry. The later daemons follow a head. Without a source this daemon must
// follow the store.
func (n *Node) searchSource(ctx context.Context) (source Member, found bool) {
	began := time.Now()
	takeover := takeoverDelay(n.opts.MaxConfigDelay)
	pause, isOutage, storeLost := minSearchPause, false, false
	for ctx.Err() == nil && len(n.candidates()) > 0 {
		source, found, lost := n.probeCandidates(ctx)
		if !isOutage && time.Since(began) >= takeover {
			isOutage, pause = true, minSearchPause // the heads find a source about now
		}
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
			if storeLost {
				storeLost = false
				wait.For(ctx, maxRetryDelay)
				continue
			}
			n.logSearch("the store answers this daemon", began)
			return Member{}, false
		}
		if isOutage && n.isHead() {
			storeLost = true
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
// none but the parent has answered, which may search as well, it probes all of them.
func (n *Node) probeCandidates(ctx context.Context) (source Member, found, lost bool) {
	all, probed := n.candidates(), n.probedCandidates()
	if len(probed) < len(all) {
		sampleCtx, cancel := context.WithTimeout(ctx, sampleTimeout)
		defer cancel()
		source, found, lost := n.probeAll(sampleCtx, probed)
		if found || slices.ContainsFunc(lost, func(m Member) bool { return m != probed[0] }) {
			return source, found, len(lost) > 0
		}
	}
	source, found, without := n.probeAll(ctx, all)
	return source, found, len(without) > 0
}

// probeAll probes daemons concurrently. source is the first in order that is healthy, if
// any. lost has those that have lost the store or are about to read it. Once a daemon has
// answered so, or that it is healthy, the others have probeSettleDelay to answer.
func (n *Node) probeAll(ctx context.Context, members []Member) (source Member, found bool, lost []Member) {
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
			if errors.Is(a.result, errStoreLost) || errors.Is(a.result, errStarting) {
				lost = append(lost, members[a.index])
			}
		case <-settled:
			pending = 0
		}
		if settled == nil && (len(lost) > 0 || best < len(members)) {
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
