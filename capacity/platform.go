package capacity

import (
	"fmt"
	"math"
	"strings"
)

// SweepPoint holds the figures of one size of the sweep, for the median and for
// the busiest daemon, including callers' traffic.
type SweepPoint struct {
	VMs, BackendServers int
	CPU, BusiestCPU     float64 // percent of a core
	Memory, Busiest     float64 // MB
	KB, BusiestKB       float64 // per second
	Served              float64 // fraction of the calls
	BackAfterKill       float64 // seconds until calls are served after all processes were killed
}

// Sweep holds the figures of the last sweep, for the deployment whose busiest
// daemon has the highest load.
var Sweep = []SweepPoint{
	{30, 299, 2.5, 5.1, 12.2, 15.8, 22.0, 61.6, 0.999, 1.0},
	{101, 1001, 2.4, 9.0, 14.9, 29.5, 14.3, 212, 0.993, 2.0},
	{301, 2997, 3.0, 15.4, 23.7, 52.0, 17.0, 534, 0.985, 8.5},
}

// SweepSnapshot identifies the journal entry of Sweep.
const SweepSnapshot = "28b08c12"

// LoadsPoint holds the cost of distributing loads at one size, in virtual time
// and without pings.
type LoadsPoint struct {
	Daemons, BackendServers int
	KB, BusiestKB           float64 // per second
	Age, OldestAge          float64 // of received loads, in seconds: p50 and p99 over the daemons
}

// LoadsMeasured holds the figures of relay.BenchmarkLoadsOfAFleet.
var LoadsMeasured = []LoadsPoint{
	{30, 222, 0.82, 7.8, 1.9, 2.3},
	{300, 222, 1.03, 14.8, 2.4, 4.3},
	{380, 222, 0.94, 14.3, 3.0, 4.5},
	{985, 2955, 1.13, 16.4, 3.9, 8.9},
	{2000, 6000, 0.98, 17.3, 7.9, 10.2},
}

// Message sizes of the relay, in bytes: a ping with its answer, the load of one
// backend server, and the record of one backend server in a compressed state.
const (
	pingBytes   = 95.0
	loadBytes   = 14.0
	recordBytes = 45.0
)

// Bytes of permit messages for backend servers with limits, as printed by
// permit.TestPermitsCostABoundedRate: per second and daemon while a limit is
// known, and per requested permit.
const (
	permitShareBytes = 60.0
	permitBytes      = 75.0
)

// Periods and rates of the relay, matching the settings of package relay.
const (
	pingsPerSecond        = 1 / 0.4
	loadPeriodPerChange   = 0.010         // length of the period of loads, in seconds per load that was sent
	minLoadPeriod         = 0.8           // seconds
	ownLoads              = 22            // backend servers on which one daemon has requests
	fanOut                = 7.0           // followers of one daemon
	storeCallsPerSource   = 1/0.9 + 1/9.0 // per second, by a source whose watches return no change
	leaseCalls            = 3.0           // per second: renewals and reads of the lease
	recordPeriodPerDaemon = 0.2           // length of the period of a daemon's record, in seconds per daemon (package gateway)
	listPeriodPerDaemon   = 0.1           // the same for lists by a daemon without a source; they may be seconds old and cost a tenth of fresh ones
)

// FollowerBytes returns the traffic of a link between a source and a follower in
// bytes per second, both directions together, while no object changes. typical is
// for typical changes of loads in the fleet of the target, highest for loads that all
// change in each period.
func FollowerBytes() (typical, highest float64) {
	pings := pingBytes * pingsPerSecond
	typical = pings
	for _, m := range LoadsMeasured {
		if float64(m.Daemons) == TwoYears.Daemons {
			typical += m.KB * 1000
		}
	}
	return typical, pings + loadBytes/loadPeriodPerChange + loadBytes*ownLoads/minLoadPeriod
}

func writePlatform(b *strings.Builder, t Target) {
	link, highest := FollowerBytes()
	relays := math.Ceil(t.Daemons/t.Domains/fanOut) * t.Domains
	fmt.Fprintf(b, "\n## On the users' platform\n\n")
	fmt.Fprintf(b, "Measured by `fleetbench sweep` on the first site (journal snapshot %s), no rule broken:\n\n", SweepSnapshot)
	b.WriteString("| VMs / backend servers | processor, middle / busiest | memory, MB | KB/s | served | served again after all were killed |\n|---|---|---|---|---|---|\n")
	for _, p := range Sweep {
		fmt.Fprintf(b, "| %d / %d | %.1f%% / %.1f%% | %.1f / %.1f | %.0f / %.0f | %.3f | %.1f s |\n",
			p.VMs, p.BackendServers, p.CPU, p.BusiestCPU, p.Memory, p.Busiest, p.KB, p.BusiestKB, p.Served, p.BackAfterKill)
	}
	fmt.Fprintf(b, "\nServed at 300 VMs over served at 30: %.2f (target 0.7). Callers' traffic is part of processor and bytes.\n"+
		"The busiest daemon grows as the VMs to the power of 0.48 (processor), 0.52 (memory) and 0.94 (bytes); carried on to 379 VMs 17.3%%, 58.7 MB and 665 KB/s: **missed** (1%% of a core and 3 KB/s for control), callers' traffic included; 64 MB are kept. "+
		"It holds 1,056 connections at 301 VMs, a quarter of the descriptors and those in use. Other kinds at 300 or 301 VMs, no rule broken: the second site 3.0 and 13.8%% of a core, 23.6 and 47.1 MB, 15 and 359 KB/s, 0.980 served; the third customer's 3.1 and 15.4%%, 23.3 and 48.2 MB, 15 and 402 KB/s, 0.991; "+
		"the demands' first deployment 6.0 and 9.2%%, 24.8 and 69.6 MB, 15 and 654 KB/s, 0.970. All ran beside two hunts and the CI script, on 12 cores at a load of 20 to 27. No backend server names a limit in a sweep.\n\n", Sweep[2].Served/Sweep[0].Served)
	b.WriteString("Worked out for the target from the relay's periods and sizes of messages:\n\n| figure | value | target |\n|---|---|---|\n")
	fmt.Fprintf(b, "| control traffic of a follower; when every load changes | %.2f; %.1f KB/s | 3 KB/s |\n", link/1000, highest/1000)
	fmt.Fprintf(b, "| of the %.0f of %.0f daemons with %.0f followers; when every load changes | %.1f; %.0f KB/s: **missed** when every load changes | 3 KB/s |\n",
		relays, t.Daemons, fanOut, link*(fanOut+1)/1000, highest*(fanOut+1)/1000)
	for _, m := range LoadsMeasured {
		fmt.Fprintf(b, "| loads told in a fleet of %d before %d backend servers: middle, busiest daemon | %.2f; %.1f KB/s: **missed** at the busiest | 3 KB/s |\n", m.Daemons, m.BackendServers, m.KB, m.BusiestKB)
		fmt.Fprintf(b, "| their age as they come, p50, p99 | %.1f; %.1f s: **missed** | 1 s |\n", m.Age, m.OldestAge)
	}
	fmt.Fprintf(b, "| permits while a backend server has named a limit: a daemon; the allocator, and %.0f B a permit | %.2f; %.1f KB/s: **missed** at the allocator | 3 KB/s |\n",
		permitBytes, permitShareBytes/1000, permitShareBytes*(t.Daemons-1)/1000)
	fmt.Fprintf(b, "| full state to one follower | %.0f KB compressed | |\n", recordBytes*t.BackendServers/1000)
	fmt.Fprintf(b, "| store calls of the whole fleet | %.1f a second, and %.1f lists that may be old, whatever the daemons | |\n",
		t.Domains*storeCallsPerSource+leaseCalls+1/recordPeriodPerDaemon, t.Domains/LeaderListSeconds(t.Daemons))
	b.WriteString("\nA flat star that told all loads took 153 KB/s at each of the 7 sources.\n")
	writeFleet(b)
}
