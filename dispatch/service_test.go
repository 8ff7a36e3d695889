package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
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

// bodyOnce replies with a body.
type bodyOnce struct{ body io.Reader }

func (s bodyOnce) Call(context.Context, backend.Target, *backend.ServiceCall) (*backend.ServiceReply, error) {
	return &backend.ServiceReply{Status: http.StatusOK, Body: io.NopCloser(s.body)}, nil
}

type finishedObserver struct {
	noop
	kind *string
}

func (o finishedObserver) Finished(kind string, _ time.Duration) { *o.kind += kind }

// A reply that breaks off is not counted as a whole one, and the log says how it ended.
func TestBrokenReplyIsNotCountedAsWhole(t *testing.T) {
	snap := topology.NewSnapshot()
	snap.Services["cards"] = &topology.Service{Name: "cards", Endpoints: []topology.Endpoint{{Name: "a", Address: "a:1"}}}
	for want, body := range map[string]io.Reader{"whole": strings.NewReader("abc"), "backend_failed": iotest.ErrReader(io.ErrUnexpectedEOF)} {
		var kind string
		table, decisions := fleet.NewTable(), decision.New(log.NewNopLogger(), 16)
		s := NewServices(New(Options{}, Dependencies{
			Catalog: staticCatalog{snap}, Table: table, Observer: finishedObserver{kind: &kind}, Clock: time.Now,
			Gate: NewGate(GateOptions{MaxStreams: 10}, table, time.Now), Log: decisions,
		}), bodyOnce{body})
		reply, err := s.Do(t.Context(), &ServiceRequest{Workspace: &topology.Workspace{Name: "w"}, Service: "cards"})
		require.NoError(t, err)
		_, _ = io.ReadAll(reply.Body)
		require.NoError(t, reply.Body.Close())
		require.Equal(t, want, kind)
		ends := decisions.Find(func(r *decision.Record) bool {
			return r.Kind == decision.Finish && strings.Contains(r.Reason, "until_close")
		})
		require.Len(t, ends, 1)
	}
}
