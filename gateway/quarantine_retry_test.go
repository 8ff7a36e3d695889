package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/store"
)

// awayStore is a store that is away until a time, and without objects.
type awayStore struct {
	until   time.Time
	written chan time.Time
}

func (s *awayStore) Get(context.Context, string, string) (store.Object, error) {
	if time.Now().Before(s.until) {
		return store.Object{}, store.ErrUnavailable
	}
	return store.Object{}, store.ErrNotFound
}

func (s *awayStore) Put(context.Context, string, string, []byte, store.Position) (store.Position, error) {
	s.written <- time.Now()
	return store.At(store.FirstEra, 1), nil
}

func (s *awayStore) Era() uint64 { return store.FirstEra }

// Guards against a quarantine record that is written later after an outage than its longest retry delay.
func TestQuarantineRetryDelayIsBounded(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		longest := time.Duration(0)
		for range 2000 {
			ctx, cancel := context.WithCancel(t.Context())
			registry := quarantine.NewRegistry(quarantine.DefaultPolicy)
			for n := range 2 {
				registry.RecordEnd(1, quarantine.Server(n), quarantine.Likely, time.Now())
			}
			s := &awayStore{until: time.Now().Add(10 * time.Second), written: make(chan time.Time, 1)}
			go newQuarantineSyncer(registry, s, func() (int, bool) { return 0, true }, log.NewNopLogger()).run(ctx)
			longest = max(longest, (<-s.written).Sub(s.until))
			cancel()
		}
		require.LessOrEqual(t, longest, maxSyncRetryDelay+syncBatchDelay, "after the outage")
	})
}
