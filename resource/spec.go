// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package resource

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// Duration is a time.Duration that is encoded like "1.5s" in JSON and YAML.
type Duration time.Duration

// MarshalJSON encodes d in the format of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string in the format of time.ParseDuration.
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

// Objective selects what a pool protects first when an engine's memory runs out.
type Objective string

// The objectives a pool may declare.
const (
	// ObjectiveStall protects callers from pauses in a running answer.
	ObjectiveStall Objective = "stall"
	// ObjectiveTail protects the time between tokens and the reading of long prompts.
	ObjectiveTail Objective = "tail"
)

// Route directs requests to a model or to a plain service; exactly one of them is
// set. Callers name a model route in the "model" field of a request and a service
// route in its path.
type Route struct {
	Model   Name `json:"model,omitempty"`
	Service Name `json:"service,omitempty"`
	// Repeatable reports that a service call may be run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Timeout bounds a service call, and a generation's wait for an engine.
	Timeout Duration `json:"timeout,omitempty"`
}

// EnginePool is a set of interchangeable engines. The platform's host list
// determines which engines belong to it.
type EnginePool struct {
	Objective Objective `json:"objective,omitempty"`
	// BetweenTokens is the maximum step time: no run is admitted to an engine
	// whose step time would then exceed it.
	BetweenTokens Duration `json:"betweenTokens,omitempty"`
	// QueueLimit and QueueBytes bound the number and the total size of the
	// requests that wait for an engine.
	QueueLimit int `json:"queueLimit,omitempty"`
	QueueBytes int `json:"queueBytes,omitempty"`
	// ChecksOrders reports that the pool's engines refuse orders with an old
	// fencing token.
	ChecksOrders bool `json:"checksOrders,omitempty"`
}

// Model is one version of a set of weights, served by one pool.
type Model struct {
	Pool    Name   `json:"pool"`
	Version string `json:"version"`
	// ContextTokens bounds the tokens of prompt and completion together.
	ContextTokens int `json:"contextTokens,omitempty"`
}

// Adapter is a small set of weights that is applied on top of a model.
type Adapter struct {
	Model   Name   `json:"model"`
	Version string `json:"version"`
}

// ClientAccount holds the keys, the priority and the limits of one client.
type ClientAccount struct {
	// Priority orders waiting requests; higher values go first.
	Priority int `json:"priority,omitempty"`
	// KeyHashes are the SHA-256 sums, in hex, of the account's bearer keys.
	KeyHashes []string `json:"keyHashes"`
	// MaxRunning bounds the account's calls in flight at each entry host;
	// zero means no limit.
	MaxRunning int `json:"maxRunning,omitempty"`
	// RequestsPerSecond bounds the account's call rate at each entry host;
	// zero means no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
}

// DrainOrder excludes an upstream, or every upstream of an availability zone, from new
// work.
type DrainOrder struct {
	// Exactly one of Upstream and Zone is set.
	Upstream string `json:"upstream,omitempty"`
	Zone     string `json:"zone,omitempty"`
}

// Default values of fields that an operator leaves out.
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
