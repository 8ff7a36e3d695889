package trial

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/client"
	"github.com/snowspoke/snowspoke/internal/memnet"
)

// pauseLength is the Retry-After of refusals in these tests.
const pauseLength = 3 * time.Second

func TestNoCallsWithinRetryAfterOfARefusal(t *testing.T) {
	inWorld(t, 1, func(w *World, hc *http.Client, _ *memnet.Net) {
		head := w.Fleet.Engine("engine-1")
		head.RefuseAll.Store(true)
		head.Pause.Store(int64(pauseLength.Seconds()))
		w.Services[0].RefuseAll.Store(true)
		w.Services[0].Pause.Store(int64(pauseLength.Seconds()))
		for began := time.Now(); time.Since(began) < pauseLength; time.Sleep(50 * time.Millisecond) {
			reply, err := w.clientOf(0, hc).Complete(context.Background(), client.Request{Model: Model, Prompt: "p", MaxTokens: 10, Stream: true})
			require.NoError(t, err)
			require.True(t, reply.Completed, "%s: the other head accepts", reply.Kind)
			reply, err = w.clientOf(0, hc).Call(context.Background(), http.MethodPost, Service, "/cards", []byte("x"), "")
			require.NoError(t, err)
			require.True(t, reply.Completed, "%s: the other endpoint accepts", reply.Kind)
		}
		require.EqualValues(t, 1, head.Refused.Load())
		require.Len(t, w.Services[0].Arrivals(), 1)
		time.Sleep(pauseLength)
		head.RefuseAll.Store(false)
		for n := range 20 {
			reply, err := w.clientOf(0, hc).Complete(context.Background(), client.Request{Model: Model, Prompt: fmt.Sprint(n), MaxTokens: 10, Stream: true})
			require.NoError(t, err)
			require.True(t, reply.Completed, reply.Kind)
		}
		require.NotEmpty(t, head.Arrivals(), "it is used again")
	})
}

// If all are paused, callers are refused at once and told when the first pause ends.
func TestCallersAreToldTheEndOfThePauses(t *testing.T) {
	inWorld(t, 1, func(w *World, hc *http.Client, _ *memnet.Net) {
		for _, name := range []string{"engine-1", "engine-2"} {
			w.Fleet.Engine(name).RefuseAll.Store(true)
			w.Fleet.Engine(name).Pause.Store(int64(pauseLength.Seconds()))
		}
		for _, s := range w.Services {
			s.RefuseAll.Store(true)
			s.Pause.Store(int64(pauseLength.Seconds()))
		}
		c := w.clientOf(0, hc)
		calls := map[string]func() (client.Reply, error){
			"model": func() (client.Reply, error) {
				return c.Complete(context.Background(), client.Request{Model: Model, Prompt: "p", MaxTokens: 10, Stream: true})
			},
			"service": func() (client.Reply, error) {
				return c.Call(context.Background(), http.MethodPost, Service, "/cards", []byte("x"), "")
			},
		}
		for name, call := range calls {
			_, err := call()
			require.NoError(t, err)
			time.Sleep(pauseLength / 3)
			began := time.Now()
			reply, err := call()
			require.NoError(t, err)
			require.Equal(t, apierror.Overloaded, reply.Kind, name)
			require.Equal(t, apierror.RanNo, reply.Ran, name)
			require.Less(t, time.Since(began), 50*time.Millisecond, name)
			require.GreaterOrEqual(t, reply.RetryAfter, pauseLength/2, name)
			require.LessOrEqual(t, reply.RetryAfter, pauseLength, name)
		}
	})
}
