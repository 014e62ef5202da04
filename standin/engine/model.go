// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package engine is a stand-in for a model engine, for tests, trials and the
// policy benchmark: it batches continuously, holds its runs' tokens in limited
// memory, caches prompt prefixes, and throws runs back when the memory is full.
//
// Model is the engine's memory and step model with the present time as
// argument, usable without a network; Server puts it behind the HTTP interface
// that shedpath's engine adapter speaks. It computes no language model: its
// tokens are made-up words that tell their run and index.
package engine

import (
	"cmp"
	"slices"
	"time"
)

// RunID names a run on an engine.
type RunID string

// Settings are an engine's size and speed. Use DefaultSettings.
type Settings struct {
	// MemoryTokens is how many tokens of prompts and answers fit.
	MemoryTokens int
	// MaxBatch is how many runs decode at once.
	MaxBatch int
	// A step takes StepBase, and StepPerRun for each run that decodes, and
	// PrefillPerToken for each prompt token read in it.
	StepBase, StepPerRun, PrefillPerToken time.Duration
	// PrefillChunk bounds the prompt tokens read in one step.
	PrefillChunk int
	// CachesPrefixes keeps the memory of ended prompts for reuse while nobody
	// needs it.
	CachesPrefixes bool
}

// DefaultSettings is a mid-sized engine.
func DefaultSettings() Settings {
	return Settings{
		MemoryTokens: 60_000, MaxBatch: 128,
		StepBase: 12 * time.Millisecond, StepPerRun: 250 * time.Microsecond,
		PrefillPerToken: 20 * time.Microsecond, PrefillChunk: 2048,
		CachesPrefixes: true,
	}
}

// Generation is one generation as the engine is asked for it.
type Generation struct {
	ID           RunID
	PromptTokens int
	// OutputTokens is the answer's true length, which nobody else knows.
	OutputTokens int
	Priority     int
	// Prefix names the first PrefixTokens of the prompt; empty means that
	// nothing of it can be reused.
	Prefix       string
	PrefixTokens int
}

// run is the state of one piece of work.
type run struct {
	Generation
	// arrivalSeq orders the runs of one priority.
	arrivalSeq int
	// generated counts the tokens given out; 0 <= generated <= Length.
	generated int
	// pendingPrefill counts the tokens still to be read before the run can decode.
	pendingPrefill int
	// heldTokens is the memory that the run takes; 0 while it waits.
	heldTokens int
}

// EventKind says what happened to a run.
type EventKind int

// The kinds of event.
const (
	Token EventKind = iota
	Ended
	Preempted
	Admitted
)

// Event is one thing that happened to a run in a step.
type Event struct {
	Kind EventKind
	Run  RunID
	// Index is the token's, from 1; with Ended it is the count of tokens.
	Index int
}

// CacheEvent tells that a prefix came into the cache or left it.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
	Added  bool   `json:"added"`
}

type cachedPrefix struct {
	tokens int
	// lastUse orders the prefixes by their last use.
	lastUse int
}

// Model is the state of one engine. It isn't safe for use by several
// goroutines. Use NewModel.
type Model struct {
	settings     Settings
	logicalClock int
	// running is in the order of admission; waiting in the order in which
	// runs will be admitted.
	running, waiting []*run
	// batchBuffer is the running runs at the start of a step, kept for its memory.
	batchBuffer []*run
	// usedTokens is the sum of held over running, and never above MemoryTokens at
	// the end of a step.
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

// NewModel returns an idle engine.
func NewModel(s Settings) *Model {
	return &Model{settings: s, prefixCache: map[string]*cachedPrefix{}}
}

// Submit takes work in; it starts in a later step.
func (m *Model) Submit(w Generation) {
	m.logicalClock++
	m.enqueue(&run{Generation: w, arrivalSeq: m.logicalClock})
}

// enqueue puts a run behind those of its priority that arrived before it.
func (m *Model) enqueue(r *run) {
	position, _ := slices.BinarySearchFunc(m.waiting, r, func(a, b *run) int {
		if a.Priority != b.Priority {
			return cmp.Compare(b.Priority, a.Priority)
		}
		return cmp.Compare(a.arrivalSeq, b.arrivalSeq)
	})
	m.waiting = slices.Insert(m.waiting, position, r)
}

// Cancel drops a run wherever it is, and reports whether it was there.
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

// SetPriority changes what a run is worth when memory is full.
func (m *Model) SetPriority(runID RunID, priority int) {
	for _, r := range m.running {
		if r.ID == runID {
			r.Priority = priority
		}
	}
}

// Idle reports whether there is nothing to do.
func (m *Model) Idle() bool { return len(m.running) == 0 && len(m.waiting) == 0 }

// Step does one step and returns its events, valid until the next step, and
// how long the step takes. An idle engine's step takes no time.
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

// admit moves waiting runs into the batch while there is memory for what they
// have and one more token. A run that could never fit is cut to what fits.
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

// reusePrefix returns how many tokens of the run's prompt needn't be read.
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

// decode gives each run that has been read one token, throwing runs back when
// the memory doesn't hold it, and ends those that are done.
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

// makeRoom throws runs back until r has room for one more token, and reports
// whether r itself is still there to take it. A run that fills the memory
// alone ends with what it has.
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

// preemptLowest preempts the run of the lowest priority, among equals the one
// admitted last; what it held must be read again.
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

// evict drops the prefixes used longest ago until runs and cache fit together.
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

// maxCacheEvents bounds the events that a reader may come late for.
const maxCacheEvents = 256

func (m *Model) recordCacheEvent(prefix string, tokens int, added bool) {
	m.cacheSeq++
	m.cacheEvents = append(m.cacheEvents, CacheEvent{Seq: m.cacheSeq, Prefix: prefix, Tokens: tokens, Added: added})
	if n := len(m.cacheEvents); n > maxCacheEvents {
		m.cacheEvents = slices.Delete(m.cacheEvents, 0, n-maxCacheEvents)
	}
}

// CacheEvents returns the kept events after seq. A gap in the numbers says
// that some were lost.
func (m *Model) CacheEvents(afterSeq uint64) []CacheEvent {
	first, _ := slices.BinarySearchFunc(m.cacheEvents, afterSeq+1, func(e CacheEvent, seq uint64) int {
		return cmp.Compare(e.Seq, seq)
	})
	return slices.Clone(m.cacheEvents[first:])
}

// Load is what an engine reports of itself.
type Load struct {
	MemoryTokens     int           `json:"memory_tokens"`
	UsedTokens       int           `json:"used_tokens"`
	Running          int           `json:"running"`
	Waiting          int           `json:"waiting"`
	StepDuration     time.Duration `json:"step_ns"`
	Preemptions      int           `json:"preemptions"`
	RecomputedTokens int           `json:"recomputed_tokens"`
}

// Load returns the present load.
func (m *Model) Load() Load {
	return Load{
		MemoryTokens: m.settings.MemoryTokens, UsedTokens: m.usedTokens,
		Running: len(m.running), Waiting: len(m.waiting), StepDuration: m.lastStepDuration,
		Preemptions: m.preemptions, RecomputedTokens: m.recomputedTokens,
	}
}
