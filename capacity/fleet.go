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
	{"scale-2", "2a96f70", 0.853, 0.997, 0.65, 5.06, 87.3, 2992, 2002},
	{"scale-1", "42f9a03", 0.749, 0.946, 0.67, 3.94, 84.5, 2991, 2325},
}

// EventDelays holds the seconds until half, 99% and all daemons know of an event, by the
// size of the fleet in FleetSizes.
type EventDelays struct {
	Event  string
	Delays [5][3]float64
}

// FleetSizes are the numbers of daemons of Events and Traffic. Each size has 3.05 backend
// servers a daemon.
var FleetSizes = [5]float64{30, 100, 300, 985, 2000}

// Events holds the figures of gateway.TestFleetLearnsOfEvents, in virtual time.
var Events = []EventDelays{
	{"a change of the configuration", same(0.01, 0.01, 0.01)},
	{"a backend server that is gone", same(0.01, 0.01, 0.01)},
	{"a load", [5][3]float64{{3.2, 3.2, 3.2}, {2.4, 4.0, 4.0}, {4.7, 7.1, 8.0}, {9.6, 12.0, 12.0}, {10.4, 13.6, 13.6}}},
	{"the end of a load", [5][3]float64{{2.4, 3.2, 3.2}, {4.8, 6.4, 6.4}, {8.7, 11.9, 12.0}, {10.3, 12.8, 15.9}, {9.6, 12.8, 16.3}}},
	{"a slow backend server", [5][3]float64{{1, 1, 1}, {1, 1, 1}, {1.3, 1.3, 1.3}, {1.4, 1.4, 1.4}, {1.4, 1.4, 1.4}}},
	{"a request that crashes what runs it", same(0.5, 0.5, 0.5)},
	{"a daemon that joins", [5][3]float64{{2.5, 2.5, 2.5}, {1, 1, 1}, {1, 1, 1}, {0.5, 0.5, 0.5}, {2, 2, 2}}},
	{"a daemon that leaves", [5][3]float64{{2.5, 2.5, 2.5}, {2.5, 2.5, 2.5}, {2.5, 2.5, 2.5}, {2.5, 2.5, 2.5}, {4.5, 4.5, 4.5}}},
	{"the state, after all were restarted", [5][3]float64{{0.1, 0.1, 0.1}, {0.1, 0.1, 0.1}, {0.1, 0.2, 0.2}, {0.2, 0.2, 0.2}, {0.2, 0.2, 0.2}}},
}

func same(half, most, all float64) (out [5][3]float64) {
	for i := range out {
		out[i] = [3]float64{half, most, all}
	}
	return out
}

// RelayTraffic holds the bytes of a role on links to other daemons, by the size of the
// fleet in FleetSizes, 0 where no daemon has the role.
type RelayTraffic struct {
	Role        string
	KB, Busiest [5]float64 // per second
	Links       [5]int     // accepted, at most
}

// Traffic holds the figures of gateway.TestFleetLearnsOfEvents, in virtual time, one
// request at each daemon.
var Traffic = []RelayTraffic{
	{"follower", [5]float64{0.62, 1.16, 1.34, 1.32, 0.89}, [5]float64{0.67, 1.35, 1.40, 1.85, 1.60}, [5]int{}},
	{"follower with followers", [5]float64{0, 0, 5.63, 63.6, 50.9}, [5]float64{0, 0, 5.67, 88.2, 66.8}, [5]int{0, 0, 3, 56, 56}},
	{"source of a failure domain", [5]float64{5.37, 26.8, 73.5, 89.6, 79.1}, [5]float64{5.52, 27.2, 78.6, 94.2, 92.0}, [5]int{9, 23, 60, 60, 60}},
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

// LoadsSeconds returns the period at which one end of a link tells loads, by the number of
// loads that it tells.
func LoadsSeconds(changes float64) float64 {
	return math.Max(minLoadPeriod, changes*loadPeriodPerChange)
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
	row := func(name string, value func(daemons float64) string) {
		fmt.Fprintf(b, "| %s |", name)
		for _, n := range FleetSizes {
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
	row("loads are told every, if 512 backend servers have load and it always changes", func(n float64) string {
		return fmt.Sprintf("%.1f s", LoadsSeconds(math.Min(512, 3.05*n)))
	})
	row("before: by the number of backend servers", func(n float64) string { return fmt.Sprintf("%.1f s", LoadsSeconds(3.05*n)) })
	writeEvents(b)
	writeTraffic(b)
}

// writeEvents writes how long daemons take to learn of events.
func writeEvents(b *strings.Builder) {
	b.WriteString("\nSeconds until half / 99% / all daemons know of an event (`go test ./gateway -run TestFleetLearnsOfEvents -fleet-daemons 985 -fleet-servers 3005 -v`: real membership, relay, inventory, loads and quarantine in virtual time, " +
		"one run a size; links without delay, processors without limit, lists of the store not old):\n\n" +
		"| event | 30 | 100 | 300 | 985 | 2,000 daemons |\n|---|---|---|---|---|---|\n")
	for _, e := range Events {
		fmt.Fprintf(b, "| %s |", e.Event)
		for _, d := range e.Delays {
			fmt.Fprintf(b, " %.3g / %.3g / %.3g |", d[0], d[1], d[2])
		}
		b.WriteString("\n")
	}
}

// writeTraffic writes the bytes of the relay by role, beside those that are worked out.
func writeTraffic(b *strings.Builder) {
	b.WriteString("\nKB/s on links to other daemons, middle / busiest, and accepted links at most, in the same runs; one request at each daemon, 512 backend servers on the paths (89 of 30 daemons, 302 of 100); aim 3 KB/s:\n\n" +
		"| role | 30 | 100 | 300 | 985 | 2,000 daemons |\n|---|---|---|---|---|---|\n")
	for _, r := range Traffic {
		fmt.Fprintf(b, "| %s |", r.Role)
		for i := range FleetSizes {
			if r.KB[i] == 0 {
				b.WriteString(" - |")
				continue
			}
			fmt.Fprintf(b, " %.3g / %.3g, %d |", r.KB[i], r.Busiest[i], r.Links[i])
		}
		b.WriteString("\n")
	}
	typical, highest := FollowerBytes()
	fmt.Fprintf(b, "\nWorked out above: %.1f to %.1f KB/s for a follower, that times its links for a daemon with followers: up to 57 for a strong VM, so up to %.0f KB/s. **Missed** by the daemons with followers, which are strong VMs; kept by the others at each size.\n",
		typical/1000, highest/1000, 57*highest/1000)
}
