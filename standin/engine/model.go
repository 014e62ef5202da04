// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package engine simulates a model engine for tests, trials and the policy
// benchmark. The simulated engine uses continuous batching, holds the tokens
// of its runs in limited memory, caches prompt prefixes, and preempts runs when
// the memory is full.
//
// Model simulates memory and decoding steps and needs neither a clock nor a
// network. Server puts a Model behind the HTTP interface that shedpath's engine
// adapter uses. No language model is computed: each token is a generated word
// that encodes its run and index.
package engine

import (
	"cmp"
	"slices"
	"time"
)

// RunID identifies a run on an engine.
type RunID string

// Settings describe an engine's memory, batch size and speed. Start from
// DefaultSettings.
type Settings struct {
	// MemoryTokens is the memory capacity in prompt and output tokens.
	MemoryTokens int
	// MaxBatch is the maximum number of admitted runs.
	MaxBatch int
	// A step takes StepBase, plus StepPerRun for each run that decodes, plus
	// PrefillPerToken for each token prefilled in the step.
	StepBase, StepPerRun, PrefillPerToken time.Duration
	// PrefillChunk is the maximum number of tokens prefilled in one step.
	PrefillChunk int
	// CachesPrefixes keeps the prompt prefixes of finished runs for reuse
	// until running runs need the memory.
	CachesPrefixes bool
}

// DefaultSettings returns the settings of a mid-sized engine.
func DefaultSettings() Settings {
	return Settings{
		MemoryTokens: 60_000, MaxBatch: 128,
		StepBase: 12 * time.Millisecond, StepPerRun: 250 * time.Microsecond,
		PrefillPerToken: 20 * time.Microsecond, PrefillChunk: 2048,
		CachesPrefixes: true,
	}
}

// Generation is one generation submitted to the engine.
type Generation struct {
	ID           RunID
	PromptTokens int
	// OutputTokens is the length of the output; clients don't know it in
	// advance.
	OutputTokens int
	Priority     int
	// Prefix identifies the first PrefixTokens tokens of the prompt. If it is
	// empty, no part of the prompt is cached or reused.
	Prefix       string
	PrefixTokens int
}

// run is the state of one generation.
type run struct {
	Generation
	// arrivalSeq orders runs of the same priority by arrival.
	arrivalSeq int
	// generated counts the output tokens; 0 <= generated <= OutputTokens.
	generated int
	// pendingPrefill counts the tokens to prefill before the run can decode.
	pendingPrefill int
	// heldTokens is the memory that the run occupies; 0 while it waits.
	heldTokens int
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of event.
const (
	Token EventKind = iota
	Ended
	Preempted
	Admitted
)

// Event is a change to a run in a step.
type Event struct {
	Kind EventKind
	Run  RunID
	// Index is the index of the token, counted from 1. For the other kinds it
	// is the number of tokens generated so far.
	Index int
}

// CacheEvent records that a prefix was added to or evicted from the cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
	Added  bool   `json:"added"`
}

type cachedPrefix struct {
	tokens int
	// lastUse orders the prefixes by their last use, for eviction.
	lastUse int
}

// Model is the state of one engine. It isn't safe for concurrent use. Create it
// with NewModel.
type Model struct {
	settings     Settings
	logicalClock int
	// running is in order of admission; waiting is in the order in which runs
	// will be admitted.
	running, waiting []*run
	// batchBuffer is a copy of running during a decode step. The buffer is
	// reused to avoid an allocation in each step.
	batchBuffer []*run
	// usedTokens is the sum of heldTokens over running; it never exceeds
	// MemoryTokens at the end of a step.
	usedTokens       int
	prefixCache      map[string]*cachedPrefix
	cachedTokens     int
	cacheEvents      []CacheEvent
	cacheSeq         uint64
	lastStepDuration time.Duration
	preemptions      int
	recomputedTokens int
	events           []Event
}

// NewModel returns a Model of an idle engine.
func NewModel(s Settings) *Model {
	return &Model{settings: s, prefixCache: map[string]*cachedPrefix{}}
}

// Submit queues a generation, which starts in a later step.
func (m *Model) Submit(w Generation) {
	m.logicalClock++
	m.enqueue(&run{Generation: w, arrivalSeq: m.logicalClock})
}

// enqueue inserts a run into waiting by descending priority, then by arrival.
func (m *Model) enqueue(r *run) {
	position, _ := slices.BinarySearchFunc(m.waiting, r, func(a, b *run) int {
		if a.Priority != b.Priority {
			return cmp.Compare(b.Priority, a.Priority)
		}
		return cmp.Compare(a.arrivalSeq, b.arrivalSeq)
	})
	m.waiting = slices.Insert(m.waiting, position, r)
}

// Cancel removes a running or waiting run and reports whether it was found.
func (m *Model) Cancel(id RunID) bool {
	for i, r := range m.running {
		if r.ID == id {
			m.running = slices.Delete(m.running, i, i+1)
			m.release(r)
			return true
		}
	}
	for i, r := range m.waiting {
		if r.ID == id {
			m.waiting = slices.Delete(m.waiting, i, i+1)
			return true
		}
	}
	return false
}

// SetPriority changes the priority of a running run, which decides the run to
// preempt when memory is full. Waiting runs keep their priority.
func (m *Model) SetPriority(runID RunID, priority int) {
	for _, r := range m.running {
		if r.ID == runID {
			r.Priority = priority
		}
	}
}

// Idle reports whether no run is running or waiting.
func (m *Model) Idle() bool { return len(m.running) == 0 && len(m.waiting) == 0 }

// Step performs one step and returns its events, which are valid until the next
// step, and the duration of the step. The duration is zero if no run is
// running.
func (m *Model) Step() ([]Event, time.Duration) {
	m.events = m.events[:0]
	m.admit()
	if len(m.running) == 0 {
		return m.events, 0
	}
	prefilled := m.readPrompts()
	decoded := m.decode()
	s := m.settings
	m.lastStepDuration = s.StepBase + time.Duration(decoded)*s.StepPerRun + time.Duration(prefilled)*s.PrefillPerToken
	return m.events, m.lastStepDuration
}

func (m *Model) emit(kind EventKind, id RunID, index int) {
	m.events = append(m.events, Event{Kind: kind, Run: id, Index: index})
}

// admit moves waiting runs to running while there is memory for their tokens and
// one more. A run larger than the whole memory is admitted with the memory size
// instead of its own.
func (m *Model) admit() {
	for len(m.waiting) > 0 && len(m.running) < m.settings.MaxBatch {
		r := m.waiting[0]
		need := min(r.PromptTokens+r.generated+1, m.settings.MemoryTokens)
		if m.usedTokens+need > m.settings.MemoryTokens {
			return
		}
		m.waiting = m.waiting[1:]
		r.heldTokens = need
		r.pendingPrefill = need - m.reusePrefix(r)
		m.usedTokens += need
		m.evict()
		m.running = append(m.running, r)
		m.emit(Admitted, r.ID, r.generated)
	}
}

// reusePrefix marks the run's cached prefix as used and returns the number of
// prompt tokens that need no prefill.
func (m *Model) reusePrefix(r *run) int {
	c := m.prefixCache[r.Prefix]
	if c == nil || r.Prefix == "" {
		return 0
	}
	m.logicalClock++
	c.lastUse = m.logicalClock
	return min(c.tokens, r.PromptTokens)
}

func (m *Model) readPrompts() int {
	budget := m.settings.PrefillChunk
	for _, r := range m.running {
		n := min(budget, r.pendingPrefill)
		r.pendingPrefill -= n
		budget -= n
	}
	return m.settings.PrefillChunk - budget
}

// decode generates one token for each prefilled run, preempts runs when memory
// is full, finishes complete runs, and returns the number of tokens generated.
func (m *Model) decode() int {
	decoded := 0
	m.batchBuffer = append(m.batchBuffer[:0], m.running...)
	for _, r := range m.batchBuffer {
		if r.pendingPrefill > 0 || r.heldTokens == 0 {
			continue
		}
		if !m.makeRoom(r) {
			continue
		}
		decoded++
		m.emitToken(r)
	}
	m.evict()
	return decoded
}

// makeRoom preempts runs until there is memory for one more token, and reports
// whether r itself is still running. A run that fills the memory alone is
// finished with the tokens generated so far.
func (m *Model) makeRoom(r *run) bool {
	for m.usedTokens+1 > m.settings.MemoryTokens && r.heldTokens > 0 {
		if len(m.running) == 1 {
			m.finish(r)
			return false
		}
		m.preemptLowest()
	}
	return r.heldTokens > 0
}

func (m *Model) emitToken(r *run) {
	r.generated++
	r.heldTokens++
	m.usedTokens++
	m.emit(Token, r.ID, r.generated)
	if r.generated >= r.OutputTokens {
		m.finish(r)
	}
}

func (m *Model) finish(r *run) {
	m.emit(Ended, r.ID, r.generated)
	m.running = slices.DeleteFunc(m.running, func(other *run) bool { return other == r })
	m.release(r)
	m.cachePrefix(r)
}

// preemptLowest preempts the run of the lowest priority; among equals, the one
// admitted last. Its tokens must be prefilled again.
func (m *Model) preemptLowest() {
	victim := len(m.running) - 1
	for i := victim; i >= 0; i-- {
		if m.running[i].Priority < m.running[victim].Priority {
			victim = i
		}
	}
	r := m.running[victim]
	m.running = slices.Delete(m.running, victim, victim+1)
	m.recomputedTokens += r.PromptTokens + r.generated
	m.preemptions++
	m.release(r)
	m.enqueue(r)
	m.emit(Preempted, r.ID, r.generated)
}

func (m *Model) release(r *run) {
	m.usedTokens -= r.heldTokens
	r.heldTokens = 0
}

func (m *Model) cachePrefix(r *run) {
	if !m.settings.CachesPrefixes || r.Prefix == "" {
		return
	}
	m.logicalClock++
	if c := m.prefixCache[r.Prefix]; c != nil {
		c.lastUse = m.logicalClock
		return
	}
	m.prefixCache[r.Prefix] = &cachedPrefix{tokens: r.PrefixTokens, lastUse: m.logicalClock}
	m.cachedTokens += r.PrefixTokens
	m.recordCacheEvent(r.Prefix, r.PrefixTokens, true)
}

// evict removes the least recently used prefixes until running runs and cache
// fit in memory.
func (m *Model) evict() {
	for m.usedTokens+m.cachedTokens > m.settings.MemoryTokens && len(m.prefixCache) > 0 {
		oldest := ""
		for prefix, c := range m.prefixCache {
			if oldest == "" || c.lastUse < m.prefixCache[oldest].lastUse {
				oldest = prefix
			}
		}
		m.cachedTokens -= m.prefixCache[oldest].tokens
		m.recordCacheEvent(oldest, m.prefixCache[oldest].tokens, false)
		delete(m.prefixCache, oldest)
	}
}

// maxCacheEvents is the number of most recent cache events kept for readers.
const maxCacheEvents = 256

func (m *Model) recordCacheEvent(prefix string, tokens int, added bool) {
	m.cacheSeq++
	m.cacheEvents = append(m.cacheEvents, CacheEvent{Seq: m.cacheSeq, Prefix: prefix, Tokens: tokens, Added: added})
	if n := len(m.cacheEvents); n > maxCacheEvents {
		m.cacheEvents = slices.Delete(m.cacheEvents, 0, n-maxCacheEvents)
	}
}

// CacheEvents returns the retained events with a Seq greater than afterSeq. A gap
// in the sequence numbers means that events were discarded.
func (m *Model) CacheEvents(afterSeq uint64) []CacheEvent {
	first, _ := slices.BinarySearchFunc(m.cacheEvents, afterSeq+1, func(e CacheEvent, seq uint64) int {
		return cmp.Compare(e.Seq, seq)
	})
	return slices.Clone(m.cacheEvents[first:])
}

// Load is the load that an engine reports.
type Load struct {
	MemoryTokens     int           `json:"memory_tokens"`
	UsedTokens       int           `json:"used_tokens"`
	Running          int           `json:"running"`
	Waiting          int           `json:"waiting"`
	StepDuration     time.Duration `json:"step_ns"`
	Preemptions      int           `json:"preemptions"`
	RecomputedTokens int           `json:"recomputed_tokens"`
}

// Load returns the current load.
func (m *Model) Load() Load {
	return Load{
		MemoryTokens: m.settings.MemoryTokens, UsedTokens: m.usedTokens,
		Running: len(m.running), Waiting: len(m.waiting), StepDuration: m.lastStepDuration,
		Preemptions: m.preemptions, RecomputedTokens: m.recomputedTokens,
	}
}
