package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/inventory"
)

// askedOf is an Asker: the conditions of backend servers, and who may be crowded.
type askedOf struct {
	mu         sync.Mutex
	conditions map[string]Condition
	maybe      []string
	calls      int
}

func slowed(by map[string]float64) *askedOf {
	a := &askedOf{conditions: map[string]Condition{}}
	for server, slowdown := range by {
		a.conditions[server] = Condition{Slowdown: slowdown}
	}
	return a
}

func (p *askedOf) Condition(_ context.Context, server string) (Condition, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	s, known := p.conditions[server]
	if !known {
		return Condition{}, errors.New("no answer")
	}
	return s, nil
}

func (p *askedOf) DomainOf(string) string { return "d" }

func (p *askedOf) MaybeCrowded() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maybe
}

func (p *askedOf) set(server string, c Condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions[server] = c
}

func (c *copied) condition(server string) Condition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conditions[server]
}

func (c *copied) slowdown(server string) float64 { return c.condition(server).Slowdown }

// A backend server that may be crowded, by the loads that are known, is asked although
// nobody suspects it, and all know how it is until it has room again.
func TestCrowdedServerIsKnownToAll(t *testing.T) {
	t.Parallel()
	asker := slowed(nil)
	asker.maybe = []string{"s"}
	crowded := Condition{Full: 0.98, Waiting: 7}
	asker.set("s", crowded)
	c := newChainOf(t, 4, &copySource{version: 1}, Options{FanOut: 1, Asker: asker})
	require.Eventually(t, func() bool { return c.allHave(1, -1) && c.readers() == daemonName(0) }, 6*time.Second, 10*time.Millisecond)
	allKnow := func(want Condition) func() bool {
		return func() bool {
			for _, inv := range c.copies {
				if inv.condition("s") != want {
					return false
				}
			}
			return true
		}
	}
	require.Eventually(t, allKnow(crowded), lookEvery+askAgain+3*pingEvery, 10*time.Millisecond)
	asker.set("s", Condition{Full: 0.6, Slowdown: 1})
	require.Eventually(t, allKnow(Condition{}), lookEvery+askAgain+3*pingEvery, 10*time.Millisecond)
}

func TestConditionsOnALink(t *testing.T) {
	for _, c := range []Condition{{Slowdown: 12}, {Full: 0.96}, {Waiting: 3}, {Slowdown: 1.5, Full: 1, Waiting: 255}} {
		p := packCondition(7, c)
		require.True(t, p.possible())
		require.Equal(t, c, p.unpack())
	}
	for _, well := range []Condition{{}, {Slowdown: 1.2, Full: 0.6}, {Slowdown: 1}} {
		require.False(t, packCondition(7, well).possible(), "%+v is not worth a word", well)
	}
	require.False(t, packedCondition{Percent: 101}.possible())
	require.Equal(t, Condition{Full: 1, Waiting: waitingMost}, packCondition(7, Condition{Full: 1.3, Waiting: 4000}).unpack())
}

// What one daemon suspects is asked once, by the daemon that follows the store, and
// all know the answer within two seconds; and again when it is as fast as before.
func TestSlowServerIsKnownToAll(t *testing.T) {
	t.Parallel()
	asker := slowed(map[string]float64{"s": 12})
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
	asker.set("s", Condition{Slowdown: 1})
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
	asker := slowed(nil)
	inv := newCopied(&copySource{version: 1})
	inv.set(1)
	n := New(Options{Domain: "d", Asker: asker}, inv, inv, everybody{}, nil)
	n.hearConditions(own, []packedCondition{{Server: serverHash("s"), Tenths: 30}})
	require.InDelta(t, 3.0, inv.slowdown("s"), 0)
	asked, now := map[uint32]time.Time{}, time.Now()
	due := n.dueForAsking(asked, now)
	require.Len(t, due, 1)
	require.Empty(t, n.dueForAsking(asked, now), "it was asked just now")
	n.hearConditions(own, n.askConditions(t.Context(), due))
	require.Equal(t, 1, asker.calls)
	require.Zero(t, inv.slowdown("s"))
}

// A slow one that has left is not told any more, and nobody asks it.
func TestSlowServerThatLeftIsForgotten(t *testing.T) {
	asker := slowed(map[string]float64{"left": 3})
	inv := newCopied(&copySource{version: 1})
	inv.set(1)
	n := New(Options{Domain: "d", Asker: asker}, inv, inv, everybody{}, nil)
	n.hearConditions(own, []packedCondition{{Server: serverHash("left"), Tenths: 30}})
	due := n.dueForAsking(map[uint32]time.Time{}, time.Now())
	require.Len(t, due, 1)
	n.hearConditions(own, n.askConditions(t.Context(), due))
	require.Zero(t, asker.calls)
	slow, _ := n.conditions.all(nil)
	require.Empty(t, slow)
}

// The suspects of another domain are left to its source, unless that cannot be told.
func TestSuspectsOfOtherDomainsAreLeftToTheirSource(t *testing.T) {
	inv := newCopied(&copySource{version: 1})
	inv.set(1)
	n := New(Options{Domain: "e", Asker: slowed(nil)}, inv, inv, everybody{}, nil)
	s := serverHash("s")
	asked, now := map[uint32]time.Time{}, time.Now()
	n.conditions.link("d", true)
	n.conditions.suspect([]uint32{s})
	require.Empty(t, n.dueForAsking(asked, now))
	require.Equal(t, []uint32{s}, n.conditions.collect("d"))
	require.Empty(t, n.conditions.collect("d"))
	n.conditions.link("d", false)
	n.conditions.suspect([]uint32{s})
	require.Len(t, n.dueForAsking(asked, now), 1)
}

// What cannot be is not believed, and of two words the slower one counts.
func TestWordsOfSlowServers(t *testing.T) {
	b := newConditionBook()
	require.True(t, b.take("a", []packedCondition{{Server: 1, Tenths: 120}, {Server: 2, Tenths: 10}, {Server: 3, Tenths: 60000}}))
	require.True(t, b.take("b", []packedCondition{{Server: 1, Tenths: 30}}))
	require.False(t, b.take("b", []packedCondition{{Server: 1, Tenths: 30}}), "no news")
	slow, version := b.all(nil)
	require.Equal(t, map[uint32]packedCondition{1: {Server: 1, Tenths: 120}}, slow)
	require.Equal(t, uint64(2), version)
	slow, _ = b.all(func(from string) bool { return from == "b" })
	require.Equal(t, map[uint32]packedCondition{1: {Server: 1, Tenths: 30}}, slow)
	b.suspect(make([]uint32, 3))
	for i := range uint32(2 * suspectsInPing) {
		b.suspect([]uint32{i})
	}
	require.Len(t, b.takeSuspects(), suspectsInPing)
	require.Empty(t, b.takeSuspects())
}

// Where all of a thousand backend servers may be crowded, as after a start, only some are
// asked at each look, and others at the next.
func TestFewAreAskedAtOneLook(t *testing.T) {
	asker := slowed(nil)
	inv := newCopied(&copySource{version: 1})
	inv.state = &inventory.State{ConfigVersion: 1, Servers: map[string]inventory.Entry{}}
	for i := range 1000 {
		id := fmt.Sprint("s-", i)
		inv.state.Servers[id] = inventory.Entry{}
		asker.maybe = append(asker.maybe, id)
	}
	n := New(Options{Domain: "d", Asker: asker}, inv, inv, everybody{}, nil)
	asked, now := map[uint32]time.Time{}, time.Now()
	for look := range 3 {
		require.Len(t, n.dueForAsking(asked, now), maybeMost)
		require.Len(t, asked, (look+1)*maybeMost)
	}
}
