// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"sync"
	"time"

	"github.com/shedpath/shedpath/eligibility"
)

const (
	// returnCheckTick is how often this host looks for checks that are due, and maxReturnChecksPerTick how many
	// of them start then.
	returnCheckTick        = 250 * time.Millisecond
	maxReturnChecksPerTick = 2
	// initialReturnCheckInterval is the time between the first two checks of an upstream. It doubles with each
	// failed check, up to maxReturnCheckInterval.
	initialReturnCheckInterval = time.Second
	maxReturnCheckInterval     = 8 * time.Second
)

// relistedState is what is known of an upstream that was said to leave and that the list has as staying: one without
// an incarnation that was dropped from the list and is listed again, or one for whose leaving there are signs that are
// newer than its entry. The list may be late, so the upstream counts as leaving until it is known to have returned. The
// zero value stands for any other upstream.
type relistedState struct {
	// at is when the list had the upstream again; zero if it hasn't.
	at time.Time
	// checkAt is when this host checks the upstream next, and failed how many checks have failed.
	checkAt time.Time
	failed  int
}

// isRelistedBy reports whether a change of the list says that the upstream stays, and its entry was made after the
// upstream was said to leave: the list dropped the entry of that time.
func (k *knownUpstream) isRelistedBy(c Change) bool {
	hasOtherEntry := k.gone && c.Revision.After(k.Revision) || c.made.After(k.Revision)
	return hasOtherEntry && k.leavingDeclared && !c.Leaving && !c.Gone && !c.Missing && !c.Unusable &&
		k.Incarnation == 0 && c.Incarnation == 0 && !k.Revision.IsZero() && c.Revision.SameEra(k.Revision)
}

// returnCheck is a check of a relisted upstream.
type returnCheck struct {
	Upstream
	relistedAt time.Time
	// trustedFrom is when the upstream would be unknown if it had not been listed again: from then on its entry is
	// trusted if the upstream can't be asked.
	trustedFrom time.Time
}

// hasRelisted reports whether some upstream may be relisted. The mutex must be held.
func (f *Fleet) hasRelisted() bool { return f.mayHaveRelisted }

// setRelisted records that an upstream was listed again. The mutex must be held.
func (f *Fleet) setRelisted(now time.Time, k *knownUpstream) {
	k.relisted, f.mayHaveRelisted = relistedState{at: now}, true
}

// dueReturns returns at most limit relisted upstreams that are to be checked now, and schedules their next checks.
// The first check is due once the upstream, if it was still leaving, would have ended.
func (f *Fleet) dueReturns(now time.Time, drain time.Duration, limit int) []returnCheck {
	f.mu.Lock()
	defer f.mu.Unlock()
	var due []returnCheck
	f.mayHaveRelisted = false
	for _, k := range f.upstreams {
		if k.relisted.at.IsZero() {
			continue
		}
		f.mayHaveRelisted = true
		if k.unusable || now.Sub(k.relisted.at) < drain || now.Before(k.relisted.checkAt) {
			continue
		}
		if len(due) >= limit {
			break
		}
		k.relisted.checkAt = now.Add(min(initialReturnCheckInterval<<min(k.relisted.failed, 8), maxReturnCheckInterval))
		retention := goneRetention
		if k.leavingSelfReported {
			retention = selfReportRetention
		}
		due = append(due, returnCheck{Upstream: k.Upstream, relistedAt: k.relisted.at, trustedFrom: k.relisted.at.Add(retention)})
	}
	return due
}

// recordReturnCheck records the result of a check. It reports whether the result is the first one of the upstream, or
// ends its wait.
func (f *Fleet) recordReturnCheck(c returnCheck, returned bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[c.ID]
	switch {
	case k == nil || !k.relisted.at.Equal(c.relistedAt) || k.Address != c.Address:
		return false
	case !returned:
		k.relisted.failed++
		return k.relisted.failed == 1
	}
	k.cancelLeaving()
	k.leavingDeclared, k.leavingSelfReported, k.hasReturned = false, false, true
	k.expectedEnd, k.shareLeavingUntil, k.relisted = time.Time{}, time.Time{}, relistedState{}
	f.notify(true)
	return true
}

// RelistedCount returns the number of upstreams that are listed again after they were said to leave, and aren't used
// yet.
func (f *Fleet) RelistedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, k := range f.upstreams {
		if !k.relisted.at.IsZero() {
			n++
		}
	}
	return n
}

// runReturnChecks checks relisted upstreams until the context ends.
func (f *Forwarder) runReturnChecks(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	for f.fleet.awaitChecks(ctx, (*Fleet).hasRelisted) {
		PauseFor(ctx, returnCheckTick)
		for _, c := range f.fleet.dueReturns(f.now(), f.settings.DrainTime, maxReturnChecksPerTick) {
			checks.Go(func() { f.tasks.Do("returned upstream", func() { f.checkReturn(ctx, c) }) })
		}
	}
}

// checkReturn finds out whether a relisted upstream stays.
func (f *Forwarder) checkReturn(ctx context.Context, c returnCheck) {
	reason := f.whyNotReturned(ctx, c)
	if !f.fleet.recordReturnCheck(c, reason == "") {
		return
	}
	if reason != "" {
		f.journal.HostEvent("upstream listed again not used", "upstream", c.ID, "service", c.Service, "why", reason)
		return
	}
	f.journal.HostEvent("upstream returned", "upstream", c.ID, "service", c.Service, "after", f.now().Sub(c.relistedAt))
}

// whyNotReturned asks a relisted upstream whether it leaves, and returns why it isn't used; empty if it is.
func (f *Forwarder) whyNotReturned(ctx context.Context, c returnCheck) string {
	t := f.table.Load()
	if t == nil {
		return "no configuration"
	}
	service, declared := t.Service(c.Service)
	switch {
	case !declared:
		return "unknown service"
	case !f.fleet.InService(c.Zone):
		return "zone out of service"
	case service.HealthPath == "" && f.now().Before(c.trustedFrom):
		return "it can't be asked"
	case service.HealthPath == "":
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, err := f.checkHealth(ctx, &service, c.Upstream, eligibility.Identity)
	switch {
	case err != nil:
		return "no answer"
	case health.Instance == "":
		return "the answer doesn't say who gives it"
	case health.Instance != c.ID:
		return "another upstream answers"
	case !health.Healthy || health.Signals.Leaving:
		return "it says that it leaves"
	}
	return ""
}
