package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/snowspoke/snowspoke/api"
	"github.com/snowspoke/snowspoke/internal/readall"
	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/store/httpstore"
)

// Errors that exitCode maps to exit codes.
var (
	errUsage       = errors.New("wrong usage")
	errInvalid     = errors.New("invalid")
	errNotFound    = errors.New("not known")
	errUnavailable = errors.New("daemon does not answer")
	errNotInForce  = errors.New("not in force in time")
)

// Timeouts of calls to the platform and to daemons.
const (
	dialTimeout = 2 * time.Second
	callTimeout = 5 * time.Second
)

// httpClient returns an HTTP client that trusts the authority given by --ca, if
// any.
func (c *cli) httpClient() (*http.Client, error) {
	var conf *tls.Config
	if c.CA != "" {
		pem, err := os.ReadFile(c.CA)
		if err != nil {
			return nil, fmt.Errorf("%w: %v", errUsage, err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%w: %s holds no certificate", errUsage, c.CA)
		}
		conf = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}
	}
	hc := network.TLSClient(network.NewSystem(dialTimeout), 4, conf)
	hc.Timeout = callTimeout
	return hc, nil
}

func (c *cli) scheme() string {
	if c.CA != "" {
		return "https://"
	}
	return "http://"
}

// store returns a client of the platform's store.
func (c *cli) store() (*httpstore.Client, error) {
	if c.Platform == "" {
		return nil, fmt.Errorf("%w: give --platform URL or set SNOWSPOKE_PLATFORM", errUsage)
	}
	hc, err := c.httpClient()
	if err != nil {
		return nil, err
	}
	return httpstore.New(c.Platform, hc), nil
}

// getJSON decodes a JSON response of the operators' interface of one daemon. It returns
// errNotFound for status 404, and errUnavailable if the daemon does not answer or answers
// with another error status.
func (c *cli) getJSON(address, path string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	hc, err := c.httpClient()
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme()+address+path, nil)
	if err != nil {
		return fmt.Errorf("%w: %v", errUsage, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := hc.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %s: %v", errUnavailable, address, err)
	}
	defer resp.Body.Close()
	data, err := readall.AtMost(resp.Body, maxOutputBytes)
	if err != nil {
		return fmt.Errorf("%w: %s: %v", errUnavailable, address, err)
	}
	if resp.StatusCode == http.StatusNotFound {
		return fmt.Errorf("%w: %s: %s", errNotFound, address, data)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: %s", errUnavailable, address, data)
	}
	return json.Unmarshal(data, out)
}

// anyStatus returns the status of the first given daemon that responds.
func (c *cli) anyStatus() (*api.Status, error) {
	if len(c.Daemon) == 0 {
		return nil, fmt.Errorf("%w: give --daemon IP:PORT or set SNOWSPOKE_DAEMONS", errUsage)
	}
	var errs []error
	for _, d := range c.Daemon {
		var s api.Status
		err := c.getJSON(d, "/v1/status", &s)
		if err == nil {
			return &s, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

// daemonAddresses returns the operators' addresses of all alive or suspect daemons
// by name.
func (c *cli) daemonAddresses() (map[string]string, error) {
	s, err := c.anyStatus()
	if err != nil {
		return nil, err
	}
	out := map[string]string{}
	for _, p := range s.Peers {
		if p.State == "alive" || p.State == "suspect" {
			out[p.Name] = p.Operators
		}
	}
	return out, nil
}

// print writes v as JSON, or as a table by writeTable.
func (c *cli) print(v any, writeTable func(w io.Writer)) error {
	if c.Output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	writeTable(tw)
	return tw.Flush()
}

func escape(s string) string { return url.PathEscape(s) }
