// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"time"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// wireShare encodes forward.Share; ages are in milliseconds.
type wireShare struct {
	ID, Zone, Address string
	Capacity          int
	Announcement      uint64
	AnnouncedAgo      int64
	Version           uint64
	ConfigAge         int64
	OriginAge         int64
	Stopping          bool
	Runs              []wireRunState
	Ended             []wireEndedRun
	Leaving           []wireLeaving
	Failing           []wireFailing
	Cold              []wireCold
	List              uint64
	ListEra           uint64 `msgpack:",omitempty"`
	Zones             []wireZoneOrder
	Epoch             uint64
	Crashes           []wireCrashMark
	Limits            []wireLimitMark
	Backoffs          []wireBackoff
	Announced         []wireAnnouncement `msgpack:",omitempty"`
	// extension has the fields that were added later.
	extension wireShareExtension
}

// wireBackoff encodes backoff.Mark; For is the remaining time in milliseconds.
type wireBackoff struct {
	Upstream  string
	Life, For int64
}

func toWireBackoff(m backoff.Mark) wireBackoff {
	return wireBackoff{Upstream: string(m.Upstream), Life: m.Incarnation, For: m.Remaining.Milliseconds()}
}

func (w wireBackoff) mark() backoff.Mark {
	return backoff.Mark{Upstream: member.UpstreamID(w.Upstream), Incarnation: w.Life, Remaining: time.Duration(w.For) * time.Millisecond}
}

// wireCold encodes forward.ColdMark; For is the remaining time in milliseconds.
type wireCold struct {
	Upstream  string
	Life, For int64
}

// wireZoneOrder encodes forward.ZoneOrder.
type wireZoneOrder struct {
	Zone     string
	Out      bool
	Revision uint64
	Era      uint64 `msgpack:",omitempty"`
	// Believed is in how many milliseconds the order takes effect; zero for at once.
	Believed int64 `msgpack:",omitempty"`
}

// believedDelayMillis returns the milliseconds until from, at least 1; 0 if from is zero, which
// stands for at once.
func believedDelayMillis(now, from time.Time) int64 {
	if from.IsZero() {
		return 0
	}
	return max(from.Sub(now).Milliseconds(), 1)
}

// believedFromDelay is the inverse of believedDelayMillis.
func believedFromDelay(now time.Time, delayMillis int64) time.Time {
	if delayMillis <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(delayMillis) * time.Millisecond)
}

// newPoint decodes a point from the two numbers in a message.
func newPoint(era, revision uint64) history.Point {
	return history.NewPoint(history.Era(era), history.Revision(revision))
}

// pointNumbers returns the two numbers that encode a point in a message.
func pointNumbers(p history.Point) (era, revision uint64) {
	return uint64(p.Era()), uint64(p.Revision())
}

func toWireZones(now time.Time, orders []forward.ZoneOrder) []wireZoneOrder {
	var w []wireZoneOrder
	for _, o := range orders {
		order := wireZoneOrder{Zone: string(o.Zone), Out: o.OutOfService, Believed: believedDelayMillis(now, o.BelievedFrom)}
		order.Era, order.Revision = pointNumbers(o.Revision)
		w = append(w, order)
	}
	return w
}

func zoneOrders(now time.Time, w []wireZoneOrder) []forward.ZoneOrder {
	var orders []forward.ZoneOrder
	for _, o := range w {
		orders = append(orders, forward.ZoneOrder{
			Zone: member.Zone(o.Zone), OutOfService: o.Out, Revision: newPoint(o.Era, o.Revision), BelievedFrom: believedFromDelay(now, o.Believed),
		})
	}
	return orders
}

// wireFailing encodes forward.FailingMark; For is the remaining time in milliseconds.
type wireFailing struct {
	Upstream  string
	Life, For int64
}

// wireLeaving encodes forward.LeavingMark; In is in milliseconds.
type wireLeaving struct {
	Engine   string
	Life, In int64
	Said     bool
}

// wireEndedRun encodes forward.EndedRun.
type wireEndedRun struct {
	Run  string
	Made int
}

// wireRunState encodes forward.RunState.
type wireRunState struct {
	Run, Service, Engine, Route, Account string
	Prompt, Made, Limit                  int
	Life                                 int64
	// Begun is the age of the first token, in microseconds; zero before it.
	Begun int64
}

func toWireShare(now time.Time, s forward.Share) wireShare {
	w := wireShare{
		ID: string(s.From.ID), Zone: string(s.From.Zone), Address: s.From.PeerAddress, Capacity: s.From.Capacity, Announcement: s.AnnouncementCount, AnnouncedAgo: s.AnnouncementAge.Milliseconds(), Version: uint64(s.Version),
		ConfigAge: s.ConfigAge.Milliseconds(), OriginAge: s.OriginAge.Milliseconds(), Stopping: s.Stopping,
		Zones: toWireZones(now, s.Zones), Epoch: s.Epoch, Crashes: toWireCrashMarks(s.Crashes),
		Limits: toWireLimitMarks(s.Limits), Announced: toWireAnnouncements(s.Announcements), extension: toWireShareExtension(s),
	}
	w.ListEra, w.List = pointNumbers(s.List)
	for _, r := range s.Runs {
		w.Runs = append(w.Runs, wireRunState{
			Run: string(r.Run), Service: string(r.Service), Engine: string(r.Engine), Life: int64(r.Life), Route: string(r.Route), Account: string(r.Account),
			Prompt: int(r.Prompt), Made: int(r.Made), Limit: int(r.Limit), Begun: r.FirstTokenAge.Microseconds(),
		})
	}
	for _, r := range s.EndedRuns {
		w.Ended = append(w.Ended, wireEndedRun{Run: string(r.Run), Made: int(r.Made)})
	}
	for _, mark := range s.Leaving {
		w.Leaving = append(w.Leaving, wireLeaving{Engine: string(mark.Upstream), Life: int64(mark.Incarnation), In: mark.Remaining.Milliseconds(), Said: mark.Declared})
	}
	for _, mark := range s.Backoffs {
		w.Backoffs = append(w.Backoffs, toWireBackoff(mark))
	}
	for _, mark := range s.Cold {
		w.Cold = append(w.Cold, wireCold{Upstream: string(mark.Upstream), Life: int64(mark.Incarnation), For: mark.Remaining.Milliseconds()})
	}
	for _, mark := range s.Failing {
		w.Failing = append(w.Failing, wireFailing{Upstream: string(mark.Upstream), Life: int64(mark.Incarnation), For: mark.Remaining.Milliseconds()})
	}
	return w
}

func (w wireShare) share(now time.Time) forward.Share {
	s := forward.Share{
		From:              forward.Peer{ID: member.HostID(w.ID), Zone: member.Zone(w.Zone), PeerAddress: w.Address, Capacity: w.Capacity},
		AnnouncementCount: w.Announcement, AnnouncementAge: time.Duration(max(w.AnnouncedAgo, 0)) * time.Millisecond,
		Version: forward.Version(w.Version), ConfigAge: time.Duration(w.ConfigAge) * time.Millisecond,
		OriginAge: time.Duration(w.OriginAge) * time.Millisecond, Stopping: w.Stopping,
		List: newPoint(w.ListEra, w.List), Zones: zoneOrders(now, w.Zones), Epoch: w.Epoch, Crashes: crashMarks(w.Crashes),
		Limits: limitMarks(w.Limits), Announcements: announcements(w.Announced), Paces: paceMarks(w.extension.Paces),
		Reports: engineReports(w.extension.Reports), ReportRequests: reportRequests(w.extension.ReportRequests),
		ZoneLoad: zoneLoads(w.extension.ZoneLoad), Waiting: waitingMarks(w.extension.Waiting), RejectionLimits: rejectionLimits(w.extension.Rejections),
		MergesRuns: w.extension.MergesRuns, RunChangesOnly: w.extension.RunChangesOnly, GoneRuns: runIDs(w.extension.GoneRuns),
	}
	for _, r := range w.Runs {
		s.Runs = append(s.Runs, forward.RunState{
			Run: policy.RunID(r.Run), Service: forward.ServiceName(r.Service), Engine: member.UpstreamID(r.Engine), Life: forward.Incarnation(r.Life),
			Route: resource.Name(r.Route), Account: resource.Account(r.Account),
			Prompt: policy.Tokens(r.Prompt), Made: policy.Tokens(r.Made), Limit: policy.Tokens(r.Limit),
			FirstTokenAge: time.Duration(r.Begun) * time.Microsecond,
		})
	}
	for _, r := range w.Ended {
		s.EndedRuns = append(s.EndedRuns, forward.EndedRun{Run: policy.RunID(r.Run), Made: policy.Tokens(r.Made)})
	}
	for _, mark := range w.Leaving {
		s.Leaving = append(s.Leaving, forward.LeavingMark{
			Upstream: member.UpstreamID(mark.Engine), Incarnation: forward.Incarnation(mark.Life), Remaining: time.Duration(mark.In) * time.Millisecond, Declared: mark.Said,
		})
	}
	for _, mark := range w.Backoffs {
		s.Backoffs = append(s.Backoffs, mark.mark())
	}
	for _, mark := range w.Cold {
		s.Cold = append(s.Cold, forward.ColdMark{
			Upstream: member.UpstreamID(mark.Upstream), Incarnation: forward.Incarnation(mark.Life), Remaining: time.Duration(mark.For) * time.Millisecond,
		})
	}
	for _, mark := range w.Failing {
		s.Failing = append(s.Failing, forward.FailingMark{
			Upstream: member.UpstreamID(mark.Upstream), Incarnation: forward.Incarnation(mark.Life), Remaining: time.Duration(mark.For) * time.Millisecond,
		})
	}
	return s
}

// Share sends this host's state to a peer and returns the peer's state.
func (m *Mesh) Share(ctx context.Context, to forward.Peer, s forward.Share) (forward.Share, error) {
	var answer wireShare
	request := toWireShare(m.clock.Now(), s)
	if err := m.call(ctx, to.PeerAddress, kindShare, &request, &answer); err != nil {
		return forward.Share{}, err
	}
	return answer.share(m.clock.Now()), nil
}
