package trial

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/client"
	"github.com/snowspoke/snowspoke/edit"
	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/internal/memstore"
	"github.com/snowspoke/snowspoke/topology"
)

// During a ten-minute outage of the store, requests are served, a restarted daemon
// becomes ready, and calls with a key are refused as not run within their deadline. An
// operator retries an edit until it succeeds; the edit is in force on all daemons soon
// after the outage.
func TestStoreDownForTenMinutes(t *testing.T) {
	inWorld(t, 3, func(w *World, hc *http.Client, _ *memnet.Net) {
		store := w.Platform.Store
		complete := func(i int) {
			reply, err := w.clientOf(i%3, hc).Complete(context.Background(), client.Request{Model: Model, Prompt: "p", MaxTokens: 5, Repeatable: true})
			require.NoError(t, err)
			require.True(t, reply.Completed, reply.Kind)
		}
		complete(0)
		time.Sleep(5 * time.Second)
		store.SetFaults(memstore.Faults{Outage: true})
		edited := make(chan edit.Result, 1)
		go func() {
			for {
				r, err := edit.Apply(context.Background(), store, topology.KindBackendServer, "engine-1", edit.Label{Key: "rack"}, "r7")
				if err == nil {
					edited <- r
					return
				}
				time.Sleep(time.Second)
			}
		}()
		for i := range 60 {
			time.Sleep(10 * time.Second)
			complete(i)
			if i == 20 {
				require.NoError(t, w.Daemons[1].Cycle(true, time.Second))
				time.Sleep(10 * time.Second)
				require.True(t, w.Daemons[1].Ready())
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
		defer cancel()
		reply, err := w.clientOf(0, hc).Call(ctx, http.MethodPost, Service, "/cards", []byte("report"), "key-9")
		require.NoError(t, err)
		require.Equal(t, apierror.StoreUnavailable, reply.Kind)
		require.Equal(t, apierror.RanNo, reply.Ran)
		require.Zero(t, w.Fleet.Ledger.Calls("report"))
		store.SetFaults(memstore.Faults{})
		r := <-edited
		time.Sleep(15 * time.Second)
		for _, p := range w.Daemons {
			v, ok := p.daemon.ObjectResult(string(topology.KindBackendServer), "engine-1")
			require.True(t, ok)
			require.Equal(t, r.Version, v.InForce, p.Name)
		}
		var spec topology.BackendServer
		o, err := store.Get(ctx, string(topology.KindBackendServer), "engine-1")
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(o.Spec, &spec))
		require.Equal(t, "r7", spec.Labels["rack"])
		// The key is usable again after its claim is released.
		time.Sleep(time.Minute)
		reply, err = w.clientOf(1, hc).Call(ctx, http.MethodPost, Service, "/cards", []byte("report"), "key-9")
		require.NoError(t, err)
		require.True(t, reply.Completed, reply.Kind)
		require.Equal(t, 1, w.Fleet.Ledger.Calls("report"))
	})
}
