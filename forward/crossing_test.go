package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/site"
)

// crossingPath returns a path of one hop in each of two failure domains.
func crossingPath(from, to string) site.Path {
	return site.Path{
		{Server: &site.BackendServer{ID: "head-" + from, FailureDomain: from}, Layers: site.Range{From: 0, To: 40}},
		{Server: &site.BackendServer{ID: "tail-" + to, FailureDomain: to}, Layers: site.Range{From: 40, To: 80}},
	}
}

// A link gets no more prompts while a stream that uses it waits too long for its first
// event. Other links are not affected.
func TestStuckLinkGetsNoMorePrompts(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := newLab(1).forward[0]
		now := time.Now()
		may := func(p site.Path, now time.Time) bool { return f.mayCross(labEngine(), labPrompt, p, now) }
		s := &stream{path: crossingPath("a", "b"), silentSince: now}
		f.live.add(s)
		require.True(t, may(crossingPath("a", "b"), now.Add(stuckThreshold-1)))
		stuck := now.Add(stuckThreshold)
		require.False(t, may(crossingPath("a", "b"), stuck))
		require.False(t, may(crossingPath("b", "a"), stuck), "links are undirected")
		require.True(t, may(crossingPath("a", "c"), stuck))
		require.True(t, may(crossingPath("a", "a"), stuck), "the path has no crossing")
		require.Equal(t, maxStuck-stuckThreshold, f.linksFreeIn(crossingPath("a", "b"), stuck))
		require.Equal(t, defaultRetryAfter, f.linksFreeIn(crossingPath("a", "b"), now.Add(maxStuck)))
		require.Zero(t, f.linksFreeIn(crossingPath("a", "c"), stuck))
		s.begun = true
		require.True(t, may(crossingPath("a", "b"), stuck))
	})
}
