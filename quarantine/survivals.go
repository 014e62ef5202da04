// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import "time"

const (
	// survivalMemory is how long an upstream's end isn't blamed on a part after a request with the
	// part ran without a crash. A part that many prompts share runs well several times a second, and
	// is in every prompt that an engine loses when it ends.
	survivalMemory = 10 * time.Second
	// maxSurvivals bounds the survivals that are remembered; each takes 32 bytes.
	maxSurvivals = 8192
)

// survivals remembers which parts were in requests that ran without a crash. The zero value is empty
// and ready to use.
type survivals struct {
	// ring holds the latest survivals in the order of their times, from next on and around.
	ring []survival
	next int
}

// survival records that an upstream ran a request with a part without a crash.
type survival struct {
	part HeadDigest
	at   time.Time
}

func (s *survivals) add(now time.Time, parts []Fingerprint) {
	for _, part := range parts {
		added := survival{part.Head, now}
		if len(s.ring) < maxSurvivals {
			s.ring = append(s.ring, added)
			continue
		}
		s.ring[s.next] = added
		s.next = (s.next + 1) % maxSurvivals
	}
}

// any reports whether any part ever survived.
func (s *survivals) any() bool { return len(s.ring) > 0 }

// recent reports whether any part survived within survivalMemory.
func (s *survivals) recent(now time.Time) bool {
	if !s.any() {
		return false
	}
	latest := s.ring[(s.next+len(s.ring)-1)%len(s.ring)]
	return now.Sub(latest.at) <= survivalMemory
}

// has reports whether a part survived within survivalMemory.
func (s *survivals) has(now time.Time, part Fingerprint) bool {
	for n := len(s.ring) - 1; n >= 0; n-- {
		latest := s.ring[(s.next+n)%len(s.ring)]
		if now.Sub(latest.at) > survivalMemory {
			return false
		}
		if latest.part == part.Head {
			return true
		}
	}
	return false
}
