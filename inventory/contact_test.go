package inventory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/store"
)

// knownServers returns an inventory that knows three backend servers of a service as of position
// 10, and the entries.
func knownServers() (*Inventory, map[string]Entry) {
	all := map[string]Entry{"a": entry(5), "b": entry(6), "c": entry(7)}
	i := newTestInventory()
	i.Apply(Update{Full: true, At: 10, Servers: all})
	return i, all
}

// without returns the entries without some.
func without(all map[string]Entry, ids ...string) map[string]Entry {
	out := map[string]Entry{}
	for id, e := range all {
		out[id] = e
	}
	for _, id := range ids {
		delete(out, id)
	}
	return out
}

// contactOf returns a contact with the store from one time before now to another.
func contactOf(since, last time.Duration) Contact {
	now := time.Now()
	return Contact{Since: now.Add(-since), Last: now.Add(-last)}
}

// Guards against requests to backend servers that left behind a lost source, however many of a
// service leave at once (review/3): they have left if the store has answered all the time.
func TestServersThatLeftBehindALostSourceAreDroppedAtOnce(t *testing.T) {
	for name, leaving := range map[string][]string{"one": {"a"}, "two": {"a", "b"}, "all": {"a", "b", "c"}} {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				i, all := knownServers()
				// The source was last heard 1.2 s ago, 0.9 s after an answer of the store.
				i.NoteContact(contactOf(time.Minute, 2100*time.Millisecond))
				i.Apply(Update{Full: true, At: 20, Servers: without(all, leaving...)})
				require.Len(t, i.View().Servers, len(all)-len(leaving))
				i.Apply(Update{Servers: map[string]Entry{"a": entry(30)}})
				require.Contains(t, i.View().Servers, "a", "written again")
			})
		})
	}
}

// A pong that proves that the store has answered all the time may arrive after the list.
func TestServersAreDroppedOnceTheContactIsKnown(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i, all := knownServers()
		i.Apply(Update{Full: true, At: 20, Servers: without(all, "a", "b")})
		require.Len(t, i.View().Servers, 3)
		i.NoteContact(contactOf(time.Minute, 0))
		require.Len(t, i.View().Servers, 1)
		time.Sleep(MissingGrace + time.Millisecond)
	})
}

// Records that may have expired in an outage stay in use for the grace, also if a part of a service is
// missing, if the source is lost as the outage ends, and while the list may be older than a record.
func TestRecordsThatMayHaveExpiredAreKept(t *testing.T) {
	for name, c := range map[string]struct {
		since, last time.Duration // of the contact, 0 for none
		at          store.Position
	}{
		"no contact is known":               {at: 20},
		"the store is back since a second":  {time.Second, 0, 20},
		"no answer for the time of expiry":  {time.Minute, expiryTime, 20},
		"the list has an unknown position":  {time.Minute, 0, 0},
		"the list is older than the record": {time.Minute, 0, 4},
	} {
		for _, missing := range [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}} {
			t.Run(name, func(t *testing.T) {
				virtual.Test(t, func(t *testing.T) {
					i, all := knownServers()
					if c.since > 0 {
						i.NoteContact(contactOf(c.since, c.last))
					}
					i.Apply(Update{Full: true, At: c.at, Servers: without(all, missing...)})
					require.Len(t, i.View().Servers, 3)
					time.Sleep(MissingGrace + time.Millisecond)
					synctest.Wait()
					require.Len(t, i.View().Servers, 3-len(missing))
				})
			})
		}
	}
}

// A source that keeps an expired record for the grace says so; a follower must not take it for left.
func TestLapsedRecordOfASourceIsKept(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i, all := knownServers()
		i.NoteContact(contactOf(time.Minute, 0))
		e := all["a"]
		e.Lapsed = true
		lapsed := without(all, "a")
		lapsed["a"] = e
		i.Apply(Update{Full: true, At: 20, Servers: lapsed})
		require.Contains(t, i.View().Servers, "a")
		time.Sleep(MissingGrace + time.Millisecond)
	})
}

func TestContactsJoinUnlessThereMayHaveBeenAnOutage(t *testing.T) {
	at := func(second float64) time.Time {
		return time.Unix(100, 0).Add(time.Duration(second * float64(time.Second)))
	}
	span := func(since, last float64) Contact { return Contact{Since: at(since), Last: at(last)} }
	require.Equal(t, span(1, 9), span(1, 5).Join(span(4, 9)))
	require.Equal(t, span(1, 9), span(4, 9).Join(span(1, 5)))
	require.Equal(t, span(1, 9), span(1, 9).Join(span(4, 5)))
	require.Equal(t, span(1, 9), span(1, 5).Join(span(7, 9)), "no outage in which records expire")
	require.Equal(t, span(8, 9), span(1, 5).Join(span(8, 9)))
	require.Equal(t, span(8, 9), span(8, 9).Join(span(1, 5)))
	require.Equal(t, span(1, 5), Contact{}.Join(span(1, 5)))
	require.Equal(t, span(1, 5), span(1, 5).Join(Contact{}))
}

// shortOutageFeed is a store that refuses calls from start to end, and then lacks the record that
// it had.
type shortOutageFeed struct{ outageFeed }

func (f *shortOutageFeed) Servers(ctx context.Context) (Read[ServerRecord], error) {
	if _, err := f.outageFeed.Servers(ctx); err != nil {
		return Read[ServerRecord]{}, err
	}
	if time.Now().Before(f.start) {
		return Read[ServerRecord]{At: 10, Items: []ServerRecord{{ID: "a", At: 9, Server: &site.BackendServer{ID: "a"}}}}, nil
	}
	return Read[ServerRecord]{At: 12}, nil
}

func (f *shortOutageFeed) ServerChanges(ctx context.Context, since store.Position, d time.Duration) (Read[ServerRecord], error) {
	for until := time.Now().Add(d); time.Now().Before(until) && ctx.Err() == nil; wait.For(ctx, 10*time.Millisecond) {
		if f.refuses() {
			return Read[ServerRecord]{}, errOutage
		}
	}
	return Read[ServerRecord]{At: since}, ctx.Err()
}

// A daemon that the store has refused twice in a row does not take a record for left that is missing
// after the outage, however short that was.
func TestRecordThatExpiresInAShortOutageIsKept(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := &shortOutageFeed{}
		f.start = time.Now().Add(20 * time.Second)
		f.end = f.start.Add(time.Second)
		f.watch = func(ctx context.Context, d time.Duration) (Read[ConfigRecord], error) {
			r, err := f.ServerChanges(ctx, 10, d)
			return Read[ConfigRecord]{At: r.At}, err
		}
		i := New(f, log.NewNopLogger())
		ctx, cancel := context.WithCancel(t.Context())
		go i.Follow(ctx, 50*time.Millisecond, 400*time.Millisecond)
		time.Sleep(22 * time.Second)
		synctest.Wait()
		require.Contains(t, i.View().Servers, "a")
		cancel()
		time.Sleep(MissingGrace)
		synctest.Wait()
	})
}
