// Package config reads the settings of a daemon from an INI file and validates
// them. Each error names the section and key and the accepted values.
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

// Daemon identifies the daemon and its location.
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

// Platform holds the URL of the platform's service and how often it is read.
type Platform struct {
	URL    string
	VMPoll time.Duration // interval between reads of the VM list
	Resync time.Duration // interval between full reads of the configuration
}

// Limits bounds the resources that callers can use.
type Limits struct {
	BodyBytes       int64
	BodyMemory      int // bytes of the large bodies of all requests together
	HeaderBytes     int
	HeaderTimeout   time.Duration // to read the request header
	BodyTimeout     time.Duration // to read the request body
	WriteTimeout    time.Duration // for a caller to take one event
	DefaultDeadline time.Duration // of a request that sets none
	MaxDeadline     time.Duration // longest deadline that a caller may set
	Connections     int           // maximum number of callers' connections
	Streams         int           // maximum number of requests in flight
	QueueLength     int           // waiting requests per model, unless the model sets its own limit
	RetryRatio      float64       // retries allowed per successful request
}

// Stop configures the graceful stop.
type Stop struct {
	BalancerDelay time.Duration // between failing readiness and refusing new requests
	DrainTimeout  time.Duration // for requests in flight to finish
}

// Health configures the detection of failed stages.
type Health struct {
	StatusPoll time.Duration // interval between status reads of a backend server
	GapFloor   time.Duration // shortest time without a token after which a stage counts as failed
	GapCeiling time.Duration // longest such time; also used until gaps have been measured
	FirstToken time.Duration // maximum time to the first token
}

// Security holds key and certificate files and the hash of the operators' token.
type Security struct {
	FleetKeyFile      string // 32 bytes in hex; seals event IDs, the same on every daemon
	OperatorTokenHash string // hex SHA-256; empty disables authorization for operators
	CertFile          string
	KeyFile           string
	CAFile            string // certificate authority for mutual TLS between daemons
	BackendTLS        bool   // use HTTPS for backend servers
}

// Peers configures discovery and failure detection among daemons.
type Peers struct {
	Seeds     []string // IP:port of other daemons' peer listeners
	Heartbeat time.Duration
	Suspect   time.Duration // time without contact until a daemon is suspect
	Dead      time.Duration // time without contact until a daemon is dead
	Degree    int           // number of links that a daemon opens
	Watchers  int           // number of daemons per failure domain that watch the store
}

// Claims configures the retention of idempotency keys.
type Claims struct {
	Shards    int
	Retention time.Duration // maximum age of a key
	Skew      time.Duration // maximum time by which a key may lie in the future
	KeepBytes int64         // memory for retained responses
}

// Placement configures the placement of weights.
type Placement struct {
	Enabled      bool
	Period       time.Duration // interval between placement decisions
	LeaseTTL     time.Duration // duration of the placement lease
	OrderTimeout time.Duration // of one placement order to an engine
	OrderExpiry  time.Duration // time after which an order without effect is dropped and may be given again
	BudgetBytes  int64         // maximum bytes being loaded from the weight store
}

// Log configures logging.
type Log struct {
	Level     string // debug, info, warn or error
	Decisions int    // number of decisions retained for explain
}

// Default returns the defaults of all settings.
func Default() Config {
	return Config{
		Platform: Platform{VMPoll: 2 * time.Second, Resync: 5 * time.Minute},
		Limits: Limits{
			BodyBytes: 1 << 20, BodyMemory: 256 << 20, HeaderBytes: 32 << 10, HeaderTimeout: 5 * time.Second, BodyTimeout: 30 * time.Second,
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

// Load reads and validates a file. All errors are returned joined.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// Parse parses and validates settings. All errors are returned joined.
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
	r.checkUnknown()
	errs := append(r.errs, c.validate()...)
	if len(errs) > 0 {
		return c, errors.Join(errs...)
	}
	return c, nil
}

// keyError returns an error about the value of a key.
func keyError(section, key, format string, args ...any) error {
	return fmt.Errorf("settings: [%s] %s: %s", section, key, fmt.Sprintf(format, args...))
}

// validate checks required values, addresses and relations between values.
func (c *Config) validate() []error {
	var errs []error
	missing := func(section, key, value, want string) {
		if value == "" {
			errs = append(errs, keyError(section, key, "missing, %s", want))
		}
	}
	missing("daemon", "name", c.Daemon.Name, "give this daemon a name of its own")
	missing("daemon", "failure_domain", c.Daemon.FailureDomain, "name the failure domain of this VM")
	missing("platform", "url", c.Platform.URL, "write the URL of the platform's service")
	errs = append(errs, validateListen("callers", c.Listen.Callers)...)
	errs = append(errs, validateListen("operators", c.Listen.Operators)...)
	errs = append(errs, validateListen("peers", c.Listen.Peers)...)
	if c.Platform.URL != "" {
		if u, err := url.Parse(c.Platform.URL); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			errs = append(errs, keyError("platform", "url", "%q, write http://HOST:PORT or https://HOST:PORT", c.Platform.URL))
		}
	}
	return append(errs, c.validateRelations()...)
}

// validateRelations checks values that depend on each other.
func (c *Config) validateRelations() []error {
	var errs []error
	if c.Health.GapFloor > c.Health.GapCeiling {
		errs = append(errs, keyError("health", "gap_floor", "%s, write at most gap_ceiling (%s)", c.Health.GapFloor, c.Health.GapCeiling))
	}
	if c.Limits.DefaultDeadline > c.Limits.MaxDeadline {
		errs = append(errs, keyError("limits", "default_deadline", "%s, write at most max_deadline (%s)", c.Limits.DefaultDeadline, c.Limits.MaxDeadline))
	}
	if c.Peers.Suspect >= c.Peers.Dead {
		errs = append(errs, keyError("peers", "suspect", "%s, write less than dead (%s)", c.Peers.Suspect, c.Peers.Dead))
	}
	if (c.Security.CertFile == "") != (c.Security.KeyFile == "") {
		errs = append(errs, keyError("security", "cert_file", "set cert_file and key_file together"))
	}
	if !validLevel(c.Log.Level) {
		errs = append(errs, keyError("log", "level", "%q, write debug, info, warn or error", c.Log.Level))
	}
	return errs
}

func validateListen(key, address string) []error {
	if address == "" {
		return []error{keyError("listen", key, "missing, write IP:PORT")}
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return []error{keyError("listen", key, "%q, write IP:PORT with an IP number", address)}
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
