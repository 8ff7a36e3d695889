package relay

import (
	"context"

	"github.com/coder/websocket"

	"github.com/snowspoke/snowspoke/quarantine"
)

// Distribution of the requests that were running on backend servers when the servers ended.
// Changes are sent at once over the links of a failure domain, and to the sources of other
// domains with the exchange of loads, so that every daemon knows of the end before the
// caller retries. A daemon forwards only changes to its own registry, so a change is not
// sent around in cycles.

// sendCrashes returns a function that sends entries on a link.
func sendCrashes(ctx context.Context, c *websocket.Conn) func([]quarantine.PackedEntry) error {
	return func(crashes []quarantine.PackedEntry) error { return writeFrame(ctx, c, &frame{Crashes: crashes}) }
}
