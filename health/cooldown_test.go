package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testCooldowns = CooldownConfig{AfterRefusal: time.Second, AfterFailure: 4 * time.Second, MaxAfterFailures: 8 * time.Second}

func TestRefusalsAndFailuresCoolDown(t *testing.T) {
	c := NewCooldowns(testCooldowns)
	now := time.Unix(1000, 0)
	require.False(t, c.Cooling("a", now))
	c.Refuse("a", now)
	require.True(t, c.Cooling("a", now))
	require.False(t, c.Dead("a", now), "a refusal is not a failure")
	require.False(t, c.Cooling("a", now.Add(time.Second)))

	require.True(t, c.Fail("b", now), "first failure")
	require.False(t, c.Fail("b", now.Add(time.Second)), "already cooling down")
	require.True(t, c.Dead("b", now.Add(8*time.Second)), "the second failure lasts twice as long")
	require.False(t, c.Dead("b", now.Add(9*time.Second)))
	for range 5 {
		c.Fail("b", now)
	}
	require.False(t, c.Dead("b", now.Add(8*time.Second)), "bounded")
	c.Succeed("b")
	require.False(t, c.Dead("b", now))
	require.True(t, c.Cooling("b", now), "an answer does not end a cooldown")
}

// A refusal does not shorten a longer cooldown.
func TestRefusalDoesNotShortenACooldown(t *testing.T) {
	c := NewCooldowns(testCooldowns)
	now := time.Unix(1000, 0)
	c.Fail("a", now)
	c.Refuse("a", now)
	require.True(t, c.Dead("a", now.Add(3*time.Second)))
}

// Guards against a backend server that gets no work for seconds after contact with it was regained.
func TestContactEndsTheCooldownOfAServerThatCompletedWorkMeanwhile(t *testing.T) {
	now := time.Now()
	c := NewCooldowns(testCooldowns)
	c.Fail("a", now)
	c.Succeed("a")
	require.True(t, c.Cooling("a", now), "completed work alone is no new contact")
	c.Recover("a")
	require.False(t, c.Cooling("a", now))

	c.Refuse("b", now)
	c.Recover("b")
	require.True(t, c.Cooling("b", now), "a refusal stands")
	c.Fail("b", now)
	c.Refuse("b", now.Add(3500*time.Millisecond))
	c.Succeed("b")
	c.Recover("b")
	require.True(t, c.Cooling("b", now.Add(3500*time.Millisecond)), "a later refusal stands")
}

func TestUnknownServersArePruned(t *testing.T) {
	c := NewCooldowns(testCooldowns)
	c.Fail("gone", time.Unix(1000, 0))
	c.Fail("here", time.Unix(1000, 0))
	c.Prune(func(name string) bool { return name == "here" })
	require.Len(t, c.servers, 1)
}
