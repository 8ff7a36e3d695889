package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/forward"
	"github.com/snowspoke/snowspoke/gateway"
)

// askedDaemon is a metrics address that records the question and gives one answer.
type askedDaemon struct {
	*httptest.Server
	status      int
	contentType string
	answer      string
	asked       string
}

func newAskedDaemon(t *testing.T) *askedDaemon {
	d := &askedDaemon{status: http.StatusOK, contentType: "application/json"}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		d.asked = r.Method + " " + r.URL.Path + " " + r.Header.Get("Content-Type") + "\n" + string(data)
		w.Header().Set("Content-Type", d.contentType)
		w.WriteHeader(d.status)
		_, _ = io.WriteString(w, d.answer)
	}))
	t.Cleanup(d.Close)
	return d
}

func (d *askedDaemon) address() string { return strings.TrimPrefix(d.URL, "http://") }

// runCommand runs the command line and returns its output, its exit code and its error.
func runCommand(t *testing.T, args ...string) (out string, code int, err error) {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "out"))
	require.NoError(t, err)
	defer file.Close()
	stdout := os.Stdout
	os.Stdout = file
	defer func() { os.Stdout = stdout }()
	var c cli
	k, err := newParser(&c).Parse(args)
	if err != nil {
		return "", exitUsage, err
	}
	err = k.Run()
	data, rerr := os.ReadFile(file.Name())
	require.NoError(t, rerr)
	if err != nil {
		return string(data), exitCode(err), err
	}
	return string(data), 0, nil
}

func writeTemp(t *testing.T, content string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(name, []byte(content), 0o600))
	return name
}

const secret = "secret-key"

// The daemon gets the request with its headers and key, and neither is printed.
func TestRouteSendsTheRequest(t *testing.T) {
	d := newAskedDaemon(t)
	d.answer = "{}"
	const request = "POST /route message/http\nGET /a%20b?x=1 HTTP/1.1\r\nHost: h.example\r\n"
	keyFile := writeTemp(t, secret+"\n")
	for name, c := range map[string]struct {
		args  []string
		env   string
		asked string
	}{
		"no key":             {[]string{"GET", "h.example", "/a%20b?x=1"}, "", request + "\r\n"},
		"key in file":        {[]string{"GET", "h.example", "/a%20b?x=1", "--key-file", keyFile, "--header", "A: b, c", "--header", "D:e"}, "other", request + "A: b, c\r\nD: e\r\nAuthorization: Bearer " + secret + "\r\n\r\n"},
		"key in environment": {[]string{"GET", "h.example", "/a%20b?x=1"}, secret, request + "Authorization: Bearer " + secret + "\r\n\r\n"},
		"file":               {[]string{"--file", writeTemp(t, "PUT / HTTP/1.1\nHost: h\nAuthorization: Bearer k\n\n")}, secret, "POST /route message/http\nPUT / HTTP/1.1\nHost: h\nAuthorization: Bearer k\n\n"},
		"file and key":       {[]string{"--file", writeTemp(t, "PUT / HTTP/1.1\nHost: h\n\nbody"), "--key-file", keyFile}, "", "POST /route message/http\nPUT / HTTP/1.1\nAuthorization: Bearer " + secret + "\r\nHost: h\n\nbody"},
	} {
		t.Setenv(keyVariable, c.env)
		out, code, err := runCommand(t, append([]string{"route", "--metrics", d.address(), "--output", "json"}, c.args...)...)
		require.NoError(t, err, name)
		require.Zero(t, code)
		require.Equal(t, c.asked, d.asked, name)
		require.NotContains(t, out, secret)
	}
}

// Failures have a clear message, the exit code of their kind, and no key in the message.
func TestRouteFailures(t *testing.T) {
	d := newAskedDaemon(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	keyFile := writeTemp(t, secret)
	request := []string{"GET", "h", "/", "--key-file", keyFile}
	for name, c := range map[string]struct {
		address string
		args    []string
		status  int
		answer  string
		code    int
		text    string
	}{
		"daemon not reachable":  {closed.Addr().String(), request, 0, "", exitUnavailable, "daemon does not answer: " + closed.Addr().String()},
		"unknown route":         {"", request, http.StatusNotFound, "unknown_route: host h\n", exitNotFound, "unknown_route: host h"},
		"unknown key":           {"", request, http.StatusUnauthorized, "unauthorized: unknown key\n", exitFailed, "unauthorized"},
		"malformed":             {"", request, http.StatusBadRequest, "bad_request: no\n", exitInvalid, "bad_request"},
		"no configuration":      {"", request, http.StatusServiceUnavailable, "config_unavailable: none\n", exitUnavailable, "config_unavailable"},
		"earlier version":       {"", request, http.StatusOK, "# HELP snowspoke", exitUnavailable, "no metrics address"},
		"another VM":            {"192.0.2.1:7300", request, 0, "", exitUsage, "no address of this VM"},
		"malformed address":     {"localhost", request, 0, "", exitUsage, "missing port"},
		"no path":               {"", []string{"GET", "h"}, 0, "", exitUsage, "METHOD HOST PATH"},
		"relative path":         {"", []string{"GET", "h", "x"}, 0, "", exitUsage, "slash"},
		"line break in path":    {"", []string{"GET", "h", "/\r\nX: y"}, 0, "", exitUsage, "spaces"},
		"path and file":         {"", []string{"GET", "h", "/", "--file", keyFile}, 0, "", exitUsage, "either"},
		"no request in file":    {"", []string{"--file", keyFile}, 0, "", exitInvalid, "does not hold a request"},
		"unreadable file":       {"", []string{"--file", "/does/not/exist"}, 0, "", exitUsage, "no such file"},
		"unreadable key":        {"", []string{"GET", "h", "/", "--key-file", "/does/not/exist"}, 0, "", exitUsage, "no such file"},
		"empty key":             {"", []string{"GET", "h", "/", "--key-file", writeTemp(t, "\n")}, 0, "", exitUsage, "no key"},
		"two keys":              {"", []string{"GET", "h", "/", "--key-file", writeTemp(t, secret+"\n"+secret)}, 0, "", exitUsage, "more than a key"},
		"key as header":         {"", []string{"GET", "h", "/", "--header", "authorization: Bearer " + secret}, 0, "", exitUsage, "--key-file"},
		"line break in header":  {"", []string{"GET", "h", "/", "--header", "A: b\r\nC: d"}, 0, "", exitUsage, "one line"},
		"header without a name": {"", []string{"GET", "h", "/", "--header", ": b"}, 0, "", exitUsage, "NAME: VALUE"},
	} {
		t.Run(name, func(t *testing.T) {
			d.status, d.answer, d.contentType, d.asked = max(c.status, http.StatusOK), c.answer, "text/plain", ""
			if c.address == "" {
				c.address = d.address()
			}
			out, code, err := runCommand(t, append([]string{"route", "--metrics", c.address}, c.args...)...)
			require.ErrorContains(t, err, c.text)
			require.NotContains(t, err.Error(), secret)
			require.Equal(t, c.code, code)
			require.Empty(t, out)
			require.Equal(t, c.status != 0, d.asked != "", "asked only if the arguments are valid")
		})
	}
	_, code, err := runCommand(t, "route", "GET", "h", "/")
	require.ErrorContains(t, err, "--metrics")
	require.Equal(t, exitUsage, code)
}

// The table shows what decides; JSON holds the answer of the daemon.
func TestRouteOutput(t *testing.T) {
	d := newAskedDaemon(t)
	x := gateway.RouteExplanation{Daemon: "vm-1", Explanation: &forward.Explanation{
		Route: "chat", Service: "model", Workspace: "w", Priority: 3, Class: 31, ObjectiveMS: 500, Prompt: 800, Answer: 172, Selection: forward.BySplit,
		Path:     &forward.ExplainedPath{Hops: []forward.ExplainedHop{{Server: "a", To: 40}, {Server: "b", From: 40, To: 80}}, FirstMS: 61.4, StepMS: 5.25, Fullest: 0.81, Reason: "next in the split: credit 0.93"},
		Next:     []forward.ExplainedPath{{Hops: []forward.ExplainedHop{{Server: "c", To: 80}}, FirstMS: 80, StepMS: 6, Fullest: 0.5, Reason: "later"}},
		Excluded: []forward.Excluded{{Server: "d", Reason: "failed"}, {Server: "e", Reason: "failed"}}, Notes: []string{"a note"},
		Shedding: &forward.Shedding{Fraction: 0.25, Share: 0.5, Demand: 30, TotalDemand: 120, InUse: 90, Capacity: 100},
		Config:   16, ConfigAgeMS: 12, LoadsAgeMS: 1250, LoadsKnown: true,
	}}
	table := func() string {
		data, err := json.Marshal(x)
		require.NoError(t, err)
		d.answer = string(data)
		out, _, err := runCommand(t, "route", "--metrics", d.address(), "GET", "h", "/")
		require.NoError(t, err)
		return out
	}
	out := table()
	for _, text := range []string{
		"vm-1, configuration 16 read 12ms ago, loads of other daemons 1.25s old", "route chat, service model, workspace w", "priority 3, class 31, objective 500ms",
		"prompt 800, expected answer 172", "25% of class 31 admitted, of the workspace 0.50 times that; the class has 25% of the demand, 90% of the capacity is in use", "sent, path selected by split", "61.4 ms", "5.2 ms", "81%", "a=0-40,b=40-80", "next in the split: credit 0.93", "c=0-80", "later", "d, e", "note: a note",
	} {
		require.Contains(t, out, text)
	}
	jsonOut, _, err := runCommand(t, "route", "--metrics", d.address(), "--output", "json", "GET", "h", "/")
	require.NoError(t, err)
	var got gateway.RouteExplanation
	require.NoError(t, json.Unmarshal([]byte(jsonOut), &got))
	require.Equal(t, x, got)

	x.Path, x.HeldUntil, x.HeldFor = nil, time.Now().UTC().Truncate(time.Second), "capacity"
	x.Refusal = &forward.Refusal{Kind: apierror.Overloaded, Status: 503, Detail: "full", RetryAfterMS: 180}
	require.Contains(t, table(), "refused: overloaded (503), Retry-After 180ms, full")
	require.Contains(t, table(), "held until "+x.HeldUntil.Format(time.RFC3339Nano))
}
