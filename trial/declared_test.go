package trial

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/client"
	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/topology"
)

// callRate is the rate of calls of these tests, in calls per second.
const callRate = 24

// declareLimit sets the requests per second that all daemons together may send to each
// of the named engines; nil removes the limit.
func (w *World) declareLimit(rate *float64, names ...string) {
	for _, name := range names {
		for _, s := range engines {
			if s.name == name {
				w.Platform.Set(string(topology.KindBackendServer), name, &topology.BackendServer{
					Address: w.Fleet.Engine(name).Address(), FailureDomain: s.domain, Region: "bogota", Accelerator: s.accelerator,
					TokensPerSecond: s.rate, ChecksFencing: true, Labels: topology.Labels{"name": name}, RequestsPerSecond: rate,
				})
			}
		}
	}
	time.Sleep(2 * time.Second) // until the configuration is in force on all daemons
}

// outcomes counts the answers to callers.
type outcomes struct {
	complete, refused int
	slowestRefusal    time.Duration
	noRetryAfter      int // refusals without a retry time
}

// callFor sends callRate calls per second for length, spread over the daemons.
func callFor(length time.Duration, daemons int, call func(daemon, n int) (client.Reply, error)) outcomes {
	var mu sync.Mutex
	var o outcomes
	var wg sync.WaitGroup
	for n := range int(length.Seconds() * callRate) {
		wg.Go(func() {
			began := time.Now()
			reply, err := call(n%daemons, n)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && reply.Completed {
				o.complete++
				return
			}
			if err == nil && reply.Kind == apierror.Overloaded {
				o.refused++
				o.slowestRefusal = max(o.slowestRefusal, time.Since(began))
				if reply.RetryAfter == 0 {
					o.noRetryAfter++
				}
			}
		})
		time.Sleep(time.Second / callRate)
	}
	wg.Wait()
	return o
}

// maxInWindow returns the highest number of arrivals within any quota.Window that
// starts at or after since.
func maxInWindow(at []time.Time, since time.Time) int {
	highest := 0
	for i, first := range at {
		n := 0
		for _, t := range at[i:] {
			if t.Sub(first) < quota.Window {
				n++
			}
		}
		if !first.Before(since) {
			highest = max(highest, n)
		}
	}
	return highest
}

func countSince(at []time.Time, since time.Time) int {
	n := 0
	for _, t := range at {
		if !t.Before(since) {
			n++
		}
	}
	return n
}

// maxAllowed returns the highest number of calls within a quota.Window that a limit of rate
// requests per second permits.
func maxAllowed(rate float64) int { return int(1.5*rate*quota.Window.Seconds()) + 5 }

// All daemons together keep within a declared limit and use most of it: requests beyond
// it go to the other backend server of the stage. If both have a limit, excess requests
// are refused at once with a retry time. After the limits are removed all requests are
// served.
func TestDeclaredLimitAcrossDaemons(t *testing.T) {
	inWorld(t, 3, func(w *World, hc *http.Client, _ *memnet.Net) {
		call := func(daemon, n int) (client.Reply, error) {
			return w.clientOf(daemon, hc).Complete(context.Background(), client.Request{Model: Model, Prompt: fmt.Sprint("p", n), MaxTokens: 5, Repeatable: true})
		}
		rate := 4.0
		w.declareLimit(&rate, "engine-1")
		began := time.Now()
		o := callFor(16*time.Second, 3, call)
		at := w.Fleet.Engine("engine-1").Arrivals()
		used := float64(countSince(at, began)) / rate / 16
		t.Logf("%+v, %.2f of the limit used, %d calls in a window", o, used, maxInWindow(at, began))
		assert.Equal(t, 16*callRate, o.complete)
		assert.LessOrEqual(t, maxInWindow(at, began), maxAllowed(rate))
		assert.GreaterOrEqual(t, used, 0.8)

		w.declareLimit(&rate, "engine-2")
		began = time.Now()
		o = callFor(16*time.Second, 3, call)
		t.Logf("%+v", o)
		for _, name := range []string{"engine-1", "engine-2"} {
			at = w.Fleet.Engine(name).Arrivals()
			used = float64(countSince(at, began)) / rate / 16
			t.Logf("%s: %.2f used, %d in a window", name, used, maxInWindow(at, began))
			assert.LessOrEqual(t, maxInWindow(at, began), maxAllowed(rate), name)
			assert.GreaterOrEqual(t, used, 0.8, name)
		}
		assert.Equal(t, 16*callRate, o.complete+o.refused)
		assert.LessOrEqual(t, o.slowestRefusal, 50*time.Millisecond)
		assert.Zero(t, o.noRetryAfter)

		w.declareLimit(nil, "engine-1", "engine-2")
		o = callFor(4*time.Second, 3, call)
		assert.Equal(t, 4*callRate, o.complete)
	})
}

// The declared limit holds while daemons are killed and restarted.
func TestDeclaredLimitWhileDaemonsRestart(t *testing.T) {
	inWorld(t, 3, func(w *World, hc *http.Client, _ *memnet.Net) {
		rate := 6.0
		w.declareLimit(&rate, "engine-1")
		var clients []*client.Client // restarted daemons keep their addresses
		for i := range w.Daemons {
			clients = append(clients, w.clientOf(i, hc))
		}
		began := time.Now()
		var cycles sync.WaitGroup
		cycles.Go(func() {
			for i := range 3 {
				time.Sleep(4 * time.Second)
				assert.NoError(t, w.Daemons[i].Cycle(i%2 == 0, time.Second))
			}
		})
		callFor(20*time.Second, 3, func(daemon, n int) (client.Reply, error) {
			return clients[daemon].Complete(context.Background(), client.Request{Model: Model, Prompt: fmt.Sprint("p", n), MaxTokens: 5, Repeatable: true})
		})
		cycles.Wait()
		at := w.Fleet.Engine("engine-1").Arrivals()
		t.Logf("%d calls, %d in a window", countSince(at, began), maxInWindow(at, began))
		assert.LessOrEqual(t, maxInWindow(at, began), maxAllowed(rate))
	})
}

// The limits of endpoints of plain services are enforced like those of backend servers.
func TestDeclaredLimitOfAnEndpoint(t *testing.T) {
	inWorld(t, 3, func(w *World, hc *http.Client, _ *memnet.Net) {
		rate := 3.0
		spec := &topology.Service{Repeatable: []topology.CallPattern{{Method: http.MethodGet}}}
		for i, s := range w.Services {
			spec.Endpoints = append(spec.Endpoints, topology.Endpoint{Name: fmt.Sprint("cards-", i+1), Address: s.Address(), RequestsPerSecond: &rate})
		}
		w.Platform.Set(string(topology.KindService), Service, spec)
		time.Sleep(2 * time.Second)
		began := time.Now()
		o := callFor(12*time.Second, 3, func(daemon, _ int) (client.Reply, error) {
			return w.clientOf(daemon, hc).Call(context.Background(), http.MethodGet, Service, "/cards", nil, "")
		})
		t.Logf("%+v", o)
		for _, s := range w.Services {
			at := s.Arrivals()
			used := float64(countSince(at, began)) / rate / 12
			t.Logf("%.2f used, %d in a window", used, maxInWindow(at, began))
			assert.LessOrEqual(t, maxInWindow(at, began), maxAllowed(rate))
			assert.GreaterOrEqual(t, used, 0.8)
		}
		assert.Equal(t, 12*callRate, o.complete+o.refused)
		assert.LessOrEqual(t, o.slowestRefusal, 50*time.Millisecond)
		assert.Zero(t, o.noRetryAfter)
	})
}

// A negative limit is rejected with an error that names the valid values.
func TestDeclaredLimitIsChecked(t *testing.T) {
	for kind, spec := range map[topology.Kind]string{
		topology.KindBackendServer: `{"address":"a:1","failureDomain":"d","requestsPerSecond":-1}`,
		topology.KindService:       `{"endpoints":[{"name":"e","address":"a:1","requestsPerSecond":-1}]}`,
	} {
		_, err := topology.Parse(kind, "x", []byte(spec))
		require.ErrorContains(t, err, "requestsPerSecond: -1, write a number from 0 or leave it out")
	}
}
