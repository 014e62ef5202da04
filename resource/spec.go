// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package resource

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// Duration is a time.Duration written as "1.5s" in JSON and YAML.
type Duration time.Duration

// MarshalJSON writes d the way time.Duration prints itself.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads what time.ParseDuration reads.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var value string
	if err := json.Unmarshal(text, &value); err != nil {
		return trace.BadParameter("want a duration such as \"1.5s\"")
	}
	parsed, err := time.ParseDuration(value)
	if err != nil {
		return trace.BadParameter("want a duration such as \"1.5s\", not %q", value)
	}
	*d = Duration(parsed)
	return nil
}

// Objective says what a pool protects first when an engine's memory runs out.
type Objective string

// The objectives a pool may declare.
const (
	// ObjectiveStall protects callers from pauses in a running answer.
	ObjectiveStall Objective = "stall"
	// ObjectiveTail protects the time between tokens and long readings.
	ObjectiveTail Objective = "tail"
)

// Route leads callers to a model or to a plain service; exactly one is set.
// Callers name a model route in a request's "model" field and a service route
// in its path.
type Route struct {
	Model   Name `json:"model,omitempty"`
	Service Name `json:"service,omitempty"`
	// Repeatable says that a service call may be run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Timeout bounds a service call, and a generation's wait for an engine.
	Timeout Duration `json:"timeout,omitempty"`
}

// EnginePool is a set of interchangeable engines. Which engines belong to it
// is said by the platform's host list.
type EnginePool struct {
	Objective Objective `json:"objective,omitempty"`
	// BetweenTokens is the step time the pool keeps to; no run is admitted to
	// an engine whose step would pass it.
	BetweenTokens Duration `json:"betweenTokens,omitempty"`
	// QueueLimit and QueueBytes bound what waits for a place.
	QueueLimit int `json:"queueLimit,omitempty"`
	QueueBytes int `json:"queueBytes,omitempty"`
	// ChecksOrders says that the pool's engines refuse orders with an old
	// fencing token.
	ChecksOrders bool `json:"checksOrders,omitempty"`
}

// Model is a set of weights in one version, served by one pool.
type Model struct {
	Pool    Name   `json:"pool"`
	Version string `json:"version"`
	// ContextTokens bounds prompt and answer together.
	ContextTokens int `json:"contextTokens,omitempty"`
}

// Adapter is a small set of weights put over a model.
type Adapter struct {
	Model   Name   `json:"model"`
	Version string `json:"version"`
}

// ClientAccount is one caller's identity, weight and limits.
type ClientAccount struct {
	// Priority orders waiting work; a higher one goes first.
	Priority int `json:"priority,omitempty"`
	// KeyHashes are the SHA-256 sums, in hex, of the account's bearer keys.
	KeyHashes []string `json:"keyHashes"`
	// MaxRunning bounds the account's calls in flight at one entry; zero
	// means no bound.
	MaxRunning int `json:"maxRunning,omitempty"`
	// RequestsPerSecond bounds the account's call rate at one entry; zero
	// means no bound.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
}

// DrainOrder asks that an upstream, or every upstream of an availability zone, gets no
// new work.
type DrainOrder struct {
	// Upstream and Zone exclude each other.
	Upstream string `json:"upstream,omitempty"`
	Zone     string `json:"zone,omitempty"`
}

// Defaults that stand in for fields an operator left out.
const (
	DefaultTimeout       = Duration(30 * time.Second)
	DefaultBetweenTokens = Duration(70 * time.Millisecond)
	DefaultQueueLimit    = 512
	DefaultQueueBytes    = 64 << 20
	DefaultContextTokens = 32768
)

func (r *Route) setDefaults() {
	if r.Timeout == 0 {
		r.Timeout = DefaultTimeout
	}
}

func (p *EnginePool) setDefaults() {
	if p.Objective == "" {
		p.Objective = ObjectiveStall
	}
	if p.BetweenTokens == 0 {
		p.BetweenTokens = DefaultBetweenTokens
	}
	if p.QueueLimit == 0 {
		p.QueueLimit = DefaultQueueLimit
	}
	if p.QueueBytes == 0 {
		p.QueueBytes = DefaultQueueBytes
	}
}

func (m *Model) setDefaults() {
	if m.ContextTokens == 0 {
		m.ContextTokens = DefaultContextTokens
	}
}
