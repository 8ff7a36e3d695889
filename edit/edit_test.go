package edit

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/memstore"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

func storeWithServer(t *testing.T) *memstore.Store {
	s := memstore.New()
	spec, err := json.Marshal(&topology.BackendServer{Address: "a:1", FailureDomain: "d", Labels: topology.Labels{"kind": "h100"}})
	require.NoError(t, err)
	s.Set(string(topology.KindBackendServer), "b", spec)
	return s
}

func labelsOf(t *testing.T, s *memstore.Store) topology.Labels {
	_, obj, err := read(context.Background(), s, topology.KindBackendServer, "b")
	require.NoError(t, err)
	return obj.(*topology.BackendServer).Labels
}

// Concurrent edits of different labels of one object must all take effect if they
// were acknowledged, also when writes and responses are lost.
func TestConcurrentEditsMerge(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		s := storeWithServer(t)
		s.SetFaults(memstore.Faults{LoseAnswer: 0.3, LoseWrite: 0.1, Delay: time.Millisecond})
		var mu sync.Mutex
		acked := map[string]string{}
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				key := fmt.Sprint("label-", i)
				for n := range 5 {
					value := fmt.Sprint("v", n)
					if _, err := Apply(context.Background(), s, topology.KindBackendServer, "b", Label{key}, value); err == nil {
						mu.Lock()
						acked[key] = value
						mu.Unlock()
					}
				}
			})
		}
		wg.Wait()
		s.SetFaults(memstore.Faults{})
		require.Len(t, acked, 8)
		got := labelsOf(t, s)
		for k, v := range acked {
			require.Equal(t, v, got[k])
		}
		require.Equal(t, "h100", got["kind"])
	})
}

// racingStore changes the same label right before the first write.
type racingStore struct {
	*memstore.Store
	once sync.Once
}

func (r *racingStore) Put(ctx context.Context, kind, name string, spec []byte, v store.Position) (store.Position, error) {
	r.once.Do(func() {
		_, _ = Apply(ctx, r.Store, topology.KindBackendServer, "b", Label{"kind"}, "a100")
	})
	return r.Store.Put(ctx, kind, name, spec, v)
}

func TestSameFieldConflicts(t *testing.T) {
	s := &racingStore{Store: storeWithServer(t)}
	_, err := Apply(context.Background(), s, topology.KindBackendServer, "b", Label{"kind"}, "l40s")
	require.ErrorIs(t, err, ErrFieldChanged)
	require.Equal(t, "a100", labelsOf(t, s.Store)["kind"])
}

func TestFields(t *testing.T) {
	s := storeWithServer(t)
	ctx := context.Background()
	r, err := Apply(ctx, s, topology.KindBackendServer, "b", Label{"kind"}, "")
	require.NoError(t, err)
	require.Equal(t, Result{Version: 2, Before: "h100", Changed: true}, r)
	r, err = Apply(ctx, s, topology.KindBackendServer, "b", Label{"kind"}, "")
	require.NoError(t, err)
	require.False(t, r.Changed)
	_, err = Apply(ctx, s, topology.KindBackendServer, "b", Selector{"stages"}, "a=b")
	require.ErrorIs(t, err, ErrNoField)
	s.Set(string(topology.KindRoutingRule), "r", []byte(`{}`))
	_, err = Apply(ctx, s, topology.KindRoutingRule, "r", Selector{"stages"}, "a in (")
	require.ErrorContains(t, err, "selector")
	_, err = Apply(ctx, s, topology.KindRoutingRule, "r", Selector{"stages"}, "a in (b,c)")
	require.NoError(t, err)
}
