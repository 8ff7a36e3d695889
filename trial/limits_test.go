package trial

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/client"
	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/internal/syncbuffer"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/logging"
	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/topology"
)

// A caller that stops reading is disconnected.
func TestSlowReader(t *testing.T) {
	inWorld(t, 1, func(w *World, hc *http.Client, _ *memnet.Net) {
		body := `{"model":"` + Model + `","prompt":"p","max_tokens":4000,"stream":true}`
		req, err := http.NewRequest(http.MethodPost, w.Daemons[0].CallersURL()+"/v1/completions", strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+Token)
		resp, err := hc.Do(req)
		require.NoError(t, err)
		time.Sleep(15 * time.Second)
		require.Zero(t, w.Daemons[0].daemon.Status().Running)
		require.NoError(t, resp.Body.Close())
	})
}

// A caller that stops in the middle of its header or body is disconnected after a
// timeout.
func TestSlowSender(t *testing.T) {
	inWorld(t, 1, func(w *World, _ *http.Client, _ *memnet.Net) {
		address := strings.TrimPrefix(w.Daemons[0].CallersURL(), "http://")
		header := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Token + "\r\nContent-Length: 10000\r\n"
		for _, sent := range []string{"POST /v1/comp", header, header + "\r\n{"} {
			c, err := w.hosts(callersIP).DialContext(context.Background(), "tcp", address)
			require.NoError(t, err)
			_, err = c.Write([]byte(sent))
			require.NoError(t, err)
			began := time.Now()
			_, err = io.Copy(io.Discard, c)
			require.NoError(t, err)
			require.LessOrEqual(t, time.Since(began), 40*time.Second)
			require.NoError(t, c.Close())
		}
	})
}

// The limit of a workspace holds for the whole fleet. A workspace that sends all its
// requests to one of three daemons can still use most of its limit.
func TestWorkspaceLimit(t *testing.T) {
	inWorld(t, 3, func(w *World, hc *http.Client, _ *memnet.Net) {
		const limit = 20
		w.Platform.Set(string(topology.KindWorkspace), "limited", &topology.Workspace{
			TokenHashes: []string{topology.HashToken("limited")}, RequestsPerSecond: limit, Burst: 10})
		time.Sleep(time.Second)
		c := client.New(w.Daemons[0].CallersURL(), "limited", hc)
		complete := 0
		const seconds = 40
		for i := range seconds * 2 * limit {
			reply, err := c.Call(context.Background(), http.MethodGet, Service, "/cards", nil, "")
			require.NoError(t, err)
			if reply.Completed && i >= seconds*limit {
				complete++
			}
			if !reply.Completed {
				require.Equal(t, apierror.WorkspaceLimit, reply.Kind)
			}
			time.Sleep(time.Second / (2 * limit))
		}
		perSecond := float64(complete) / (seconds / 2)
		require.InDelta(t, (0.8+0.2/3)*limit, perSecond, 1)
	})
}

// The demand observed by all daemons reaches the holder of the placement lease.
func TestDemandIsCollected(t *testing.T) {
	inWorld(t, 3, func(w *World, hc *http.Client, _ *memnet.Net) {
		for i := range 200 {
			_, err := w.clientOf(i%3, hc).Complete(context.Background(), client.Request{Model: Model, Prompt: "p", MaxTokens: 10, Repeatable: true})
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
		}
		highest := 0.0
		for _, p := range w.Daemons {
			highest = max(highest, p.daemon.FleetDemand()[Model])
		}
		require.InDelta(t, 45, highest, 30)
	})
}

// Tokens, token hashes and keys do not appear in logs or metrics.
func TestNoSecretsInLogs(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		net := memnet.New()
		var logs syncbuffer.Buffer
		w, err := NewWorld(2, func(ip string) network.Network { return net.Host(ip) }, logging.New(&logs, "debug"))
		require.NoError(t, err)
		hc := network.Client(w.hosts(callersIP), 4)
		c := w.clientOf(0, hc)
		ctx := context.Background()
		_, err = c.Complete(ctx, client.Request{Model: Model, Prompt: "p", MaxTokens: 3, Stream: true, Repeatable: true})
		require.NoError(t, err)
		_, err = c.Call(ctx, http.MethodPost, Service, "/cards", []byte("x"), "key-1")
		require.NoError(t, err)
		_, err = client.New(w.Daemons[0].CallersURL(), "wrong-token", hc).Complete(ctx, client.Request{Model: Model, Prompt: "p"})
		require.NoError(t, err)
		resp, err := hc.Get(w.Daemons[0].OperatorsURL() + "/metrics")
		require.NoError(t, err)
		metrics, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		hc.CloseIdleConnections()
		key, err := os.ReadFile(w.keyFile)
		require.NoError(t, err)
		w.Close()
		time.Sleep(time.Minute)
		text := logs.String() + string(metrics)
		require.Contains(t, text, "msg=decision")
		require.Contains(t, text, "snowspoke_requests_total")
		for _, secret := range []string{Token, topology.HashToken(Token), "wrong-token", string(key), "key-1"} {
			require.NotContains(t, text, secret)
		}
	})
}
