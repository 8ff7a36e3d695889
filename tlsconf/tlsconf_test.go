package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// authority issues certificates for loopback.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	der  []byte
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{cert, key, der}
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// issue writes a certificate with a serial number, its key and the authority.
func (a *authority) issue(t *testing.T, dir string, serial int64) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	raw, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	f := Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	writePEM(t, f.Cert, "CERTIFICATE", der)
	writePEM(t, f.Key, "EC PRIVATE KEY", raw)
	writePEM(t, f.CA, "CERTIFICATE", a.der)
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
	ours, theirs := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	now := time.Now()
	r, err := New(ours.issue(t, dir, 10), func() time.Time { return now })
	require.NoError(t, err)
	url := serve(t, r.Mutual())
	cert, err := get(r.Client(), url)
	require.NoError(t, err)
	require.Equal(t, int64(10), cert.SerialNumber.Int64())

	// A client without a certificate, of another authority, or with an older
	// version of TLS is turned away; so is a server of another authority.
	stranger, err := New(theirs.issue(t, t.TempDir(), 20), time.Now)
	require.NoError(t, err)
	_, err = get(stranger.Client(), url)
	require.Error(t, err)
	_, err = get(&tls.Config{InsecureSkipVerify: true}, url)
	require.Error(t, err)
	old := r.Client()
	old.MaxVersion = tls.VersionTLS12
	old.MinVersion = tls.VersionTLS12
	_, err = get(old, url)
	require.Error(t, err)
	_, err = get(r.Client(), serve(t, stranger.Server()))
	require.Error(t, err)

	// A changed file is in use after the next look; a broken one is not.
	ours.issue(t, dir, 11)
	now = now.Add(checkEvery)
	cert, err = get(r.Client(), url)
	require.NoError(t, err)
	require.Equal(t, int64(11), cert.SerialNumber.Int64())
	require.NoError(t, os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("half"), 0o600))
	now = now.Add(checkEvery)
	cert, err = get(r.Client(), url)
	require.NoError(t, err)
	require.Equal(t, int64(11), cert.SerialNumber.Int64())
}
