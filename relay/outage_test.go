package relay

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// setAway takes the store away from all daemons or gives it back.
func (s *copySource) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// mostReaders returns the most daemons that follow the store at one time for a while.
func (c *chain) mostReaders(d time.Duration) int {
	most := 0
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		readers := 0
		for _, n := range c.nodes {
			if n.Reading() {
				readers++
			}
		}
		most = max(most, readers)
	}
	return most
}

// domainOf starts a domain of daemons that have a configuration in force within a time.
func domainOf(t *testing.T, daemons int, configWithin time.Duration) *chain {
	c := newChainOf(t, daemons, &copySource{version: 1}, Options{ConfigWithin: configWithin})
	require.Eventually(t, func() bool { return c.allHave(1, -1) && c.readers() == daemonName(0) }, 6*time.Second, 10*time.Millisecond)
	return c
}

// A store that is about to drop its history says nothing for 1.6 s. Where a configuration
// may take four seconds, nobody leaves a source for that.
func TestSilenceOfTheStoreBeforeACompactionMovesNobody(t *testing.T) {
	t.Parallel()
	c := domainOf(t, 10, 4*time.Second)
	c.store.setAway(true)
	time.AfterFunc(1600*time.Millisecond, func() { c.store.setAway(false) })
	require.Equal(t, 1, c.mostReaders(4*time.Second))
	for i, inv := range c.copies {
		require.LessOrEqual(t, inv.applied, 1, "%s got one full state", daemonName(i))
	}
}

// In an outage the first daemons of a domain look for the store; the others find them
// sound again after it without having called the store themselves.
func TestLaterDaemonsLeaveAStoreThatIsAwayToTheFirst(t *testing.T) {
	t.Parallel()
	c := domainOf(t, 10, 4*time.Second)
	c.store.setAway(true)
	time.AfterFunc(3*time.Second, func() { c.store.setAway(false) })
	require.LessOrEqual(t, c.mostReaders(6*time.Second), ownSources)
	require.Eventually(t, func() bool { return c.readers() == daemonName(0) }, 6*time.Second, 10*time.Millisecond)
	c.publish(2)
	require.Eventually(t, func() bool { return c.allHave(2, -1) }, 2*time.Second, 10*time.Millisecond)
}

// In a long outage the later daemons go on looking for a source once they hear that
// another failure domain has lost the store too.
func TestLaterDaemonsWaitOutALongOutage(t *testing.T) {
	t.Parallel()
	s := &copySource{version: 1}
	other := newNodeOf(t, "e-000", "e", s)
	c := newChainOf(t, 6, s, Options{ConfigWithin: 4 * time.Second}, other)
	require.Eventually(t, func() bool { return c.allHave(1, -1) && c.readers() == daemonName(0) }, 6*time.Second, 10*time.Millisecond)
	s.setAway(true)
	time.AfterFunc(6*time.Second, func() { s.setAway(false) })
	require.LessOrEqual(t, c.mostReaders(8*time.Second), ownSources)
}

// newNodeOf starts the only daemon of another failure domain.
func newNodeOf(t *testing.T, name, domain string, s *copySource) Member {
	inv := newCopied(s)
	server := httptest.NewUnstartedServer(nil)
	self := Member{Name: name, Domain: domain, Address: server.Listener.Addr().String()}
	node := New(Options{Name: name, Domain: domain, ConfigWithin: 4 * time.Second}, inv, inv, everybody{self}, log.NewNopLogger())
	start(t, node, server)
	return self
}

// A configuration is in force in time also when all who are asked first have lost the
// store and nobody else has.
func TestLaterDaemonsFollowTheStoreInTime(t *testing.T) {
	t.Parallel()
	c := domainOf(t, 4, 4*time.Second)
	for _, inv := range c.copies[:ownSources] {
		inv.cutOff()
	}
	c.publish(2)
	began := time.Now()
	require.Eventually(t, func() bool { return c.copies[2].State().ConfigVersion == 2 && c.copies[3].State().ConfigVersion == 2 },
		6*time.Second, 10*time.Millisecond)
	require.Less(t, time.Since(began), 4*time.Second)
}

// A daemon that leaves its source and looks for another one still has its configuration in
// force in time, whatever the time is.
func TestTimesOfLeavingASourceFitTheirBound(t *testing.T) {
	for _, within := range []time.Duration{shortestConfigWithin, 3 * time.Second, 4 * time.Second, 8 * time.Second} {
		require.GreaterOrEqual(t, unheardFor(within), leastUnheard)
		require.LessOrEqual(t, unheardFor(within)+leaveTakes, within)
		require.LessOrEqual(t, unheardFor(within), mostUnheard)
	}
}
