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

// discardWriter is a ResponseWriter that discards everything.
type discardWriter struct{ h http.Header }

func (d *discardWriter) Header() http.Header            { return d.h }
func (*discardWriter) Write(p []byte) (int, error)      { return len(p), nil }
func (*discardWriter) WriteHeader(int)                  {}
func (*discardWriter) Flush()                           {}
func (*discardWriter) SetWriteDeadline(time.Time) error { return nil }
func (*discardWriter) SetReadDeadline(time.Time) error  { return nil }

// fakeModels is a Models that produces n tokens without delay.
type fakeModels struct {
	Models
	n int
}

func (m fakeModels) Do(_ context.Context, r *dispatch.Request, s dispatch.Sink) (dispatch.Outcome, error) {
	id := strings.Repeat("x", 320)
	for i := range m.n {
		if err := s.Token(dispatch.Token{Index: i, Text: "word ", EventID: id}); err != nil {
			return dispatch.Outcome{}, err
		}
	}
	return dispatch.Outcome{RequestID: r.ID, Tokens: m.n}, nil
}

type staticConfig struct{ snap *topology.Snapshot }

func (c staticConfig) Snapshot() *topology.Snapshot { return c.snap }
func (staticConfig) Complete() bool                 { return true }

func benchCallers(workspaces, n int) *Callers {
	snap := topology.NewSnapshot()
	for i := range workspaces {
		name := fmt.Sprint("w", i)
		snap.Workspaces[name] = &topology.Workspace{Name: name, TokenHashes: []string{topology.HashToken(name)}}
	}
	snap.IndexTokens()
	o := CallerOptions{BodyBytes: 1 << 20, BodyTimeout: time.Second, WriteTimeout: time.Second, DefaultDeadline: time.Minute, MaxDeadline: time.Minute}
	return NewCallers(o, staticConfig{snap}, fakeModels{n: n}, nil, nil, nil, time.Now)
}

func serveOne(h http.Handler) {
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m","prompt":"truck 7 is warm","max_tokens":9,"stream":true}`))
	r.Header.Set("Authorization", "Bearer w0")
	h.ServeHTTP(&discardWriter{h: http.Header{}}, r)
}

// BenchmarkCallersRequest measures a request with a response of one token.
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

// BenchmarkCallersToken measures the cost of one token of a stream.
func BenchmarkCallersToken(b *testing.B) {
	h := benchCallers(10, b.N)
	b.ReportAllocs()
	serveOne(h)
}
