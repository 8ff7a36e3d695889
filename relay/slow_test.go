package relay

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// paceOf is an Asker: how many times longer backend servers take.
type paceOf struct {
	mu    sync.Mutex
	slow  map[string]float64
	calls int
}

func (p *paceOf) Slowdown(_ context.Context, server string) (float64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	s, known := p.slow[server]
	if !known {
		return 0, errors.New("no answer")
	}
	return s, nil
}

func (p *paceOf) DomainOf(string) string { return "d" }

func (p *paceOf) set(server string, slowdown float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow[server] = slowdown
}

func (c *copied) slowdown(server string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slow[server]
}

// What one daemon suspects is asked once, by the daemon that follows the store, and
// all know the answer within two seconds; and again when it is as fast as before.
func TestSlowServerIsKnownToAll(t *testing.T) {
	t.Parallel()
	asker := &paceOf{slow: map[string]float64{"s": 12}}
	c := newChainOf(t, 4, &copySource{version: 1}, Options{FanOut: 1, Asker: asker})
	require.Eventually(t, func() bool { return c.allHave(1, -1) && c.readers() == daemonName(0) }, 6*time.Second, 10*time.Millisecond)
	require.Zero(t, asker.calls, "nobody is asked while nobody is suspected")
	allKnow := func(slowdown float64) func() bool {
		return func() bool {
			for _, inv := range c.copies {
				if inv.slowdown("s") != slowdown {
					return false
				}
			}
			return true
		}
	}
	c.copies[3].mu.Lock()
	c.copies[3].suspects = []string{"s"}
	c.copies[3].mu.Unlock()
	// Three steps of a ping up, the look, and three steps down.
	require.Eventually(t, allKnow(12), 6*pingEvery+2*lookEvery, 10*time.Millisecond)
	asker.set("s", 1)
	require.Eventually(t, allKnow(0), 3*pingEvery+lookEvery+2*askAgain, 10*time.Millisecond)
	asker.mu.Lock()
	calls := asker.calls
	asker.mu.Unlock()
	time.Sleep(2 * askAgain)
	asker.mu.Lock()
	defer asker.mu.Unlock()
	require.Equal(t, calls, asker.calls, "one that is as fast as before is not asked again")
}

// A slow one that cannot be asked any more does not count as slow.
func TestSilentServerIsNotSlow(t *testing.T) {
	asker := &paceOf{slow: map[string]float64{}}
	inv := newCopied(&copySource{version: 1})
	inv.set(1)
	n := New(Options{Domain: "d", Asker: asker}, inv, inv, everybody{}, nil)
	n.hearSlow(own, []packedSlow{{Server: serverHash("s"), Tenths: 30}})
	require.InDelta(t, 3.0, inv.slowdown("s"), 0)
	asked, now := map[uint32]time.Time{}, time.Now()
	due := n.dueForAsking(asked, now)
	require.Len(t, due, 1)
	require.Empty(t, n.dueForAsking(asked, now), "it was asked just now")
	n.hearSlow(own, n.askSlow(t.Context(), due))
	require.Equal(t, 1, asker.calls)
	require.Zero(t, inv.slowdown("s"))
}

// A slow one that has left is not told any more, and nobody asks it.
func TestSlowServerThatLeftIsForgotten(t *testing.T) {
	asker := &paceOf{slow: map[string]float64{"left": 3}}
	inv := newCopied(&copySource{version: 1})
	inv.set(1)
	n := New(Options{Domain: "d", Asker: asker}, inv, inv, everybody{}, nil)
	n.hearSlow(own, []packedSlow{{Server: serverHash("left"), Tenths: 30}})
	due := n.dueForAsking(map[uint32]time.Time{}, time.Now())
	require.Len(t, due, 1)
	n.hearSlow(own, n.askSlow(t.Context(), due))
	require.Zero(t, asker.calls)
	slow, _ := n.slow.all(nil)
	require.Empty(t, slow)
}

// The suspects of another domain are left to its source, unless that cannot be told.
func TestSuspectsOfOtherDomainsAreLeftToTheirSource(t *testing.T) {
	inv := newCopied(&copySource{version: 1})
	inv.set(1)
	n := New(Options{Domain: "e", Asker: &paceOf{}}, inv, inv, everybody{}, nil)
	s := serverHash("s")
	asked, now := map[uint32]time.Time{}, time.Now()
	n.slow.link("d", true)
	n.slow.suspect([]uint32{s})
	require.Empty(t, n.dueForAsking(asked, now))
	require.Equal(t, []uint32{s}, n.slow.collect("d"))
	require.Empty(t, n.slow.collect("d"))
	n.slow.link("d", false)
	n.slow.suspect([]uint32{s})
	require.Len(t, n.dueForAsking(asked, now), 1)
}

// What cannot be is not believed, and of two words the slower one counts.
func TestWordsOfSlowServers(t *testing.T) {
	b := newSlowBook()
	require.True(t, b.take("a", []packedSlow{{Server: 1, Tenths: 120}, {Server: 2, Tenths: 10}, {Server: 3, Tenths: 60000}}))
	require.True(t, b.take("b", []packedSlow{{Server: 1, Tenths: 30}}))
	require.False(t, b.take("b", []packedSlow{{Server: 1, Tenths: 30}}), "no news")
	slow, version := b.all(nil)
	require.Equal(t, map[uint32]uint16{1: 120}, slow)
	require.Equal(t, uint64(2), version)
	slow, _ = b.all(func(from string) bool { return from == "b" })
	require.Equal(t, map[uint32]uint16{1: 30}, slow)
	b.suspect(make([]uint32, 3))
	for i := range uint32(2 * suspectsInPing) {
		b.suspect([]uint32{i})
	}
	require.Len(t, b.takeSuspects(), suspectsInPing)
	require.Empty(t, b.takeSuspects())
}
