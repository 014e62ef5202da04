// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/resource"
	"github.com/shedpath/shedpath/rollout"
	"github.com/shedpath/shedpath/roster"
)

// wireShare is forward.Share; ages are in milliseconds.
type wireShare struct {
	ID, Zone, Address string
	Capacity          int
	Stamp             uint64
	StampAge          int64
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
	Crashes           []wireCrashes
	Limits            []wireLimit
	Backoffs          []wireBackoff
	Announced         []wireAnnouncement `msgpack:",omitempty"`
}

// wireBackoff is backoff.Mark; For is in milliseconds.
type wireBackoff struct {
	Upstream  string
	Life, For int64
}

// wireCold is forward.ColdMark; For is in milliseconds.
type wireCold struct {
	Upstream  string
	Life, For int64
}

// wireZoneOrder is forward.ZoneOrder.
type wireZoneOrder struct {
	Zone     string
	Out      bool
	Revision uint64
	Era      uint64 `msgpack:",omitempty"`
	// Believed is in how many milliseconds this is believed; zero for now.
	Believed int64 `msgpack:",omitempty"`
}

// believedIn is in how many milliseconds something is believed; zero for now.
func believedIn(now, from time.Time) int64 {
	if from.IsZero() {
		return 0
	}
	return max(from.Sub(now).Milliseconds(), 1)
}

func believedFrom(now time.Time, in int64) time.Time {
	if in <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(in) * time.Millisecond)
}

// point is a point as two numbers of a message.
func point(era, revision uint64) history.Point {
	return history.At(history.Era(era), history.Revision(revision))
}

// numbers are a point's, for a message.
func numbers(p history.Point) (era, revision uint64) { return uint64(p.Era()), uint64(p.Revision()) }

func toWireZones(now time.Time, orders []forward.ZoneOrder) []wireZoneOrder {
	var w []wireZoneOrder
	for _, o := range orders {
		order := wireZoneOrder{Zone: string(o.Zone), Out: o.Out, Believed: believedIn(now, o.BelievedFrom)}
		order.Era, order.Revision = numbers(o.Revision)
		w = append(w, order)
	}
	return w
}

func zoneOrders(now time.Time, w []wireZoneOrder) []forward.ZoneOrder {
	var orders []forward.ZoneOrder
	for _, o := range w {
		orders = append(orders, forward.ZoneOrder{
			Zone: member.Zone(o.Zone), Out: o.Out, Revision: point(o.Era, o.Revision), BelievedFrom: believedFrom(now, o.Believed),
		})
	}
	return orders
}

// wireFailing is forward.FailingMark; For is in milliseconds.
type wireFailing struct {
	Upstream  string
	Life, For int64
}

// wireLeaving is forward.LeavingMark; In is in milliseconds.
type wireLeaving struct {
	Engine   string
	Life, In int64
	Said     bool
}

// wireEndedRun is forward.EndedRun.
type wireEndedRun struct {
	Run  string
	Made int
}

type wireRunState struct {
	Run, Service, Engine, Route, Account string
	Prompt, Made, Limit                  int
	Life                                 int64
	// Begun is in microseconds.
	Begun int64
}

func toWireShare(now time.Time, s forward.Share) wireShare {
	w := wireShare{
		ID: string(s.From.ID), Zone: string(s.From.Zone), Address: s.From.PeerAddress, Capacity: s.From.Capacity, Stamp: s.Stamp, StampAge: s.StampAge.Milliseconds(), Version: uint64(s.Version),
		ConfigAge: s.ConfigAge.Milliseconds(), OriginAge: s.OriginAge.Milliseconds(), Stopping: s.Stopping,
		Zones: toWireZones(now, s.Zones), Epoch: s.Epoch, Crashes: toWireCrashes(s.Crashes),
		Limits: toWireLimits(s.Limits), Announced: toWireAnnouncements(s.Announced),
	}
	w.ListEra, w.List = numbers(s.List)
	for _, r := range s.Runs {
		w.Runs = append(w.Runs, wireRunState{
			Run: string(r.Run), Service: string(r.Service), Engine: string(r.Engine), Life: int64(r.Life), Route: string(r.Route), Account: string(r.Account),
			Prompt: int(r.Prompt), Made: int(r.Made), Limit: int(r.Limit), Begun: r.Begun.Microseconds(),
		})
	}
	for _, r := range s.Ended {
		w.Ended = append(w.Ended, wireEndedRun{Run: string(r.Run), Made: int(r.Made)})
	}
	for _, mark := range s.Leaving {
		w.Leaving = append(w.Leaving, wireLeaving{Engine: string(mark.Engine), Life: int64(mark.Life), In: mark.In.Milliseconds(), Said: mark.Said})
	}
	for _, mark := range s.Backoffs {
		w.Backoffs = append(w.Backoffs, wireBackoff{Upstream: string(mark.Upstream), Life: mark.Life, For: mark.For.Milliseconds()})
	}
	for _, mark := range s.Cold {
		w.Cold = append(w.Cold, wireCold{Upstream: string(mark.Upstream), Life: int64(mark.Life), For: mark.For.Milliseconds()})
	}
	for _, mark := range s.Failing {
		w.Failing = append(w.Failing, wireFailing{Upstream: string(mark.Upstream), Life: int64(mark.Life), For: mark.For.Milliseconds()})
	}
	return w
}

func (w wireShare) share(now time.Time) forward.Share {
	s := forward.Share{
		From:  forward.Peer{ID: member.HostID(w.ID), Zone: member.Zone(w.Zone), PeerAddress: w.Address, Capacity: w.Capacity},
		Stamp: w.Stamp, StampAge: time.Duration(w.StampAge) * time.Millisecond,
		Version: forward.Version(w.Version), ConfigAge: time.Duration(w.ConfigAge) * time.Millisecond,
		OriginAge: time.Duration(w.OriginAge) * time.Millisecond, Stopping: w.Stopping,
		List: point(w.ListEra, w.List), Zones: zoneOrders(now, w.Zones), Epoch: w.Epoch, Crashes: crashMarks(w.Crashes),
		Limits: limitMarks(w.Limits), Announced: announcements(w.Announced),
	}
	for _, r := range w.Runs {
		s.Runs = append(s.Runs, forward.RunState{
			Run: policy.RunID(r.Run), Service: forward.ServiceName(r.Service), Engine: member.UpstreamID(r.Engine), Life: forward.Life(r.Life),
			Route: resource.Name(r.Route), Account: resource.Account(r.Account),
			Prompt: policy.Tokens(r.Prompt), Made: policy.Tokens(r.Made), Limit: policy.Tokens(r.Limit),
			Begun: time.Duration(r.Begun) * time.Microsecond,
		})
	}
	for _, r := range w.Ended {
		s.Ended = append(s.Ended, forward.EndedRun{Run: policy.RunID(r.Run), Made: policy.Tokens(r.Made)})
	}
	for _, mark := range w.Leaving {
		s.Leaving = append(s.Leaving, forward.LeavingMark{
			Engine: member.UpstreamID(mark.Engine), Life: forward.Life(mark.Life), In: time.Duration(mark.In) * time.Millisecond, Said: mark.Said,
		})
	}
	for _, mark := range w.Backoffs {
		s.Backoffs = append(s.Backoffs, backoff.Mark{
			Upstream: member.UpstreamID(mark.Upstream), Life: mark.Life, For: time.Duration(mark.For) * time.Millisecond,
		})
	}
	for _, mark := range w.Cold {
		s.Cold = append(s.Cold, forward.ColdMark{
			Upstream: member.UpstreamID(mark.Upstream), Life: forward.Life(mark.Life), For: time.Duration(mark.For) * time.Millisecond,
		})
	}
	for _, mark := range w.Failing {
		s.Failing = append(s.Failing, forward.FailingMark{
			Upstream: member.UpstreamID(mark.Upstream), Life: forward.Life(mark.Life), For: time.Duration(mark.For) * time.Millisecond,
		})
	}
	return s
}

// wireFollow is forward.FollowRequest; the wait is in milliseconds.
type wireFollow struct {
	Version, List uint64
	ListEra       uint64 `msgpack:",omitempty"`
	Epoch, Found  uint64
	Wait          int64
	From          string
	Announced     []wireAnnouncement
}

// wireFollowed is forward.FollowReply.
type wireFollowed struct {
	Version uint64
	Changes []wireChange
	// Packed are the changes compressed, in place of Changes.
	Packed               []byte
	Busy                 bool
	Zones                []wireZoneOrder
	Rollouts             []wireRollout
	Whole, Gaps          bool
	List                 uint64
	ListEra              uint64 `msgpack:",omitempty"`
	EraFrom              uint64
	EraAge               int64
	Hosts                []wireAnnouncement
	Epoch, Found         uint64
	ConfigAge, OriginAge int64
}

type wireChange struct {
	ID, Service, Address, Zone string
	Slots                      int
	Leaving, Gone, Missing     bool
	Unusable                   bool
	Version                    string
	Life                       int64
	// Cold is how much longer it is cold, in milliseconds.
	Cold int64
	// Believed is in how many milliseconds this is believed; zero for now.
	Believed int64 `msgpack:",omitempty"`
	Revision uint64
	Era      uint64 `msgpack:",omitempty"`
}

// wireAnnouncement is roster.Announcement; Age is in milliseconds.
type wireAnnouncement struct {
	ID, Zone, Address string
	Capacity          int
	Stamp             uint64
	Age               int64
}

func toWireAnnouncements(told []roster.Announcement) []wireAnnouncement {
	var w []wireAnnouncement
	for _, a := range told {
		w = append(w, wireAnnouncement{string(a.ID), string(a.Zone), a.PeerAddress, a.Capacity, a.Stamp, a.Age.Milliseconds()})
	}
	return w
}

func announcements(w []wireAnnouncement) []roster.Announcement {
	var told []roster.Announcement
	for _, a := range w {
		told = append(told, roster.Announcement{
			Entry: member.Entry{ID: member.HostID(a.ID), Zone: member.Zone(a.Zone), PeerAddress: a.Address, Capacity: a.Capacity},
			Stamp: a.Stamp, Age: time.Duration(max(a.Age, 0)) * time.Millisecond,
		})
	}
	return told
}

func toWireFollowed(now time.Time, r forward.FollowReply, packer *listPacker) (wireFollowed, error) {
	w := wireFollowed{
		Busy:    r.Busy,
		Version: uint64(r.Version), Whole: r.Whole, Gaps: r.Gaps, EraFrom: uint64(r.EraFrom.Revision()), EraAge: r.EraAge.Milliseconds(), Epoch: r.HostsAt.Epoch, Found: r.HostsAt.Found,
		ConfigAge: r.ConfigAge.Milliseconds(), OriginAge: r.OriginAge.Milliseconds(),
		Zones: toWireZones(now, r.Zones), Rollouts: toWireRollouts(r.Rollouts),
	}
	w.ListEra, w.List = numbers(r.List)
	w.Hosts = toWireAnnouncements(r.Hosts)
	var err error
	if w.Packed, err = packer.pack(now, r); err != nil || len(w.Packed) > 0 {
		return w, err
	}
	for _, c := range r.Changes {
		w.Changes = append(w.Changes, toWireChange(now, c))
	}
	return w, nil
}

func toWireChange(now time.Time, c forward.Change) wireChange {
	change := wireChange{
		ID: string(c.ID), Service: string(c.Service), Address: c.Address, Zone: string(c.Zone),
		Slots: c.Slots, Leaving: c.Leaving, Gone: c.Gone, Missing: c.Missing,
		Version: string(c.Version), Unusable: c.Unusable, Life: int64(c.Life), Cold: max(c.ColdUntil.Sub(now).Milliseconds(), 0),
	}
	change.Era, change.Revision = numbers(c.Revision)
	change.Believed = believedIn(now, c.BelievedFrom)
	return change
}

func (w wireFollowed) reply(now time.Time) (forward.FollowReply, error) {
	r := forward.FollowReply{
		Busy:    w.Busy,
		Version: forward.Version(w.Version), Whole: w.Whole, Gaps: w.Gaps, List: point(w.ListEra, w.List), EraFrom: point(w.ListEra, w.EraFrom), EraAge: time.Duration(w.EraAge) * time.Millisecond, HostsAt: forward.HostCursor{Epoch: w.Epoch, Found: w.Found},
		ConfigAge: time.Duration(w.ConfigAge) * time.Millisecond, OriginAge: time.Duration(w.OriginAge) * time.Millisecond,
		Zones: zoneOrders(now, w.Zones), Rollouts: rollouts(w.Rollouts),
	}
	for _, c := range w.Changes {
		r.Changes = append(r.Changes, c.change(now))
	}
	r.Hosts = announcements(w.Hosts)
	if len(w.Packed) == 0 {
		return r, nil
	}
	var err error
	r.Changes, err = unpackChanges(now, w.Packed)
	return r, err
}

func (w wireChange) change(now time.Time) forward.Change {
	c := forward.Change{
		Upstream: forward.Upstream{
			ID: member.UpstreamID(w.ID), Service: forward.ServiceName(w.Service), Address: w.Address,
			Zone: member.Zone(w.Zone), Slots: w.Slots, Version: rollout.Version(w.Version), Leaving: w.Leaving, Life: forward.Life(w.Life), Revision: point(w.Era, w.Revision),
		},
		Gone: w.Gone, Missing: w.Missing, Unusable: w.Unusable,
	}
	if w.Cold > 0 {
		c.ColdUntil = now.Add(time.Duration(w.Cold) * time.Millisecond)
	}
	c.BelievedFrom = believedFrom(now, w.Believed)
	return c
}

// Share tells a peer about this host.
func (m *Mesh) Share(ctx context.Context, to forward.Peer, s forward.Share) (forward.Share, error) {
	var answer wireShare
	if err := m.call(ctx, to.PeerAddress, kindShare, toWireShare(m.clock.Now(), s), &answer); err != nil {
		return forward.Share{}, err
	}
	return answer.share(m.clock.Now()), nil
}

// Follow asks a peer for what is newer there.
func (m *Mesh) Follow(ctx context.Context, to forward.Peer, r forward.FollowRequest) (forward.FollowReply, error) {
	var answer wireFollowed
	request := wireFollow{
		Version: uint64(r.Version), Epoch: r.Hosts.Epoch, Found: r.Hosts.Found, Wait: r.Wait.Milliseconds(),
		From: string(r.From), Announced: toWireAnnouncements(r.Announced),
	}
	request.ListEra, request.List = numbers(r.List)
	if err := m.call(ctx, to.PeerAddress, kindFollow, request, &answer); err != nil {
		return forward.FollowReply{}, err
	}
	return answer.reply(m.clock.Now())
}

// wireTurn is forward.TurnRequest. Wait is how long the arbiter may hold it, in
// milliseconds: the caller's context doesn't travel.
type wireTurn struct {
	Engine, Run string
	Worth       int
	AtOnce      bool
	Wait        int64
}

func toWireTurn(r forward.TurnRequest) wireTurn {
	return wireTurn{Engine: string(r.Engine), Run: string(r.Run), Worth: r.Worth, AtOnce: r.AtOnce}
}

func (w wireTurn) request() forward.TurnRequest {
	return forward.TurnRequest{Engine: member.UpstreamID(w.Engine), Run: policy.RunID(w.Run), Worth: w.Worth, AtOnce: w.AtOnce}
}

// Turn waits at an arbiter for the turn to move a run.
func (m *Mesh) Turn(ctx context.Context, to forward.Peer, r forward.TurnRequest) error {
	var answer bool
	w := toWireTurn(r)
	if deadline, ok := ctx.Deadline(); ok {
		w.Wait = time.Until(deadline).Milliseconds()
	}
	return m.call(ctx, to.PeerAddress, kindTurn, w, &answer)
}

// EndTurn gives a turn back to its arbiter.
func (m *Mesh) EndTurn(ctx context.Context, to forward.Peer, r forward.TurnRequest) error {
	var answer bool
	return m.call(ctx, to.PeerAddress, kindEndTurn, toWireTurn(r), &answer)
}

// wireAsk is forward.PlaceAsk; times are in milliseconds.
type wireAsk struct {
	From, Service, Run, Route, Account string
	Urgency, Prompt, Limit             int
	Objective, Waited                  int64
	Avoid                              []string
	OnlyGroup, ButGroup                string
}

// wireGrant is forward.PlaceGrant; First is in milliseconds.
type wireGrant struct {
	Engine string
	First  int64
}

func toWireAsk(a forward.PlaceAsk) wireAsk {
	w := wireAsk{
		From: string(a.From), Service: string(a.Service), Run: string(a.Run), Route: string(a.Route), Account: string(a.Account),
		Urgency: a.Urgency, Prompt: int(a.Prompt), Limit: int(a.Limit),
		Objective: a.Objective.Milliseconds(), Waited: a.Waited.Milliseconds(), OnlyGroup: a.OnlyGroup, ButGroup: a.ButGroup,
	}
	for _, id := range a.Avoid {
		w.Avoid = append(w.Avoid, string(id))
	}
	return w
}

func (w wireAsk) ask() forward.PlaceAsk {
	a := forward.PlaceAsk{
		From: member.HostID(w.From), Service: forward.ServiceName(w.Service), Run: policy.RunID(w.Run),
		Route: resource.Name(w.Route), Account: resource.Account(w.Account),
		Urgency: w.Urgency, Prompt: policy.Tokens(w.Prompt), Limit: policy.Tokens(w.Limit),
		Objective: time.Duration(w.Objective) * time.Millisecond, Waited: time.Duration(w.Waited) * time.Millisecond,
		OnlyGroup: w.OnlyGroup, ButGroup: w.ButGroup,
	}
	for _, id := range w.Avoid {
		a.Avoid = append(a.Avoid, member.UpstreamID(id))
	}
	return a
}

// Ask asks a peer for a place on one of its zone's engines.
func (m *Mesh) Ask(ctx context.Context, to forward.Peer, a forward.PlaceAsk) (forward.PlaceGrant, error) {
	var answer wireGrant
	if err := m.call(ctx, to.PeerAddress, kindAsk, toWireAsk(a), &answer); err != nil {
		return forward.PlaceGrant{}, err
	}
	return forward.PlaceGrant{Engine: member.UpstreamID(answer.Engine), FirstAfter: time.Duration(answer.First) * time.Millisecond}, nil
}

// forwardPeer is what peers ask of a forwarder.
type forwardPeer interface {
	OnShare(s forward.Share) forward.Share
	OnFollow(ctx context.Context, r forward.FollowRequest) forward.FollowReply
	OnConfig(have forward.Version) forward.ConfigReply
	OnAsk(a forward.PlaceAsk) forward.PlaceGrant
	OnPermit(a permit.Ask) permit.Reply
	OnRollout(r rollout.Report) rollout.Status
	Rollouts() []forward.RolloutEntry
	OnTurn(ctx context.Context, r forward.TurnRequest) error
	OnEndTurn(r forward.TurnRequest)
	OnQuarantine(release *quarantine.Fingerprint) ([]quarantine.Entry, bool)
}

// ServeForward serves the peers of a forwarder until the context ends.
func (m *Mesh) ServeForward(ctx context.Context, listener net.Listener, f forwardPeer, refused func(error)) error {
	handle := func(ctx context.Context, _ member.HostID, k kind, body []byte) (any, error) {
		return m.serveForward(ctx, f, k, body)
	}
	return m.serve(ctx, listener, handle, func(member.HostID) {}, refused)
}

func (m *Mesh) serveForward(ctx context.Context, f forwardPeer, k kind, body []byte) (any, error) {
	switch k {
	case kindShare:
		var w wireShare
		if err := msgpack.Unmarshal(body, &w); err != nil {
			return nil, trace.Wrap(err)
		}
		return toWireShare(m.clock.Now(), f.OnShare(w.share(m.clock.Now()))), nil
	case kindFollow:
		var w wireFollow
		if err := msgpack.Unmarshal(body, &w); err != nil {
			return nil, trace.Wrap(err)
		}
		r := forward.FollowRequest{
			From: member.HostID(w.From), Announced: announcements(w.Announced),
			Version: forward.Version(w.Version), List: point(w.ListEra, w.List),
			Hosts: forward.HostCursor{Epoch: w.Epoch, Found: w.Found}, Wait: time.Duration(w.Wait) * time.Millisecond,
		}
		reply := f.OnFollow(ctx, r)
		return toWireFollowed(m.clock.Now(), reply, &m.lists)
	case kindConfig:
		var have uint64
		if err := msgpack.Unmarshal(body, &have); err != nil {
			return nil, trace.Wrap(err)
		}
		return m.packed.wire(f.OnConfig(forward.Version(have)))
	case kindAsk:
		var w wireAsk
		if err := msgpack.Unmarshal(body, &w); err != nil {
			return nil, trace.Wrap(err)
		}
		grant := f.OnAsk(w.ask())
		return wireGrant{Engine: string(grant.Engine), First: grant.FirstAfter.Milliseconds()}, nil
	case kindPermit:
		return onPermit(f, body)
	case kindRollout:
		return onRollout(f, body)
	case kindRollouts:
		return onRollouts(f)
	case kindQuarantine:
		return onQuarantine(f, body)
	case kindTurn, kindEndTurn:
		var w wireTurn
		if err := msgpack.Unmarshal(body, &w); err != nil {
			return nil, trace.Wrap(err)
		}
		if k == kindEndTurn {
			f.OnEndTurn(w.request())
			return true, nil
		}
		ctx, cancel := context.WithTimeout(ctx, time.Duration(w.Wait)*time.Millisecond)
		defer cancel()
		return true, f.OnTurn(ctx, w.request())
	default:
		return nil, trace.BadParameter("unknown call %d", k)
	}
}
