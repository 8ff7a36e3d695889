// Package site models a deployment: the configuration in force and the backend
// servers. It has only data types and look-ups; package platform decodes them from
// the wire formats.
package site

import (
	"slices"
	"strings"
	"time"
)

// RequestKind is the kind of a request: whether and how it may be repeated.
type RequestKind uint8

// The kinds of request.
const (
	Unsafe RequestKind = iota // runs at most once
	Safe                      // idempotent
	Stream                    // a series of events; idempotent only where it is resumable
)

// String returns the name used in logs.
func (k RequestKind) String() string { return [...]string{"unsafe", "safe", "stream"}[k] }

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Range of the priorities of routes and workspaces. Lower ones are more urgent.
const (
	MinPriority = 0
	MaxPriority = 9
)

// Route maps requests for a host and path prefix to services.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins and ends with a slash
	Kind         RequestKind
	Timeout      time.Duration // of a request
	Objective    time.Duration // latency objective until the answer, or a stream's first event, 0 for none
	GapObjective time.Duration // latency objective between two events of a stream, 0 for none
	Priority     int           // MinPriority is the highest
	Targets      []Target
	MaxAttempts  int  // number of backend servers that one request may be sent to
	Public       bool // requires no key
	Resumable    bool // a stream may resume at another backend server
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// TargetAt returns the service for a point in [0, 1) on the scale of cumulative weights.
func (r *Route) TargetAt(point float64) string {
	totalWeight := 0
	for _, t := range r.Targets {
		totalWeight += t.Weight
	}
	remaining := point * float64(totalWeight)
	for _, t := range r.Targets {
		remaining -= float64(t.Weight)
		if remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// HasObjective reports whether the route has a latency objective. Decisions that compare a time with
// the objective do not apply to other routes.
func (r *Route) HasObjective() bool { return r.Objective > 0 }

// Workspace is a customer, identified by the API keys that callers present.
type Workspace struct {
	Name        string
	Priority    int // overrides the route's if HasPriority is set
	HasPriority bool
}

// Limits bound the size of requests and the time that callers may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // of a connection between two requests
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // connections that one backend server accepts from all daemons
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
	// workspacePriorities are the different priorities of workspaces, sorted.
	workspacePriorities []int
	// routePriorities are the different priorities of the routes to each service, sorted.
	routePriorities map[string][]int
}

// NewConfig returns an indexed configuration. If keys is nil, no route requires a key.
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
	c.routePriorities = routePriorities(routes)
	c.workspacePriorities = workspacePriorities(keys)
	return c
}

// routePriorities returns the different priorities of the routes to each service, sorted.
func routePriorities(routes []*Route) map[string][]int {
	out := map[string][]int{}
	for _, r := range routes {
		for _, t := range r.Targets {
			out[t.Service] = insertPriority(out[t.Service], r.Priority)
		}
	}
	return out
}

// workspacePriorities returns the different priorities of workspaces, sorted.
func workspacePriorities(keys map[string]*Workspace) []int {
	var out []int
	for _, w := range keys {
		if w.HasPriority {
			out = insertPriority(out, w.Priority)
		}
	}
	return out
}

func insertPriority(sorted []int, p int) []int {
	i, known := slices.BinarySearch(sorted, p)
	if known {
		return sorted
	}
	return slices.Insert(sorted, i, p)
}

// Prioritizes reports whether the routes to a service have different priorities.
func (c *Config) Prioritizes(service string) bool { return len(c.routePriorities[service]) > 1 }

// PriorityRank returns the rank of a request's priority among all that requests of a service can
// have, 0 for the most urgent. The priority of the workspace decides, and the priority of the
// route among equal ones.
func (c *Config) PriorityRank(service string, workspace, route int) int {
	routes := c.routePriorities[service]
	above, _ := slices.BinarySearch(c.workspacePriorities, workspace)
	rank, _ := slices.BinarySearch(routes, route)
	return above*len(routes) + rank
}

// Match returns the route of a host with the longest matching prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	prefixes := c.routes[host]
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r := prefixes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// RepeatableAt reports whether the requests of all routes to a service are repeatable.
func (c *Config) RepeatableAt(service string) bool {
	for _, prefixes := range c.routes {
		for _, r := range prefixes {
			if r.targets(service) && !r.Repeatable() {
				return false
			}
		}
	}
	return true
}

// targets reports whether a service is a target of the route.
func (r *Route) targets(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// NeedsKey reports whether a request of the route must present a key.
func (c *Config) NeedsKey(r *Route) bool { return c.keyed && !r.Public }

// Workspace returns the workspace that holds a key, or nil.
func (c *Config) Workspace(key string) *Workspace { return c.keys[key] }
