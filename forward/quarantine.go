// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"time"

	"github.com/shedpath/shedpath/quarantine"
)

// Requests under which upstreams ended: what this host has seen and heard of them, and
// what becomes of a request that is one of them.

// crashAttributionWindow is how long after its first event at an upstream a run counts as beginning
// there; what has run for longer only ran beside, and says that it is harmless.
const crashAttributionWindow = 500 * time.Millisecond

// minLeavingNotice is how long before its end an upstream has to be known to leave for that to be
// as it said: the shortest notice is some two seconds, and a list from which one that
// crashed is gone at once says that it leaves, too.
const minLeavingNotice = 500 * time.Millisecond

// errQuarantined ends a request that is held back since it came.
var errQuarantined = errors.New("upstreams ended under the same request")

// fingerprint tells the request apart; it is worked out once, and only where that matters.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if f := x.cachedFingerprint.Load(); f != nil {
		return *f
	}
	asked := x.requestIdentity()
	f := asked.Fingerprint()
	x.cachedFingerprint.Store(&f)
	return f
}

// quarantineEvidence is what is known against the request.
func (x *exchange) quarantineEvidence(now time.Time) quarantine.Evidence {
	e, f := x.crashes.Judge(now, x.requestIdentity(), x.cachedFingerprint.Load())
	x.cachedFingerprint.Store(f)
	return e
}

// mustHoldBack reports whether the request may not be sent, for upstreams ended under it, and notes
// why. It is asked before each send, whatever leads to it: a first try, one more, a second
// beside a slow one, a move, a stream that is taken up again, and the end of a wait.
func (x *exchange) mustHoldBack(now time.Time) bool {
	e := x.quarantineEvidence(now)
	if e.Standing < quarantine.Tried || e.Standing == quarantine.Tried && x.claimQuarantineTrial(now) {
		return false
	}
	x.journal.Request(x.call.ID, "held back", "asks", x.fingerprint(), "upstreams_ended", e.Ended, "last_ended_ago", e.Last)
	return true
}

// claimQuarantineTrial reports whether this request is the one by which a host finds out whether upstreams
// bear it by now. One host does so for all that reach each other.
func (x *exchange) claimQuarantineTrial(now time.Time) bool {
	x.quarantineTrialMu.Lock()
	defer x.quarantineTrialMu.Unlock()
	if !x.isQuarantineTrial && x.peers.siteDutyHost(now, x.fingerprint().String()) == x.peers.self.ID && x.crashes.TakeTry(now, x.fingerprint()) {
		x.isQuarantineTrial = true
		x.journal.Request(x.call.ID, "tried again", "asks", x.fingerprint())
	}
	return x.isQuarantineTrial
}

// quarantineRefusal is the answer to a request that isn't sent because upstreams ended under it.
// To come back helps nobody, so it names no time.
var quarantineRefusal = Refusal{Code: CodeQuarantined}

// recordCrash takes in that an upstream ended while the request began to run there. Every
// peer is told at once: the request may come to any of them next.
func (x *exchange) recordCrash(now time.Time, u Upstream) {
	f := x.fingerprint()
	e := x.crashes.Crashed(now, f, quarantine.Origin{Caller: string(x.account.Name), Route: x.route.Name}, quarantine.Upstream{ID: u.ID, Life: int64(u.Incarnation)})
	x.journal.Request(x.call.ID, "upstream ended under it", "upstream", u.ID, "life", u.Incarnation, "asks", f, "upstreams_ended", e.Ended, "held", e.Standing == quarantine.Held)
	if e.Standing == quarantine.Held {
		x.cancelQuarantined([]quarantine.Fingerprint{f})
		x.queueSave(f)
	}
	x.peers.notifyAll()
}

// recordSurvival takes in that an upstream has run the request and gone on.
func (x *exchange) recordSurvival(now time.Time) {
	e := x.quarantineEvidence(now)
	if e.Standing == quarantine.Clear || !x.crashes.RanWell(now, x.fingerprint()) {
		return
	}
	x.journal.Request(x.call.ID, "ran well", "asks", x.fingerprint())
	if e.Standing >= quarantine.Tried {
		x.queueSave(x.fingerprint())
	}
}

// receivePeerCrashes takes in what a peer tells.
func (f *Forwarder) receivePeerCrashes(now time.Time, marks []quarantine.Mark) {
	if held := f.crashes.Receive(now, marks); len(held) > 0 {
		f.journal.HostEvent("requests held back", "number", len(held), "one_asks", held[0])
		f.cancelQuarantined(held)
		for _, print := range held {
			// Two hosts may each have seen a part of what it is held for.
			if f.peers.siteDutyHost(now, print.String()) == f.peers.self.ID {
				f.queueSave(print)
			}
		}
	}
}

// cancelQuarantined ends the requests under way that are held back by now, if nothing has come of
// them yet: an upstream that hasn't begun with one is spared.
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

// withQuarantineCode says of a request that may have run whether it is held back by now: then its
// caller learns that, and not just that it was lost.
func (x *exchange) withQuarantineCode(now time.Time, r Refusal) Refusal {
	if r.Code == CodeLost && x.quarantineEvidence(now).Standing == quarantine.Held {
		r.Code = CodeQuarantined
	}
	return r
}

// checkUpstreamEnded looks whether an upstream ended when the connection to it broke. One that
// still listens may have started again at once, which shows as a new life.
func (x *exchange) checkUpstreamEnded(ctx context.Context, u Upstream) (ended bool, looked error) {
	reach, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	err := x.transport.CheckReachable(reach, u)
	if errors.Is(err, ErrPortClosed) {
		return true, err
	}
	known, found := x.fleet.Upstream(u.ID)
	return found && u.Incarnation != 0 && known.Incarnation != u.Incarnation, err
}

// Quarantined lists the requests under which upstreams ended.
func (f *Forwarder) Quarantined() []quarantine.Entry { return f.crashes.Entries(f.now()) }

// OnQuarantine serves an operator: it lists the requests under which upstreams ended, after
// letting one through again if one is named. It reports whether anything was against that.
func (f *Forwarder) OnQuarantine(release *quarantine.Fingerprint) (entries []quarantine.Entry, released bool) {
	now := f.now()
	if release != nil {
		if released = f.crashes.RanWell(now, *release); released {
			f.journal.HostEvent("let through again", "asks", *release, "by", "operator")
			f.peers.notifyAll()
			f.queueSave(*release)
		}
	}
	return f.Quarantined(), released
}
