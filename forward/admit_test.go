package forward

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/inventory"
)

// unconfirmed is an inventory with the full state, of which nobody has told yet whether it
// is current.
type unconfirmed struct {
	fixed
	confirmed atomic.Bool
}

func (u *unconfirmed) Confirmed() bool { return u.confirmed.Load() }

// A follower that starts has the state shortly before the proof that its keys are current.
// Requests that arrive in between must wait for it instead of being refused.
func TestRequestsWaitForTheFirstProofOfFreshness(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		inv := &unconfirmed{fixed: fixed{inventory.NewView(nil, nil)}}
		f := New(Options{MaxKeyAge: 4 * time.Second}, Dependencies{Inventory: inv, Fleet: inv, Log: NewLog(io.Discard), Observer: noObserver{}})
		time.AfterFunc(300*time.Millisecond, func() { inv.confirmed.Store(true) })
		began := time.Now()
		f.AwaitStart(t.Context(), began.Add(20*time.Second))
		require.InDelta(t, 300, time.Since(began).Milliseconds(), 30)

		inv.confirmed.Store(false)
		began = time.Now()
		f.AwaitStart(t.Context(), began.Add(20*time.Second))
		require.InDelta(t, maxStartHold.Milliseconds(), time.Since(began).Milliseconds(), 30, "not for ever")

		f = New(Options{}, Dependencies{Inventory: inv, Fleet: inv, Log: NewLog(io.Discard), Observer: noObserver{}})
		began = time.Now()
		f.AwaitStart(t.Context(), began.Add(20*time.Second))
		require.Less(t, time.Since(began), 50*time.Millisecond, "keys do not fail closed")
	})
}
