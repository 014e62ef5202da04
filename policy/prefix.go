// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// prefixCache estimates which prompt prefixes an engine has cached. Events arrive
// late and some are lost, so entries expire, and a gap in the sequence drops all
// entries. The zero value is empty and ready to use.
type prefixCache struct {
	entries map[uint64]prefixEntry
	// lastSeq is the sequence number of the last event applied.
	lastSeq uint64
}

type prefixEntry struct {
	tokens Tokens
	seenAt time.Time
}

const (
	// prefixTTL is how long an entry is used without being renewed.
	prefixTTL = 2 * time.Minute
	// maxPrefixes bounds the entries of one engine.
	maxPrefixes = 1024
)

// CacheEvent reports that a prefix was added to an engine's cache or removed from
// it.
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
	for prefix, entry := range c.entries {
		if now.Sub(entry.seenAt) > prefixTTL {
			delete(c.entries, prefix)
		}
	}
}

// reusableTokens returns how many tokens of the prompt the engine is believed to
// have cached.
func (c *prefixCache) reusableTokens(now time.Time, r *Request) Tokens {
	if r.Prefix == 0 || len(c.entries) == 0 {
		return 0
	}
	entry, ok := c.entries[r.Prefix]
	if !ok || now.Sub(entry.seenAt) > prefixTTL {
		return 0
	}
	return min(entry.tokens, r.PromptTokens)
}
