package trial

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/client"
	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/internal/testcert"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/network"
)

// Daemons with certificates form a fleet over mutual TLS and serve callers over TLS. A
// daemon with a certificate of another authority does not join.
func TestTLSBetweenDaemonsAndToCallers(t *testing.T) {
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	virtual.Test(t, func(t *testing.T) {
		net := memnet.New()
		w, err := NewWorld(0, func(ip string) network.Network { return net.Host(ip) }, log.NewNopLogger())
		require.NoError(t, err)
		defer func() {
			w.Close()
			time.Sleep(time.Minute)
		}()
		fleetCA, err := testcert.NewAuthority()
		require.NoError(t, err)
		otherCA, err := testcert.NewAuthority()
		require.NoError(t, err)
		for i, authority := range []*testcert.Authority{fleetCA, fleetCA, otherCA} {
			files, err := authority.Issue(dirs[i], fmt.Sprintf(daemonIP, i+1), int64(i+2))
			require.NoError(t, err)
			cfg := w.Settings(i)
			cfg.Security.CertFile, cfg.Security.KeyFile, cfg.Security.CAFile = files.Cert, files.Key, files.CA
			require.NoError(t, w.startDaemon(i, cfg))
		}
		time.Sleep(10 * time.Second)
		for i, want := range []int{2, 2, 1} {
			require.Len(t, w.Daemons[i].daemon.Status().Peers, want, "daemon %d", i)
		}
		complete := func(pool *x509.CertPool) (client.Reply, error) {
			hc := network.TLSClient(w.hosts(callersIP), 4, &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool})
			defer hc.CloseIdleConnections()
			c := client.New("https://"+w.Daemons[0].cfg.Listen.Callers, Token, hc)
			return c.Complete(context.Background(), client.Request{Model: Model, Prompt: "p", MaxTokens: 5, Stream: true, Repeatable: true})
		}
		reply, err := complete(fleetCA.Pool())
		require.NoError(t, err)
		require.True(t, reply.Completed)
		_, err = complete(otherCA.Pool())
		require.Error(t, err)
	})
}
