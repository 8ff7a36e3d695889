// Package config reads the settings of a daemon from an INI file and checks
// every field. Each fault names its section and key and says what to write.
package config

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"gopkg.in/ini.v1"
)

// Config holds the settings of one daemon.
type Config struct {
	Daemon   Daemon
	Listen   Listen
	Platform Platform
	Limits   Limits
	Stop     Stop
	Health   Health
	Security Security
	Peers    Peers
	Claims   Claims
	Place    Placement
	Log      Log
}

// Daemon says who and where the daemon is.
type Daemon struct {
	Name          string
	FailureDomain string
	Region        string
}

// Listen holds the addresses to listen on, each IP:port.
type Listen struct {
	Callers   string
	Operators string
	Peers     string
}

// Platform says where the platform's service is.
type Platform struct {
	URL    string
	VMPoll time.Duration // between two reads of the VM list
	Resync time.Duration // between two full reads of the configuration
}

// Limits bounds what one caller can cost.
type Limits struct {
	BodyBytes       int64
	HeaderBytes     int
	HeaderTimeout   time.Duration // to read the request header
	BodyTimeout     time.Duration // to read the request body
	WriteTimeout    time.Duration // for a caller to take one event
	DefaultDeadline time.Duration // of a request that names none
	MaxDeadline     time.Duration // longest that a caller may ask for
	Connections     int           // callers' connections at once
	Streams         int           // requests in flight at once
	QueueLength     int           // waiting requests a model, unless the model says otherwise
	RetryRatio      float64       // retries a successful request earns
}

// Stop says how the daemon stops.
type Stop struct {
	BalancerDelay time.Duration // between failing readiness and refusing work
	DrainTimeout  time.Duration // for requests in flight to finish
}

// Health bounds the detection of failed stages.
type Health struct {
	StatusPoll time.Duration // between two status reads of a backend server
	GapFloor   time.Duration // least time without a token before a stage is given up
	GapCeiling time.Duration // most, and the bound before anything is learnt
	FirstToken time.Duration // most time to the first token
}

// Security holds keys, certificates and the operators' token hash.
type Security struct {
	FleetKeyFile      string // 32 bytes in hex; seals event IDs, the same on every daemon
	OperatorTokenHash string // hex SHA-256; empty allows anybody on the operators' listener
	CertFile          string
	KeyFile           string
	CAFile            string // authority of daemons, for mutual TLS between them
	BackendTLS        bool   // use https towards backend servers
}

// Peers says how daemons find and watch each other.
type Peers struct {
	Seeds     []string // IP:port of other daemons' peer listeners
	Heartbeat time.Duration
	Suspect   time.Duration // silence before suspicion
	Dead      time.Duration // silence before death
	Degree    int           // links that a daemon opens
	Watchers  int           // daemons of a failure domain that watch the store
}

// Claims says how idempotency keys are kept.
type Claims struct {
	Shards    int
	Retention time.Duration // keys older than this are refused
	Skew      time.Duration // how far in the future a key may be
	KeepBytes int64         // memory for kept answers
}

// Placement says how weights are placed.
type Placement struct {
	Enabled      bool
	Period       time.Duration // between two decisions
	LeaseTTL     time.Duration // period of the lease that one daemon holds
	OrderTimeout time.Duration // of one order to an engine
	OrderExpiry  time.Duration // after which an order without effect is given again
	BudgetBytes  int64         // under way from the weight store at once
}

// Log says what is logged.
type Log struct {
	Level     string // debug, info, warn or error
	Decisions int    // decisions remembered for explain
}

// Default returns the settings that a file may leave out.
func Default() Config {
	return Config{
		Platform: Platform{VMPoll: 2 * time.Second, Resync: 5 * time.Minute},
		Limits: Limits{
			BodyBytes: 1 << 20, HeaderBytes: 32 << 10, HeaderTimeout: 5 * time.Second, BodyTimeout: 30 * time.Second,
			WriteTimeout: 10 * time.Second, DefaultDeadline: 2 * time.Minute, MaxDeadline: 15 * time.Minute,
			Connections: 20000, Streams: 10000, QueueLength: 2000, RetryRatio: 0.1,
		},
		Stop: Stop{BalancerDelay: 5 * time.Second, DrainTimeout: 15 * time.Minute},
		Health: Health{
			StatusPoll: time.Second, GapFloor: 250 * time.Millisecond,
			GapCeiling: 2 * time.Second, FirstToken: 10 * time.Second,
		},
		Peers: Peers{
			Heartbeat: 500 * time.Millisecond, Suspect: 2 * time.Second, Dead: 5 * time.Second,
			Degree: 4, Watchers: 2,
		},
		Claims: Claims{Shards: 16, Retention: time.Hour, Skew: time.Minute, KeepBytes: 16 << 20},
		Place: Placement{
			Enabled: true, Period: 2 * time.Second, LeaseTTL: 6 * time.Second, OrderTimeout: 5 * time.Second,
			OrderExpiry: 15 * time.Minute, BudgetBytes: 512 << 30,
		},
		Log: Log{Level: "info", Decisions: 4096},
	}
}

// Load reads and checks a file. All faults are reported at once, joined.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// Parse reads and checks settings.
func Parse(data []byte) (Config, error) {
	c := Default()
	f, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false, IgnoreInlineComment: true, AllowShadows: true}, data)
	if err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	r := reader{file: f}
	for _, s := range fields(&c) {
		r.read(s)
	}
	r.unknown()
	faults := append(r.faults, c.check()...)
	if len(faults) > 0 {
		return c, errors.Join(faults...)
	}
	return c, nil
}

func fault(section, key, format string, args ...any) error {
	return fmt.Errorf("settings: [%s] %s: %s", section, key, fmt.Sprintf(format, args...))
}

// check tests what depends on more than the form of one value.
func (c *Config) check() []error {
	var f []error
	missing := func(section, key, value, want string) {
		if value == "" {
			f = append(f, fault(section, key, "missing, %s", want))
		}
	}
	missing("daemon", "name", c.Daemon.Name, "give this daemon a name of its own")
	missing("daemon", "failure_domain", c.Daemon.FailureDomain, "name the failure domain of this VM")
	missing("platform", "url", c.Platform.URL, "write the URL of the platform's service")
	f = append(f, checkListen("callers", c.Listen.Callers)...)
	f = append(f, checkListen("operators", c.Listen.Operators)...)
	f = append(f, checkListen("peers", c.Listen.Peers)...)
	if c.Platform.URL != "" {
		if u, err := url.Parse(c.Platform.URL); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			f = append(f, fault("platform", "url", "%q, write http://HOST:PORT or https://HOST:PORT", c.Platform.URL))
		}
	}
	return append(f, c.checkRelations()...)
}

func (c *Config) checkRelations() []error {
	var f []error
	if c.Health.GapFloor > c.Health.GapCeiling {
		f = append(f, fault("health", "gap_floor", "%s, write at most gap_ceiling (%s)", c.Health.GapFloor, c.Health.GapCeiling))
	}
	if c.Limits.DefaultDeadline > c.Limits.MaxDeadline {
		f = append(f, fault("limits", "default_deadline", "%s, write at most max_deadline (%s)", c.Limits.DefaultDeadline, c.Limits.MaxDeadline))
	}
	if c.Peers.Suspect >= c.Peers.Dead {
		f = append(f, fault("peers", "suspect", "%s, write less than dead (%s)", c.Peers.Suspect, c.Peers.Dead))
	}
	if (c.Security.CertFile == "") != (c.Security.KeyFile == "") {
		f = append(f, fault("security", "cert_file", "set cert_file and key_file together"))
	}
	if !validLevel(c.Log.Level) {
		f = append(f, fault("log", "level", "%q, write debug, info, warn or error", c.Log.Level))
	}
	return f
}

func checkListen(key, address string) []error {
	if address == "" {
		return []error{fault("listen", key, "missing, write IP:PORT")}
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return []error{fault("listen", key, "%q, write IP:PORT with an IP number", address)}
	}
	return nil
}

func validLevel(l string) bool {
	switch l {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}
