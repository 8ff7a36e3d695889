// Package tlsconf builds TLS 1.3 configurations from PEM files and reloads
// changed files without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files names the PEM files.
type Files struct {
	Cert, Key string
	CA        string // certificate authority of the peers; empty for the system's
}

// checkInterval is the minimum time between two checks of the files.
const checkInterval = 5 * time.Second

// Reloader holds the loaded files. It is safe for concurrent use.
type Reloader struct {
	files Files
	now   func() time.Time

	mu          sync.Mutex
	cert        *tls.Certificate
	pool        *x509.CertPool
	fingerprint string
	checked     time.Time
}

// New loads the files and returns an error if they are invalid. now returns the current
// time.
func New(f Files, now func() time.Time) (*Reloader, error) {
	r := &Reloader{files: f, now: now}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

// computeFingerprint identifies the state of the files by their times and
// sizes.
func (f Files) computeFingerprint() string {
	text := ""
	for _, name := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(name); err == nil {
			text += fmt.Sprint(info.ModTime().UnixNano(), info.Size(), ";")
		}
	}
	return text
}

func (r *Reloader) load() error {
	fingerprint := r.files.computeFingerprint()
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	var pool *x509.CertPool
	if r.files.CA != "" {
		pem, err := os.ReadFile(r.files.CA)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return fmt.Errorf("tls: %s contains no certificate", r.files.CA)
		}
	}
	r.cert, r.pool, r.fingerprint = &cert, pool, fingerprint
	return nil
}

// current returns the last state that could be loaded. While the files on disk
// are invalid, for example during a replacement, the previous state stays in
// use.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.now(); now.Sub(r.checked) >= checkInterval {
		r.checked = now
		if r.files.computeFingerprint() != r.fingerprint {
			_ = r.load()
		}
	}
	return r.cert, r.pool
}

// Server returns the configuration of a listener that accepts any client.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
	}
}

// Mutual returns the configuration of a listener that requires client
// certificates of the authority.
func (r *Reloader) Mutual() *tls.Config {
	c := r.Server()
	c.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool := r.current()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
		}, nil
	}
	return c
}

var errNoCertificate = errors.New("tls: the server presented no certificate")

// Client returns the configuration of connections to servers of the authority.
// Each connection is verified against the current authority, which may have
// been reloaded.
func (r *Reloader) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
		InsecureSkipVerify: true, // replaced by VerifyConnection
		VerifyConnection:   r.verify,
	}
}

func (r *Reloader) verify(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return errNoCertificate
	}
	_, pool := r.current()
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediates, DNSName: cs.ServerName})
	return err
}
