package claims

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/internal/memstore"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/invariant"
)

var claimOperations = flag.Int("claim-operations", 20000, "operations of TestClaimsAreLinearizable")

var window = Window{Retention: time.Hour, Skew: time.Minute}

// input and output are the operations of the model, in which a key is a register
// that keeps the first value written.
type input struct {
	key     KeyHash
	request string
}

type output struct {
	won    bool
	holder string
}

// model is the sequential specification of claims, partitioned by key.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[KeyHash][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(input).key
			by[k] = append(by[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range by {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		holder := state.(string)
		i, o := in.(input), out.(output)
		if holder == "" {
			return o.won, i.request
		}
		return !o.won && o.holder == holder, holder
	},
}

// injectFaults sets random faults until ctx ends and then clears them.
func injectFaults(ctx context.Context, store *memstore.Store) {
	for ctx.Err() == nil {
		store.SetFaults(memstore.Faults{
			Outage: rand.IntN(8) == 0, LoseAnswer: rand.Float64() * 0.3, LoseWrite: rand.Float64() * 0.1,
			LateWrite: rand.Float64() * 0.2, Delay: time.Duration(1+rand.IntN(10)) * time.Millisecond,
		})
		time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
	}
	store.SetFaults(memstore.Faults{})
}

// Several daemons propose claims of shared keys to one log under faults. The
// history must be linearizable, so that no key is won twice.
func TestClaimsAreLinearizable(t *testing.T) {
	operations := *claimOperations
	virtual.Test(t, func(t *testing.T) {
		store := memstore.New()
		ctx, cancel := context.WithCancel(context.Background())
		go injectFaults(ctx, store)
		before := invariant.Count(invariant.AtMostOnce)
		const daemons = 4
		var mu sync.Mutex
		var history []porcupine.Operation
		var wg sync.WaitGroup
		for d := range daemons {
			shard := NewShard(0, store, window)
			for c := range 8 {
				wg.Go(func() {
					for n := range operations / daemons / 8 {
						in := input{request: fmt.Sprintf("%d-%d-%d", d, c, n)}
						in.key[0], in.key[1] = byte(n), byte(n>>8)
						call := time.Now().UnixNano()
						result, err := shard.Propose(context.Background(), Record{Key: in.key, RequestID: in.request, At: time.Now().UnixMilli()})
						if err != nil {
							t.Errorf("propose: %v", err)
							return
						}
						mu.Lock()
						history = append(history, porcupine.Operation{
							ClientId: d*8 + c, Input: in, Call: call, Output: output{result.Won, result.Held.RequestID}, Return: time.Now().UnixNano(),
						})
						mu.Unlock()
					}
				})
			}
		}
		wg.Wait()
		cancel()
		time.Sleep(time.Second)
		require.Len(t, history, operations/daemons/8*daemons*8)
		require.True(t, porcupine.CheckOperations(model, history))
		require.Equal(t, before, invariant.Count(invariant.AtMostOnce))
	})
}

// testPeers implements Peers in one process. Calls of Propose fail at random after
// taking effect.
type testPeers struct {
	self        string
	registries  map[string]*Registry
	names       []string
	down        map[string]bool
	failureRate float64
}

var errUnreachable = errors.New("unreachable")

func (p *testPeers) Writer(shard int) string { return p.names[shard%len(p.names)] }

func (p *testPeers) Propose(ctx context.Context, daemon string, r Record) (Result, error) {
	if p.down[daemon] {
		return Result{}, errUnreachable
	}
	result, err := p.registries[daemon].ServePropose(ctx, r)
	if rand.Float64() < p.failureRate {
		return Result{}, errUnreachable
	}
	return result, err
}

func (p *testPeers) Answer(ctx context.Context, daemon string, k KeyHash, requestID string) (*Answer, error) {
	if p.down[daemon] {
		return nil, errUnreachable
	}
	return p.registries[daemon].ServeAnswer(ctx, k, requestID)
}

func newTestRegistries(store Store, n int, failureRate float64) (map[string]*Registry, map[string]bool) {
	registries, down := map[string]*Registry{}, map[string]bool{}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("d", i))
	}
	for _, name := range names {
		p := &testPeers{self: name, registries: registries, names: names, down: down, failureRate: failureRate}
		registries[name] = NewRegistry(Options{Self: name, Shards: 4, Window: window, MaxStoredBytes: 1 << 20}, store, p, time.Now)
	}
	return registries, down
}

func ok(body string) func() (*Answer, error) {
	return func() (*Answer, error) { return &Answer{Status: 200, Body: []byte(body)}, nil }
}

// Under faults and retries on any daemon, every key runs at most once, and every
// caller gets the answer of its own key.
func TestKeysRunAtMostOnce(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		store := memstore.New()
		registries, _ := newTestRegistries(store, 4, 0.2)
		ctx, cancel := context.WithCancel(context.Background())
		go injectFaults(ctx, store)
		var mu sync.Mutex
		runs := map[string]int{}
		answered := 0
		var wg sync.WaitGroup
		for c := range 40 {
			wg.Go(func() {
				for n := range 100 {
					key := fmt.Sprintf("key-%d", n)
					cctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
					request := fmt.Sprintf("%d-%d", c, n)
					a, err := registries[fmt.Sprint("d", rand.IntN(4))].Once(cctx, Use{Workspace: "w", Key: key, BodyHash: 1, RequestID: request}, func() (*Answer, error) {
						time.Sleep(time.Duration(rand.IntN(50)) * time.Millisecond)
						if rand.IntN(10) == 0 {
							return nil, apierror.New(apierror.Overloaded, "not run")
						}
						mu.Lock()
						defer mu.Unlock()
						runs[key]++
						return &Answer{Body: []byte(key + "/" + request)}, nil
					})
					stop()
					mu.Lock()
					if err == nil {
						answered++
						if !strings.HasPrefix(string(a.Body), key+"/") {
							t.Errorf("answer %q for %s", a.Body, key)
						}
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		cancel()
		time.Sleep(2 * time.Minute)
		for key, n := range runs {
			require.Equal(t, 1, n, key)
		}
		require.Greater(t, answered, 1000)
		// The claims of requests that did not run are released: a retry of each key
		// that has not run runs.
		for n := range 100 {
			key := fmt.Sprintf("key-%d", n)
			if runs[key] > 0 {
				continue
			}
			a, err := registries["d1"].Once(context.Background(), Use{Workspace: "w", Key: key, BodyHash: 1, RequestID: "late-" + key}, ok(key))
			require.NoError(t, err, key)
			require.Equal(t, key, string(a.Body))
		}
		time.Sleep(time.Minute)
	})
}

func TestReuseOfKey(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		store := memstore.New()
		registries, down := newTestRegistries(store, 3, 0)
		ctx := context.Background()
		use := Use{Workspace: "w", Key: "k", BodyHash: 1, RequestID: "r1"}
		mustNotRun := func() (*Answer, error) { t.Error("ran twice"); return nil, nil }
		a, err := registries["d0"].Once(ctx, use, ok("first"))
		require.NoError(t, err)
		// Every daemon returns the stored answer.
		for i := range 3 {
			use.RequestID = fmt.Sprint("again", i)
			again, err := registries[fmt.Sprint("d", i)].Once(ctx, use, mustNotRun)
			require.NoError(t, err)
			require.Equal(t, a, again)
		}
		// The same key with another body is refused on every daemon.
		other := use
		other.BodyHash = 2
		for _, d := range []string{"d0", "d1"} {
			_, err = registries[d].Once(ctx, other, mustNotRun)
			require.True(t, apierror.Is(err, apierror.KeyReused), err)
		}
		// The same key of another workspace is independent.
		other.Workspace = "v"
		_, err = registries["d1"].Once(ctx, other, ok("theirs"))
		require.NoError(t, err)
		// Without the daemon that holds the answer, a daemon that has not seen the
		// key returns InProgress.
		use.Key, use.RequestID = "k2", "r2"
		_, err = registries["d0"].Once(ctx, use, ok("x"))
		require.NoError(t, err)
		down["d0"] = true
		use.RequestID = "r3"
		_, err = registries["d2"].Once(ctx, use, mustNotRun)
		require.True(t, apierror.Is(err, apierror.InProgress), err)
		time.Sleep(time.Minute)
	})
}

// The claim of a request that did not run is released, so that a retry runs.
func TestRelease(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		registries, _ := newTestRegistries(memstore.New(), 2, 0)
		use := Use{Workspace: "w", Key: "k", BodyHash: 1, RequestID: "r1"}
		_, err := registries["d0"].Once(context.Background(), use, func() (*Answer, error) { return nil, apierror.New(apierror.Overloaded, "full") })
		require.True(t, apierror.Is(err, apierror.Overloaded))
		use.RequestID = "r2"
		a, err := registries["d1"].Once(context.Background(), use, ok("ran"))
		require.NoError(t, err)
		require.Equal(t, "ran", string(a.Body))
		time.Sleep(time.Minute)
	})
}

// During a store outage a request with a key waits until its deadline and is
// refused as not run. After the outage the key can be used.
func TestStoreOutage(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		store := memstore.New()
		registries, _ := newTestRegistries(store, 1, 0)
		store.SetFaults(memstore.Faults{Outage: true})
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		use := Use{Workspace: "w", Key: "k", BodyHash: 1, RequestID: "r1"}
		start := time.Now()
		_, err := registries["d0"].Once(ctx, use, ok("x"))
		require.True(t, apierror.Is(err, apierror.StoreUnavailable), err)
		require.Equal(t, 3*time.Second, time.Since(start))
		store.SetFaults(memstore.Faults{})
		time.Sleep(40 * time.Second)
		use.RequestID = "r2"
		a, err := registries["d0"].Once(context.Background(), use, ok("ran"))
		require.NoError(t, err)
		require.Equal(t, "ran", string(a.Body))
		time.Sleep(time.Minute)
	})
}

func TestParseKey(t *testing.T) {
	now := time.Now()
	fresh, err := uuid.NewV7()
	require.NoError(t, err)
	k, err := ParseKey("w", fresh.String(), window, now)
	require.NoError(t, err)
	require.True(t, k.Timed)
	_, err = ParseKey("w", fresh.String(), window, now.Add(2*time.Hour))
	require.ErrorIs(t, err, ErrExpired)
	_, err = ParseKey("w", fresh.String(), window, now.Add(-time.Hour))
	require.ErrorIs(t, err, ErrBadKey)
	_, err = ParseKey("w", "", window, now)
	require.ErrorIs(t, err, ErrBadKey)
	opaque, err := ParseKey("w", "invoice 7", window, now)
	require.NoError(t, err)
	require.False(t, opaque.Timed)
}

// A writer that starts later finds claims in all segments, and segments are
// deleted once their keys have expired.
func TestSegmentsRollAndExpire(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		store := memstore.New()
		first := NewShard(0, store, window)
		ctx := context.Background()
		const n = 3000
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				result, err := first.Propose(ctx, record(i, "first"))
				if err != nil || !result.Won {
					t.Errorf("%v %v", result, err)
				}
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		require.GreaterOrEqual(t, len(first.head.Segments), 3)
		second := NewShard(0, store, window)
		for _, i := range []int{0, n / 2, n - 1} {
			result, err := second.Propose(ctx, record(i, "second"))
			require.NoError(t, err)
			require.False(t, result.Won)
			require.Equal(t, "first", result.Held.RequestID)
		}
		time.Sleep(window.Retention + 3*window.Skew)
		result, err := second.Propose(ctx, record(0, "third"))
		require.NoError(t, err)
		require.True(t, result.Won)
		require.Empty(t, second.head.Segments)
		segments, _, err := store.List(ctx, KindSegment)
		require.NoError(t, err)
		require.Empty(t, segments)
		time.Sleep(time.Minute)
	})
}

func record(i int, request string) Record {
	r := Record{RequestID: request, At: time.Now().UnixMilli()}
	r.Key[0], r.Key[1] = byte(i), byte(i>>8)
	return r
}

// A log that claims a key twice reports an invariant violation.
func TestDoubleClaimReportsViolation(t *testing.T) {
	before := invariant.Count(invariant.AtMostOnce)
	x := newIndex()
	require.NoError(t, x.apply(Batch{ID: 1, Records: []Record{record(1, "a")}}, window))
	require.Error(t, x.apply(Batch{ID: 2, Records: []Record{record(1, "b")}}, window))
	require.Equal(t, before+1, invariant.Count(invariant.AtMostOnce))
}

func FuzzDecode(f *testing.F) {
	f.Add(encode(Head{Batches: []Batch{{ID: 1, Records: []Record{{RequestID: "r"}}}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if h, err := DecodeHead(data); err == nil {
			_, _ = DecodeHead(encode(h))
		}
		_, _ = DecodeSegment(data)
	})
}
