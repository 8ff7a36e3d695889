package forward

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/site"
)

// maxShortP99 is the largest 99th percentile of the time to the first event of short prompts.
const maxShortP99 = 150 * time.Millisecond

// servedBefore is the share of these streams that was served when long and short prompts shared
// all paths.
const servedBefore = 1.0

// Guards against short prompts that wait behind long ones on the same backend servers.
func TestLongPromptsDoNotDelayShortOnes(t *testing.T) {
	// Fleets that run under the race detector: one daemon, several, and each model run once.
	raceDaemons := map[bool]int{false: 6, true: 1}
	for _, chunked := range []bool{false, true} {
		for _, daemons := range []int{1, 6, 60, 300} {
			if daemons > maxRaceFleet && chunked {
				continue // takes too long
			}
			if virtual.RaceDetector && daemons != raceDaemons[chunked] {
				continue
			}
			t.Run(fmt.Sprintf("daemons=%d/chunked=%v", daemons, chunked), func(t *testing.T) {
				virtual.Test(t, func(t *testing.T) {
					r := runPrompts(1, promptLoad{daemons: daemons, chunked: chunked, short: shortPrompt, long: longPrompt})
					t.Logf("first event of %d short prompts: p50 %v, p99 %v; of %d long ones: p50 %v, p99 %v, in time %.3f; served %d of %d",
						len(r.short), percentile(r.short, 0.5), percentile(r.short, 0.99), len(r.long), percentile(r.long, 0.5), percentile(r.long, 0.99),
						r.longInTimeShare(), r.served, r.all)
					require.LessOrEqual(t, percentile(r.short, 0.99), maxShortP99)
					require.GreaterOrEqual(t, r.longInTimeShare(), 0.99)
					require.GreaterOrEqual(t, float64(r.served)/float64(r.all), servedBefore)
				})
			})
		}
	}
}

// Guards against streams that are refused because few paths are left beside those of long prompts,
// while the loads of the other daemons are unknown.
func TestBusyFleetServesAsManyPrompts(t *testing.T) {
	for _, daemons := range []int{6, 60} {
		if daemons >= maxRaceFleet && virtual.RaceDetector {
			continue // takes too long
		}
		t.Run(fmt.Sprintf("daemons=%d", daemons), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				r := runPrompts(1, promptLoad{daemons: daemons, rate: 1.5 * promptsPerSecond, short: shortPrompt, long: longPrompt})
				t.Logf("served %d of %d", r.served, r.all)
				require.GreaterOrEqual(t, float64(r.served)/float64(r.all), 0.995)
				require.GreaterOrEqual(t, r.longInTimeShare(), 0.99)
			})
		})
	}
}

// lengthRun is a request to a daemon of the lab whose path is chosen, but that is not sent.
func lengthRun(l *lab, f *Forwarder, tokens float64) *run {
	now := time.Now()
	r := &run{f: f, engine: l.engine, deadline: now.Add(time.Minute), req: &Request{
		ID: "r", Service: labService, Prompt: tokens, Received: now, Deadline: now.Add(time.Minute),
		Route: &site.Route{Kind: site.Stream, Resumable: true, MaxAttempts: 2, Timeout: 20 * time.Second, Objective: longFirst},
	}}
	r.guard = quarantine.NewGuard(f.quarantine, r.req.Fingerprint(), r.req.Service, nil)
	f.longPrompts.begin(labService, l.engine, r.req, now)()
	return r
}

// placedHead returns the placement and the first hop of a prompt.
func placedHead(t *testing.T, l *lab, f *Forwarder, tokens float64) (placement, string) {
	t.Helper()
	r := lengthRun(l, f, tokens)
	got, err := r.find(context.Background())
	require.NoError(t, err)
	require.NoError(t, got.path.CheckTiling(l.engine.Layers))
	return r.placement, got.head().ID
}

// Guards against a changed treatment of requests before the first long prompt and once there was
// none for LongPromptMemory, and checks what is logged.
func TestPromptsShareAllPathsWithoutLongOnes(t *testing.T) {
	for _, daemons := range []int{1, 60} {
		virtual.Test(t, func(t *testing.T) {
			l := newFleetLab(1, daemons)
			f := l.forward[0]
			var out bytes.Buffer
			f.log = NewLog(&out)
			heads := func() map[string]bool {
				heads := map[string]bool{}
				for range 200 {
					p, head := placedHead(t, l, f, shortPrompt)
					require.Equal(t, placedShared, p)
					heads[head] = true
				}
				return heads
			}
			before := heads()
			p, long := placedHead(t, l, f, longPrompt)
			require.Equal(t, placedLong, p)
			for range 200 {
				p, head := placedHead(t, l, f, shortPrompt)
				require.Equal(t, placedShort, p)
				require.NotEqual(t, long, head)
			}
			time.Sleep(pipeline.LongPromptMemory + time.Second)
			require.Equal(t, before, heads())
			f.log.Flush()
			require.Equal(t, 2, strings.Count(out.String(), "kind=long_prompts"), out.String())
			require.Contains(t, out.String(), "paths=1")
			require.Contains(t, out.String(), pipeline.ReasonNoDemand)
		})
	}
}

// Guards against requests that are refused because the paths for their length have no capacity,
// and against a wrong or missing length that does more than misplace its request.
func TestPromptsWithoutCapacityOnTheirPathsTakeOthers(t *testing.T) {
	for _, daemons := range []int{1, 60} {
		virtual.Test(t, func(t *testing.T) {
			l := newFleetLab(1, daemons)
			f := l.forward[0]
			_, long := placedHead(t, l, f, longPrompt)
			for _, tokens := range []float64{0, -5, labPrompt, 3 * labPrompt} {
				p, head := placedHead(t, l, f, tokens)
				require.Equal(t, placedShort, p, "%v tokens", tokens)
				require.NotEqual(t, long, head)
			}
			p, head := placedHead(t, l, f, 1e5)
			require.Equal(t, placedLong, p)
			require.Equal(t, long, head)

			server := l.view.Servers[long]
			leave := f.loads.Enter(site.Path{{Server: server, Layers: server.Held}}, l.engine.KVCapacity(server.Kind, server.Held.Len())/float64(server.Held.Len()))
			r := lengthRun(l, f, longPrompt)
			_, err := r.find(context.Background())
			require.Error(t, err, "waits for its path")
			require.True(t, r.awaitsPath)
			time.Sleep(longPathHold(longFirst))
			got, err := r.find(context.Background())
			require.NoError(t, err)
			require.False(t, r.awaitsPath)
			require.Equal(t, placedOverflow, r.placement)
			require.NotEqual(t, long, got.head().ID)
			leave()
			for id, s := range l.view.Servers {
				if id != long && s.Held.Has(0) {
					f.loads.Enter(site.Path{{Server: s, Layers: s.Held}}, l.engine.KVCapacity(s.Kind, s.Held.Len())/float64(s.Held.Len()))
				}
			}
			p, head = placedHead(t, l, f, shortPrompt)
			require.Equal(t, placedOverflow, p)
			require.Equal(t, long, head)
		})
	}
}

// Guards against requests that are refused after a backend server on the path of long prompts is lost.
func TestLongPromptsMoveFromLostServer(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newFleetLab(1, 60)
		f := l.forward[0]
		_, long := placedHead(t, l, f, longPrompt)
		f.health.End(long)
		f.health.Fail(long, time.Now())
		time.Sleep(minSplitInterval)
		p, head := placedHead(t, l, f, longPrompt)
		require.NotEqual(t, long, head)
		require.Contains(t, []placement{placedLong, placedShared}, p)
		p, head = placedHead(t, l, f, shortPrompt)
		require.NotEqual(t, long, head)
		require.Contains(t, []placement{placedShort, placedShared}, p)
	})
}
