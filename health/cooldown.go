package health

import (
	"maps"
	"sync"
	"time"
)

// CooldownConfig says for how long a backend server gets no work after what
// requests showed about it.
type CooldownConfig struct {
	Refused    time.Duration // after a refusal: it was full
	Failed     time.Duration // after a sign that it is dead, times the signs in a row
	FailedMost time.Duration // bounds the time after signs in a row
}

// Cooldowns keeps which backend servers get no work for a while, by name. It is
// safe for concurrent use.
type Cooldowns struct {
	cfg CooldownConfig

	mu      sync.Mutex
	servers map[string]cooldown
}

type cooldown struct {
	until    time.Time
	failures int  // signs of its death in a row
	ended    bool // its process is surely gone
}

// NewCooldowns returns an empty table.
func NewCooldowns(cfg CooldownConfig) *Cooldowns {
	return &Cooldowns{cfg: cfg, servers: map[string]cooldown{}}
}

// Refuse notes that a backend server refused work.
func (c *Cooldowns) Refuse(name string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[name]
	if until := now.Add(c.cfg.Refused); until.After(s.until) {
		s.until = until
	}
	c.servers[name] = s
}

// Fail notes a sign that a backend server is dead. It returns whether this is
// news.
func (c *Cooldowns) Fail(name string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[name]
	news := !now.Before(s.until)
	s.failures++
	s.until = now.Add(min(c.cfg.FailedMost, c.cfg.Failed*time.Duration(s.failures)))
	c.servers[name] = s
	return news
}

// End notes that the process of a backend server is surely gone.
func (c *Cooldowns) End(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[name]
	s.ended = true
	c.servers[name] = s
}

// Ended reports whether the process of a backend server is surely gone, other than one
// that only looks dead.
func (c *Cooldowns) Ended(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[name].ended
}

// Serve notes that a backend server did its work.
func (c *Cooldowns) Serve(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, known := c.servers[name]
	if !known {
		return
	}
	s.failures, s.ended = 0, false
	c.servers[name] = s
}

// Cooling reports whether a backend server shall get no work now.
func (c *Cooldowns) Cooling(name string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.servers[name].until)
}

// Back returns when a backend server that refused work is asked again, the zero time
// if it may be asked now or looks dead.
func (c *Cooldowns) Back(name string, now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[name]
	if s.failures > 0 || !now.Before(s.until) {
		return time.Time{}
	}
	return s.until
}

// Dead reports whether signs of its death keep a backend server from work now.
func (c *Cooldowns) Dead(name string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[name]
	return s.failures > 0 && now.Before(s.until)
}

// Prune forgets backend servers that are not known any more.
func (c *Cooldowns) Prune(known func(name string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.servers, func(name string, _ cooldown) bool { return !known(name) })
}
