// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/shedpath/shedpath/admission"
	"github.com/shedpath/shedpath/cell"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// The queue of a zone's requests at the host that is responsible for it, and what other hosts know
// of it.

// AdmitRequest asks the host that is responsible for a zone's requests for a place.
type AdmitRequest struct {
	PlacementRequest
	// Caller connects the request with an earlier attempt of its caller.
	Caller admission.Caller
	// TimeLeft is how long the caller still waits for its answer; zero if that isn't known.
	TimeLeft time.Duration
	// Withdraw ends an earlier request for the run: it leaves the queue, and a place that was
	// granted to it and isn't used is free again.
	Withdraw bool
}

// AdmitReply is the reply to an AdmitRequest. Without an engine and without a refusal, the host
// keeps no queue for the request.
type AdmitReply struct {
	// PlacementGrant is the place that is reserved for the run.
	PlacementGrant
	// Refused says that the run can't have its first token in time; RetryAfter is then when room
	// is expected.
	Refused    bool
	Reason     policy.Reason
	RetryAfter time.Duration
	// Waited is how long the request was queued, and Forecast the time to the first token that
	// was expected when it was refused.
	Waited, Forecast time.Duration
}

// WaitingMark is what a responsible host reports of its queue: how many requests wait for a
// service, and the highest of their priorities.
type WaitingMark struct {
	Service        ServiceName
	Count, Highest int
}

const (
	// waitingMarkTTL is how long a peer's mark counts: two periods of the shares, as one may be
	// late.
	waitingMarkTTL = 2 * shareInterval
	// zoneQueueInterval is how often a queue with requests is served. Hosts learn of each other's
	// runs within about 5 ms.
	zoneQueueInterval = 5 * time.Millisecond
)

// zoneAdmissions are the queues that this host keeps for its zone, and what it knows of those of
// its peers. The zero value is ready to use.
type zoneAdmissions struct {
	// mu may be held while enginePlacer.mu is acquired, never the other way round.
	mu     sync.Mutex
	queues map[ServiceName]*zoneQueue
	// peerMarks are the marks of each peer of the cell.
	peerMarks map[member.HostID]peerMarks
	// priorities are the priorities that arrive at this host.
	priorities map[ServiceName]*admission.RecentPriorities
	// failedUntil is until when a responsible host that didn't answer isn't asked.
	failedUntil map[member.HostID]time.Time
	// asked counts the requests of this host that wait at another.
	asked int
}

type peerMarks struct {
	receivedAt time.Time
	marks      []WaitingMark
}

// zoneQueue is the queue of one service. serving says that a goroutine serves it, which is the
// case while it has requests.
type zoneQueue struct {
	queue   admission.Queue
	waiters map[policy.RunID]*zoneWaiter
	serving bool
	// reported is the mark that peers were last notified of.
	reported WaitingMark
}

// zoneWaiter is a request in a zoneQueue. place places it if an engine has room and sets grant.
// reply receives the outcome; it is closed if the queue ends without one.
type zoneWaiter struct {
	place func(now time.Time, idleOnly bool) bool
	grant PlacementGrant
	reply chan AdmitReply
}

// marks returns the marks of the queues that have requests.
func (a *zoneAdmissions) marks() []WaitingMark {
	a.mu.Lock()
	defer a.mu.Unlock()
	var marks []WaitingMark
	for service, q := range a.queues {
		if m := q.mark(service); m.Count > 0 {
			marks = append(marks, m)
		}
	}
	return marks
}

func (q *zoneQueue) mark(service ServiceName) WaitingMark {
	count, highest := q.queue.Waiting()
	return WaitingMark{Service: service, Count: count, Highest: highest}
}

// receiveMarks replaces what is known of a peer's queues.
func (a *zoneAdmissions) receiveMarks(now time.Time, from member.HostID, marks []WaitingMark) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(marks) == 0 {
		delete(a.peerMarks, from)
		return
	}
	if a.peerMarks == nil {
		a.peerMarks = map[member.HostID]peerMarks{}
	}
	a.peerMarks[from] = peerMarks{now, marks}
}

// blocks reports whether a request of the same or a higher priority waits in the zone, so that a
// new one must not bypass it.
func (a *zoneAdmissions) blocks(now time.Time, service ServiceName, priority int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if q := a.queues[service]; q != nil {
		if m := q.mark(service); m.Count > 0 && m.Highest >= priority {
			return true
		}
	}
	for host, p := range a.peerMarks {
		if now.Sub(p.receivedAt) > waitingMarkTTL {
			delete(a.peerMarks, host)
			continue
		}
		if slices.ContainsFunc(p.marks, func(m WaitingMark) bool {
			return m.Service == service && m.Count > 0 && m.Highest >= priority
		}) {
			return true
		}
	}
	return false
}

// observe records that a request arrived at this host, and reports whether it must leave engines
// that read a prompt to more urgent ones.
func (a *zoneAdmissions) observe(now time.Time, service ServiceName, r *admission.Request) (yields bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.priorities == nil {
		a.priorities = map[ServiceName]*admission.RecentPriorities{}
	}
	priorities := a.priorities[service]
	if priorities == nil {
		priorities = &admission.RecentPriorities{}
		a.priorities[service] = priorities
	}
	priorities.Observe(now, r.Priority)
	return priorities.Yields(now, r)
}

// constrainAsk applies the rules of the zone's queue to a request of another zone for a new run.
// It reports whether the request may be granted at all.
func (f *Forwarder) constrainAsk(now time.Time, r *PlacementRequest) bool {
	if !f.settings.Placement.ZoneAdmission || !r.startsNewAnswer() {
		return true
	}
	if f.admissions.blocks(now, r.Service, r.Priority) {
		return false
	}
	request := f.engines.admissionRequest(now, r.Service, r.policyRequest(now))
	if f.admissions.observe(now, r.Service, &request) {
		r.ExcludedEngines = append(slices.Clone(r.ExcludedEngines), f.engines.readingEngines(now, r.Service)...)
	}
	return true
}

// OnAdmit serves a peer's request for a place. It returns when the request is decided or its
// context ends, which it does when the peer's connection ends.
func (f *Forwarder) OnAdmit(ctx context.Context, r AdmitRequest) AdmitReply {
	if r.Withdraw {
		f.withdrawAdmission(r)
		return AdmitReply{}
	}
	if !f.settings.Placement.ZoneAdmission {
		return AdmitReply{}
	}
	if inOwnZone, _ := f.engines.zonesWithEngines(r.Service); !inOwnZone {
		// This host knows no engine that the request could wait for.
		return AdmitReply{}
	}
	now := f.now()
	request := f.engines.admissionRequest(now, r.Service, r.policyRequest(now))
	request.Caller, request.Restricted = r.Caller, len(r.ExcludedEngines) > 0 || r.OnlyGroup != "" || r.ExcludedGroup != ""
	if r.TimeLeft > 0 {
		request.Deadline = now.Add(r.TimeLeft)
	}
	place := func(now time.Time, idleOnly bool) (PlacementGrant, bool) {
		attempt := r.PlacementRequest
		// The time that the request has waited here counts as well.
		attempt.Elapsed = now.Sub(request.ArrivedAt)
		if idleOnly {
			attempt.ExcludedEngines = slices.Concat(r.ExcludedEngines, f.engines.readingEngines(now, r.Service))
		}
		d, ok := f.engines.grantPlacement(now, attempt)
		return PlacementGrant{Engine: d.Engine, TimeToFirstToken: d.TimeToFirstToken}, ok
	}
	reply := f.awaitAdmission(ctx, r.Service, request, place)
	if ctx.Err() != nil && reply.Engine != "" {
		// The grant and the end of the request crossed.
		f.engines.revokeGrant(f.now(), r.Service, r.Run)
		return AdmitReply{}
	}
	return reply
}

// awaitAdmission queues a request at this host until it is decided, its context ends or this host
// stops. In the last two cases it returns an empty reply.
func (f *Forwarder) awaitAdmission(ctx context.Context, service ServiceName, r admission.Request, place func(now time.Time, idleOnly bool) (PlacementGrant, bool)) AdmitReply {
	w := &zoneWaiter{reply: make(chan AdmitReply, 1)}
	w.place = func(now time.Time, idleOnly bool) (ok bool) {
		w.grant, ok = place(now, idleOnly)
		return ok
	}
	if !f.joinZoneQueue(service, r, w) {
		return AdmitReply{}
	}
	select {
	case reply := <-w.reply:
		return reply
	case <-ctx.Done():
	}
	f.leaveZoneQueue(service, r.Run, w)
	select {
	case reply := <-w.reply:
		return reply
	default:
		return AdmitReply{}
	}
}

// joinZoneQueue adds a request to this host's queue of a service, and serves the queue. It returns
// false if this host is stopping or already has the run.
func (f *Forwarder) joinZoneQueue(service ServiceName, r admission.Request, w *zoneWaiter) bool {
	if f.Stopping() {
		return false
	}
	a := &f.admissions
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[service]
	if q == nil {
		if a.queues == nil {
			a.queues = map[ServiceName]*zoneQueue{}
		}
		q = &zoneQueue{waiters: map[policy.RunID]*zoneWaiter{}}
		a.queues[service] = q
	}
	if q.waiters[r.Run] != nil {
		return false
	}
	now := f.now()
	q.waiters[r.Run] = w
	q.queue.Submit(now, r)
	f.serveZoneQueue(now, service, q)
	if !q.serving && len(q.waiters) > 0 {
		q.serving = true
		go f.tasks.Loop(context.Background(), "zone queue", func(context.Context) { f.runZoneQueue(service, q) })
	}
	return true
}

// leaveZoneQueue removes a request whose caller or host has left.
func (f *Forwarder) leaveZoneQueue(service ServiceName, run policy.RunID, w *zoneWaiter) {
	a := &f.admissions
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[service]
	if q == nil || q.waiters[run] == nil || w != nil && q.waiters[run] != w {
		return
	}
	close(q.waiters[run].reply)
	delete(q.waiters, run)
	q.queue.Withdraw(run)
	f.journal.Request(RequestID(run), "left the zone's queue", "waiting", len(q.waiters))
}

// withdrawAdmission ends a peer's request, whether it waits or has a place that it doesn't use.
func (f *Forwarder) withdrawAdmission(r AdmitRequest) {
	f.leaveZoneQueue(r.Service, r.Run, nil)
	if f.engines.revokeGrant(f.now(), r.Service, r.Run) {
		f.journal.Request(RequestID(r.Run), "place returned", "peer", r.From)
	}
}

// runZoneQueue serves a queue while it has requests.
func (f *Forwarder) runZoneQueue(service ServiceName, q *zoneQueue) {
	tick := time.NewTicker(zoneQueueInterval)
	defer tick.Stop()
	for range tick.C {
		if !f.serveZoneQueueOnce(service, q) {
			return
		}
	}
}

// serveZoneQueueOnce serves a queue and reports whether it has requests left.
func (f *Forwarder) serveZoneQueueOnce(service ServiceName, q *zoneQueue) bool {
	f.admissions.mu.Lock()
	defer f.admissions.mu.Unlock()
	if f.Stopping() {
		// The hosts of the requests ask elsewhere.
		for run, w := range q.waiters {
			close(w.reply)
			delete(q.waiters, run)
			q.queue.Withdraw(run)
		}
	}
	f.serveZoneQueue(f.now(), service, q)
	q.serving = len(q.waiters) > 0
	return q.serving
}

// serveZoneQueue decides about the requests of a queue and notifies the hosts of the cell if it
// begins or ends to block a priority. The mutex of admissions is held.
func (f *Forwarder) serveZoneQueue(now time.Time, service ServiceName, q *zoneQueue) {
	zone := f.engines.zoneOutlook(now, service)
	decided := q.queue.Decide(now, zone, func(r *admission.Request, idleOnly bool) bool { return q.waiters[r.Run].place(now, idleOnly) })
	for _, d := range decided {
		w := q.waiters[d.Run]
		delete(q.waiters, d.Run)
		reply := AdmitReply{PlacementGrant: w.grant, Refused: d.Verdict == admission.Refused, Reason: d.Reason, RetryAfter: d.RetryAfter, Waited: d.Waited, Forecast: d.Forecast}
		f.journal.Request(RequestID(d.Run), "decided by zone", "refused", reply.Refused, "upstream", reply.Engine, "waited", d.Waited, "first_foreseen", max(d.Forecast, reply.TimeToFirstToken), "retry_after", d.RetryAfter, "waiting", len(q.waiters), "engines", len(zone.Engines), "oldest_report", f.engines.oldestPeerReport(now))
		w.reply <- reply
	}
	m := q.mark(service)
	if (m.Count > 0) != (q.reported.Count > 0) || m.Count > 0 && m.Highest != q.reported.Highest {
		f.peers.notifyOwnCell()
	}
	q.reported = m
}

// ZoneQueueLength returns the number of requests that wait at this host for room in its zone.
func (f *Forwarder) ZoneQueueLength() int {
	n := 0
	for _, m := range f.admissions.marks() {
		n += m.Count
	}
	return n
}

// admissionDuty is the duty for which the responsible host of a cell is determined.
func admissionDuty(service ServiceName) string { return "admission/" + string(service) }

// responsibleForAdmission returns the host that keeps the queue of a service in a cell.
func (f *Forwarder) responsibleForAdmission(now time.Time, service ServiceName, target cell.ID) Peer {
	return f.peers.responsibleHost(now, admissionDuty(service), target)
}

func (f *Forwarder) ownCell() cell.ID {
	_, own := f.peers.cellLayout()
	return own
}

// admissionRequest returns a request for the zone's queue, with what this host expects of it.
func (e *enginePlacer) admissionRequest(now time.Time, service ServiceName, r policy.Request) admission.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := admission.Request{
		Run: r.Run, Account: r.Account, Priority: r.Priority, Memory: r.PromptTokens, Objective: r.Objective, ArrivedAt: r.ArrivedAt,
	}
	if a.ArrivedAt.IsZero() {
		a.ArrivedAt = now
	}
	if p := e.pools[service]; p != nil {
		length := p.pool.MeanLength(&r)
		a.Memory, a.Prefill, a.Decode = r.PromptTokens+length, p.pool.IdlePrefillTime(r.PromptTokens), time.Duration(length)*p.expectedStep()
	}
	return a
}

// zoneOutlook returns what the zone's queue decides by.
func (e *enginePlacer) zoneOutlook(now time.Time, service ServiceName) admission.Zone {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return admission.Zone{}
	}
	return admission.Zone{Engines: p.pool.Outlook(now, e.zone), Held: p.pool.HeldTokens()}
}

// readingEngines returns the engines that still read prompts placed on them.
func (e *enginePlacer) readingEngines(now time.Time, service ServiceName) []member.UpstreamID {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.pools[service]; p != nil {
		return p.pool.ReadingEngines(now)
	}
	return nil
}

// tooLong reports whether no engine known here could ever take a request.
func (e *enginePlacer) tooLong(service ServiceName, r policy.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	return p != nil && p.pool.TooLong(&r)
}

// hasRoom reports whether an engine of the own zone could take a request.
func (e *enginePlacer) hasRoom(now time.Time, service ServiceName, r policy.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Zone, r.SameZoneOnly = e.zone, true
	p := e.pools[service]
	return p != nil && p.pool.HasRoom(now, r)
}

// hasRoomAnywhere reports whether an engine of any zone could take a request, by this host's view.
func (e *enginePlacer) hasRoomAnywhere(now time.Time, service ServiceName, r policy.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Zone = e.zone
	p := e.pools[service]
	return p != nil && p.pool.HasRoom(now, r)
}

// revokeGrant frees a place that was granted to a peer's run and that the peer hasn't reported.
func (e *enginePlacer) revokeGrant(now time.Time, service ServiceName, run policy.RunID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return false
	}
	if _, unconfirmed := p.unconfirmedGrants[run]; !unconfirmed {
		return false
	}
	delete(p.unconfirmedGrants, run)
	delete(p.peerRuns, run)
	p.pool.Finish(now, policy.Finish{Run: run})
	return true
}

// oldestPeerReport returns the age of the oldest report by which places are decided.
func (e *enginePlacer) oldestPeerReport(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest := time.Duration(0)
	for _, at := range e.lastReported {
		oldest = max(oldest, now.Sub(at))
	}
	return oldest
}
