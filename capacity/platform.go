package capacity

import (
	"fmt"
	"math"
	"strings"
)

// SweepPoint is one size of the users' sweep: figures of the middle and of the
// busiest daemon, callers' traffic included.
type SweepPoint struct {
	VMs, BackendServers int
	CPU, BusiestCPU     float64 // percent of a core
	Memory, Busiest     float64 // MB
	KB, BusiestKB       float64 // a second
	Served              float64
	BackAfterKill       float64 // seconds until served after all processes were killed
}

// Sweep holds the figures of the last sweep (journal snapshot SweepSnapshot).
var Sweep = []SweepPoint{
	{30, 301, 2.6, 4.5, 11.2, 13.5, 18.8, 49.1, 0.994, 0.5},
	{100, 1001, 2.3, 4.7, 11.7, 24.1, 11.8, 129, 0.988, 5},
	{300, 2999, 3.4, 5.9, 18.7, 56.8, 24.1, 768, 0.989, 30},
}

// SweepSnapshot names the journal entry of Sweep.
const SweepSnapshot = "84519a2e"

// Figures of the relay, in bytes: a ping with its answer, one load of a backend
// server, one record of a backend server in a compressed state.
const (
	pingBytes   = 95.0
	loadBytes   = 14.0
	recordBytes = 45.0
)

// Periods of the relay, as set in package relay.
const (
	pingsPerSecond  = 1 / 0.4
	secondsPerLoad  = 0.010         // of the period, for each backend server
	ownLoadsShare   = 0.1           // backend servers on which one daemon has requests
	toldShare       = 0.05          // of the sums that change enough in a period (relay.TestOnlyChangedLoadsAreTold)
	ownToldShare    = 0.3           // of a daemon's own loads that do: a few requests each, so one in three (estimated)
	fanOut          = 7.0           // daemons that follow one
	storeCallsASrc  = 1/0.9 + 1/9.0 // watches of a source that sees no change
	leaseCallsASite = 3.0           // renewals and looks at the lease
	secondsABeat    = 0.2           // of the period of a daemon's record, for each daemon (package gateway)
	secondsAList    = 0.1           // the same of its lists, which may be old and cost a tenth
)

// FollowerBytes returns what a link between a source and a follower carries, in
// bytes a second both ways, while no object changes; most is the same when every
// load changes in each period.
func FollowerBytes() (usual, most float64) {
	pings := pingBytes * pingsPerSecond
	loads := loadBytes / secondsPerLoad
	return pings + loads*(toldShare+ownLoadsShare*ownToldShare), pings + loads*(1+ownLoadsShare)
}

func writePlatform(b *strings.Builder, t Target) {
	link, most := FollowerBytes()
	relays := math.Ceil(t.Daemons/t.Domains/fanOut) * t.Domains
	fmt.Fprintf(b, "\n## On the users' platform\n\n")
	fmt.Fprintf(b, "Measured by `fleetbench sweep` on the first grown site (journal snapshot %s):\n\n", SweepSnapshot)
	b.WriteString("| VMs / backend servers | processor, middle / busiest | memory, MB | KB/s | served | served again after all were killed |\n|---|---|---|---|---|---|\n")
	for _, p := range Sweep {
		fmt.Fprintf(b, "| %d / %d | %.1f%% / %.1f%% | %.1f / %.1f | %.0f / %.0f | %.3f | %.1f s |\n",
			p.VMs, p.BackendServers, p.CPU, p.BusiestCPU, p.Memory, p.Busiest, p.KB, p.BusiestKB, p.Served, p.BackAfterKill)
	}
	fmt.Fprintf(b, "\nServed at 300 VMs over served at 30: %.2f (target 0.7). Callers' traffic is part of processor and bytes.\n"+
		"Before the tree, compressed states and the index of incarnations, 300 VMs took 16.4 MB/s at the busiest daemon and served 0.953.\n\n", Sweep[2].Served/Sweep[0].Served)
	b.WriteString("Worked out for the target from the relay's periods and sizes of messages:\n\n| figure | value | target |\n|---|---|---|\n")
	fmt.Fprintf(b, "| control traffic of a follower; when every load changes | %.2f; %.1f KB/s | 3 KB/s |\n", link/1000, most/1000)
	fmt.Fprintf(b, "| of the %.0f of %.0f daemons with %.0f followers; when every load changes | %.1f; %.0f KB/s: **missed** when every load changes | 3 KB/s |\n",
		relays, t.Daemons, fanOut, link*(fanOut+1)/1000, most*(fanOut+1)/1000)
	fmt.Fprintf(b, "| full state to one follower | %.0f KB compressed | |\n", recordBytes*t.BackendServers/1000)
	fmt.Fprintf(b, "| store calls of the whole fleet | %.1f a second, and %.0f lists that may be old, whatever the daemons | |\n",
		t.Domains*storeCallsASrc+leaseCallsASite+1/secondsABeat, 1/secondsAList)
	b.WriteString("\nA flat star that told all loads took 153 KB/s at each of the 7 sources.\n")
}
