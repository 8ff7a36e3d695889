// Package site holds a deployment as a daemon sees it: the configuration in
// force and the backend servers that exist. It is pure data with look-ups; the
// wire formats it is decoded from live in package platform.
package site

import (
	"slices"
	"strings"
	"time"
)

// Repeat says what may be sent again.
type Repeat uint8

// The kinds of request by what may be repeated.
const (
	Unsafe Repeat = iota // runs at most once
	Safe                 // idempotent
	Stream               // a series of events; idempotent only where it is resumable
)

// String returns the name used in logs.
func (r Repeat) String() string { return [...]string{"unsafe", "safe", "stream"}[r] }

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins and ends with a slash
	Repeat       Repeat
	Timeout      time.Duration // longest time that a request is held
	Objective    time.Duration // until the answer, or until a stream's first event
	GapObjective time.Duration // longest pause between two events of a stream
	Priority     int           // 0 is the highest
	Targets      []Target
	MaxAttempts  int  // backend servers that one request may be sent to
	Public       bool // needs no key
	Resumable    bool // a stream may go on at another backend server
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Repeat == Safe || r.Repeat == Stream && r.Resumable }

// TargetAt returns the service for a point in [0, 1) of the weights.
func (r *Route) TargetAt(point float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := point * float64(total)
	for _, t := range r.Targets {
		left -= float64(t.Weight)
		if left < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Workspace is a customer whose keys callers present.
type Workspace struct {
	Name     string
	Priority int // goes before the route's
	Ranked   bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // of a kept connection between two requests
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // connections that one backend server takes from all daemons
	Engine     *Engine // nil for a plain service
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version  uint64
	Limits   Limits
	Services map[string]*Service
	routes   map[string]map[string]*Route // by host, then by prefix
	keys     map[string]*Workspace        // by API key
	keyed    bool
}

// NewConfig indexes a configuration. A nil map of keys means that no route asks
// for one.
func NewConfig(version uint64, limits Limits, routes []*Route, services []*Service, keys map[string]*Workspace) *Config {
	c := &Config{
		Version: version, Limits: limits, Services: map[string]*Service{},
		routes: map[string]map[string]*Route{}, keys: keys, keyed: keys != nil,
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		if c.routes[r.Host] == nil {
			c.routes[r.Host] = map[string]*Route{}
		}
		c.routes[r.Host][r.Prefix] = r
	}
	return c
}

// Match returns the route of a host with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	prefixes := c.routes[host]
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r := prefixes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// RepeatableAt reports whether all requests that may go to a service may run more
// than once, or go on elsewhere.
func (c *Config) RepeatableAt(service string) bool {
	for _, prefixes := range c.routes {
		for _, r := range prefixes {
			if r.leadsTo(service) && !r.Repeatable() {
				return false
			}
		}
	}
	return true
}

func (r *Route) leadsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// NeedsKey reports whether a request of the route must present a key.
func (c *Config) NeedsKey(r *Route) bool { return c.keyed && !r.Public }

// Workspace returns the workspace that holds a key, or nil.
func (c *Config) Workspace(key string) *Workspace { return c.keys[key] }
