package tlsconf_test

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/testcert"
	"github.com/snowspoke/snowspoke/tlsconf"
)

func authority(t *testing.T) *testcert.Authority {
	a, err := testcert.NewAuthority()
	require.NoError(t, err)
	return a
}

func issue(t *testing.T, a *testcert.Authority, dir string, serial int64) tlsconf.Files {
	f, err := a.Issue(dir, "127.0.0.1", serial)
	require.NoError(t, err)
	return f
}

func serve(t *testing.T, c *tls.Config) string {
	l, err := tls.Listen("tcp", "127.0.0.1:0", c)
	require.NoError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return "https://" + l.Addr().String()
}

func get(c *tls.Config, url string) (*x509.Certificate, error) {
	hc := &http.Client{Transport: &http.Transport{TLSClientConfig: c, DisableKeepAlives: true}}
	resp, err := hc.Get(url)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return resp.TLS.PeerCertificates[0], nil
}

func TestMutualAndReload(t *testing.T) {
	trusted, untrusted := authority(t), authority(t)
	dir := t.TempDir()
	now := time.Now()
	r, err := tlsconf.New(issue(t, trusted, dir, 10), func() time.Time { return now })
	require.NoError(t, err)
	url := serve(t, r.Mutual())
	cert, err := get(r.Client(), url)
	require.NoError(t, err)
	require.Equal(t, int64(10), cert.SerialNumber.Int64())

	// A client without a certificate, of another authority, or with an older
	// version of TLS is rejected; so is a server of another authority.
	foreign, err := tlsconf.New(issue(t, untrusted, t.TempDir(), 20), time.Now)
	require.NoError(t, err)
	_, err = get(foreign.Client(), url)
	require.Error(t, err)
	_, err = get(&tls.Config{InsecureSkipVerify: true}, url)
	require.Error(t, err)
	old := r.Client()
	old.MaxVersion = tls.VersionTLS12
	old.MinVersion = tls.VersionTLS12
	_, err = get(old, url)
	require.Error(t, err)
	_, err = get(r.Client(), serve(t, foreign.Server()))
	require.Error(t, err)

	// A changed file is used after the next check; an invalid one is not.
	issue(t, trusted, dir, 11)
	now = now.Add(10 * time.Second)
	cert, err = get(r.Client(), url)
	require.NoError(t, err)
	require.Equal(t, int64(11), cert.SerialNumber.Int64())
	require.NoError(t, os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("half"), 0o600))
	now = now.Add(10 * time.Second)
	cert, err = get(r.Client(), url)
	require.NoError(t, err)
	require.Equal(t, int64(11), cert.SerialNumber.Int64())
}
