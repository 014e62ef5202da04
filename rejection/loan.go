// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package rejection

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
)

const (
	// loanUse is how long a host begins requests on places that their lender hasn't confirmed, and
	// loanExpiry is how long a lender keeps places reserved for a silent borrower. The difference covers
	// the borrower's requests that are in flight when they lose contact.
	loanUse    = 500 * time.Millisecond
	loanExpiry = 2500 * time.Millisecond
	// maxWants bounds the upstreams in one LoanRequest.
	maxWants = 64
)

// LoanRequest asks a peer to lend places: requests in flight and recent rejections that it may have
// at upstreams. It lists all that the borrower has from that peer, so it also returns and renews places.
type LoanRequest struct {
	From member.HostID
	// Epoch identifies the borrower's process. Seq increases with each request of it to one peer.
	Epoch, Seq uint64
	Wants      []Want
}

// Want is a LoanRequest's entry for one upstream.
type Want struct {
	Upstream member.UpstreamID
	// Held is how many places the borrower has from the peer, and More how many more it could use.
	Held, More int
}

// LoanReply holds for each Want how many places the borrower may have. Where that is less than it holds,
// it is to return the rest as soon as they are free. The reply to an outdated request is empty.
type LoanReply struct{ Places []int }

// borrower is what this host has lent to one peer.
type borrower struct {
	epoch, seq uint64
	heardAt    time.Time
	// places may have been taken back, but not returned yet.
	places map[member.UpstreamID]int
}

// lender is what this host has borrowed from one peer.
type lender struct {
	seq uint64
	// confirmedAt is when this host sent the last request that was answered.
	confirmedAt time.Time
	places      map[member.UpstreamID]int
}

// lent returns how many places at an upstream this host has lent to peers other than except.
func (b *Budget) lent(now time.Time, id member.UpstreamID, except member.HostID) int {
	places := 0
	for host, to := range b.borrowers {
		if host != except && now.Sub(to.heardAt) < loanExpiry {
			places += to.places[id]
		}
	}
	return places
}

// borrowed returns how many places at an upstream this host may use that belong to peers.
func (b *Budget) borrowed(now time.Time, id member.UpstreamID) int {
	places := 0
	for _, from := range b.lenders {
		if now.Sub(from.confirmedAt) < loanUse {
			places += from.places[id]
		}
	}
	return places
}

// ownPlaces returns how many places this host has at an upstream without those that it borrowed.
func (b *Budget) ownPlaces(now time.Time, id member.UpstreamID) int {
	return max(b.upstreams[id].part-b.lent(now, id, ""), 0)
}

// WantsLoans reports whether this host has borrowed places, and whether it could use more than it has.
func (b *Budget) WantsLoans() (holds, wantsMore bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, state := range b.upstreams {
		wantsMore = wantsMore || state.refused > 0
	}
	return len(b.lenders) > 0, wantsMore
}

// Borrowed returns how many places this host has from peers, at all upstreams together.
func (b *Budget) Borrowed() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	places := 0
	for _, from := range b.lenders {
		for _, n := range from.places {
			places += n
		}
	}
	return places
}

// Lenders returns the peers from which this host has places.
func (b *Budget) Lenders() []member.HostID {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.lenders))
}

// LoanRequests returns the next request to each of the given peers, and gives up borrowed places that
// were unused recently. Pass the replies to ReceiveLoan.
func (b *Budget) LoanRequests(now time.Time, from member.HostID, epoch uint64, peers []member.HostID) []LoanRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.lenders, func(_ member.HostID, l *lender) bool { return now.Sub(l.confirmedAt) >= loanExpiry })
	b.returnIdlePlaces(now)
	var wanted []member.UpstreamID
	for id, state := range b.upstreams {
		if state.refused > 0 {
			wanted = append(wanted, id)
		}
	}
	slices.SortFunc(wanted, func(x, y member.UpstreamID) int {
		return cmp.Or(cmp.Compare(b.upstreams[y].refused, b.upstreams[x].refused), cmp.Compare(x, y))
	})
	var requests []LoanRequest
	for _, peer := range peers {
		requests = append(requests, b.loanRequest(LoanRequest{From: from, Epoch: epoch}, peer, wanted))
	}
	for _, id := range wanted {
		b.upstreams[id].refused = 0
	}
	return requests
}

// loanRequest completes the next request to one peer.
func (b *Budget) loanRequest(r LoanRequest, peer member.HostID, wanted []member.UpstreamID) LoanRequest {
	l := b.lenders[peer]
	if l == nil {
		if b.lenders == nil {
			b.lenders = map[member.HostID]*lender{}
		}
		l = &lender{places: map[member.UpstreamID]int{}}
		b.lenders[peer] = l
	}
	b.lastLoanSeq++
	l.seq = b.lastLoanSeq
	r.Seq = l.seq
	for _, id := range slices.Sorted(maps.Keys(l.places)) {
		w := Want{Upstream: id, Held: l.places[id]}
		if state := b.upstreams[id]; state != nil {
			w.More = state.refused
		}
		r.Wants = append(r.Wants, w)
	}
	for _, id := range wanted {
		if _, held := l.places[id]; !held && len(r.Wants) < maxWants {
			r.Wants = append(r.Wants, Want{Upstream: id, More: b.upstreams[id].refused})
		}
	}
	return r
}

// returnIdlePlaces gives up the borrowed places that exceed this host's recent peak.
func (b *Budget) returnIdlePlaces(now time.Time) {
	for _, host := range slices.Sorted(maps.Keys(b.lenders)) {
		for id := range b.lenders[host].places {
			state := b.upstreams[id]
			if state == nil {
				delete(b.lenders[host].places, id)
				continue
			}
			state.forget(now)
			b.giveUp(host, id, b.allBorrowed(id)-max(state.recentPeak(now)-b.ownPlaces(now, id), 0))
		}
	}
}

// giveUp returns up to so many places at an upstream to a lender.
func (b *Budget) giveUp(host member.HostID, id member.UpstreamID, places int) {
	held := b.lenders[host].places
	if held[id] -= min(max(places, 0), held[id]); held[id] == 0 {
		delete(held, id)
	}
}

// allBorrowed returns how many places at an upstream this host has from peers, confirmed or not.
func (b *Budget) allBorrowed(id member.UpstreamID) int {
	places := 0
	for _, from := range b.lenders {
		places += from.places[id]
	}
	return places
}

// ReceiveLoan records a peer's reply to the last request that this host sent to it.
func (b *Budget) ReceiveLoan(now, sentAt time.Time, peer member.HostID, r LoanRequest, reply LoanReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.lenders[peer]
	if l == nil || l.seq != r.Seq || len(reply.Places) != len(r.Wants) {
		return
	}
	l.confirmedAt = sentAt
	for n, w := range r.Wants {
		if places := reply.Places[n]; places >= w.Held {
			b.giveUp(peer, w.Upstream, w.Held)
			if places > 0 {
				l.places[w.Upstream] = min(places, w.Held+w.More)
			}
			continue
		}
		// Places in use stay until their requests and rejections are over.
		inUse := 0
		if state := b.upstreams[w.Upstream]; state != nil {
			state.forget(now)
			inUse = max(state.used()-b.ownPlaces(now, w.Upstream), 0)
		}
		b.giveUp(peer, w.Upstream, min(w.Held-reply.Places[n], b.allBorrowed(w.Upstream)-inUse))
	}
}

// ForgetIdleLenders forgets the peers from which this host has no places.
func (b *Budget) ForgetIdleLenders() {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.lenders, func(_ member.HostID, l *lender) bool { return len(l.places) == 0 })
}

// Lend decides about a peer's request. upstreams are those of the wants; the zero value stands for one
// that this host doesn't know. Places within this host's own recent peak aren't lent, and are recalled
// if they are.
func (b *Budget) Lend(now time.Time, r LoanRequest, upstreams []Upstream, s Site) LoanReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := b.borrowers[r.From]
	if last != nil && last.epoch == r.Epoch && r.Seq <= last.seq || len(upstreams) != len(r.Wants) {
		return LoanReply{}
	}
	to := &borrower{epoch: r.Epoch, seq: r.Seq, heardAt: now, places: map[member.UpstreamID]int{}}
	reply := LoanReply{Places: make([]int, len(r.Wants))}
	for n, w := range r.Wants {
		held, more := min(max(w.Held, 0), MaxLimit), min(max(w.More, 0), MaxLimit)
		if a := b.services[upstreams[n].Service]; a.holds(now) {
			reply.Places[n] = min(held+more, b.spare(now, a, upstreams[n], s, r.From))
		}
		if to.places[w.Upstream] = max(held, reply.Places[n]); to.places[w.Upstream] == 0 {
			delete(to.places, w.Upstream)
		}
	}
	if b.borrowers == nil {
		b.borrowers = map[member.HostID]*borrower{}
	}
	b.borrowers[r.From] = to
	return reply
}

// spare returns how many places at an upstream this host can leave to one peer.
func (b *Budget) spare(now time.Time, a announcement, u Upstream, s Site, to member.HostID) int {
	needed := 0
	if state := b.upstreams[u.ID]; state != nil {
		state.forget(now)
		needed = max(state.recentPeak(now), state.used())
	}
	return max(hostPart(a.limit, u, s)-needed-b.lent(now, u.ID, to), 0)
}
