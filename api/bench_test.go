package api

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/snowspoke/snowspoke/dispatch"
	"github.com/snowspoke/snowspoke/topology"
)

// discard is a response writer without a socket.
type discard struct{ h http.Header }

func (d *discard) Header() http.Header            { return d.h }
func (*discard) Write(p []byte) (int, error)      { return len(p), nil }
func (*discard) WriteHeader(int)                  {}
func (*discard) Flush()                           {}
func (*discard) SetWriteDeadline(time.Time) error { return nil }
func (*discard) SetReadDeadline(time.Time) error  { return nil }

// tokens is a Models that hands out tokens at once.
type tokens struct {
	Models
	n int
}

func (m tokens) Do(_ context.Context, r *dispatch.Request, s dispatch.Sink) (dispatch.Outcome, error) {
	id := strings.Repeat("x", 320)
	for i := range m.n {
		if err := s.Token(dispatch.Token{Index: i, Text: "word ", EventID: id}); err != nil {
			return dispatch.Outcome{}, err
		}
	}
	return dispatch.Outcome{RequestID: r.ID, Tokens: m.n}, nil
}

type fixed struct{ snap *topology.Snapshot }

func (f fixed) Snapshot() *topology.Snapshot { return f.snap }

func benchCallers(workspaces, n int) *Callers {
	snap := topology.NewSnapshot()
	for i := range workspaces {
		name := fmt.Sprint("w", i)
		snap.Workspaces[name] = &topology.Workspace{Name: name, TokenHashes: []string{topology.HashToken(name)}}
	}
	snap.IndexTokens()
	o := CallerOptions{BodyBytes: 1 << 20, BodyTimeout: time.Second, WriteTimeout: time.Second, DefaultDeadline: time.Minute, MaxDeadline: time.Minute}
	return NewCallers(o, fixed{snap}, tokens{n: n}, nil, nil, nil, time.Now)
}

func serveOne(h http.Handler) {
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m","prompt":"truck 7 is warm","max_tokens":9,"stream":true}`))
	r.Header.Set("Authorization", "Bearer w0")
	h.ServeHTTP(&discard{h: http.Header{}}, r)
}

// BenchmarkCallersRequest is the cost of a request of one token in this package.
func BenchmarkCallersRequest(b *testing.B) {
	for _, workspaces := range []int{10, 1000, 19000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			h := benchCallers(workspaces, 1)
			b.ReportAllocs()
			for b.Loop() {
				serveOne(h)
			}
		})
	}
}

// BenchmarkCallersToken is the cost of a token in this package.
func BenchmarkCallersToken(b *testing.B) {
	h := benchCallers(10, b.N)
	b.ReportAllocs()
	serveOne(h)
}
