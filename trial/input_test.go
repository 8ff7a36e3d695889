package trial

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/api"
	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/client"
	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/topology"
)

// Invalid requests get the matching error kind and are not run.
func TestBadInput(t *testing.T) {
	inWorld(t, 1, func(w *World, hc *http.Client, _ *memnet.Net) {
		w.Platform.Set(string(topology.KindModel), "unheld", &topology.Model{Layers: 4, Version: "v1"})
		w.Platform.Set(string(topology.KindWorkspace), "ruled", &topology.Workspace{
			TokenHashes: []string{topology.HashToken("ruled")}, Labels: topology.Labels{"team": "night"}})
		rule, err := topology.ParseSelector("team=night")
		require.NoError(t, err)
		alerts, err := topology.ParseSelector("use=alert")
		require.NoError(t, err)
		w.Platform.Set(string(topology.KindRoutingRule), "r", &topology.RoutingRule{Workspaces: rule, Requests: alerts})
		time.Sleep(time.Second)
		good := `{"model":"` + Model + `","prompt":"p","max_tokens":3}`
		cases := []struct {
			name, token, path, body string
			header                  map[string]string
			kind                    apierror.Kind
		}{
			{"json", Token, "/v1/completions", "{", nil, apierror.BadRequest},
			{"prompt", Token, "/v1/completions", `{"model":"m"}`, nil, apierror.BadRequest},
			{"messages", Token, "/v1/chat/completions", `{"model":"m"}`, nil, apierror.BadRequest},
			{"path", Token, "/v1/nothing", good, nil, apierror.BadRequest},
			{"no token", "", "/v1/completions", good, nil, apierror.Unauthorized},
			{"token", "wrong", "/v1/completions", good, nil, apierror.Unauthorized},
			{"model", Token, "/v1/completions", `{"model":"none","prompt":"p"}`, nil, apierror.UnknownModel},
			{"adapter", Token, "/v1/completions", `{"model":"` + Model + `","adapter":"x","prompt":"p"}`, nil, apierror.UnknownModel},
			{"service", Token, "/services/none/x", "", nil, apierror.UnknownService},
			{"route", Token, "/v1/completions", `{"model":"unheld","prompt":"p"}`, nil, apierror.NoRoute},
			{"rule", "ruled", "/v1/completions", good, nil, apierror.Forbidden},
			{"long", Token, "/v1/completions", `{"prompt":"` + strings.Repeat("x", 2<<20) + `"}`, nil, apierror.BodyTooLarge},
			{"past", Token, "/v1/completions", good, map[string]string{api.HeaderDeadline: "1999-01-01T00:00:00Z"}, apierror.DeadlinePassed},
			{"deadline", Token, "/v1/completions", good, map[string]string{api.HeaderDeadline: "soon"}, apierror.BadRequest},
			{"priority", Token, "/v1/completions", good, map[string]string{api.HeaderPriority: "high"}, apierror.BadRequest},
			{"labels", Token, "/v1/completions", good, map[string]string{api.HeaderLabels: "a=b,=="}, apierror.BadRequest},
			{"repeatable", Token, "/v1/completions", good, map[string]string{api.HeaderRepeatable: "maybe"}, apierror.BadRequest},
			{"event id", Token, "/v1/completions", good, map[string]string{api.HeaderEventID: "forged"}, apierror.BadEventID},
		}
		for _, c := range cases {
			req, err := http.NewRequest(http.MethodPost, w.Daemons[0].CallersURL()+c.path, strings.NewReader(c.body))
			require.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+c.token)
			for k, v := range c.header {
				req.Header.Set(k, v)
			}
			resp, err := hc.Do(req)
			require.NoError(t, err, c.name)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, string(c.kind), resp.Header.Get(api.HeaderKind), c.name)
			require.Equal(t, string(apierror.RanNo), resp.Header.Get(api.HeaderRan), c.name)
			require.Zero(t, w.Fleet.Ledger.Executions(resp.Header.Get(api.HeaderRequestID)), c.name)
		}
	})
}

func TestRuleRestrictsBackendServers(t *testing.T) {
	inWorld(t, 1, func(w *World, hc *http.Client, _ *memnet.Net) {
		only, err := topology.ParseSelector("accelerator in (a100, l40s)")
		require.NoError(t, err)
		w.Platform.Set(string(topology.KindRoutingRule), "slow", &topology.RoutingRule{BackendServers: only})
		time.Sleep(time.Second)
		for range 20 {
			reply, err := w.clientOf(0, hc).Complete(context.Background(), client.Request{Model: Model, Prompt: "p", MaxTokens: 2, Repeatable: true})
			require.NoError(t, err)
			require.True(t, reply.Completed)
			for _, d := range w.Daemons[0].daemon.Explain(reply.RequestID) {
				require.NotRegexp(t, "engine-(1|3|5)", d.Chosen)
			}
		}
	})
}

func TestEventIDOfAnotherWorkspaceOrBody(t *testing.T) {
	inWorld(t, 1, func(w *World, hc *http.Client, _ *memnet.Net) {
		w.Platform.Set(string(topology.KindWorkspace), "other", &topology.Workspace{TokenHashes: []string{topology.HashToken("other")}})
		time.Sleep(time.Second)
		r := client.Request{Model: Model, Prompt: "p", MaxTokens: 5, Stream: true, Repeatable: true}
		reply, err := w.clientOf(0, hc).Complete(context.Background(), r)
		require.NoError(t, err)
		r.EventID = reply.EventID
		other, err := client.New(w.Daemons[0].CallersURL(), "other", hc).Complete(context.Background(), r)
		require.NoError(t, err)
		require.Equal(t, apierror.BadEventID, other.Kind)
		r.Prompt = "q"
		changed, err := w.clientOf(0, hc).Complete(context.Background(), r)
		require.NoError(t, err)
		require.Equal(t, apierror.BadEventID, changed.Kind)
	})
}

// After an invalid update the last valid version stays in force, and the reason for
// the rejection is shown.
func TestInvalidObject(t *testing.T) {
	inWorld(t, 1, func(w *World, hc *http.Client, _ *memnet.Net) {
		v := w.Platform.Set(string(topology.KindModel), Model, &topology.Model{Layers: -1})
		time.Sleep(time.Second)
		state, ok := w.Daemons[0].daemon.ObjectResult(string(topology.KindModel), Model)
		require.True(t, ok)
		require.Equal(t, v, state.Seen)
		require.Less(t, state.InForce, v)
		require.Contains(t, state.Rejected, "layers: -1, write a number from 1")
		reply, err := w.clientOf(0, hc).Complete(context.Background(), client.Request{Model: Model, Prompt: "p", MaxTokens: 3, Repeatable: true})
		require.NoError(t, err)
		require.True(t, reply.Completed)
	})
}

// A request whose body ends early is not run.
func TestTruncatedRequestIsNotRun(t *testing.T) {
	w := loopbackWorld(t)
	body := `{"model":"` + Model + `","prompt":"p","max_tokens":3}`
	for _, path := range []string{"/v1/completions", "/services/" + Service + "/a"} {
		for _, key := range []string{"", "k"} {
			for framing, sent := range map[string]string{
				fmt.Sprint("Content-Length: ", len(body)+1): body,
				"Transfer-Encoding: chunked":                fmt.Sprintf("%x\r\n%s\r\n", len(body), body),
			} {
				c := w.send(t, path, "1.1", sent, framing, api.HeaderKey+": "+key)
				require.NoError(t, c.CloseWrite())
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				require.Equal(t, string(apierror.BadRequest), resp.Header.Get(api.HeaderKind))
				require.Zero(t, w.Fleet.Ledger.Executions(resp.Header.Get(api.HeaderRequestID)))
				require.Zero(t, w.Fleet.Ledger.Calls(body))
			}
		}
	}
}
