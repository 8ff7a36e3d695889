package health

import (
	"maps"
	"sync"
	"time"
)

// CooldownConfig sets how long a backend server gets no work after a refusal or a failure.
type CooldownConfig struct {
	AfterRefusal     time.Duration // after a refusal for lack of capacity
	AfterFailure     time.Duration // after a failure, multiplied by the number of consecutive failures
	MaxAfterFailures time.Duration // maximum time after consecutive failures
}

// Cooldowns holds the backend servers that refused work or failed recently, by name. It is
// safe for concurrent use.
type Cooldowns struct {
	cfg CooldownConfig

	mu      sync.Mutex
	servers map[string]cooldown
}

type cooldown struct {
	until    time.Time
	failed   bool // until follows from a failure
	failures int  // consecutive
	ended    bool // see Ended
	replaced bool // see Replaced
}

// NewCooldowns returns Cooldowns without backend servers.
func NewCooldowns(cfg CooldownConfig) *Cooldowns {
	return &Cooldowns{cfg: cfg, servers: map[string]cooldown{}}
}

// Refuse records that a backend server refused work.
func (c *Cooldowns) Refuse(name string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[name]
	if until := now.Add(c.cfg.AfterRefusal); until.After(s.until) {
		s.until, s.failed = until, false
	}
	c.servers[name] = s
}

// Fail records a failure of a backend server. It returns false if the server was already
// cooling down.
func (c *Cooldowns) Fail(name string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[name]
	isNew := !now.Before(s.until)
	s.failures++
	s.failed = true
	s.until = now.Add(min(c.cfg.MaxAfterFailures, c.cfg.AfterFailure*time.Duration(s.failures)))
	c.servers[name] = s
	return isNew
}

// End records a sign that the process of a backend server has ended, such as a refused
// connection.
func (c *Cooldowns) End(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[name]
	s.ended = true
	c.servers[name] = s
}

// Ended reports whether End was called since the backend server last completed work. Unlike
// Dead, it does not depend on the time.
func (c *Cooldowns) Ended(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[name].ended
}

// Replace records that another process has the address of a backend server.
func (c *Cooldowns) Replace(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[name]
	s.replaced = true
	c.servers[name] = s
}

// Replaced reports whether Replace was called. Names are those of incarnations, so that this does
// not change.
func (c *Cooldowns) Replaced(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[name].replaced
}

// Recover ends a cooldown because of failures, after contact with the backend server. It does so also
// if work that had begun before was completed since.
func (c *Cooldowns) Recover(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.servers[name]; (s.failures > 0 || s.failed) && !s.replaced {
		delete(c.servers, name)
	}
}

// Succeed records that a backend server completed work. A cooldown in progress continues as
// one after a refusal.
func (c *Cooldowns) Succeed(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, known := c.servers[name]
	if !known {
		return
	}
	s.failures, s.ended = 0, false
	c.servers[name] = s
}

// Cooling reports whether a backend server must not get work now.
func (c *Cooldowns) Cooling(name string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.servers[name].until)
}

// RefusedUntil returns when a backend server that refused work may get work again, the zero
// time if it may now or has failed.
func (c *Cooldowns) RefusedUntil(name string, now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[name]
	if s.failures > 0 || !now.Before(s.until) {
		return time.Time{}
	}
	return s.until
}

// Dead reports whether a backend server is cooling down because of failures.
func (c *Cooldowns) Dead(name string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[name]
	return s.failures > 0 && now.Before(s.until)
}

// Prune removes backend servers that are no longer known.
func (c *Cooldowns) Prune(known func(name string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.servers, func(name string, _ cooldown) bool { return !known(name) })
}
