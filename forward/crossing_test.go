package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/site"
)

// crossing returns a path of two hops in two failure domains.
func crossing(from, to string) site.Path {
	return site.Path{
		{Server: &site.BackendServer{ID: "head-" + from, FailureDomain: from}, Layers: site.Range{From: 0, To: 40}},
		{Server: &site.BackendServer{ID: "tail-" + to, FailureDomain: to}, Layers: site.Range{From: 40, To: 80}},
	}
}

// No prompt is sent through a pipe behind one that waits for its first event for long;
// other pipes, and the same one once the event has come, are used.
func TestStuckPipeGetsNoMorePrompts(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := newLab(1).forward[0]
		now := time.Now()
		may := func(p site.Path, now time.Time) bool { return f.mayCross(labEngine(), labPrompt, p, now) }
		s := &stream{path: crossing("a", "b"), quietAt: now}
		f.live.add(s)
		require.True(t, may(crossing("a", "b"), now.Add(crossStuck-1)))
		stuck := now.Add(crossStuck)
		require.False(t, may(crossing("a", "b"), stuck))
		require.False(t, may(crossing("b", "a"), stuck), "a pipe has two ends")
		require.True(t, may(crossing("a", "c"), stuck))
		require.True(t, may(crossing("a", "a"), stuck), "that crosses nothing")
		require.Equal(t, stuckMost-crossStuck, f.pipeFree(crossing("a", "b"), stuck))
		require.Equal(t, retryAfter, f.pipeFree(crossing("a", "b"), now.Add(stuckMost)))
		require.Zero(t, f.pipeFree(crossing("a", "c"), stuck))
		s.begun = true
		require.True(t, may(crossing("a", "b"), stuck))
	})
}
