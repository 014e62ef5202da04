// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// prefixCache is a hint of which prompt prefixes an engine holds. Its events
// come late and with gaps, so an entry fades with time, and a gap drops all.
// The zero value is empty and works.
type prefixCache struct {
	entries map[uint64]prefixEntry
	// lastSeq is the number of the last event taken in.
	lastSeq uint64
}

type prefixEntry struct {
	tokens Tokens
	seenAt time.Time
}

const (
	// prefixTTL is how long a hint is believed without being renewed.
	prefixTTL = 2 * time.Minute
	// maxPrefixes bounds the hints kept for one engine.
	maxPrefixes = 1024
)

// CacheEvent tells that a prefix came into an engine's cache or left it.
type CacheEvent struct {
	Seq    uint64
	Prefix uint64
	Tokens Tokens
	Added  bool
}

func (c *prefixCache) applyEvent(now time.Time, e CacheEvent) {
	if c.lastSeq != 0 && e.Seq <= c.lastSeq {
		return
	}
	if c.lastSeq != 0 && e.Seq != c.lastSeq+1 {
		clear(c.entries)
	}
	c.lastSeq = e.Seq
	if !e.Added {
		delete(c.entries, e.Prefix)
		return
	}
	c.put(now, e.Prefix, e.Tokens)
}

func (c *prefixCache) put(now time.Time, prefix uint64, tokens Tokens) {
	if prefix == 0 {
		return
	}
	if c.entries == nil {
		c.entries = map[uint64]prefixEntry{}
	}
	if len(c.entries) >= maxPrefixes {
		c.dropExpired(now)
	}
	if len(c.entries) < maxPrefixes {
		c.entries[prefix] = prefixEntry{tokens: tokens, seenAt: now}
	}
}

func (c *prefixCache) dropExpired(now time.Time) {
	for prefix, seen := range c.entries {
		if now.Sub(seen.seenAt) > prefixTTL {
			delete(c.entries, prefix)
		}
	}
}

// reusableTokens is how many tokens of the prompt the engine is believed to hold.
func (c *prefixCache) reusableTokens(now time.Time, r *Request) Tokens {
	if r.Prefix == 0 || len(c.entries) == 0 {
		return 0
	}
	seen, ok := c.entries[r.Prefix]
	if !ok || now.Sub(seen.seenAt) > prefixTTL {
		return 0
	}
	return min(seen.tokens, r.PromptTokens)
}
