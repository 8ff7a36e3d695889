package dispatch

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/routing"
	"github.com/snowspoke/snowspoke/topology"
)

// Nothing else wakes the queue after the loss.
func TestQueuedRequestIsRefusedIfTheRouteIsLostLate(t *testing.T) {
	const lostAfter = 10 * time.Second
	virtual.Test(t, func(t *testing.T) {
		g := NewGate(GateOptions{MaxStreams: 10, QueueLimit: 10}, fleet.NewTable(), time.Now)
		model, key := &topology.Model{Name: "m"}, routing.Key{Model: "m"}
		start := time.Now()
		full := func(*rand.Rand) (routing.Choice, error) {
			if time.Since(start) < lostAfter {
				return routing.Choice{}, routing.ErrFull
			}
			return routing.Choice{}, routing.ErrNoRoute
		}
		result := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err := g.Admit(ctx, &Request{Workspace: &topology.Workspace{Name: "w"}}, model, key, full)
			result <- err
		}()
		time.Sleep(lostAfter - time.Second)
		_, err := g.Admit(t.Context(), &Request{Workspace: &topology.Workspace{Name: "w"}, Priority: 1}, model, key,
			func(*rand.Rand) (routing.Choice, error) { return routing.Choice{}, nil })
		require.NoError(t, err)
		time.Sleep(time.Second)
		g.Wake() // the route is lost; it was last found a second ago
		require.True(t, apierror.Is(<-result, apierror.NoRoute))
		require.LessOrEqual(t, time.Since(start), lostAfter+2*(bufferTimeout+bufferSlack))
	})
}
