package inventory

import (
	"context"
	"time"
)

// HedgeDelay is the time without an answer after which a list is requested a second time. A call to
// a store that was away, or over a silent connection, is not answered even once a new one would
// be. A slow store takes 0.4 s.
const HedgeDelay = 700 * time.Millisecond

// hedged returns a call that is made a second time after HedgeDelay. The first outcome counts.
func hedged[T any](call func(context.Context) (T, error)) func(context.Context) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	return func(ctx context.Context) (T, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		outcomes := make(chan outcome, 2)
		start := func() {
			value, err := call(ctx)
			outcomes <- outcome{value, err}
		}
		go start()
		second := time.NewTimer(HedgeDelay)
		defer second.Stop()
		select {
		case o := <-outcomes:
			return o.value, o.err
		case <-second.C:
		}
		go start()
		o := <-outcomes
		return o.value, o.err
	}
}
