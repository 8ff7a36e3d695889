package forward

import (
	"context"
	"os"
	"testing"

	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/site"
)

// slowToAccept answers until close. Its first connections time out, as while its queue of
// new connections is full or while packets are lost. It implements Backends.
type slowToAccept struct {
	scriptedBackends
	timeouts int
}

func (s *slowToAccept) Send(ctx context.Context, o *Outgoing) (*Answer, error) {
	a, err := s.scriptedBackends.Send(ctx, o)
	a.Framing = framing.UntilClose
	return a, err
}

func (s *slowToAccept) Reach(context.Context, *site.BackendServer) error {
	if s.timeouts == 0 {
		return nil
	}
	s.timeouts--
	time.Sleep(60 * time.Millisecond)
	return os.ErrDeadlineExceeded
}

// A connection that times out does not show that the process of a backend server has ended,
// so it is tried again before a complete answer is discarded.
func TestTimeoutOfAConnectionDoesNotDiscardAnAnswer(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		b := &slowToAccept{timeouts: 1}
		f := plainForwarder(1, b)
		now := time.Now()
		got := &recordingSink{}
		err := f.Do(t.Context(), &Request{
			ID: "r", Service: "cards", Received: now, Deadline: now.Add(3 * time.Second),
			Route: &site.Route{Kind: site.Unsafe, MaxAttempts: 1, Timeout: 3 * time.Second},
		}, got)
		require.False(t, f.Failed("b0"), "the server serves on")
		require.NoError(t, err)
		require.Equal(t, "card", got.body)
	})
}
