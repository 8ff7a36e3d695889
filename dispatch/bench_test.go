package dispatch

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/routing"
	"github.com/snowspoke/snowspoke/topology"
)

// noDelayEngine is an engine that answers without delay, so that benchmarks measure
// the daemon alone.
type noDelayEngine struct {
	backend.Engine
	hold chan struct{} // if set, streams wait for it after the first token
}

func (e *noDelayEngine) Generate(_ context.Context, _ backend.Target, g *backend.Generate) (backend.Stream, error) {
	return &noDelayStream{e: e, g: g}, nil
}

type noDelayStream struct {
	e *noDelayEngine
	g *backend.Generate
	n int
}

func (s *noDelayStream) Next() (backend.Event, error) {
	ev := backend.Event{Type: backend.EventToken, RequestID: s.g.RequestID, Attempt: s.g.Attempt, Index: s.n, Text: "word "}
	if s.n == 1 && s.e.hold != nil {
		<-s.e.hold
	}
	if s.n == s.g.MaxTokens {
		ev.Type, ev.FinishReason = backend.EventDone, "length"
	}
	s.n++
	return ev, nil
}

func (*noDelayStream) Close() error { return nil }

type noop struct{}

func (noop) Signal(string, health.Signal) {}
func (noop) ObserveLoad(backend.HopLoad)  {}
func (noop) GapBound(topology.Route, *health.Gap) time.Duration {
	return time.Minute
}
func (noop) Unresponsive(context.Context, topology.Route) []string { return nil }
func (noop) Finished(string, time.Duration)                        {}
func (noop) FirstToken(time.Duration)                              {}
func (noop) Recovered(time.Duration)                               {}
func (noop) ServerEnded()                                          {}
func (noop) Quarantined()                                          {}
func (noop) LimitReached()                                         {}
func (noop) Dropped(Drops)                                         {}

type staticCatalog struct{ snap *topology.Snapshot }

func (f staticCatalog) Snapshot() *topology.Snapshot { return f.snap }

const benchModel = "m"

// benchDispatcher returns a dispatcher over three stages with servers/3 backend
// servers each.
func benchDispatcher(b testing.TB, servers int, e backend.Engine) (*Dispatcher, *topology.Workspace) {
	snap := topology.NewSnapshot()
	snap.Revision = 1
	snap.Models[benchModel] = &topology.Model{Name: benchModel, Layers: 24, Version: "v1", MaxTokens: 1 << 20}
	table := fleet.NewTable()
	var statuses []backend.Status
	for i := range servers {
		name := fmt.Sprintf("engine-%d", i)
		lo := i % 3 * 8
		snap.BackendServers[name] = &topology.BackendServer{Name: name, Address: "127.0.0.1:1", FailureDomain: "d", TokensPerSecond: 1000}
		statuses = append(statuses, backend.Status{BackendServer: name, Boot: 1, Seq: 1, Holdings: []backend.Holding{
			{Model: benchModel, Version: "v1", Layers: topology.LayerRange{Lo: lo, Hi: lo + 8}}}})
	}
	for lo := 0; lo < 24; lo += 8 {
		snap.Stages[benchModel] = append(snap.Stages[benchModel], &topology.Stage{Name: fmt.Sprint(lo), Model: benchModel, Layers: topology.LayerRange{Lo: lo, Hi: lo + 8}})
	}
	table.SetConfig(snap.BackendServers)
	for _, st := range statuses {
		table.ApplyStatus(st, time.Now())
	}
	key := make([]byte, KeyBytes)
	_, _ = rand.Read(key)
	sealer, err := NewSealer(key)
	require.NoError(b, err)
	limit := admission.DefaultLimitConfig()
	limit.Initial = limit.Max
	d := New(Options{FirstToken: time.Minute, GapCeiling: time.Minute, MaxAttempts: 4}, Dependencies{
		Engine: e, Catalog: staticCatalog{snap}, Table: table, Planner: routing.NewPlanner(table, time.Now),
		Gate:   NewGate(GateOptions{MaxStreams: 1 << 20, QueueLimit: 10, Limit: limit}, table, time.Now),
		Health: noop{}, Prober: noop{}, Warm: routing.NewPrefixes(), Sealer: sealer,
		Log: decision.New(log.NewLogfmtLogger(io.Discard), 4096), Observer: noop{}, Clock: time.Now,
	})
	return d, &topology.Workspace{Name: "w"}
}

type countSink struct{ n int }

func (s *countSink) Token(Token) error { s.n++; return nil }

func benchRequest(w *topology.Workspace, id string, tokens int) *Request {
	return &Request{ID: id, Workspace: w, Model: benchModel, Prompt: "p", MaxTokens: tokens, Repeatable: true, CacheKey: 7}
}

// BenchmarkRequest measures the daemon's cost of a request of one token.
func BenchmarkRequest(b *testing.B) {
	for _, servers := range []int{40, 150, 600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			d, w := benchDispatcher(b, servers, &noDelayEngine{})
			b.ReportAllocs()
			for b.Loop() {
				if _, err := d.Do(context.Background(), benchRequest(w, "r", 1), &countSink{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkToken measures the daemon's cost of a token event without sockets.
func BenchmarkToken(b *testing.B) {
	d, w := benchDispatcher(b, 40, &noDelayEngine{})
	b.ReportAllocs()
	s := &countSink{}
	_, err := d.Do(context.Background(), benchRequest(w, "r", b.N), s)
	require.NoError(b, err)
	require.Equal(b, b.N, s.n)
}

// BenchmarkOpenStreams reports the memory that dispatch uses per open stream.
func BenchmarkOpenStreams(b *testing.B) {
	for _, streams := range []int{1000, 4000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			for b.Loop() {
				e := &noDelayEngine{hold: make(chan struct{})}
				d, w := benchDispatcher(b, 40, e)
				before := memoryInUse()
				var wg sync.WaitGroup
				for i := range streams {
					wg.Go(func() {
						_, _ = d.Do(context.Background(), benchRequest(w, strings.Repeat("r", 36)+fmt.Sprint(i), 2), &countSink{})
					})
				}
				for {
					if running, _ := d.gate.InFlight(); running == streams {
						break
					}
					time.Sleep(time.Millisecond)
				}
				time.Sleep(50 * time.Millisecond)
				b.ReportMetric(float64(memoryInUse()-before)/float64(streams), "bytes/stream")
				close(e.hold)
				wg.Wait()
			}
		})
	}
}

// memoryInUse returns the bytes in use by the heap and the stacks.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
