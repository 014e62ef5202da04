// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/ratelimit"
)

var (
	selfHost  = member.Entry{ID: "h1", Zone: "z1"}
	otherHost = member.Entry{ID: "h2", Zone: "z2"}
)

// fakeSite is a Site with fixed host counts, on which answerPeer answers for the other host.
type fakeSite struct {
	granter     member.Entry
	live, known int
	unknown     bool
	answerPeer  func(a GrantRequest) (GrantReply, error)

	peerRequests  []GrantRequest
	receivedMarks []ratelimit.PeerReport
}

func (s *fakeSite) Granter(time.Time, member.UpstreamID) member.Entry { return s.granter }

func (s *fakeSite) HostCounts(time.Time) (live, known int) { return max(s.live, 1), max(s.known, 1) }

func (s *fakeSite) CellHostCounts(now time.Time) (live, known int) { return s.HostCounts(now) }

func (s *fakeSite) Zone(member.UpstreamID) (member.Zone, bool) { return "z1", !s.unknown }

func (s *fakeSite) AskPeer(_ context.Context, _ member.Entry, a GrantRequest) (GrantReply, error) {
	s.peerRequests = append(s.peerRequests, a)
	return s.answerPeer(a)
}

func (s *fakeSite) ReceiveLimitMark(_ time.Time, _ member.HostID, m ratelimit.PeerReport) {
	s.receivedMarks = append(s.receivedMarks, m)
}

var errUnreachable = errors.New("away")

// grantAlways answers as a host that grants every request.
func grantAlways(GrantRequest) (GrantReply, error) {
	return GrantReply{Decision: ratelimit.Decision{Granted: true}}, nil
}

// TestAcquire checks that a host gets permits from the granting host, and from its own turns if that
// host can't be asked.
func TestAcquire(t *testing.T) {
	for name, c := range map[string]struct {
		site  *fakeSite
		delay time.Duration
		want  Outcome
		late  bool
	}{
		"this host gives out": {site: &fakeSite{granter: selfHost}, want: Granted},
		"another does":        {site: &fakeSite{granter: otherHost, answerPeer: grantAlways}, want: Granted},
		"another refuses": {site: &fakeSite{granter: otherHost, answerPeer: func(GrantRequest) (GrantReply, error) {
			return GrantReply{Decision: ratelimit.Decision{Wait: time.Second}}, nil
		}}, want: Deferred},
		"its answer is late": {
			site: &fakeSite{granter: otherHost, answerPeer: grantAlways}, delay: permitTTL + time.Millisecond, want: Deferred, late: true,
		},
		"it says that this host does": {site: &fakeSite{granter: otherHost, answerPeer: func(GrantRequest) (GrantReply, error) {
			return GrantReply{Granter: selfHost}, nil
		}}, want: Granted},
		"each says that another does": {site: &fakeSite{granter: otherHost, answerPeer: func(GrantRequest) (GrantReply, error) {
			return GrantReply{Granter: otherHost}, nil
		}}, want: OwnTurn},
		"it doesn't answer": {site: &fakeSite{granter: otherHost, answerPeer: func(GrantRequest) (GrantReply, error) { return GrantReply{}, errUnreachable }}, want: OwnTurn},
		"it doesn't know the upstream": {
			site: &fakeSite{granter: otherHost, answerPeer: func(GrantRequest) (GrantReply, error) { return GrantReply{UnknownUpstream: true}, nil }}, want: OwnTurn,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			l := New(selfHost, c.site, func() time.Time { return now })
			if answerPeer := c.site.answerPeer; answerPeer != nil {
				c.site.answerPeer = func(a GrantRequest) (GrantReply, error) {
					now = now.Add(c.delay)
					return answerPeer(a)
				}
			}
			r := Request{Upstream: "u", Rate: 4, Rank: 2}
			v := l.Acquire(t.Context(), r)
			for n := 0; v.Outcome == NoTurn && n < 10; n++ {
				// The host's first turn is still to come.
				now = now.Add(v.Wait)
				v = l.Acquire(t.Context(), r)
			}
			is.Equal(v.Outcome, c.want)
			is.Equal(v.OK(), c.want == Granted || c.want == OwnTurn)
			is.Equal(v.Late, c.late)
			for _, a := range c.site.peerRequests {
				is.Equal(a.PermitRequest, ratelimit.PermitRequest{From: selfHost.ID, Rate: 4, Rank: 2})
			}
		})
	}
}

// TestWaitAfterRefusal checks that a refused host doesn't request a permit for the same upstream
// before the wait that it was given is over.
func TestWaitAfterRefusal(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := &fakeSite{granter: otherHost, answerPeer: func(GrantRequest) (GrantReply, error) {
		return GrantReply{Decision: ratelimit.Decision{Wait: time.Second}}, nil
	}}
	l := New(selfHost, s, func() time.Time { return now })
	r := Request{Upstream: "u", Rate: 4}
	is.Equal(l.Acquire(t.Context(), r).Wait, time.Second)
	is.Equal(l.Wait(now, "u"), time.Second)
	is.Equal(l.Wait(now, "v"), time.Duration(0))
	now = now.Add(999 * time.Millisecond)
	is.Equal(l.Acquire(t.Context(), r), Verdict{Outcome: Deferred, Wait: time.Millisecond})
	is.Equal(len(s.peerRequests), 1)
	l.Reset("u")
	l.Acquire(t.Context(), r)
	is.Equal(len(s.peerRequests), 2)
	l.Prune(now.Add(time.Minute), func(member.UpstreamID) bool { return false })
	is.Equal(len(l.nextRequest.notBefore), 0)
}

// TestUnresponsiveHost checks that a host that didn't answer is not asked for a second, because each
// attempt delays a request until the time limit for an answer.
func TestUnresponsiveHost(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := &fakeSite{granter: otherHost, answerPeer: func(GrantRequest) (GrantReply, error) { return GrantReply{}, errUnreachable }}
	l := New(selfHost, s, func() time.Time { return now })
	for range 5 {
		l.Acquire(t.Context(), Request{Upstream: "u", Rate: 4})
	}
	is.Equal(len(s.peerRequests), 1)
	now = now.Add(unansweredRetryDelay)
	l.Acquire(t.Context(), Request{Upstream: "v", Rate: 4})
	is.Equal(len(s.peerRequests), 2)
}

// TestHandleGrantRequest checks that a host grants permits if it is the granting host, and otherwise
// names the granting host in its reply.
func TestHandleGrantRequest(t *testing.T) {
	word := ratelimit.PeerReport{Upstream: "u", HasLimit: true, Rate: 4}
	ask := GrantRequest{Upstream: "u", PermitRequest: ratelimit.PermitRequest{From: "h9", Rate: 4}, HasLimitMark: true, LimitMark: word}
	for name, c := range map[string]struct {
		site *fakeSite
		want GrantReply
	}{
		"it gives out":             {&fakeSite{granter: selfHost}, GrantReply{Decision: ratelimit.Decision{Granted: true}}},
		"another does":             {&fakeSite{granter: otherHost}, GrantReply{Granter: otherHost}},
		"the upstream isn't known": {&fakeSite{granter: selfHost, unknown: true}, GrantReply{UnknownUpstream: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			l := New(selfHost, c.site, func() time.Time { return now })
			is.Equal(l.HandleGrantRequest(ask), c.want)
			is.Equal(c.site.receivedMarks, []ratelimit.PeerReport{word})
		})
	}
}

// TestGrantsShareOfLiveHosts checks that a granting host that finds only some of the known hosts
// live grants one and a half times their share of the limit, but never more than the limit.
func TestGrantsShareOfLiveHosts(t *testing.T) {
	const rate, duration = 10, 40 * time.Second
	for name, c := range map[string]struct {
		heard, known int
		want         float64
	}{"all": {9, 9, 1}, "two thirds": {6, 9, 1}, "a third": {3, 9, 0.5}, "itself": {1, 9, 1.0 / 6}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			l := New(selfHost, &fakeSite{granter: selfHost, live: c.heard, known: c.known}, func() time.Time { return now })
			granted := 0
			for end := now.Add(duration); now.Before(end); now = now.Add(20 * time.Millisecond) {
				if l.Acquire(t.Context(), Request{Upstream: "u", Rate: rate}).OK() {
					granted++
				}
			}
			want := c.want * rate * duration.Seconds()
			t.Logf("granted %d permits, expected %.0f", granted, want)
			is.True(float64(granted) <= want+1)
			is.True(float64(granted) >= 0.9*want)
		})
	}
}

// TestWaitAfterLimitEnds checks that a host that was refused at a low limit requests a permit again
// as soon as the limit has ended, and then waits no longer than until the rising bound has doubled.
func TestWaitAfterLimitEnds(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	site := &fakeSite{granter: otherHost, answerPeer: func(GrantRequest) (GrantReply, error) {
		return GrantReply{Decision: ratelimit.Decision{Wait: 5 * time.Second}}, nil
	}}
	l := New(selfHost, site, func() time.Time { return now })
	take := func() Verdict { return l.Acquire(t.Context(), Request{Upstream: "u1", Rate: ratelimit.MinRate}) }
	l.NamedLimits.Receive(now, "u1", 1, selfHost.ID, ratelimit.AnswerReport{HasLimit: true, Rate: ratelimit.MinRate, ReceivedAt: now})
	is.Equal(take().Wait, 5*time.Second)
	now = now.Add(100 * time.Millisecond)
	is.Equal(l.NamedLimits.Receive(now, "u1", 1, selfHost.ID, ratelimit.AnswerReport{SentAt: now}), ratelimit.LimitEnded)
	l.LimitRaised("u1")
	is.Equal(l.Wait(now, "u1"), time.Duration(0))
	is.True(take().Wait <= 500*time.Millisecond) // the bound has doubled by then
	is.Equal(len(site.peerRequests), 2)
}

// TestScarcePermits checks when a host takes permits to be scarce. What a limit allowed was lost
// where no refused host asked for it again in time.
func TestScarcePermits(t *testing.T) {
	const wait = time.Second
	start := time.Now()
	for name, c := range map[string]struct {
		decision ratelimit.Decision
		ended    bool
		after    time.Duration
		want     bool
	}{
		"granted":                       {ratelimit.Decision{Granted: true}, false, 0, false},
		"refused, while it waits":       {ratelimit.Decision{Wait: wait}, false, wait - 1, false},
		"refused, after its wait":       {ratelimit.Decision{Wait: wait}, false, wait, true},
		"refused, long after its wait":  {ratelimit.Decision{Wait: wait}, false, wait + scarcityTTL + 1, false},
		"refused, and the limit ended":  {ratelimit.Decision{Wait: wait}, true, wait, false},
		"another rank has the priority": {ratelimit.Decision{Wait: wait, Outranked: true}, false, wait, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := start
			l := New(selfHost, &fakeSite{granter: otherHost, answerPeer: func(GrantRequest) (GrantReply, error) {
				return GrantReply{Decision: c.decision}, nil
			}}, func() time.Time { return now })
			l.NamedLimits.Receive(now, "u", 0, selfHost.ID, ratelimit.AnswerReport{HasLimit: true, Rate: 4, SentAt: now, ReceivedAt: now})
			l.Acquire(t.Context(), Request{Upstream: "u", Rate: 4})
			now = now.Add(c.after)
			if c.ended {
				l.NamedLimits.Receive(now, "u", 0, selfHost.ID, ratelimit.AnswerReport{SentAt: now, ReceivedAt: now})
			}
			is.Equal(l.Scarce(now, "u"), c.want)
		})
	}
}
