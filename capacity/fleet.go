package capacity

import (
	"fmt"
	"math"
	"strings"
)

// FleetDay holds what the largest deployment measured on one of its days.
type FleetDay struct {
	Day                 string
	Commit              string
	Worth, Served       float64
	MeanCPU, BusiestCPU float64 // percent of a core
	Memory              float64 // MB at the peak, busiest daemon
	Files               int     // open files, busiest daemon
	StoreCalls          float64 // of the whole fleet, a stale read counts a tenth
}

// FleetDays holds the days of the largest deployment: 985 VMs before 3,005 backend servers.
var FleetDays = []FleetDay{
	{"quiet-1", "90d3fdb", 0.891, 0.997, 0.77, 4.84, 82.8, 2943, 2021},
	{"scale-1", "90d3fdb", 0.647, 0.914, 0.79, 3.75, 75.2, 2942, 2374},
	{"scale-1", "9bae9d1", 0.742, 0.944, 0.75, 4.93, 86.8, 2991, 2319},
}

// Bytes of membership, as measured on the largest deployment.
const (
	recordListBytes  = 230.0 // of one daemon's record in a list of the store
	rosterEntryBytes = 5514.0 / 985 * 4 / 3
	storeLinkBytes   = 125e6 // per second, of the store's link
)

// Periods of membership, matching package gateway.
const (
	minLeaderListSeconds = 2.0
	leaderListPerDaemon  = 0.002
)

// LeaderListSeconds returns the period at which the leaders of the failure domains list the
// daemons.
func LeaderListSeconds(daemons float64) float64 {
	return math.Max(minLeaderListSeconds, daemons*leaderListPerDaemon)
}

// RestartListSeconds returns how long the store's link is busy with the lists of daemons
// when all of them restart together: with the roster, and with a list by each daemon.
func RestartListSeconds(daemons float64) (roster, lists float64) {
	return daemons * daemons * rosterEntryBytes / storeLinkBytes, daemons * daemons * recordListBytes / storeLinkBytes
}

// TreeLevels returns the number of levels below the source of a failure domain, if strong of
// its daemons have strongFanOut followers and the others fanOut.
func TreeLevels(daemons, strong, strongFanOut float64) int {
	levels, reached, parents, strongLeft := 0, 1.0, 1.0, strong
	for reached < daemons {
		strongParents := math.Min(parents, strongLeft)
		strongLeft -= strongParents
		children := strongParents*strongFanOut + (parents-strongParents)*fanOut
		reached, parents, levels = reached+children, children, levels+1
	}
	return levels
}

// writeFleet writes the section on the largest deployment.
func writeFleet(b *strings.Builder) {
	b.WriteString("\n## The whole fleet\n\n985 VMs in five failure domains before 3,005 backend servers; full days, one at a time. design/whole-fleet.md says what broke and why.\n\n" +
		"| day | commit | worth | served | processor, mean / busiest | memory, busiest | open files, busiest | calls to the store |\n|---|---|---|---|---|---|---|---|\n")
	for _, d := range FleetDays {
		fmt.Fprintf(b, "| %s | %s | %.3f | %.3f | %.2f%% / %.2f%% | %.1f MB | %d | %.0f |\n", d.Day, d.Commit, d.Worth, d.Served, d.MeanCPU, d.BusiestCPU, d.Memory, d.Files, d.StoreCalls)
	}
	b.WriteString("\nWorked out from the periods and the sizes of messages, a tenth of the VMs of a failure domain up to ten strong:\n\n" +
		"| figure | 30 | 100 | 300 | 985 | 2,000 daemons |\n|---|---|---|---|---|---|\n")
	sizes := []float64{30, 100, 300, 985, 2000}
	row := func(name string, value func(daemons float64) string) {
		fmt.Fprintf(b, "| %s |", name)
		for _, n := range sizes {
			fmt.Fprintf(b, " %s |", value(n))
		}
		b.WriteString("\n")
	}
	row("until the leaders list a daemon that joined", func(n float64) string { return fmt.Sprintf("%.1f s", LeaderListSeconds(n)) })
	row("before: until each daemon listed it", func(n float64) string { return fmt.Sprintf("%.0f s", math.Max(8, n*listPeriodPerDaemon)) })
	row("all restart: the store's link is busy with rosters", func(n float64) string {
		roster, _ := RestartListSeconds(n)
		return fmt.Sprintf("%.2f s", roster)
	})
	row("before: with lists", func(n float64) string {
		_, lists := RestartListSeconds(n)
		return fmt.Sprintf("%.2f s", lists)
	})
	row("levels of the relay below a source, all VMs alike", func(n float64) string { return fmt.Sprint(TreeLevels(n/5, 0, 0)) })
	row("with strong VMs", func(n float64) string { return fmt.Sprint(TreeLevels(n/5, math.Min(10, n/50), 8*fanOut)) })
	row("backend servers, 3.05 a daemon: full state to one follower", func(n float64) string { return fmt.Sprintf("%.0f KB", 3.05*n*recordBytes/1000) })
	row("loads are told every", func(n float64) string { return fmt.Sprintf("%.1f s", math.Max(0.8, 3.05*n*loadPeriodPerServer)) })
}
