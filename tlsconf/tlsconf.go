// Package tlsconf makes TLS 1.3 configurations from PEM files and takes changed
// files into use without a restart.
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
	CA        string // authority of the other side; empty for the system's
}

// checkEvery is the least time between two looks at the files.
const checkEvery = 5 * time.Second

// Reloader holds what the files hold. It is safe for concurrent use.
type Reloader struct {
	files Files
	now   func() time.Time

	mu      sync.Mutex
	cert    *tls.Certificate
	pool    *x509.CertPool
	stamp   string
	checked time.Time
}

// New loads the files once; a fault in them is an error.
func New(f Files, now func() time.Time) (*Reloader, error) {
	r := &Reloader{files: f, now: now}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

// stampOf tells one state of the files from another.
func (f Files) stampOf() string {
	text := ""
	for _, name := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(name); err == nil {
			text += fmt.Sprint(info.ModTime().UnixNano(), info.Size(), ";")
		}
	}
	return text
}

func (r *Reloader) load() error {
	stamp := r.files.stampOf()
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
			return fmt.Errorf("tls: %s holds no certificate", r.files.CA)
		}
	}
	r.cert, r.pool, r.stamp = &cert, pool, stamp
	return nil
}

// current returns the newest state that could be loaded: files that are being
// replaced and do not fit together leave the old state in use.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.now(); now.Sub(r.checked) >= checkEvery {
		r.checked = now
		if r.files.stampOf() != r.stamp {
			_ = r.load()
		}
	}
	return r.cert, r.pool
}

// Server returns the configuration of a listener that any client may use.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
	}
}

// Mutual returns the configuration of a listener whose clients must show a
// certificate of the authority.
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

var errNoCertificate = errors.New("tls: the server showed no certificate")

// Client returns the configuration of connections to servers of the authority.
// The chain is verified here, against the authority as it is at that moment.
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
	between := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: between, DNSName: cs.ServerName})
	return err
}
