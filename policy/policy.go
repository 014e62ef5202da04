// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package policy places generations, whose answer lengths aren't known in
// advance, on the engines of a pool. It decides which engine takes a generation,
// which requests wait, which are refused at once, and which priority an engine
// gives a run when its memory runs out.
//
// The package does no I/O, starts no goroutine and reads no clock; the present
// time is an argument, so that the daemon, the tests and the benchmark run the
// same code. A Pool holds no state that has to be stored: an empty one is
// complete again once it has received the engines' reports and the runs in
// progress.
package policy

import (
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// Tokens counts tokens of a prompt, an answer or an engine's memory.
type Tokens int

// RunID identifies one run of one generation.
type RunID string

// EngineID identifies an engine.
type EngineID = member.UpstreamID

// Request asks for a place on an engine for one generation.
type Request struct {
	Run     RunID
	Route   resource.Name
	Account resource.Account
	// Priority is the client account's priority; higher ones are served first.
	Priority     int
	PromptTokens Tokens
	// MaxOutputTokens bounds the answer; zero leaves the bound to the model.
	MaxOutputTokens Tokens
	// Prefix is a hash of the first PrefixTokens tokens of the prompt. Zero means
	// that no cached prefix can be reused.
	Prefix       uint64
	PrefixTokens Tokens
	// QueueBytes is the memory that the request takes while it is queued.
	QueueBytes int
	// Deadline is when the request is refused if it still waits for a place.
	Deadline time.Time
	// PreviousEngine is the engine that the generation failed on or is moved off;
	// it isn't considered.
	PreviousEngine EngineID
	// ExcludedEngines are further engines that aren't considered.
	ExcludedEngines []EngineID
	// Zone is the zone where the request arrived. CrossZoneCost is added to the cost
	// of an engine in another zone, as a share of an engine's memory.
	Zone          member.Zone
	CrossZoneCost float64
	// SameZoneOnly excludes the engines of other zones than Zone.
	SameZoneOnly bool
	// AllowedZones restricts the engines by zone; nil allows all zones.
	AllowedZones []member.Zone
	// OnlyGroup allows only the engines of that group, and ExcludedGroup excludes
	// those of that group. Empty means no restriction.
	OnlyGroup, ExcludedGroup string
	// Objective is the target time to the first token; zero sets none.
	Objective time.Duration
	// ArrivedAt is when Objective starts to count. If both are set and no engine is
	// expected to start the request in time, it is refused at once.
	ArrivedAt time.Time
}

// Verdict is the outcome of a request.
type Verdict int

// The outcomes of a request.
const (
	Queued Verdict = iota
	Granted
	Refused
)

// Reason is why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	ReasonNoEngine  Reason = "no_engine"
	ReasonQueueFull Reason = "queue_full"
	ReasonDeadline  Reason = "deadline"
	ReasonLate      Reason = "late"
	ReasonTooLong   Reason = "prompt_too_long"
)

// Decision is the answer to a request. A Queued decision is followed by a final
// one from Advance.
type Decision struct {
	Run     RunID
	Verdict Verdict
	// Engine and Priority are set if Granted: the run's engine, and the priority
	// with which the engine keeps the run when its memory runs out.
	Engine   EngineID
	Priority int
	// TimeToFirstToken is the expected time to the run's first token. It is set if
	// Granted, and zero if unknown.
	TimeToFirstToken time.Duration
	// PeakMemory is the highest forecast mean of the engine's memory use with the
	// run on it, and BatchSize its number of runs then. Both are set if Granted.
	PeakMemory Tokens
	BatchSize  int
	// Reason and RetryAfter are set if Refused.
	Reason     Reason
	RetryAfter time.Duration
	// Waited is how long the request was queued.
	Waited time.Duration
}

// Report is an engine's latest report of its state. TotalMemory and UsedMemory
// count the tokens that fit into its memory and that are in it; StepTime is the
// duration of a decoding step. SlowStepTime is the duration that one step in ten
// exceeds; zero means that the engine's own pace isn't known or isn't considered.
type Report struct {
	Engine      EngineID
	TotalMemory Tokens
	UsedMemory  Tokens
	Running     int
	Waiting     int
	StepTime    time.Duration

	SlowStepTime time.Duration
}

// Finish reports that a run has left its engine.
type Finish struct {
	Run RunID
	// GeneratedTokens is the length of the answer so far.
	GeneratedTokens Tokens
	// Complete reports that the answer ended by itself, so that its full length is
	// known.
	Complete bool
}

// Settings configures a Pool. Fields that are zero get their defaults, where
// there are any, from applyDefaults.
type Settings struct {
	Objective resource.Objective
	// MaxStepTime is the longest decoding step that admission allows for.
	MaxStepTime    time.Duration
	MaxQueueLength int
	MaxQueueBytes  int
	// HeadroomDeviations is how many standard deviations of the forecast memory use
	// are kept free.
	HeadroomDeviations float64
	// MaxMemoryFraction is the fraction of an engine's memory that admission fills.
	MaxMemoryFraction float64
	// MaxBatchSize bounds the runs of one engine; zero means no bound.
	MaxBatchSize int
	// InitialPrefillRate is the assumed rate, in prompt tokens per second, at which
	// an engine reads prompts while it decodes, until the rate is learned. Zero
	// ignores the time that prompts wait to be read.
	InitialPrefillRate float64
	// MaxWaitFraction is the fraction of its objective for which a request may wait
	// for a place. Above 1, a request is refused only when it will be late.
	MaxWaitFraction float64
	// MaxQueueStagger is the longest time for which an engine that has just begun to
	// take work gets no queued requests. Each decider, identified by DeciderID, has
	// its own delay within it. Zero sets no delay.
	MaxQueueStagger time.Duration
	DeciderID       string
	// MovableTokens is how many tokens of memory can be moved off an engine between
	// the notice that it leaves and its end. Zero ignores the cost of moving.
	MovableTokens Tokens
	// RoomForMoves has new requests leave room for the runs on departing engines; see
	// Pool.SetDepartures.
	RoomForMoves bool
}

// Defaults for the fields of Settings.
const (
	DefaultHeadroomDeviations = 2.0
	DefaultMaxMemoryFraction  = 0.96
	// DefaultMaxWaitFraction is low so that a refused caller can retry early and
	// that admitted requests are less late.
	DefaultMaxWaitFraction = 0.15
)

func (s *Settings) applyDefaults() {
	if s.Objective == "" {
		s.Objective = resource.ObjectiveStall
	}
	if s.MaxStepTime == 0 {
		s.MaxStepTime = time.Duration(resource.DefaultBetweenTokens)
	}
	if s.MaxQueueLength == 0 {
		s.MaxQueueLength = resource.DefaultQueueLimit
	}
	if s.MaxQueueBytes == 0 {
		s.MaxQueueBytes = resource.DefaultQueueBytes
	}
	if s.HeadroomDeviations == 0 {
		s.HeadroomDeviations = DefaultHeadroomDeviations
	}
	if s.MaxWaitFraction == 0 {
		s.MaxWaitFraction = DefaultMaxWaitFraction
	}
	if s.MaxMemoryFraction == 0 {
		s.MaxMemoryFraction = DefaultMaxMemoryFraction
	}
}
