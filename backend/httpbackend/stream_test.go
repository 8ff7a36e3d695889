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
	"github.com/snowspoke/snowspoke/topology"
)

// repeat yields the same bytes n times.
type repeat struct {
	data []byte
	at   int
	n    int
}

func (r *repeat) Read(p []byte) (int, error) {
	if r.n == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.data[r.at:])
	r.at += n
	if r.at == len(r.data) {
		r.at = 0
		r.n--
	}
	return n, nil
}

// BenchmarkStreamToken is the cost of reading a token event of an engine.
func BenchmarkStreamToken(b *testing.B) {
	data, err := json.Marshal(backend.Event{Type: backend.EventToken, RequestID: strings.Repeat("r", 36), Index: 1000, Token: 77, Text: "word "})
	require.NoError(b, err)
	line := append(append([]byte("data: "), data...), '\n', '\n')
	s := &stream{body: io.NopCloser(nil), sse: newSSEReader(&repeat{data: line, n: b.N})}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

func engineThat(t *testing.T, answer http.HandlerFunc) (*Engines, backend.Target) {
	srv := httptest.NewServer(answer)
	t.Cleanup(srv.Close)
	return NewEngines(srv.Client(), "http"), backend.Target{BackendServer: "b", Address: strings.TrimPrefix(srv.URL, "http://")}
}

// Every failure of a call says the strongest thing that is certain about
// execution, and nothing stronger.
func TestFailuresSayWhatIsKnown(t *testing.T) {
	var up backend.Target
	down := backend.Target{BackendServer: "b", Address: "127.0.0.1:1"}
	cases := []struct {
		name   string
		target backend.Target
		answer http.HandlerFunc
		want   error
	}{
		{"no listener", down, nil, execution.ErrNotSent},
		{"cut", up, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, execution.ErrLost},
		{"plain 503", up, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, execution.ErrLost},
		{"plain 500", up, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, execution.ErrLost},
		{"refusal", up, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderRan, RanNo); w.WriteHeader(503) }, execution.ErrRefused},
		{"fenced", up, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderRan, RanNo); w.WriteHeader(412) }, backend.ErrFenced},
		{"gone", up, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(410) }, backend.ErrGone},
		{"redirect", up, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(304) }, execution.ErrLost},
	}
	for _, c := range cases {
		e, at := engineThat(t, c.answer)
		if c.target != down {
			c.target = at
		}
		_, err := e.Generate(t.Context(), c.target, &backend.Generate{Route: topology.Route{}})
		require.ErrorIs(t, err, c.want, c.name)
		for _, other := range []error{execution.ErrNotSent, execution.ErrRefused, execution.ErrLost} {
			if other != c.want {
				require.NotErrorIs(t, err, other, c.name)
			}
		}
	}
	e, at := engineThat(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderRan, RanNo)
		w.Header().Set(HeaderHop, "third")
		w.WriteHeader(503)
	})
	_, err := e.Generate(t.Context(), at, &backend.Generate{})
	var hop *backend.HopError
	require.ErrorAs(t, err, &hop)
	require.Equal(t, "third", hop.BackendServer)
}

func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"type\":\"token\",\"request\":\"r\",\"index\":1}\n\n"))
	f.Add([]byte(": comment\n\ndata: {}\ndata:"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &stream{body: io.NopCloser(nil), sse: newSSEReader(bytes.NewReader(data))}
		for range 1000 {
			if _, err := s.Next(); err != nil {
				require.True(t, errors.Is(err, execution.ErrLost))
				return
			}
		}
	})
}
