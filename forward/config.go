// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sort"
	"strings"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// Version numbers the configurations of a site; a newer one is higher. The
// zero value stands for no configuration.
type Version uint64

// Urgency ranks requests: 0 is the most urgent, MostPatient the least.
type Urgency int

// The range of Urgency, and what a request has that nobody ranked.
const (
	LeastUrgent    Urgency = 9
	DefaultUrgency Urgency = 5
)

// Kind says what may be done with a request that failed.
type Kind string

// The kinds of request.
const (
	// KindSafe may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe runs at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream is answered with a series of events. It runs at most once unless
	// its route is resumable.
	KindStream Kind = "stream"
)

// ServiceName names a group of upstreams that can take each other's requests.
type ServiceName = resource.Name

// WeightedService is one service's part of a route's requests.
type WeightedService struct {
	Service ServiceName
	// Weight is relative to the other services' weights.
	Weight int
}

// Route leads requests to services. Its zero value matches nothing.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is how long a request may be held; zero sets no bound.
	Timeout time.Duration
	// Objective is the aimed time to the answer or its first event.
	Objective time.Duration
	// GapObjective is the aimed longest pause between events; zero sets none.
	GapObjective time.Duration
	Urgency      Urgency
	// Attempts is how many upstreams one request may be sent to.
	Attempts int
	// Resumable streams may run again, and go on from an event that the caller
	// names. It says nothing of other kinds.
	Resumable bool
	// Public routes take requests without a key.
	Public bool
	// Regions are those in which requests may be served; none sets no bound.
	Regions []member.Region
	// Services take the route's requests by weight.
	Services []WeightedService
}

// Engine describes the model engines of a service.
type Engine struct {
	// Batch is how many runs one engine decodes at once.
	Batch int
	// Memory is one engine's room for prompts and answers.
	Memory policy.Tokens
	// TokenBytes is the memory of one token, which a move sends.
	TokenBytes float64
	// LinkBitsPerSecond is the rate at which an engine's memory is moved.
	LinkBitsPerSecond float64
	// Moves and Backups say whether runs can be moved and copied as they grow.
	Moves, Backups bool
	// EventTokens is how many tokens an event of a stream holds.
	EventTokens policy.Tokens
}

// Service is a group of upstreams. Engine is nil for plain services.
type Service struct {
	Name ServiceName
	// HealthPath is where an upstream says whether it is well.
	HealthPath string
	// MaxConns is how many connections one upstream takes from all hosts.
	MaxConns int
	// ColdRate is how many requests a second a cold upstream bears from all hosts
	// together; zero sets no bound.
	ColdRate float64
	Engine   *Engine
}

// Account is a client account.
type Account struct {
	Name resource.Account
	Keys []string
	// Urgency goes before the route's when Ranked.
	Urgency Urgency
	Ranked  bool
	// Regions are those in which its requests may be served; none sets no bound.
	Regions []member.Region
}

// Limits bound what a caller may send. Zero fields set no bound.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one whole configuration as its source gave it.
type Config struct {
	Version  Version
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Table is a configuration made ready for look-ups. It is never changed after
// NewTable. Nil is the table of a host that has no configuration yet.
type Table struct {
	Version Version
	Limits  Limits
	// RequiresKey says that requests need a key on routes that aren't public.
	RequiresKey bool

	// routes holds each host's routes, the longest prefixes first.
	routes   map[string][]Route
	services map[ServiceName]Service
	accounts map[string]Account
	// gapObjectives are the shortest gapObjectives between events that the routes to each
	// service aim at; those that set none are left out.
	gapObjectives map[ServiceName]time.Duration
}

// NewTable makes a configuration ready for look-ups.
func NewTable(c Config) *Table {
	t := &Table{
		Version: c.Version, Limits: c.Limits, RequiresKey: len(c.Accounts) > 0,
		routes: map[string][]Route{}, services: map[ServiceName]Service{}, accounts: map[string]Account{},
		gapObjectives: map[ServiceName]time.Duration{},
	}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
		t.addGapObjective(r)
	}
	for _, routes := range t.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for _, a := range c.Accounts {
		for _, key := range a.Keys {
			t.accounts[key] = a
		}
	}
	return t
}

// addGapObjective takes in the pause that a route aims at.
func (t *Table) addGapObjective(r Route) {
	if r.Kind != KindStream || r.GapObjective <= 0 {
		return
	}
	for _, s := range r.Services {
		if old := t.gapObjectives[s.Service]; old == 0 || r.GapObjective < old {
			t.gapObjectives[s.Service] = r.GapObjective
		}
	}
}

// ShortestGapObjective is the shortest pause between two events that a route to a
// service aims at; zero when none sets one.
func (t *Table) ShortestGapObjective(name ServiceName) time.Duration { return t.gapObjectives[name] }

// normalizeHost is the host that a caller named, without a port and in lower case.
func normalizeHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Match finds the route with the longest prefix of the path. The host may
// carry a port.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.routes[normalizeHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns a declared service.
func (t *Table) Service(name ServiceName) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns every declared service.
func (t *Table) Services() map[ServiceName]Service { return t.services }

// Account returns the account that holds a key.
func (t *Table) Account(key string) (Account, bool) {
	a, ok := t.accounts[key]
	return a, ok
}
