package forward

import (
	"testing"
	"time"

	"github.com/snowspoke/snowspoke/relay"
)

// BenchmarkExplain measures an explanation at a site of the lab's size.
func BenchmarkExplain(b *testing.B) {
	l := newFleetLab(1, 60)
	f := l.forward[0]
	f.loads.SetOthers(relay.Loads{Daemons: 59, Age: time.Second})
	req := labRequest("r", nil)
	req.Deadline = time.Now().Add(time.Hour)
	req.Route.Timeout = 0
	for b.Loop() {
		f.Explain(req)
	}
}
