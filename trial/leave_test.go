package trial

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/client"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/internal/standin"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/invariant"
	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/topology"
)

// A graceful stop that interrupts a request after the drain timeout counts as an invariant
// violation. With a sufficient timeout no request is interrupted.
func TestPlannedStop(t *testing.T) {
	for _, drain := range []time.Duration{time.Second, time.Minute} {
		virtual.Test(t, func(t *testing.T) {
			net := memnet.New()
			w, err := NewWorld(1, func(ip string) network.Network { return net.Host(ip) }, log.NewNopLogger())
			require.NoError(t, err)
			p := w.Daemons[0]
			p.cfg.Stop.DrainTimeout = drain
			require.NoError(t, p.Cycle(false, time.Millisecond))
			require.NoError(t, w.waitReady())
			before := invariant.Count(invariant.PlannedStopCutsOffNothing)
			hc := network.Client(w.hosts(callersIP), 4)
			var reply client.Reply
			var wg sync.WaitGroup
			wg.Go(func() {
				reply, err = w.clientOf(0, hc).Complete(context.Background(), client.Request{Model: Model, Prompt: "p", MaxTokens: 1500, Stream: true})
			})
			time.Sleep(100 * time.Millisecond)
			stopped := p.Stop()
			wg.Wait()
			violations := invariant.Count(invariant.PlannedStopCutsOffNothing) - before
			if drain == time.Second {
				assert.Error(t, stopped)
				assert.EqualValues(t, 1, violations)
			} else {
				assert.NoError(t, stopped)
				assert.NoError(t, err)
				assert.True(t, reply.Completed)
				assert.Zero(t, violations)
			}
			hc.CloseIdleConnections()
			assert.NoError(t, p.Start())
			w.Close()
			time.Sleep(time.Minute)
		})
	}
}

// leaveTokens makes streams outlast the drain.
const leaveTokens = 2000

// A backend server that is leaving according to the VM list, its label or its own status
// gets no new requests after 3 s. Running streams are not interrupted.
func TestLeaving(t *testing.T) {
	marks := map[string]func(w *World){
		"vm list": func(w *World) { w.SetLeaving("engine-1") },
		"status":  func(w *World) { w.Fleet.Engine("engine-1").SetLeaving(true) },
		"label": func(w *World) {
			w.Platform.Set(string(topology.KindBackendServer), "engine-1", &topology.BackendServer{
				Address: w.Fleet.Engine("engine-1").Address(), FailureDomain: "bogota-1", Labels: topology.Labels{topology.LabelDrain: "true"}})
		},
	}
	for name, mark := range marks {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 2, func(w *World, hc *http.Client, _ *memnet.Net) {
				var wg sync.WaitGroup
				for i := range 6 {
					wg.Go(func() {
						reply, err := w.clientOf(i%2, hc).Complete(context.Background(), client.Request{Model: Model, Prompt: "p", MaxTokens: leaveTokens, Stream: true, Repeatable: i%4 == 0})
						assert.NoError(t, err)
						assert.True(t, reply.Text == standin.Answer("p", leaveTokens), "the answer differs from the expected text")
					})
				}
				time.Sleep(100 * time.Millisecond)
				mark(w)
				time.Sleep(3 * time.Second)
				for i := range 30 {
					reply, err := w.clientOf(i%2, hc).Complete(context.Background(), client.Request{Model: Model, Prompt: "q", MaxTokens: 2, Repeatable: true})
					require.NoError(t, err)
					for _, d := range w.Daemons[i%2].daemon.Explain(reply.RequestID) {
						require.NotContains(t, d.Chosen, "engine-1[")
					}
				}
				wg.Wait()
			})
		})
	}
}

// A long stream moves off a leaving backend server with its KV cache, without
// recomputation and without an effect on the caller.
func TestPlannedMove(t *testing.T) {
	inWorld(t, 1, func(w *World, hc *http.Client, _ *memnet.Net) {
		var reply client.Reply
		var err error
		var wg sync.WaitGroup
		wg.Go(func() {
			reply, err = w.clientOf(0, hc).Complete(context.Background(), client.Request{Model: Model, Prompt: "p", MaxTokens: 4000, Stream: true, Repeatable: true})
		})
		time.Sleep(500 * time.Millisecond)
		var first string
		for _, d := range w.Daemons[0].daemon.Explain(Model) {
			first = d.Chosen
		}
		leaving, _, _ := strings.Cut(first, "[")
		w.Fleet.Engine(leaving).SetLeaving(true)
		time.Sleep(time.Second)
		require.Zero(t, w.Fleet.Engine(leaving).InFlight(), "the stream did not move")
		wg.Wait()
		require.NoError(t, err)
		require.True(t, reply.Text == standin.Answer("p", 4000), "the answer differs from the expected text")
		require.Zero(t, w.Fleet.Ledger.Recomputed())
		moved := false
		for _, d := range w.Daemons[0].daemon.Explain(reply.RequestID) {
			moved = moved || d.Kind == decision.Move && strings.Contains(d.Reason, "kv "+reply.RequestID)
		}
		require.True(t, moved)
	})
}
