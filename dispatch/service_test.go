package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/topology"
)

// refusingOnce refuses the first attempt of each call.
type refusingOnce struct{ seen map[string]bool }

func (s *refusingOnce) Call(_ context.Context, _ backend.Target, c *backend.ServiceCall) (*backend.ServiceReply, error) {
	if !s.seen[c.RequestID] {
		s.seen[c.RequestID] = true
		return nil, execution.ErrRefused
	}
	return &backend.ServiceReply{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// The retry budget of a plain service must recover, so that occasional refusals
// are always retried.
func TestServiceRetryBudgetRecovers(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		snap := topology.NewSnapshot()
		snap.Services["cards"] = &topology.Service{Name: "cards", Endpoints: []topology.Endpoint{
			{Name: "a", Address: "a:1"}, {Name: "b", Address: "b:1"},
		}}
		table := fleet.NewTable()
		d := New(Options{}, Dependencies{
			Catalog: staticCatalog{snap}, Table: table, Observer: noop{}, Clock: time.Now,
			Gate: NewGate(GateOptions{MaxStreams: 10, RetryRatio: 0.1}, table, time.Now), Log: decision.New(log.NewNopLogger(), 16),
		})
		s := NewServices(d, &refusingOnce{seen: map[string]bool{}})
		for i := range 40 {
			time.Sleep(5 * time.Second)
			reply, err := s.Do(t.Context(), &ServiceRequest{
				Workspace: &topology.Workspace{Name: "w"}, Service: "cards",
				Call: backend.ServiceCall{RequestID: fmt.Sprint(i), Method: http.MethodPost, Path: "/"},
			})
			require.NoError(t, err, "call %d", i)
			require.NoError(t, reply.Body.Close())
		}
	})
}
