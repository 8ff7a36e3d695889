package httpbackend

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/internal/sse"
	"github.com/snowspoke/snowspoke/topology"
)

// repeat is a reader that yields the same bytes n times.
type repeat struct {
	data []byte
	pos  int
	n    int
}

func (r *repeat) Read(p []byte) (int, error) {
	if r.n == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.data[r.pos:])
	r.pos += n
	if r.pos == len(r.data) {
		r.pos = 0
		r.n--
	}
	return n, nil
}

// BenchmarkStreamToken measures reading one token event of an engine.
func BenchmarkStreamToken(b *testing.B) {
	data, err := json.Marshal(backend.Event{Type: backend.EventToken, RequestID: strings.Repeat("r", 36), Index: 1000, Token: 77, Text: "word "})
	require.NoError(b, err)
	line := append(append([]byte("data: "), data...), '\n', '\n')
	s := &stream{body: io.NopCloser(nil), events: sse.NewReader(&repeat{data: line, n: b.N}, maxEventBytes)}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

func newEngine(t *testing.T, answer http.HandlerFunc) (*Engines, backend.Target) {
	srv := httptest.NewServer(answer)
	t.Cleanup(srv.Close)
	return NewEngines(srv.Client(), "http"), backend.Target{BackendServer: "b", Address: strings.TrimPrefix(srv.URL, "http://")}
}

// The error of a failed call wraps the strongest statement about execution that
// is certain, and no stronger one.
func TestErrorsStateWhetherRequestRan(t *testing.T) {
	var reachable backend.Target
	unreachable := backend.Target{BackendServer: "b", Address: "127.0.0.1:1"}
	cases := []struct {
		name   string
		target backend.Target
		answer http.HandlerFunc
		want   error
	}{
		{"no listener", unreachable, nil, execution.ErrNotSent},
		{"connection aborted", reachable, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, execution.ErrLost},
		{"plain 503", reachable, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, execution.ErrLost},
		{"plain 500", reachable, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, execution.ErrLost},
		{"refusal", reachable, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderRan, RanNo); w.WriteHeader(503) }, execution.ErrRefused},
		{"fenced", reachable, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderRan, RanNo); w.WriteHeader(412) }, backend.ErrFenced},
		{"gone", reachable, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(410) }, backend.ErrGone},
		{"redirect", reachable, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(304) }, execution.ErrLost},
	}
	for _, c := range cases {
		e, srv := newEngine(t, c.answer)
		if c.target != unreachable {
			c.target = srv
		}
		_, err := e.Generate(t.Context(), c.target, &backend.Generate{Route: topology.Route{}})
		require.ErrorIs(t, err, c.want, c.name)
		for _, other := range []error{execution.ErrNotSent, execution.ErrRefused, execution.ErrLost} {
			if other != c.want {
				require.NotErrorIs(t, err, other, c.name)
			}
		}
	}
	e, srv := newEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderRan, RanNo)
		w.Header().Set(HeaderHop, "third")
		w.WriteHeader(503)
	})
	_, err := e.Generate(t.Context(), srv, &backend.Generate{})
	var hop *backend.HopError
	require.ErrorAs(t, err, &hop)
	require.Equal(t, "third", hop.BackendServer)
}

func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"type\":\"token\",\"request\":\"r\",\"index\":1}\n\n"))
	f.Add([]byte(": comment\n\ndata: {}\ndata:"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &stream{body: io.NopCloser(nil), events: sse.NewReader(bytes.NewReader(data), maxEventBytes)}
		for range 1000 {
			if _, err := s.Next(); err != nil {
				require.True(t, errors.Is(err, execution.ErrLost))
				return
			}
		}
	})
}
