package trial

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/api"
	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/topology"
)

// restartWithout restarts the daemon of a world with a store that does not list a kind of
// objects.
func restartWithout(t *testing.T, w *World, kind topology.Kind) *Process {
	t.Helper()
	platform, err := url.Parse(w.Platform.URL())
	require.NoError(t, err)
	proxy := httputil.NewSingleHostReverseProxy(platform)
	store := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/"+string(kind)) {
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
	return d
}

// A daemon that has not read the workspaces yet would refuse valid tokens.
func TestDaemonIsNotReadyWithoutWorkspaces(t *testing.T) {
	d := restartWithout(t, loopbackWorld(t), topology.KindWorkspace)
	require.Never(t, d.Ready, 2*time.Second, 10*time.Millisecond)
}

// A caller may reach a daemon that is not ready. What that daemon has not read yet may exist.
func TestIncompleteConfigurationRefusesNothingForGood(t *testing.T) {
	for _, kind := range []topology.Kind{topology.KindWorkspace, topology.KindService} {
		t.Run(string(kind), func(t *testing.T) {
			w := loopbackWorld(t)
			restartWithout(t, w, kind)
			for range 20 {
				resp, err := w.post10(t, "/services/"+Service+"/a", "x")
				require.NoError(t, err)
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				require.Equal(t, string(apierror.RanNo), resp.Header.Get(api.HeaderRan))
				require.NotEmpty(t, resp.Header.Get("Retry-After"))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// Daemons that start while the store is away are ready once one of them has read all kinds of
// objects and the others have what it has, and not before.
func TestDaemonsAreReadyOnceOneOfThemIsComplete(t *testing.T) {
	inWorld(t, 3, func(w *World, _ *http.Client, net *memnet.Net) {
		for i, p := range w.Daemons {
			require.NoError(t, p.Stop())
			net.Cut(fmt.Sprintf(daemonIP, i+1), platformIP)
		}
		for _, p := range w.Daemons {
			require.NoError(t, p.Start())
		}
		time.Sleep(5 * time.Second)
		for _, p := range w.Daemons {
			require.Error(t, p.daemon.Ready(), p.Name)
		}
		net.Heal()
		time.Sleep(20 * time.Second)
		for _, p := range w.Daemons {
			require.NoError(t, p.daemon.Ready(), p.Name)
		}
	})
}
