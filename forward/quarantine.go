// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"time"

	"github.com/shedpath/shedpath/quarantine"
)

// Quarantine of requests under which upstreams ended: what this host has observed or learned
// from peers, and what happens to such a request.

// crashAttributionWindow is how long after its first event at an upstream a run still counts
// as starting there. Crashes are attributed to starting runs only. A run that has gone on for
// longer merely ran beside the cause, and is evidence that its request is harmless.
const crashAttributionWindow = 500 * time.Millisecond

// minLeavingNotice is how long before its end an upstream must be known to be leaving for the
// end to count as announced. The shortest notice is about two seconds. An upstream that
// crashes and disappears from the list at once counts as leaving, too, but has shorter notice.
const minLeavingNotice = 500 * time.Millisecond

// errQuarantined ends a request that was quarantined after it arrived.
var errQuarantined = errors.New("upstreams ended under the same request")

// fingerprint returns the request's fingerprint, which identifies equal requests. It is
// computed on first use and cached.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if f := x.cachedFingerprint.Load(); f != nil {
		return *f
	}
	asked := x.requestIdentity()
	f := asked.Fingerprint()
	x.cachedFingerprint.Store(&f)
	return f
}

// quarantineEvidence returns the evidence that upstreams end under the request.
func (x *exchange) quarantineEvidence(now time.Time) quarantine.Evidence {
	e, f := x.crashes.Evaluate(now, x.requestIdentity(), x.cachedFingerprint.Load())
	x.cachedFingerprint.Store(f)
	return e
}

// mustHoldBack reports whether the request must not be sent because upstreams ended under it,
// and logs why. It is called before each send: a first attempt, a retry, a hedged attempt, a
// move, a resumed stream, and the end of a wait.
func (x *exchange) mustHoldBack(now time.Time) bool {
	e := x.quarantineEvidence(now)
	if e.Standing < quarantine.TrialDue || e.Standing == quarantine.TrialDue && x.claimQuarantineTrial(now) {
		return false
	}
	x.journal.Request(x.call.ID, "held back", "asks", x.fingerprint(), "upstreams_ended", e.UpstreamsEnded, "last_ended_ago", e.SinceLastEnd)
	return true
}

// claimQuarantineTrial reports whether this request is the trial that shows whether upstreams
// can run the quarantined request by now. One host runs the trial for all hosts that reach
// each other.
func (x *exchange) claimQuarantineTrial(now time.Time) bool {
	x.quarantineTrialMu.Lock()
	defer x.quarantineTrialMu.Unlock()
	if !x.isQuarantineTrial && x.peers.siteDutyHost(now, x.fingerprint().String()) == x.peers.self.ID && x.crashes.BeginTrial(now, x.fingerprint()) {
		x.isQuarantineTrial = true
		x.journal.Request(x.call.ID, "tried again", "asks", x.fingerprint())
	}
	return x.isQuarantineTrial
}

// quarantineRefusal answers a request that is not sent because upstreams ended under it. It
// names no retry time, because a retry would not help.
var quarantineRefusal = Refusal{Code: CodeQuarantined}

// recordCrash records that an upstream ended while the request was starting there. All peers
// are notified at once, because the request may reach any of them next.
func (x *exchange) recordCrash(now time.Time, u Upstream) {
	f := x.fingerprint()
	e := x.crashes.RecordCrash(now, f, quarantine.Origin{Caller: string(x.account.Name), Route: x.route.Name}, quarantine.Upstream{ID: u.ID, Incarnation: int64(u.Incarnation)})
	x.journal.Request(x.call.ID, "upstream ended under it", "upstream", u.ID, "life", u.Incarnation, "asks", f, "upstreams_ended", e.UpstreamsEnded, "held", e.Standing == quarantine.Held)
	if e.Standing == quarantine.Held {
		x.cancelQuarantined([]quarantine.Fingerprint{f})
		x.queueSave(f)
	}
	x.peers.notifyAll()
}

// recordSurvival records that an upstream ran the request and is still running.
func (x *exchange) recordSurvival(now time.Time) {
	e := x.quarantineEvidence(now)
	if e.Standing == quarantine.Clear || !x.crashes.ClearCrashes(now, x.fingerprint()) {
		return
	}
	x.journal.Request(x.call.ID, "ran well", "asks", x.fingerprint())
	if e.Standing >= quarantine.TrialDue {
		x.queueSave(x.fingerprint())
	}
}

// receivePeerCrashes records the crashes that a peer reports.
func (f *Forwarder) receivePeerCrashes(now time.Time, marks []quarantine.Mark) {
	if held := f.crashes.Receive(now, marks); len(held) > 0 {
		f.journal.HostEvent("requests held back", "number", len(held), "one_asks", held[0])
		f.cancelQuarantined(held)
		for _, print := range held {
			// Two hosts may each have observed only a part of the crashes that led to the
			// quarantine.
			if f.peers.siteDutyHost(now, print.String()) == f.peers.self.ID {
				f.queueSave(print)
			}
		}
	}
}

// cancelQuarantined ends requests in flight that are now quarantined, unless a part of their
// answer has been delivered. This spares upstreams that have not started on the request.
func (f *Forwarder) cancelQuarantined(held []quarantine.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for x, end := range f.inFlight {
		print := x.cachedFingerprint.Load()
		if print == nil || x.delivered.Load() {
			continue
		}
		for _, h := range held {
			if *print == h {
				end(errQuarantined)
			}
		}
	}
}

// withQuarantineCode replaces the code of a refusal for a lost request that is quarantined by
// now, so that the caller learns the cause.
func (x *exchange) withQuarantineCode(now time.Time, r Refusal) Refusal {
	if r.Code == CodeLost && x.quarantineEvidence(now).Standing == quarantine.Held {
		r.Code = CodeQuarantined
	}
	return r
}

// checkUpstreamEnded checks whether an upstream ended when the connection to it broke. An
// upstream that still listens may have restarted at once, which shows as a new incarnation.
func (x *exchange) checkUpstreamEnded(ctx context.Context, u Upstream) (ended bool, probeErr error) {
	reach, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	_, err := x.transport.CheckReachable(reach, u)
	if errors.Is(err, ErrPortClosed) {
		return true, err
	}
	known, found := x.fleet.Upstream(u.ID)
	return found && u.Incarnation != 0 && known.Incarnation != u.Incarnation, err
}

// Quarantined lists the requests under which upstreams ended.
func (f *Forwarder) Quarantined() []quarantine.Entry { return f.crashes.Entries(f.now()) }

// OnQuarantine serves an operator. It lists the requests under which upstreams ended, after
// releasing the given request if it is not nil. released reports whether there was evidence
// against that request.
func (f *Forwarder) OnQuarantine(release *quarantine.Fingerprint) (entries []quarantine.Entry, released bool) {
	now := f.now()
	if release != nil {
		if released = f.crashes.ClearCrashes(now, *release); released {
			f.journal.HostEvent("let through again", "asks", *release, "by", "operator")
			f.peers.notifyAll()
			f.queueSave(*release)
		}
	}
	return f.Quarantined(), released
}
