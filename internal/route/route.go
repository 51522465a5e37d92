// Package route holds the operators' configuration of request handling: routes, services, organisations and limits.
// It finds the route and the organisation of a request.
//
// A Config is immutable once built. Its owner replaces the whole configuration; a request keeps the one it began
// with.
package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"flamingorudder.example/internal/region"
)

// Kind is which requests of a route may be repeated.
type Kind uint8

const (
	// Unsafe requests may run at most once for each attempt of a caller.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by a stream of events; they may be repeated only if the route is resumable.
	Streaming
)

func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "streaming"}[k]
}

// Route is the configuration for requests of one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration
	// Objective is the target time to the first event, or to the whole answer.
	Objective time.Duration
	// Gap is the longest pause between events with which a stream meets its objective; zero on other routes.
	Gap time.Duration
	// Rank orders work by urgency; 0 is the most urgent.
	Rank int
	// Split is never empty.
	Split       []Weighted
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may continue at another backend server after the last event.
	Resumable bool
	// Homes are the regions in which requests may run.
	Homes region.Homes
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// Pick draws a service at random by the weights of the route's split.
func (r *Route) Pick() string {
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	if total <= 0 {
		return r.Split[0].Service
	}
	n := rand.IntN(total)
	for _, w := range r.Split {
		if n -= w.Weight; n < 0 {
			return w.Service
		}
	}
	return r.Split[0].Service
}

// Weighted is one service of a traffic split.
type Weighted struct {
	Service string
	Weight  int
}

// Model is one model of a service whose replicas are groups of backend servers.
type Model struct {
	Name string
	// Size is the number of members of a group.
	Size int
	// Share is the model's initial fraction of the service's backend servers.
	Share float64
	// TimeFactor is the factor applied to the engine's times; a larger one is slower.
	TimeFactor float64
	// Load is how long a host takes to fetch the weights, Warm how long a member takes to get ready with the weights
	// on its host.
	Load, Warm time.Duration
}

// Engine describes the model runners of a service.
type Engine struct {
	Models []Model
	// Slots is the number of requests that a group runs at once.
	Slots int
	// Stride is the number of token steps of one pass; events are sent at its end.
	Stride int
	// Step is the time of one token step of an idle engine, PerRequest the time that each running request adds.
	Step, PerRequest time.Duration
	// PrefillRate is the prefill rate in prompt tokens a second.
	PrefillRate float64
	// Chunk is the largest number of prompt tokens read in one step.
	Chunk int
	// Form is how long a group takes to become ready.
	Form time.Duration
	// LoadRate bounds the loads of weights started in a second.
	LoadRate float64
	// LoadsAtOnce is the number of concurrent loads of weights that the store serves without slowing them down.
	LoadsAtOnce int
	// UsualAnswer is the mean number of tokens of an answer.
	UsualAnswer int
	// KVTokens is the number of tokens, of prompts and answers together, that a group holds in its memory; zero if it is not bounded.
	KVTokens int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one backend server accepts from all daemons together.
	MaxConnections int
	// Engine is nil for services that run no models.
	Engine *Engine
	// ColdTime is how long a backend server is cold after it starts. ColdRate is the number of requests a second that a cold server
	// accepts from all daemons together; zero if the service has no such limit.
	ColdTime time.Duration
	ColdRate float64
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Rank overrides the rank of the route; negative when not set.
	Rank int
	// Homes are the regions in which its requests may run; those of the route apply too.
	Homes region.Homes
}

// Config is one version of the operators' configuration.
type Config struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// MaxBody bounds the body of a request in bytes; zero means no bound.
	MaxBody int64
	// Invalid describes the values that were ignored because they are out of range.
	Invalid []string
	// MaxHeader bounds the head of a request in bytes, HeaderTimeout the time that it takes to arrive. IdleTimeout is how long a
	// caller keeps a connection that it does not use. Zero means that the daemon's default applies.
	MaxHeader                  int64
	HeaderTimeout, IdleTimeout time.Duration

	// limited is set if a route or an organisation has home regions, homes holds the names of all of them, in order.
	limited  bool
	homes    []string
	hosts    map[string]map[string]*Route
	services map[string]*Service
	keys     map[string]*Organisation
}

// InvalidError reports why a configuration cannot be used.
type InvalidError struct {
	Version int64
	Reason  string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration %d: %s", e.Version, e.Reason)
}

// Build checks c and indexes it. It must be called once before the lookups.
func (c *Config) Build() error {
	c.hosts = map[string]map[string]*Route{}
	c.services = make(map[string]*Service, len(c.Services))
	c.keys = map[string]*Organisation{}
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			return &InvalidError{c.Version, fmt.Sprintf("route %s: prefix %q must begin and end with a slash", r.Name, r.Prefix)}
		}
		if len(r.Split) == 0 {
			return &InvalidError{c.Version, fmt.Sprintf("route %s has no service in its split", r.Name)}
		}
		host := strings.ToLower(r.Host)
		if c.hosts[host] == nil {
			c.hosts[host] = map[string]*Route{}
		}
		c.hosts[host][r.Prefix] = r
	}
	c.limited, c.homes = false, nil
	for i := range c.Routes {
		c.addHomes(c.Routes[i].Homes)
	}
	for i := range c.Organisations {
		c.addHomes(c.Organisations[i].Homes)
		for _, key := range c.Organisations[i].Keys {
			c.keys[key] = &c.Organisations[i]
		}
	}
	return nil
}

func (c *Config) addHomes(h region.Homes) {
	c.limited = c.limited || h.Limited()
	for _, name := range h.Names() {
		if i, found := slices.BinarySearch(c.homes, name); !found {
			c.homes = slices.Insert(c.homes, i, name)
		}
	}
}

// HasHomes reports whether a route or an organisation has home regions.
func (c *Config) HasHomes() bool { return c.limited }

// HomeRegions returns the home regions of all routes and organisations, in order. The list must not be changed.
func (c *Config) HomeRegions() []string { return c.homes }

// Find returns the route with the longest prefix of path, nil when there is none. path is as it was sent: neither it nor prefixes are
// unescaped.
func (c *Config) Find(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	prefixes := c.hosts[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation that has key, nil when none has.
func (c *Config) Organisation(key string) *Organisation { return c.keys[key] }

// Keyed reports whether requests need a key.
func (c *Config) Keyed() bool { return len(c.Organisations) > 0 }

// Admits reports whether requests of a route may have that key, or none.
func (c *Config) Admits(r *Route, key string) bool {
	return !c.Keyed() || r.Anonymous || c.keys[key] != nil
}

// Service returns the service of that name, nil when it is not configured.
func (c *Config) Service(name string) *Service { return c.services[name] }

// HasColdRates reports whether a service limits the requests to its cold backend servers.
func (c *Config) HasColdRates() bool {
	return slices.ContainsFunc(c.Services, func(s Service) bool { return s.ColdRate > 0 })
}

// Model returns the model of a service, nil when it is not configured.
func (c *Config) Model(service, name string) *Model {
	s := c.services[service]
	if s == nil || s.Engine == nil {
		return nil
	}
	return s.Engine.Model(name)
}

// Model returns the model of that name, nil when the engine has none.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}
