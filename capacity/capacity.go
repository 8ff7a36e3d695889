// Package capacity calculates the cost of each role of a daemon at the target
// size from measured slopes. It prints the page docs/CAPACITY.md.
package capacity

import (
	"fmt"
	"strings"
)

// Target is the size of the system for which the cost is calculated.
type Target struct {
	Daemons        float64
	BackendServers float64
	Requests       float64 // per second
	Tokens         float64 // per second
	GapSeconds     float64 // pause between tokens
	Workspaces     float64
	Models         float64
	Domains        float64
	Changes        float64 // configuration changes per day
}

// TwoYears is the users' target.
var TwoYears = Target{
	Daemons: 380, BackendServers: 600, Requests: 10_000, Tokens: 2_700_000, GapSeconds: 0.041,
	Workspaces: 19_000, Models: 11, Domains: 7, Changes: 1_100,
}

const day = 86_400.0

// Slope is one measured or estimated figure.
type Slope struct {
	Name      string
	Value     float64
	Unit      string
	From      string // command that measured it
	Commit    string // commit that was measured
	Estimated bool
}

// Slopes are the figures that the page is calculated from.
type Slopes struct {
	Request, Token, TokenSockets, Stream, StreamSockets    Slope
	Apply, Heap, IdleBase, IdlePer, CPUBase, CPUPer        Slope
	ChangeBase, ChangePer, Poll, Claim, Choose, Build      Slope
	Decide, WatcherReads, LeaseReads, VMReads, ClaimWrites Slope
	Watchers, Retained, WatcherCPU, ClaimCPU               Slope
}

const (
	cmdPath    = "go test -run '^$' -bench 'Request|Token|OpenStreams' ./dispatch ./api ./backend/httpbackend"
	cmdPeer    = "go test -run '^$' -bench . ./peer"
	cmdRouting = "go test -run '^$' -bench . ./routing"
	cmdProcess = "snowspoke try --settings FILE; snowspoked --settings FILE; snowspoke load"
)

// Measured holds the measured and estimated figures of this repository.
var Measured = Slopes{
	Request:       Slope{"request in dispatch and api", 32, "µs", cmdPath, "a045ca6", false},
	Token:         Slope{"token in dispatch, api and engine adapter", 2.5, "µs", cmdPath, "a045ca6", false},
	TokenSockets:  Slope{"token as a process, with sockets and kernel", 86, "µs", cmdProcess, "6e224f3", false},
	Stream:        Slope{"open stream in dispatch", 12.4, "KB", cmdPath, "a045ca6", false},
	StreamSockets: Slope{"open request as a process, resident", 58, "KB", cmdProcess, "2e0ed5e", false},
	Apply:         Slope{"change of one of 19,000 workspaces", 10.7, "ms", "go test -run '^$' -bench Apply ./catalog", "a045ca6", false},
	Heap:          Slope{"heap at 19,000 workspaces", 25.2, "MB", cmdPeer, "168cb19", false},
	IdleBase:      Slope{"bytes sent idle at 32 daemons", 612, "B/s", cmdPeer, "258071a", false},
	IdlePer:       Slope{"more for each daemon (32 to 128)", 4.1, "B/s", cmdPeer, "258071a", false},
	CPUBase:       Slope{"processor idle at 32 daemons", 0.92, "ms/s", cmdPeer, "258071a", false},
	CPUPer:        Slope{"more for each daemon (32 to 128)", 0.0087, "ms/s", cmdPeer, "258071a", false},
	ChangeBase:    Slope{"bytes sent for a change at 32 daemons", 1850, "B", cmdPeer, "258071a", false},
	ChangePer:     Slope{"more for each daemon (32 to 128)", 1, "B", cmdPeer, "258071a", true},
	Poll:          Slope{"status read of a backend server", 0.2, "ms", "", "", true},
	Claim:         Slope{"claim and its record", 0.15, "KB", "", "", true},
	Choose:        Slope{"choice at 600 backend servers", 2.1, "µs", cmdRouting, "3ae3d29", false},
	Build:         Slope{"plan at 600 backend servers", 26, "ms", cmdRouting, "3ae3d29", false},
	Decide:        Slope{"placement round at 600 backend servers", 0.8, "ms", "go test -run '^$' -bench Decide ./placement", "b6c696d", false},
	WatcherReads:  Slope{"reads of one watcher (7 calls a 5 min)", 7.0 / 300, "calls/s", cmdPeer, "258071a", false},
	LeaseReads:    Slope{"reads of the lease by one watcher (one each third of 6 s)", 0.5, "calls/s", "", "", true},
	VMReads:       Slope{"reads of the VM list by one watcher", 0.5, "calls/s", "", "", true},
	ClaimWrites:   Slope{"writes a second of one shard at most (pause 40 ms)", 25, "calls/s", "go test -run '^$' -bench Claims ./claims", "b8b0685", false},
	Watchers:      Slope{"watchers of a failure domain", 2, "", "", "", false},
	WatcherCPU:    Slope{"processor of a watcher", 1, "ms/s", "", "", true},
	ClaimCPU:      Slope{"processor of a claim writer", 2, "ms/s", "", "", true},
	Retained:      Slope{"claims a second, a hundredth of the requests", 100, "", "", "", true},
}

// Role is one row of the table of roles, with the cost of that role for one daemon.
type Role struct {
	Name      string
	State     string
	Messages  string
	CPU       float64 // fraction of a core
	MemoryMB  float64
	Mechanism string
}

// Roles calculates the rows of the table.
func Roles(t Target, s Slopes) []Role {
	requests, tokens := t.Requests/t.Daemons, t.Tokens/t.Daemons
	streams := tokens * t.GapSeconds
	changes := t.Changes / day
	extraDaemons := t.Daemons - 32
	watchers := t.Domains * s.Watchers.Value
	polls := t.BackendServers * 2 / t.Daemons
	shards := 16.0
	return []Role{
		{
			"router towards callers", fmt.Sprintf("%.0f open streams, %.0f plans", streams, t.Models),
			fmt.Sprintf("%.1f requests/s, %.0f events/s each way", requests, tokens),
			(requests*s.Request.Value + tokens*s.TokenSockets.Value) / 1e6, streams * s.StreamSockets.Value / 1000,
			"plans built on change, choice of two a hop, sealed event IDs instead of kept state",
		},
		{
			"configuration in force", fmt.Sprintf("%.0f workspaces", t.Workspaces), fmt.Sprintf("%.4f changes/s", changes),
			changes * s.Apply.Value / 1000, s.Heap.Value, "one snapshot a batch of changes, shared parts",
		},
		{
			"peer", fmt.Sprintf("%.0f members, 8 links", t.Daemons),
			fmt.Sprintf("%.0f B/s idle, %.0f B/s changes", s.IdleBase.Value+extraDaemons*s.IdlePer.Value, changes*(s.ChangeBase.Value+extraDaemons*s.ChangePer.Value)),
			(s.CPUBase.Value + extraDaemons*s.CPUPer.Value) / 1000, t.Daemons * 0.4 / 1000, "links of bounded degree, only changes travel",
		},
		{
			"status reader", fmt.Sprintf("%.1f backend servers", polls), fmt.Sprintf("%.1f reads/s", polls),
			polls * s.Poll.Value / 1000, 0, "two readers a backend server by rendezvous; loads ride on replies",
		},
		{
			"watcher (of some)", "one watch", fmt.Sprintf("%.2f store calls/s in the whole fleet", watchers*(s.WatcherReads.Value+s.VMReads.Value)),
			s.WatcherCPU.Value / 1000, 0, "two a failure domain by rendezvous; snapshots from peers",
		},
		{
			"claim writer (of some)", fmt.Sprintf("%.0f claims in the window of an hour, over the fleet", s.Retained.Value*3600),
			fmt.Sprintf("at most %.0f writes/s in the whole fleet", shards*s.ClaimWrites.Value),
			s.ClaimCPU.Value / 1000, s.Retained.Value * 3600 / shards * s.Claim.Value / 1000, "a log a shard, group commit, one preferred writer a shard",
		},
		{
			"lease holder for placement (one)", "orders under way", fmt.Sprintf("%.1f lease reads/s in the whole fleet", watchers*s.LeaseReads.Value),
			s.Decide.Value / 1000 / 2, 1, "one lease with fencing; orders stored before they are sent",
		},
		{
			"operators' interface", "4,096 decisions", "on demand", 0, 4096 * 0.5 / 1000, "wait and explain ask each daemon once",
		},
	}
}

// Control returns the total cost of a daemon that has every control role, which
// are all rows but the first: processor time as a fraction of a core, and memory
// in MB.
func Control(rows []Role) (cpu, memoryMB float64) {
	for _, r := range rows[1:] {
		cpu += r.CPU
		memoryMB += r.MemoryMB
	}
	return cpu, memoryMB
}

// Markdown returns the text of the page.
func Markdown() string {
	var b strings.Builder
	rows := Roles(TwoYears, Measured)
	b.WriteString(intro)
	b.WriteString("| role | state | messages | processor, share of a core | memory | mechanism |\n|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %.2f%% | %.1f MB | %s |\n", r.Name, r.State, r.Messages, 100*r.CPU, r.MemoryMB, r.Mechanism)
	}
	cpu, memory := Control(rows)
	t := TwoYears
	fmt.Fprintf(&b, "\nControl of a daemon that has every duty at once: %.2f%% of a core (target 1%%), %.0f MB (target 64 MB).\n", 100*cpu, memory)
	idle := Measured.IdleBase.Value + (t.Daemons-32)*Measured.IdlePer.Value
	change := t.Changes / day * (Measured.ChangeBase.Value + (t.Daemons-32)*Measured.ChangePer.Value)
	fmt.Fprintf(&b, "Control traffic of a daemon: %.2f KB/s idle and %.2f KB/s for changes (target 3 KB/s).\n", idle/1000, change/1000)
	watchers := t.Domains * Measured.Watchers.Value
	fmt.Fprintf(&b, "\n## Store calls of the whole fleet\n\n| kind | calls a second |\n|---|---|\n")
	fmt.Fprintf(&b, "| reads of the configuration | %.2f |\n| open watches | %.0f |\n| reads of the VM list | %.1f |\n| reads of the lease | %.1f |\n| writes of the lease | 0.5 |\n| writes of claims | at most %.0f |\n",
		watchers*Measured.WatcherReads.Value, watchers, watchers*Measured.VMReads.Value, watchers*Measured.LeaseReads.Value, 16*Measured.ClaimWrites.Value)
	b.WriteString("\nNone of these grows with the daemons.\n\n## Slopes\n\n| figure | value | measured by | at commit |\n|---|---|---|---|\n")
	for _, s := range Measured.all() {
		from := "`" + strings.ReplaceAll(s.From, "|", "\\|") + "`"
		if s.Estimated || s.From == "" {
			from = "estimated or set"
		}
		fmt.Fprintf(&b, "| %s | %.4g %s | %s | %s |\n", s.Name, s.Value, s.Unit, from, s.Commit)
	}
	writePlatform(&b, TwoYears)
	b.WriteString(outro)
	return b.String()
}

func (s Slopes) all() []Slope {
	return []Slope{
		s.Request, s.Token, s.TokenSockets, s.Stream, s.StreamSockets, s.Apply, s.Heap, s.IdleBase, s.IdlePer, s.CPUBase, s.CPUPer,
		s.ChangeBase, s.ChangePer, s.Poll, s.Claim, s.Choose, s.Build, s.Decide, s.WatcherReads, s.LeaseReads, s.VMReads,
		s.ClaimWrites, s.Watchers, s.Retained, s.WatcherCPU, s.ClaimCPU,
	}
}

const intro = `# Capacity

Printed by ` + "`go run ./cmd/snowspoke capacity`" + `; do not edit by hand. A test holds the page and its arithmetic together.

What each role of a daemon costs at the letter's target: 380 daemons before 600 backend servers, 10,000 requests and
2.7 million tokens a second, 41 ms between tokens, 19,000 workspaces, 11 models, 7 failure domains, 1,100 changes a day.
Slopes are measured on one machine with small stand-ins and are extended in a straight line from the two largest sizes.

`

const outro = `
## Not yet carried

- The bytes and processor time of 380 daemons are extended from 128; nothing larger was run.
- A token costs 86 µs of processor as a process, nearly all of it in the kernel and the HTTP libraries; events of one
  stream are not yet joined into one write.
- The state of links and of ejected backend servers stays with the daemon that saw it.
`
