package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecide measures one decision of an allocator by the number of contributing
// daemons and of active workspaces.
func BenchmarkDecide(b *testing.B) {
	for _, c := range []struct{ daemons, workspaces int }{{8, 10}, {300, 24}, {300, 64}} {
		b.Run(fmt.Sprintf("daemons=%d/workspaces=%d", c.daemons, c.workspaces), func(b *testing.B) {
			limits := NewLimits()
			limits.Apply(LimitReport{Server: "s", Stated: true, Rate: 10, SentAt: t0, At: t0})
			p := NewPool("d000", limits, NewSends())
			var names []string
			for i := range c.daemons {
				names = append(names, fmt.Sprintf("d%03d", i))
			}
			p.SetFleet(names, t0)
			for _, name := range names[1:] {
				p.AddContribution(name, Part{Until: t0.Add(24 * time.Hour)})
			}
			now := t0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Millisecond)
				p.Decide(names[i%len(names)], PermitRequest{Servers: []string{"s"}, Class: Class{Workspace: fmt.Sprint(i % c.workspaces)}}, now)
			}
		})
	}
}
