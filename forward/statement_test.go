package forward

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/site"
)

func TestUnreadableLimitDoesNotEndALimit(t *testing.T) {
	l := newLab(1)
	f := l.forward[0]
	f.ApplyStatement(Statement{Server: "s", Call: CallRequest, Ran: true, Limit: StatedLimit{Stated: true, Rate: 3}, SentAt: boottime.Now()})
	f.ApplyStatement(Statement{Server: "s", Call: CallRequest, Ran: true, Limit: StatedLimit{Unreadable: true}, SentAt: boottime.Now()})
	_, limited := f.limits.Of("s")
	require.True(t, limited)
	f.ApplyStatement(Statement{Server: "s", Call: CallRequest, Ran: true, SentAt: boottime.Now()})
	_, limited = f.limits.Of("s")
	require.False(t, limited)
}

func TestStatementsAreLogged(t *testing.T) {
	var out bytes.Buffer
	l := newLab(1)
	log := NewLog(&out)
	f := New(Options{}, Dependencies{Inventory: labInventory{l}, Fleet: labFleet(1), Backends: l, Log: log, Observer: l})
	f.ApplyStatement(Statement{Server: "s", Call: CallRequest, RequestID: "r-1", RetryAfter: 3 * time.Second})
	for range 3 {
		f.ApplyStatement(Statement{Server: "s", Call: CallReport, Ignored: []IgnoredHeader{{"Server-Tide", strings.Repeat("x", 1000)}}})
	}
	log.Flush()
	require.Contains(t, out.String(), "kind=availability server=s state=paused before=accepting asked=3s pause_left=3s pause_left_before=0s by=request request=r-1")
	require.Equal(t, 1, strings.Count(out.String(), "kind=header_ignored server=s name=Server-Tide"))
	require.Less(t, out.Len(), 1000)
}

// A leaving backend server keeps its streams: reports on them and orders that move them are
// still made.
func TestLeavingBackendServerGetsReportsAndOrders(t *testing.T) {
	l := newLab(1)
	f := l.forward[0]
	var head *site.BackendServer
	l.eachHead(func(id string) { head = l.view.Servers[id] })
	f.ApplyStatement(Statement{Server: head.ID, Leaving: true})
	require.True(t, f.Leaving(head.ID))
	require.ErrorIs(t, f.CheckCall(head.ID, CallRequest), ErrNotAccepting)
	require.NoError(t, f.CheckCall(head.ID, CallReport))
	require.NoError(t, f.CheckCall(head.ID, CallOrder))
}
