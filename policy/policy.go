// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package policy decides which engine of a pool takes a generation whose
// length nobody knows, what waits, what is refused at once, and what gives way
// when an engine's memory is about to fill.
//
// It is pure: it does no I/O, starts no goroutine and reads no clock; the
// present time is an argument. The daemon, the tests and the benchmark run the
// same code. What it knows is soft: a Pool that starts empty is right again
// once the engines' reports and the entries' running generations have been
// told to it.
package policy

import (
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// Tokens counts tokens of a prompt, an answer or an engine's memory.
type Tokens int

// RunID names one run of one generation.
type RunID string

// EngineID names an engine.
type EngineID = member.UpstreamID

// Request asks for a place for one generation.
type Request struct {
	Run     RunID
	Route   resource.Name
	Account resource.Account
	// Priority is the account's; a higher one goes first.
	Priority     int
	PromptTokens Tokens
	// MaxOutputTokens bounds the answer; zero means that only the model does.
	MaxOutputTokens Tokens
	// Prefix is a hash of the first PrefixTokens of the prompt; zero means
	// that nothing of it can be reused.
	Prefix       uint64
	PrefixTokens Tokens
	// QueueBytes is what the request holds in memory while it waits.
	QueueBytes int
	// Deadline is when the wait for a place has been too long.
	Deadline time.Time
	// PreviousEngine is an engine that just failed this generation.
	PreviousEngine EngineID
	// ExcludedEngines are further engines that won't do.
	ExcludedEngines []EngineID
	// Zone is where the request came in, and FarCost what an engine of another
	// zone costs more, as a share of an engine's memory. Zero minds no zones.
	Zone          member.Zone
	CrossZoneCost float64
	// SameZoneOnly has no engine of another zone than Zone considered.
	SameZoneOnly bool
	// AllowedZones are those whose engines may take the request; nil sets no bound.
	AllowedZones []member.Zone
	// OnlyGroup has engines of that group alone considered, and ExcludedGroup none of that one;
	// empty sets no bound.
	OnlyGroup, ExcludedGroup string
	// Objective is the aimed time to the first token; zero sets none.
	Objective time.Duration
	// ArrivedAt is when the objective counts from. With both, a request that no
	// engine is expected to begin in time is refused at once.
	ArrivedAt time.Time
}

// Verdict says what became of a request.
type Verdict int

// The verdicts.
const (
	Queued Verdict = iota
	Granted
	Refused
)

// Reason says why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	ReasonNoEngine  Reason = "no_engine"
	ReasonQueueFull Reason = "queue_full"
	ReasonDeadline  Reason = "deadline"
	ReasonLate      Reason = "late"
	ReasonTooLong   Reason = "prompt_too_long"
)

// Decision is the answer to a request. A Queued one is followed by another
// from Advance.
type Decision struct {
	Run     RunID
	Verdict Verdict
	// Engine and Priority are set with Granted: where the run goes and what
	// it is worth there when memory runs out.
	Engine   EngineID
	Priority int
	// TimeToFirstToken is after how long the run's first token is expected; set with
	// Granted, zero where that isn't known.
	TimeToFirstToken time.Duration
	// PeakMemory is the most that the engine's memory is foreseen to hold with the run on it,
	// and Batch how many runs it has then; set with Granted.
	PeakMemory Tokens
	BatchSize  int
	// Reason and RetryAfter are set with Refused.
	Reason     Reason
	RetryAfter time.Duration
	// Waited is how long the request was queued.
	Waited time.Duration
}

// Report is what an engine last said of itself.
type Report struct {
	Engine      EngineID
	TotalMemory Tokens
	UsedMemory  Tokens
	Running     int
	Waiting     int
	StepTime    time.Duration
}

// Finish tells that a run has left its engine.
type Finish struct {
	Run RunID
	// GeneratedTokens is the answer's length as far as it came.
	GeneratedTokens Tokens
	// Complete says that the answer ended by itself, so that its length is known.
	Complete bool
}

// Settings steer a Pool. The zero value works; fill puts the defaults in.
type Settings struct {
	Objective resource.Objective
	// MaxStepTime is the longest step that admission aims at.
	MaxStepTime    time.Duration
	MaxQueueLength int
	MaxQueueBytes  int
	// HeadroomDeviations is how many standard deviations of growth are kept free.
	HeadroomDeviations float64
	// MaxMemoryFraction is the part of an engine's memory that admission fills.
	MaxMemoryFraction float64
	// MaxBatchSize bounds the runs of one engine; zero means no bound.
	MaxBatchSize int
	// InitialPrefillRate is how many prompt tokens an engine is taken to read in a second
	// beside its decoding until that has been learnt. Zero leaves the prompts
	// that wait to be read out of account.
	InitialPrefillRate float64
	// MaxWaitFraction is the part of its objective that a request waits for a place at most;
	// above 1 it is only refused when it will be late.
	MaxWaitFraction float64
	// MaxQueueStagger is the longest time for which an engine that has just begun to take work
	// gets none of what waits here, and Decider names who decides: each has a time of its
	// own. Zero has engines take it at once.
	MaxQueueStagger time.Duration
	DeciderID       string
	// MovableTokens is how many tokens of memory can be moved off an engine between
	// the notice that it leaves and its end. Zero leaves that out of account.
	MovableTokens Tokens
}

// Defaults for the fields of Settings.
const (
	DefaultHeadroomDeviations = 2.0
	DefaultMaxMemoryFraction  = 0.96
	// DefaultMaxWaitFraction is short: refused soon, a caller can come back soon, and what is let
	// in is less late.
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
