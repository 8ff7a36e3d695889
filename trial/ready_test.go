package trial

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/topology"
)

// A daemon that has not read the workspaces yet would refuse valid tokens.
func TestDaemonIsNotReadyWithoutWorkspaces(t *testing.T) {
	w := loopbackWorld(t)
	platform, err := url.Parse(w.Platform.URL())
	require.NoError(t, err)
	proxy := httputil.NewSingleHostReverseProxy(platform)
	store := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/"+string(topology.KindWorkspace)) {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(rw, r)
	}))
	t.Cleanup(store.Close)
	d := w.Daemons[0]
	require.NoError(t, d.Stop())
	d.cfg.Platform.URL = store.URL
	require.NoError(t, d.Start())
	require.Never(t, d.Ready, 2*time.Second, 10*time.Millisecond)
}
