// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"time"
)

// Finding is the evidence against one cause: a request or a part of its prompt.
type Finding struct {
	Cause Fingerprint
	Evidence
}

// Evaluate returns the evidence against a request or part. A crash counts towards holding a part
// after SettleTime.
func (l *List) Evaluate(now time.Time, f Fingerprint) Evidence {
	r := l.records[f]
	if r == nil {
		return Evidence{}
	}
	var e Evidence
	var settled []time.Time
	for _, c := range r.crashes {
		if l.explainedByOther(f, r, c.Upstream) {
			continue
		}
		age := now.Sub(c.At)
		if e.UpstreamsEnded == 0 || age < e.SinceLastEnd {
			e.SinceLastEnd = age
		}
		if !f.IsPart() || age >= SettleTime {
			settled = append(settled, c.At)
		}
		e.UpstreamsEnded++
	}
	switch {
	case e.UpstreamsEnded == 0:
	case !l.sufficient(now, f, r, settled):
		e.Standing = Suspect
	case l.isHeld(f, r, e):
		e.Standing = Held
	default:
		e.Standing = TrialDue
	}
	return e
}

// sufficient reports whether crashes at these times suffice to hold a request or part. Upstreams that
// lose power together end under many prompts, so crashes of a part at the same time count as one. While
// no prompt runs well, a part can't be distinguished from another cause, so more crashes are needed.
// A part that has reached the threshold stays at it until its crashes are cleared.
func (l *List) sufficient(now time.Time, f Fingerprint, r *record, crashes []time.Time) bool {
	if len(crashes) < l.holdThreshold() {
		return false
	}
	if !r.reachedThreshold {
		r.reachedThreshold = !f.IsPart() || countApart(crashes, crashSpacing) >= l.crashesApartToHold(now)
	}
	return r.reachedThreshold
}

// crashesApartToHold returns how many crashes at different times it takes to hold a part.
func (l *List) crashesApartToHold(now time.Time) int {
	switch {
	case l.survivals.recent(now):
		return minCrashesApart
	case l.survivals.any():
		return l.holdThreshold()
	}
	return l.holdThreshold() + unprovenMargin
}

// countApart returns how many of the times are at least spacing after the last one counted. It sorts
// them.
func countApart(times []time.Time, spacing time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	count, last := 0, time.Time{}
	for _, at := range times {
		if count == 0 || at.Sub(last) >= spacing {
			count, last = count+1, at
		}
	}
	return count
}

// isHeld reports whether the hold time of a request or part isn't over. A part is tried maxPartTrials
// times at most, as requests with it may reach three more upstreams once it has ended five.
func (l *List) isHeld(f Fingerprint, r *record, e Evidence) bool {
	trials := l.failedTrials(f, r, e)
	return f.IsPart() && trials >= maxPartTrials || e.SinceLastEnd < holdTime(trials)
}

// failedTrials returns how many crashes count as trials that failed. Of a request, they are those
// beyond the hold threshold. A part is held for many requests, and upstreams that lose power together
// are many crashes at once, so of a part only those count that come once a trial may have been due.
func (l *List) failedTrials(f Fingerprint, r *record, e Evidence) int {
	if !f.IsPart() {
		return e.UpstreamsEnded - l.holdThreshold()
	}
	first, trials := r.firstCrashAt(), 0
	for _, c := range r.crashes {
		if c.At.Sub(first) >= initialHoldTime && !l.explainedByOther(f, r, c.Upstream) {
			trials++
		}
	}
	return trials
}

// EvaluateRequest returns the strongest evidence against sending a request. whole is the
// request's fingerprint; nil if the request isn't on the list. A part that has reached the hold
// threshold counts only if
//   - crashes of this caller's requests are among those that count, or of more than one caller's, so
//     that no caller can have a part held for others by naming it; and
//   - everything else that may explain its crashes is in this request, too. Otherwise the request
//     shows what the cause is: it survives, or it ends an upstream without the others.
//
// The request as a whole doesn't count either if a part that it lacks may explain its crashes.
func (l *List) EvaluateRequest(now time.Time, whole *Fingerprint, parts []Fingerprint, caller string) Finding {
	var worst Finding
	add := func(f Fingerprint) {
		e := l.Evaluate(now, f)
		if e.Standing > Suspect && !l.appliesTo(f, whole, parts, caller) {
			e.Standing = Suspect
		}
		if e.Standing > worst.Standing {
			worst = Finding{f, e}
		}
	}
	if whole != nil {
		add(*whole)
	}
	for _, part := range parts {
		add(part)
	}
	return worst
}

// appliesTo reports whether the crashes that count against a request or against one of its parts
// speak against sending the request.
func (l *List) appliesTo(f Fingerprint, whole *Fingerprint, parts []Fingerprint, caller string) bool {
	r := l.records[f]
	if only := r.onlyCaller(); only != "" && only != caller {
		return false
	}
	isRival := func(other Fingerprint) bool {
		if other == f || whole != nil && other == *whole || slices.Contains(parts, other) {
			return false
		}
		return (f.IsPart() || other.IsPart()) && l.mayExplain(l.records[other], r)
	}
	return !slices.ContainsFunc(r.crashes, func(c Crash) bool { return slices.ContainsFunc(l.requestsByUpstream[c.Upstream], isRival) })
}

// mayExplain reports whether a record may be that of the cause of another record's crashes: it has
// reached the hold threshold, and lacks at most one of them, which may have another cause.
func (l *List) mayExplain(r, explained *record) bool {
	unexplained := 0
	for _, c := range explained.crashes {
		if !r.hasCrash(c.Upstream) {
			unexplained++
		}
	}
	return len(r.crashes) >= l.holdThreshold() && unexplained <= 1
}

// explainedByOther reports whether an upstream's end is blamed on another request that it was
// running: one that has reached the hold threshold and has more crashes than this one. Requests
// that only ran beside such a request are served again as soon as that is known.
func (l *List) explainedByOther(f Fingerprint, r *record, u Upstream) bool {
	return slices.ContainsFunc(l.requestsByUpstream[u], func(other Fingerprint) bool {
		otherCrashes := len(l.records[other].crashes)
		return other != f && otherCrashes >= l.holdThreshold() && otherCrashes > len(r.crashes)
	})
}
