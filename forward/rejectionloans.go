// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/rejection"
)

// Loans of places at upstreams that announce how many rejections they withstand. Each host has an equal
// part of the places, but the requests may come to few of the hosts.

const (
	// loanInterval is the time between two rounds of requests to lenders that bring this host places. It
	// doubles with each other round, up to renewalInterval while this host has places of peers, and up
	// to maxLoanInterval while no peer can spare any.
	loanInterval    = 100 * time.Millisecond
	renewalInterval = 200 * time.Millisecond
	maxLoanInterval = time.Second
	// loanTimeout bounds one request to a lender. Those to the others wait for it.
	loanTimeout = 200 * time.Millisecond
	// maxNewLenders is how many peers are asked in a round from which this host has no places.
	maxNewLenders = 8
)

// wakeBorrowing wakes borrowRejectionPlaces if a request has to wait for a place.
func (f *Forwarder) wakeBorrowing(wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case f.placesWanted <- struct{}{}:
	default:
	}
}

// borrowRejectionPlaces borrows places from peers while requests have to wait for them.
func (f *Forwarder) borrowRejectionPlaces(ctx context.Context, peers Peers) {
	round := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.placesWanted:
		}
		pause := loanInterval
		for ctx.Err() == nil {
			before := f.rejections.Borrowed()
			if !f.askLenders(ctx, peers, round) {
				break
			}
			round++
			borrowed := f.rejections.Borrowed()
			if pause = min(2*pause, maxLoanInterval); borrowed > 0 {
				pause = min(pause, renewalInterval)
			}
			if borrowed > before {
				pause = loanInterval
			}
			PauseFor(ctx, pause)
		}
	}
}

// askLenders renews what peers lend to this host, and asks further ones if it needs more. It reports
// whether there was anything to ask for. Further peers are asked in turn, by the number of the round.
func (f *Forwarder) askLenders(ctx context.Context, peers Peers, round int) bool {
	now := f.now()
	holds, wantsMore := f.rejections.WantsLoans()
	if !holds && !wantsMore {
		return false
	}
	asked := f.lenders(now, wantsMore, round)
	ids := make([]member.HostID, len(asked))
	for n, p := range asked {
		ids[n] = p.ID
	}
	var calls sync.WaitGroup
	for n, r := range f.rejections.LoanRequests(now, f.peers.self.ID, f.peers.epoch, ids) {
		calls.Go(func() { f.tasks.Do("loan", func() { f.askLender(ctx, now, peers, asked[n], r) }) })
	}
	calls.Wait()
	f.rejections.ForgetIdleLenders()
	switch lenders := f.rejections.Lenders(); {
	case !holds && len(lenders) > 0:
		f.journal.HostEvent("rejection places borrowed", "lenders", len(lenders))
	case holds && len(lenders) == 0:
		f.journal.HostEvent("rejection places returned")
	}
	return true
}

// askLender asks a peer for places at upstreams.
func (f *Forwarder) askLender(ctx context.Context, now time.Time, peers Peers, lender Peer, r rejection.LoanRequest) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	reply, err := peers.Lend(ctx, lender, r)
	if err != nil {
		if f.loanLogLimiter.Allow(f.now(), "") {
			f.journal.HostEvent("loan request failed", "peer", lender.ID, "err", err)
		}
		return
	}
	f.rejections.ReceiveLoan(f.now(), now, lender.ID, r, reply)
}

// lenders returns the live peers from which this host has places, and if it wants more some others.
func (f *Forwarder) lenders(now time.Time, wantsMore bool, round int) []Peer {
	holding := f.rejections.Lenders()
	var asked, others []Peer
	live := f.peers.livePeers(now)
	slices.SortFunc(live, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for _, p := range live {
		if slices.Contains(holding, p.ID) {
			asked = append(asked, p)
		} else {
			others = append(others, p)
		}
	}
	if !wantsMore || len(others) == 0 {
		return asked
	}
	for n := range min(maxNewLenders, len(others)) {
		asked = append(asked, others[(round*maxNewLenders+n)%len(others)])
	}
	return asked
}

// OnLend serves a peer that asks for places at upstreams.
func (f *Forwarder) OnLend(r rejection.LoanRequest) rejection.LoanReply {
	upstreams := make([]rejection.Upstream, len(r.Wants))
	for n, w := range r.Wants {
		if u, known := f.fleet.Upstream(w.Upstream); known {
			upstreams[n] = f.rejectionUpstream(u)
		}
	}
	return f.rejections.Lend(f.now(), r, upstreams, rejectionSite{f})
}
