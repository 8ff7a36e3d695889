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

// input and output of the model: a key's claim is a register that the first
// proposer takes.
type input struct {
	key     KeyHash
	request string
}

type output struct {
	won    bool
	holder string
}

// model says what a linearizable claim does, per key.
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

// fault sets faults at random until ctx ends.
func fault(ctx context.Context, store *memstore.Store) {
	for ctx.Err() == nil {
		store.SetFaults(memstore.Faults{
			Outage: rand.IntN(8) == 0, LoseAnswer: rand.Float64() * 0.3, LoseWrite: rand.Float64() * 0.1,
			Late: rand.Float64() * 0.2, Delay: time.Duration(1+rand.IntN(10)) * time.Millisecond,
		})
		time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
	}
	store.SetFaults(memstore.Faults{})
}

// Many daemons propose claims of few keys over one log under faults: every
// history is that of one register a key, so no key is ever won twice.
func TestClaimsAreLinearizable(t *testing.T) {
	operations := *claimOperations
	virtual.Test(t, func(t *testing.T) {
		store := memstore.New()
		ctx, cancel := context.WithCancel(context.Background())
		go fault(ctx, store)
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
						v, err := shard.Propose(context.Background(), Record{Key: in.key, RequestID: in.request, At: time.Now().UnixMilli()})
						if err != nil {
							t.Errorf("propose: %v", err)
							return
						}
						mu.Lock()
						history = append(history, porcupine.Operation{
							ClientId: d*8 + c, Input: in, Call: call, Output: output{v.Won, v.Held.RequestID}, Return: time.Now().UnixNano(),
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

// mesh is the Peers of books in one process, whose calls sometimes fail after
// they acted.
type mesh struct {
	self  string
	books map[string]*Book
	names []string
	down  map[string]bool
	flaky float64
}

var errCut = errors.New("cut")

func (m *mesh) Writer(shard int) string { return m.names[shard%len(m.names)] }

func (m *mesh) Propose(ctx context.Context, daemon string, r Record) (Verdict, error) {
	if m.down[daemon] {
		return Verdict{}, errCut
	}
	v, err := m.books[daemon].Serve(ctx, r)
	if rand.Float64() < m.flaky {
		return Verdict{}, errCut
	}
	return v, err
}

func (m *mesh) Answer(ctx context.Context, daemon string, k KeyHash, requestID string) (*Answer, error) {
	if m.down[daemon] {
		return nil, errCut
	}
	return m.books[daemon].ServeAnswer(ctx, k, requestID)
}

func newMesh(store Store, n int, flaky float64) (map[string]*Book, map[string]bool) {
	books, down := map[string]*Book{}, map[string]bool{}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("d", i))
	}
	for _, name := range names {
		m := &mesh{self: name, books: books, names: names, down: down, flaky: flaky}
		books[name] = NewBook(Options{Self: name, Shards: 4, Window: window, KeepBytes: 1 << 20}, store, m, time.Now)
	}
	return books, down
}

func ok(body string) func() (*Answer, error) {
	return func() (*Answer, error) { return &Answer{Status: 200, Body: []byte(body)}, nil }
}

// Callers that retry on any daemon, under faults: every key runs at most once,
// and whoever gets an answer gets that of the one execution.
func TestKeysRunAtMostOnce(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		store := memstore.New()
		books, _ := newMesh(store, 4, 0.2)
		ctx, cancel := context.WithCancel(context.Background())
		go fault(ctx, store)
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
					a, err := books[fmt.Sprint("d", rand.IntN(4))].Once(cctx, Use{Workspace: "w", Key: key, BodyHash: 1, RequestID: request}, func() (*Answer, error) {
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
		// No claim outlives a request that did not run: every key that has not run
		// by now runs when it is tried again.
		for n := range 100 {
			key := fmt.Sprintf("key-%d", n)
			if runs[key] > 0 {
				continue
			}
			a, err := books["d1"].Once(context.Background(), Use{Workspace: "w", Key: key, BodyHash: 1, RequestID: "late-" + key}, ok(key))
			require.NoError(t, err, key)
			require.Equal(t, key, string(a.Body))
		}
		time.Sleep(time.Minute)
	})
}

func TestUsesOfAKey(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		store := memstore.New()
		books, down := newMesh(store, 3, 0)
		ctx := context.Background()
		use := Use{Workspace: "w", Key: "k", BodyHash: 1, RequestID: "r1"}
		never := func() (*Answer, error) { t.Error("ran twice"); return nil, nil }
		a, err := books["d0"].Once(ctx, use, ok("first"))
		require.NoError(t, err)
		// Any daemon replays the answer.
		for i := range 3 {
			use.RequestID = fmt.Sprint("again", i)
			again, err := books[fmt.Sprint("d", i)].Once(ctx, use, never)
			require.NoError(t, err)
			require.Equal(t, a, again)
		}
		// The same key with another body is its own kind, also elsewhere.
		other := use
		other.BodyHash = 2
		for _, d := range []string{"d0", "d1"} {
			_, err = books[d].Once(ctx, other, never)
			require.True(t, apierror.Is(err, apierror.KeyReused), err)
		}
		// Another workspace's key is another key.
		other.Workspace = "v"
		_, err = books["d1"].Once(ctx, other, ok("theirs"))
		require.NoError(t, err)
		// When the daemon that has the answer is gone, that is said. Daemon d2
		// has not seen this key before.
		use.Key, use.RequestID = "k2", "r2"
		_, err = books["d0"].Once(ctx, use, ok("x"))
		require.NoError(t, err)
		down["d0"] = true
		use.RequestID = "r3"
		_, err = books["d2"].Once(ctx, use, never)
		require.True(t, apierror.Is(err, apierror.InProgress), err)
		time.Sleep(time.Minute)
	})
}

// A claim whose request surely did not run is released: the retry runs.
func TestRelease(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		books, _ := newMesh(memstore.New(), 2, 0)
		use := Use{Workspace: "w", Key: "k", BodyHash: 1, RequestID: "r1"}
		_, err := books["d0"].Once(context.Background(), use, func() (*Answer, error) { return nil, apierror.New(apierror.Overloaded, "full") })
		require.True(t, apierror.Is(err, apierror.Overloaded))
		use.RequestID = "r2"
		a, err := books["d1"].Once(context.Background(), use, ok("ran"))
		require.NoError(t, err)
		require.Equal(t, "ran", string(a.Body))
		time.Sleep(time.Minute)
	})
}

// With the store down a keyed request waits within its deadline and is then
// refused as not run; afterwards the key can be used.
func TestStoreDown(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		store := memstore.New()
		books, _ := newMesh(store, 1, 0)
		store.SetFaults(memstore.Faults{Outage: true})
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		use := Use{Workspace: "w", Key: "k", BodyHash: 1, RequestID: "r1"}
		began := time.Now()
		_, err := books["d0"].Once(ctx, use, ok("x"))
		require.True(t, apierror.Is(err, apierror.StoreUnavailable), err)
		require.Equal(t, 3*time.Second, time.Since(began))
		store.SetFaults(memstore.Faults{})
		time.Sleep(40 * time.Second)
		use.RequestID = "r2"
		a, err := books["d0"].Once(context.Background(), use, ok("ran"))
		require.NoError(t, err)
		require.Equal(t, "ran", string(a.Body))
		time.Sleep(time.Minute)
	})
}

func TestKeyAges(t *testing.T) {
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

// Claims over many segments are found again by a writer that starts later, and
// old segments are dropped with their keys.
func TestSegmentsRollAndExpire(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		store := memstore.New()
		first := NewShard(0, store, window)
		ctx := context.Background()
		const n = 3000
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				v, err := first.Propose(ctx, record(i, "first"))
				if err != nil || !v.Won {
					t.Errorf("%v %v", v, err)
				}
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		require.GreaterOrEqual(t, len(first.head.Segments), 3)
		second := NewShard(0, store, window)
		for _, i := range []int{0, n / 2, n - 1} {
			v, err := second.Propose(ctx, record(i, "second"))
			require.NoError(t, err)
			require.False(t, v.Won)
			require.Equal(t, "first", v.Held.RequestID)
		}
		time.Sleep(window.Retention + 3*window.Skew)
		v, err := second.Propose(ctx, record(0, "third"))
		require.NoError(t, err)
		require.True(t, v.Won)
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

// A log in which a key is claimed twice fires the assertion.
func TestDoubleClaimFires(t *testing.T) {
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
