// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/shedpath/shedpath/quarantine"
)

// Quarantine of requests, and of parts of prompts, under which upstreams ended: what this host has
// observed or learned from peers, and what happens to such a request.

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
func (x *exchange) quarantineEvidence(now time.Time) quarantine.Finding {
	e, f := x.crashes.Evaluate(now, x.requestIdentity(), x.cachedFingerprint.Load())
	x.cachedFingerprint.Store(f)
	return e
}

// mustHoldBack reports whether the request must not be sent because upstreams ended under it,
// and logs why. It is called before each send: a first attempt, a retry, a hedged attempt, a
// move, a resumed stream, and the end of a wait.
func (x *exchange) mustHoldBack(now time.Time) bool {
	e := x.quarantineEvidence(now)
	if e.Standing < quarantine.TrialDue || e.Standing == quarantine.TrialDue && x.claimQuarantineTrial(now, e) {
		return false
	}
	x.journal.Request(x.call.ID, "held back", "asks", e.Cause, "part", e.Cause.Part(), "upstreams_ended", e.UpstreamsEnded, "last_ended_ago", e.SinceLastEnd)
	return true
}

// claimQuarantineTrial reports whether this request is the trial that shows whether upstreams can
// run by now what is held back. One host runs the trial for all hosts that reach each other.
func (x *exchange) claimQuarantineTrial(now time.Time, e quarantine.Finding) bool {
	x.quarantineTrialMu.Lock()
	defer x.quarantineTrialMu.Unlock()
	if !x.isQuarantineTrial && x.peers.siteDutyHost(now, e.Cause.String()) == x.peers.self.ID && x.crashes.BeginTrial(now, e.Cause) {
		x.isQuarantineTrial = true
		x.journal.Request(x.call.ID, "tried again", "asks", e.Cause, "part", e.Cause.Part())
	}
	return x.isQuarantineTrial
}

// quarantineRefusal answers a request that is not sent because upstreams ended under it. It
// names no retry time, because a retry would not help.
var quarantineRefusal = Refusal{Code: CodeQuarantined}

// recordCrash records that an upstream ended while the request was starting there. All peers
// are notified at once, because the request, or another with the same part in its prompt, may reach
// any of them next.
func (x *exchange) recordCrash(now time.Time, u Upstream) {
	f := x.fingerprint()
	origin := quarantine.Origin{Caller: string(x.account.Name), Route: x.route.Name}
	e := x.crashes.RecordCrash(now, x.requestIdentity(), f, origin, quarantine.Upstream{ID: u.ID, Incarnation: int64(u.Incarnation)})
	x.journal.Request(x.call.ID, "upstream ended under it", "upstream", u.ID, "life", u.Incarnation, "asks", f, "upstreams_ended", e.UpstreamsEnded, "held", e.Standing == quarantine.Held, "part", e.Cause.Part())
	if e.Standing == quarantine.Held {
		x.queueSave(e.Cause)
	}
	x.applyNewHolds(now)
	x.applyNewHoldsLater()
	x.peers.notifyAll()
}

// applyNewHolds acts on what has become held since the last call: it ends such requests in flight,
// and has one host save the evidence. That host may not have observed any of the crashes itself.
func (f *Forwarder) applyNewHolds(now time.Time) {
	held := f.crashes.NewlyHeld(now)
	for _, e := range held {
		f.journal.HostEvent("requests held back", "asks", e.Cause, "part", e.Cause.Part(), "upstreams_ended", e.UpstreamsEnded, "last_ended_ago", e.SinceLastEnd)
		if f.peers.siteDutyHost(now, e.Cause.String()) == f.peers.self.ID {
			f.queueSave(e.Cause)
		}
	}
	if len(held) > 0 {
		f.cancelQuarantined(now)
	}
}

// applyNewHoldsLater calls applyNewHolds once the crashes that are known now have settled.
func (f *Forwarder) applyNewHoldsLater() {
	time.AfterFunc(quarantine.SettleTime, func() {
		f.tasks.Do("quarantine", func() { f.applyNewHolds(f.now()) })
	})
}

// recordSurvival records that an upstream ran the request and is still running.
func (x *exchange) recordSurvival(now time.Time) {
	for _, e := range x.crashes.RecordSurvival(now, x.requestIdentity(), x.cachedFingerprint.Load()) {
		if e.Standing == quarantine.Clear {
			continue
		}
		x.journal.Request(x.call.ID, "ran well", "asks", e.Cause, "part", e.Cause.Part(), "upstreams_ended", e.UpstreamsEnded)
		if e.Standing >= quarantine.TrialDue {
			x.queueSave(e.Cause)
		}
	}
}

// receivePeerCrashes records the crashes that a peer reports.
func (f *Forwarder) receivePeerCrashes(now time.Time, marks []quarantine.Mark) {
	if f.crashes.Receive(now, marks) {
		f.applyNewHolds(now)
		f.applyNewHoldsLater()
	}
}

// receiveStoredCrashes records the crashes of requests and parts that are saved with the origin.
func (f *Forwarder) receiveStoredCrashes(now time.Time, marks []quarantine.Mark) {
	if f.crashes.ReceiveStored(now, marks) {
		f.applyNewHolds(now)
		f.applyNewHoldsLater()
	}
}

// cancelQuarantined ends requests in flight that are now quarantined, unless a part of their
// answer has been delivered. This spares upstreams that have not started on the request. A request
// that isn't admitted yet is checked when it is.
func (f *Forwarder) cancelQuarantined(now time.Time) {
	f.mu.Lock()
	inFlight := maps.Clone(f.inFlight)
	f.mu.Unlock()
	for x, end := range inFlight {
		if x.identity.Load() != nil && !x.delivered.Load() && x.quarantineEvidence(now).Standing == quarantine.Held {
			end(errQuarantined)
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
func (x *exchange) checkUpstreamEnded(ctx context.Context, u Upstream, timeout time.Duration) (ended bool, probeErr error) {
	reach, cancel := context.WithTimeout(ctx, timeout)
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
// releasing the given request or part if it is not nil. released reports whether there was evidence
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
