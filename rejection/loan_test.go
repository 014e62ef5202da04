// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package rejection

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedpath/shedpath/member"
)

// loanSite is a site of hosts with one upstream whose budgets are called in random order.
type loanSite struct {
	*rapid.T
	now      time.Time
	upstream Upstream
	limit    int
	hosts    []*loanHost
	// pending are requests that were sent and haven't arrived.
	pending  []pendingLoan
	rejected []time.Time
}

type loanHost struct {
	fixedSite
	Budget
	id      member.HostID
	tickets []loanTicket
}

type loanTicket struct {
	Ticket
	begun time.Time
}

type pendingLoan struct {
	from, to *loanHost
	sentAt   time.Time
	LoanRequest
}

// longestRequest is how long requests take at most that hosts which lose touch may have in flight
// without another host using their places.
const longestRequest = loanExpiry - loanUse - window

// TestLoansOfAllHosts guards against hosts that together have more at an upstream than it can run and
// reject in a second, while they lend places to each other and requests for that are lost or late.
func TestLoansOfAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &loanSite{T: t, now: time.Unix(1e9, 0), limit: rapid.IntRange(0, 12).Draw(t, "limit")}
		s.upstream = Upstream{ID: "u", Service: "s", Slots: rapid.IntRange(0, 6).Draw(t, "slots")}
		for n := range rapid.IntRange(2, 8).Draw(t, "hosts") {
			s.hosts = append(s.hosts, &loanHost{id: member.HostID(fmt.Sprint("h", n)), fixedSite: fixedSite{position: n}})
		}
		for _, h := range s.hosts {
			h.hosts = len(s.hosts)
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 20, 200, 700}).Draw(t, "ms")) * time.Millisecond)
			s.step()
		}
	})
}

func (s *loanSite) step() {
	for _, h := range s.hosts {
		h.Announced(s.now, s.upstream.Service, s.limit)
		for len(h.tickets) > 0 && s.now.Sub(h.tickets[0].begun) >= longestRequest {
			s.end(h, h.tickets[0].begun.Add(longestRequest))
		}
	}
	h := rapid.SampledFrom(s.hosts).Draw(s.T, "host")
	switch rapid.SampledFrom([]string{"begin", "begin", "end", "ask", "borrow", "borrow", "arrive", "lose", "prune"}).Draw(s.T, "action") {
	case "begin":
		s.begin(h)
	case "borrow":
		for s.begin(h) {
			s.check()
		}
		for _, to := range s.hosts {
			if to != h {
				s.arrive(s.ask(h, to))
			}
		}
		for s.begin(h) {
			s.check()
		}
	case "end":
		if len(h.tickets) > 0 {
			s.end(h, s.now)
		}
	case "ask":
		to := rapid.SampledFrom(s.hosts).Draw(s.T, "to")
		if to != h {
			s.pending = append(s.pending, s.ask(h, to))
		}
	case "arrive":
		if len(s.pending) > 0 {
			n := rapid.IntRange(0, len(s.pending)-1).Draw(s.T, "request")
			s.arrive(s.pending[n])
			s.pending = slices.Delete(s.pending, n, n+1)
		}
	case "lose":
		s.pending = nil
	case "prune":
		h.ForgetIdleLenders()
		h.Prune(s.now)
	}
	s.check()
}

// begin begins a request at a host, and reports whether there was a place for it.
func (s *loanSite) begin(h *loanHost) bool {
	ticket, wait := h.Begin(s.now, s.upstream, h, false)
	if wait == 0 {
		h.tickets = append(h.tickets, loanTicket{ticket, s.now})
	}
	return wait == 0
}

func (s *loanSite) ask(from, to *loanHost) pendingLoan {
	return pendingLoan{from, to, s.now, from.LoanRequests(s.now, from.id, 1, []member.HostID{to.id})[0]}
}

func (s *loanSite) arrive(p pendingLoan) {
	upstreams := make([]Upstream, len(p.Wants))
	for n := range upstreams {
		upstreams[n] = s.upstream
	}
	reply := p.to.Lend(s.now, p.LoanRequest, upstreams, p.to)
	if rapid.Bool().Draw(s.T, "reply arrives") {
		p.from.ReceiveLoan(s.now, p.sentAt, p.to.id, p.LoanRequest, reply)
	}
}

func (s *loanSite) end(h *loanHost, at time.Time) {
	rejected := rapid.Bool().Draw(s.T, "rejected")
	h.End(at, h.tickets[0].Ticket, rejected)
	h.tickets = h.tickets[1:]
	if rejected {
		s.rejected = append(s.rejected, at)
	}
}

func (s *loanSite) check() {
	sum := 0
	for _, h := range s.hosts {
		sum += len(h.tickets)
	}
	inFlight := sum
	for _, at := range s.rejected {
		if s.now.Sub(at) < time.Second {
			sum++
		}
	}
	if sum > s.upstream.Slots+s.limit {
		s.Fatalf("%d in flight and %d rejected in the last second, of %d that it can take", inFlight, sum-inFlight, s.upstream.Slots+s.limit)
	}
}

// TestLoanFollowsNeed guards against places that stay with a host that has no use for them, and against a
// lender that doesn't get back what it needs itself.
func TestLoanFollowsNeed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	u := Upstream{ID: "u", Service: "s", Slots: 4}
	busy, quiet := &loanHost{id: "busy", fixedSite: fixedSite{2, 0}}, &loanHost{id: "quiet", fixedSite: fixedSite{2, 1}}
	for _, h := range []*loanHost{busy, quiet} {
		h.Announced(now, "s", 4)
	}
	begin := func(h *loanHost) bool {
		ticket, wait := h.Begin(now, u, h, false)
		if wait == 0 {
			h.tickets = append(h.tickets, loanTicket{ticket, now})
		}
		return wait == 0
	}
	// borrow has the busy host ask once, and returns how many places the quiet one has lent.
	borrow := func() int {
		requests := busy.LoanRequests(now, busy.id, 1, []member.HostID{quiet.id})
		busy.ReceiveLoan(now, now, quiet.id, requests[0], quiet.Lend(now, requests[0], slices.Repeat([]Upstream{u}, len(requests[0].Wants)), quiet))
		return quiet.lent(now, u.ID, "")
	}
	for range 4 {
		is.True(begin(busy))
	}
	for range 2 {
		is.True(!begin(busy))
	}
	is.Equal(borrow(), 2)
	for range 2 {
		is.True(begin(busy))
	}
	is.Equal(borrow(), 2) // in use
	for range 2 {
		is.True(begin(quiet))
	}
	is.True(!begin(quiet)) // its two other places are lent
	is.Equal(borrow(), 2)  // asked back, but in use
	busy.End(now, busy.tickets[0].Ticket, false)
	is.Equal(borrow(), 2) // returned with the next request
	is.Equal(borrow(), 1)
	is.True(begin(quiet))
	for _, ticket := range busy.tickets[1:] {
		busy.End(now, ticket.Ticket, false)
	}
	now = now.Add(2 * window)
	for _, h := range []*loanHost{busy, quiet} {
		h.Announced(now, "s", 4)
	}
	is.Equal(borrow(), 0)
}

// TestLoanEndsWithBorrower guards against places that are lost with the host that borrowed them.
func TestLoanEndsWithBorrower(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	u := Upstream{ID: "u", Service: "s"}
	h := &loanHost{fixedSite: fixedSite{2, 0}}
	h.Announced(now, "s", 4)
	ask := func(epoch, seq uint64, held, more int) []int {
		return h.Lend(now, LoanRequest{From: "b", Epoch: epoch, Seq: seq, Wants: []Want{{"u", held, more}}}, []Upstream{u}, h).Places
	}
	is.Equal(ask(1, 5, 0, 9), []int{2})
	is.Equal(len(ask(1, 5, 0, 0)), 0) // arrives twice
	is.Equal(h.lent(now, "u", ""), 2)
	is.Equal(ask(2, 1, 0, 0), []int{0}) // it started again
	is.Equal(h.lent(now, "u", ""), 0)
	is.Equal(ask(2, 2, 0, 1), []int{1})
	now = now.Add(loanExpiry)
	is.Equal(h.lent(now, "u", ""), 0)
	is.Equal(ask(3, 1, -5, -5), []int{0})
}
