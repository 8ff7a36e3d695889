package config

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// field maps a key of the file to a field of Config.
type field struct {
	section, key string
	target       any // pointer to string, []string, bool, int, int64, float64 or time.Duration
	help         string
}

// fields returns all keys that a file may contain.
func fields(c *Config) []field {
	return []field{
		{"daemon", "name", &c.Daemon.Name, "name of this daemon, unique in the fleet"},
		{"daemon", "failure_domain", &c.Daemon.FailureDomain, "failure domain of this VM"},
		{"daemon", "region", &c.Daemon.Region, "region of the failure domain"},
		{"listen", "callers", &c.Listen.Callers, "IP:port for callers"},
		{"listen", "operators", &c.Listen.Operators, "IP:port for operators, metrics and health"},
		{"listen", "peers", &c.Listen.Peers, "IP:port for other daemons"},
		{"platform", "url", &c.Platform.URL, "URL of the platform's object interface and VM list"},
		{"platform", "vm_poll", &c.Platform.VMPoll, "time between two reads of the VM list"},
		{"platform", "resync", &c.Platform.Resync, "time between two full reads of the configuration"},
		{"limits", "body_bytes", &c.Limits.BodyBytes, "largest request body"},
		{"limits", "body_memory", &c.Limits.BodyMemory, "bytes of the large bodies of all requests together"},
		{"limits", "header_bytes", &c.Limits.HeaderBytes, "largest request header"},
		{"limits", "header_timeout", &c.Limits.HeaderTimeout, "time to read a request header"},
		{"limits", "body_timeout", &c.Limits.BodyTimeout, "time to read a request body"},
		{"limits", "write_timeout", &c.Limits.WriteTimeout, "time for a caller to take one event"},
		{"limits", "default_deadline", &c.Limits.DefaultDeadline, "deadline of a request that names none"},
		{"limits", "max_deadline", &c.Limits.MaxDeadline, "longest deadline that a caller may ask for"},
		{"limits", "connections", &c.Limits.Connections, "callers' connections at once"},
		{"limits", "streams", &c.Limits.Streams, "requests in flight at once"},
		{"limits", "queue_length", &c.Limits.QueueLength, "requests that may wait for a model"},
		{"limits", "retry_ratio", &c.Limits.RetryRatio, "retries that one successful request earns"},
		{"stop", "balancer_delay", &c.Stop.BalancerDelay, "time between failing readiness and refusing work"},
		{"stop", "drain_timeout", &c.Stop.DrainTimeout, "time for requests in flight to finish"},
		{"health", "status_poll", &c.Health.StatusPoll, "time between two status reads of a backend server"},
		{"health", "gap_floor", &c.Health.GapFloor, "least time without a token before a stage is given up"},
		{"health", "gap_ceiling", &c.Health.GapCeiling, "most time without a token"},
		{"health", "first_token", &c.Health.FirstToken, "most time to the first token"},
		{"security", "fleet_key_file", &c.Security.FleetKeyFile, "file with 32 bytes in hex, the same on every daemon"},
		{"security", "operator_token_hash", &c.Security.OperatorTokenHash, "hex SHA-256 of the operators' token"},
		{"security", "cert_file", &c.Security.CertFile, "PEM certificate of this daemon"},
		{"security", "key_file", &c.Security.KeyFile, "PEM key of this daemon"},
		{"security", "ca_file", &c.Security.CAFile, "PEM authority for mutual TLS between daemons"},
		{"security", "backend_tls", &c.Security.BackendTLS, "use https towards backend servers"},
		{"peers", "seeds", &c.Peers.Seeds, "IP:port of other daemons, comma-separated"},
		{"peers", "heartbeat", &c.Peers.Heartbeat, "time between two heartbeats"},
		{"peers", "suspect", &c.Peers.Suspect, "silence before a daemon is suspected"},
		{"peers", "dead", &c.Peers.Dead, "silence before a daemon counts as dead"},
		{"peers", "degree", &c.Peers.Degree, "links that a daemon opens to others"},
		{"peers", "watchers", &c.Peers.Watchers, "daemons of a failure domain that watch the store"},
		{"claims", "shards", &c.Claims.Shards, "logs over which idempotency keys are spread"},
		{"claims", "retention", &c.Claims.Retention, "age at which an idempotency key expires"},
		{"claims", "skew", &c.Claims.Skew, "how far in the future a key may lie"},
		{"claims", "keep_bytes", &c.Claims.KeepBytes, "memory for kept answers"},
		{"placement", "enabled", &c.Place.Enabled, "let this daemon hold the lease for placement"},
		{"placement", "period", &c.Place.Period, "time between two decisions on placement"},
		{"placement", "lease_ttl", &c.Place.LeaseTTL, "period of the lease for placement"},
		{"placement", "order_timeout", &c.Place.OrderTimeout, "time for an engine to take an order"},
		{"placement", "order_expiry", &c.Place.OrderExpiry, "time after which an order without effect is given again"},
		{"placement", "budget_bytes", &c.Place.BudgetBytes, "bytes under way from the weight store at once"},
		{"log", "level", &c.Log.Level, "debug, info, warn or error"},
		{"log", "decisions", &c.Log.Decisions, "decisions remembered for explain"},
	}
}

// Sample returns an INI file with every key, its description and its default.
func Sample() string { return Format(Default()) }

// Format returns a configuration as an INI file.
func Format(c Config) string {
	var b strings.Builder
	section := ""
	for _, f := range fields(&c) {
		if f.section != section {
			section = f.section
			fmt.Fprintf(&b, "\n[%s]\n", section)
		}
		fmt.Fprintf(&b, "; %s\n%s = %s\n", f.help, f.key, format(f.target))
	}
	return strings.TrimPrefix(b.String(), "\n")
}

func format(target any) string {
	switch t := target.(type) {
	case *string:
		return *t
	case *[]string:
		return strings.Join(*t, ", ")
	case *bool:
		return strconv.FormatBool(*t)
	case *int:
		return strconv.Itoa(*t)
	case *int64:
		return strconv.FormatInt(*t, 10)
	case *float64:
		return strconv.FormatFloat(*t, 'g', -1, 64)
	case *time.Duration:
		return t.String()
	}
	panic(fmt.Sprintf("config: no format for %T", target))
}

// reader reads values from a file and collects errors.
type reader struct {
	file  *ini.File
	known map[string]map[string]bool
	errs  []error
}

// read stores the value of a key, if the file has it, and records the key as known.
func (r *reader) read(f field) {
	if r.known == nil {
		r.known = map[string]map[string]bool{}
	}
	if r.known[f.section] == nil {
		r.known[f.section] = map[string]bool{}
	}
	r.known[f.section][f.key] = true
	s, err := r.file.GetSection(f.section)
	if err != nil || !s.HasKey(f.key) {
		return
	}
	if n := len(s.Key(f.key).ValueWithShadows()); n > 1 {
		r.errs = append(r.errs, keyError(f.section, f.key, "given %d times, write it once", n))
		return
	}
	if msg := setValue(f.target, s.Key(f.key).String()); msg != "" {
		r.errs = append(r.errs, keyError(f.section, f.key, "%s", msg))
	}
}

// setValue parses text into target. It returns a message if text is invalid, or "".
func setValue(target any, text string) string {
	switch t := target.(type) {
	case *string:
		*t = text
	case *[]string:
		*t = splitList(text)
	case *bool:
		v, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Sprintf("%q, write true or false", text)
		}
		*t = v
	case *int:
		v, err := strconv.Atoi(text)
		if err != nil || v <= 0 {
			return fmt.Sprintf("%q, write a whole number above 0", text)
		}
		*t = v
	case *int64:
		v, err := strconv.ParseInt(text, 10, 64)
		if err != nil || v <= 0 {
			return fmt.Sprintf("%q, write a whole number above 0", text)
		}
		*t = v
	case *float64:
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v <= 1) {
			return fmt.Sprintf("%q, write a number from 0 to 1", text)
		}
		*t = v
	case *time.Duration:
		v, err := time.ParseDuration(text)
		if err != nil || v <= 0 {
			return fmt.Sprintf("%q, write a duration above 0 with its unit, such as 500ms", text)
		}
		*t = v
	}
	return ""
}

func splitList(text string) []string {
	var out []string
	for _, p := range strings.Split(text, ",") {
		if p = strings.TrimSpace(p); p != "" {
			out = append(out, p)
		}
	}
	return out
}

// checkUnknown reports sections and keys that match no field.
func (r *reader) checkUnknown() {
	for _, s := range r.file.Sections() {
		keys := s.KeyStrings()
		sort.Strings(keys)
		if s.Name() != ini.DefaultSection && r.known[s.Name()] == nil {
			r.errs = append(r.errs, fmt.Errorf("settings: [%s]: unknown section, see snowspoked --sample", s.Name()))
			continue
		}
		for _, k := range keys {
			if !r.known[s.Name()][k] {
				r.errs = append(r.errs, keyError(s.Name(), k, "unknown key, see snowspoked --sample"))
			}
		}
	}
}
