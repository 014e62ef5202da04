// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"time"

	"github.com/shedpath/shedpath/member"
)

// ZoneUse is how much of a zone's engines is in use.
type ZoneUse struct {
	// Total is the memory of the engines that take work. Used is what the runs of the zone take,
	// including those on departing engines, which need room on the others.
	Total, Used Tokens
	// Backlog is the mean time until an engine has read the prompts placed on it.
	Backlog time.Duration
}

// ZoneUse returns the use of a zone's engines. Its Total is zero if none is known.
func (p *Pool) ZoneUse(now time.Time, zone member.Zone) ZoneUse {
	var u ZoneUse
	engines := 0
	for _, e := range p.engines {
		if e.zone != zone || e.cordoned || !e.capacityKnown() {
			continue
		}
		engines++
		u.Total += e.report.TotalMemory
		u.Used += e.knownMemory() + e.unattributedMemory
		u.Backlog += max(e.prefillUntil.Sub(now), 0)
	}
	for _, e := range p.removedEngines {
		if e.zone == zone {
			u.Used += e.knownMemory()
		}
	}
	u.Backlog /= time.Duration(max(engines, 1))
	return u
}

// knownMemory returns the memory that the known runs hold as of the last refresh.
func (e *engine) knownMemory() Tokens {
	memory := Tokens(0)
	for _, p := range e.orderedRuns {
		memory += p.PromptTokens + p.generatedTokens
	}
	return memory
}
