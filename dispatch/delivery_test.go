package dispatch

import (
	"encoding/base64"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/invariant"
	"github.com/snowspoke/snowspoke/topology"
)

// Events that are reordered, repeated, foreign or stale must be released once and
// in order.
func TestDeliveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 40).Draw(t, "n")
		var events []backend.Event
		for i := range n {
			ev := backend.Event{Type: backend.EventToken, RequestID: "r", Attempt: 1, Index: i, Text: fmt.Sprint(i)}
			events = append(events, ev, ev)
			foreign, stale := ev, ev
			foreign.RequestID, foreign.Text = "x", "foreign"
			stale.Attempt, stale.Text = 0, "stale"
			events = append(events, foreign, stale)
		}
		events = rapid.Permutation(events).Draw(t, "order")
		d := NewDelivery("r", 0)
		d.Begin(1)
		out := 0
		for _, ev := range events {
			for _, e := range d.Accept(ev) {
				require.Equal(t, fmt.Sprint(out), e.Text)
				out++
			}
		}
		require.Equal(t, n, out)
		require.True(t, d.IsComplete(n))
		require.False(t, d.IsComplete(n+1))
		require.NoError(t, d.checkComplete(n))
	})
}

func TestIncompleteAnswerViolatesInvariant(t *testing.T) {
	before := invariant.Count(invariant.CompleteOwnAnswer)
	d := NewDelivery("r", 0)
	require.Error(t, d.checkComplete(1))
	require.Equal(t, before+1, invariant.Count(invariant.CompleteOwnAnswer))
}

// Sending to a backend server after leavingGrace must violate NoWorkAfterLeave.
func TestWorkAfterLeaveViolatesInvariant(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		table := fleet.NewTable()
		table.SetConfig(map[string]*topology.BackendServer{"b": {Name: "b", Labels: topology.Labels{topology.LabelDrain: "true"}}})
		r := &run{d: &Dispatcher{table: table}, req: &Request{ID: "r"}, route: topology.Route{{BackendServer: "b"}}}
		require.NoError(t, r.checkNoLeaving())
		before := invariant.Count(invariant.NoWorkAfterLeave)
		time.Sleep(leavingGrace + time.Second)
		require.Error(t, r.checkNoLeaving())
		require.Equal(t, before+1, invariant.Count(invariant.NoWorkAfterLeave))
	})
}

func TestEventIDs(t *testing.T) {
	s, err := NewSealer(make([]byte, KeyBytes))
	require.NoError(t, err)
	other, err := NewSealer(append(make([]byte, KeyBytes-1), 1))
	require.NoError(t, err)
	p := &Position{Workspace: "w", RequestID: "r", Attempt: 3, Model: "m", Version: "v", BodyHash: 9, Repeatable: true,
		Route: topology.Route{{BackendServer: "b", Address: "a:1", Layers: topology.LayerRange{Lo: 0, Hi: 4}}}}
	a, err := s.Attempt(p)
	require.NoError(t, err)
	seen := map[string]bool{}
	for i := range 100 {
		id := a.Seal(i)
		require.False(t, seen[id])
		seen[id] = true
		got, err := s.Open(id)
		require.NoError(t, err)
		want := *p
		want.Index = i
		require.Equal(t, &want, got)
		_, err = other.Open(id)
		require.ErrorIs(t, err, ErrBadEventID)
		_, err = s.Open(tamper(t, id))
		require.ErrorIs(t, err, ErrBadEventID)
	}
}

// tamper flips one bit in the authentication tag of an event ID. Overwriting the
// end with fixed text could leave an ID unchanged.
func tamper(t *testing.T, id string) string {
	raw, err := base64.RawURLEncoding.DecodeString(id)
	require.NoError(t, err)
	raw[len(raw)-1] ^= 1
	return base64.RawURLEncoding.EncodeToString(raw)
}

func FuzzEventID(f *testing.F) {
	s, err := NewSealer(make([]byte, KeyBytes))
	require.NoError(f, err)
	a, err := s.Attempt(&Position{Workspace: "w"})
	require.NoError(f, err)
	f.Add(a.Seal(1))
	f.Add("")
	f.Fuzz(func(t *testing.T, id string) {
		if p, err := s.Open(id); err == nil {
			require.Equal(t, "w", p.Workspace)
		}
	})
}
