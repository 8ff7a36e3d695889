package peer

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/topology"
)

// waitForAgreement waits until agree returns true and panics after a minute.
func (f *testFleet) waitForAgreement() {
	if _, ok := within(time.Minute, f.agree); !ok {
		panic("no agreement")
	}
}

// BenchmarkInForce reports the virtual time until a change is in force on all
// daemons, over links without delay.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				var took []time.Duration
				virtual.Run(b, func() {
					f := newFleet(n)
					f.waitForAgreement()
					time.Sleep(5 * time.Second)
					for i := range 30 {
						time.Sleep(137 * time.Millisecond)
						v := f.setModel(i + 1)
						d, ok := within(10*time.Second, func() bool { return f.inForce(v) })
						if !ok {
							panic("not in force")
						}
						took = append(took, d)
					}
					f.close()
				})
				slices.Sort(took)
				b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "p50_ms")
				b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "max_ms")
			}
		})
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkControl reports the cost of the control plane per virtual second: bytes
// sent, processor time and heap of one daemon, and store calls of the fleet.
// The fleet is idle or processes controlChanges changes.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		for _, changes := range []int{0, controlChanges} {
			b.Run(fmt.Sprintf("daemons=%d/changes=%d", n, changes), func(b *testing.B) {
				for b.Loop() {
					var cost controlCost
					virtual.Run(b, func() { cost = measureControl(n, changes, 200) })
					cost.report(b)
				}
			})
		}
	}
}

// BenchmarkWorkspaces reports the same costs as BenchmarkControl, by the number of
// workspaces.
func BenchmarkWorkspaces(b *testing.B) {
	for _, w := range []int{1000, 5000, 19000} {
		b.Run(fmt.Sprintf("workspaces=%d", w), func(b *testing.B) {
			for b.Loop() {
				var cost controlCost
				virtual.Run(b, func() { cost = measureControl(3, 20, w) })
				cost.report(b)
			}
		})
	}
}

// Configuration changes in a run, and its length in seconds.
const (
	controlLength  = 20
	controlChanges = 110
)

type controlCost struct {
	sent, cpu, calls, heap float64
}

func (cost controlCost) report(b *testing.B) {
	b.ReportMetric(cost.sent, "bytes/s")
	b.ReportMetric(cost.cpu*1e6, "cpu_us/s")
	b.ReportMetric(cost.calls, "store_calls/s")
	b.ReportMetric(cost.heap/1e6, "heap_MB")
}

// measureControl runs a fleet for controlLength seconds and returns the cost of
// one daemon; store calls are those of the fleet.
func measureControl(n, changes, workspaces int) controlCost {
	const length = controlLength
	f := newFleet(0)
	for i := range workspaces {
		f.setWorkspace(i, 1)
	}
	for range n {
		f.add()
	}
	f.waitForAgreement()
	time.Sleep(10 * time.Second)
	runtime.GC()
	sentBefore, callsBefore, cpuBefore := f.sent(), f.calls(), cpuTime()
	for i := range length * 10 {
		for range changes*(i+1)/(length*10) - changes*i/(length*10) {
			f.setWorkspace(i%workspaces, float64(2+i))
		}
		time.Sleep(100 * time.Millisecond)
	}
	used := cpuTime() - cpuBefore
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	out := controlCost{
		sent: float64(f.sent()-sentBefore) / length / float64(n), cpu: used.Seconds() / length / float64(n),
		calls: float64(f.calls()-callsBefore) / length, heap: float64(m.HeapInuse) / float64(n),
	}
	f.close()
	return out
}

func (f *testFleet) setWorkspace(i int, weight float64) {
	spec, err := json.Marshal(&topology.Workspace{TokenHashes: []string{topology.HashToken(fmt.Sprint(i))}, Weight: weight, Labels: topology.Labels{"team": "night"}})
	if err != nil {
		panic(err)
	}
	f.store.Set(string(topology.KindWorkspace), fmt.Sprint("w", i), spec)
}

func (f *testFleet) sent() int64 {
	var n int64
	for _, d := range f.daemons {
		s, _ := d.node.Traffic()
		n += s
	}
	return n
}

func (f *testFleet) calls() int64 {
	n, _ := f.store.Calls()
	return n
}

// BenchmarkTakeover reports the virtual time until all roles of a killed daemon
// are reassigned.
func BenchmarkTakeover(b *testing.B) {
	for b.Loop() {
		var took []time.Duration
		virtual.Run(b, func() {
			f := newFleet(8)
			f.waitForAgreement()
			for i := range 6 {
				time.Sleep(5 * time.Second)
				f.kill(fmt.Sprintf("daemon-%03d", i))
				d, ok := within(30*time.Second, f.agree)
				if !ok {
					panic("no agreement")
				}
				took = append(took, d)
				f.add()
				f.waitForAgreement()
			}
			f.close()
		})
		slices.Sort(took)
		b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "p50_ms")
		b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "max_ms")
	}
}
