// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedpath/shedpath/member"
)

// turnRateShare of a rate is shared by the hosts that can't reach the one that grants: it comes
// beside what that one gives out, and half as much again as its limit is what an upstream
// is to bear at most.
const turnRateShare = 0.5

// maxTurnAge is how long a turn can be used. A turn that was kept would be used together
// with the others' when traffic jumps: of 66 hosts that share 27 a second, where 45 in any
// second are allowed, an upstream got up to 20 in a second with requests in bursts of
// 0.6 s, and up to 49 with turns that never end; with requests all the time, 23 in a second
// and 13.5 in the mean (50 plays of 20 s).
const maxTurnAge = 300 * time.Millisecond

// TurnSchedule are the requests that a host may send to bounded upstreams without asking anybody:
// one in each turn of its own. TurnSchedule come as often as the known hosts can share a part of
// the rate. The zero value works. It is safe for use by several goroutines.
type TurnSchedule struct {
	// Self is this host: each has turns of its own.
	Self member.HostID

	mu sync.Mutex
	// nextTurns is when the nextTurns turn at each upstream begins.
	nextTurns map[member.UpstreamID]time.Time
}

// TurnPeriod is the time between two turns of one host.
func TurnPeriod(r Rate, hosts int) time.Duration {
	return time.Duration(float64(hosts) / (turnRateShare * float64(max(r, MinRate))) * float64(time.Second))
}

// Take uses this host's present turn. Without one it tells how long it is until the next.
func (t *TurnSchedule) Take(now time.Time, id member.UpstreamID, period time.Duration) (wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.currentTurn(now, id, period)
	if at.After(now) {
		return at.Sub(now), false
	}
	t.nextTurns[id] = at.Add(period)
	return 0, true
}

// currentTurn is when the present currentTurn began, or the next one will.
func (t *TurnSchedule) currentTurn(now time.Time, id member.UpstreamID, period time.Duration) time.Time {
	at, known := t.nextTurns[id]
	usableTime := min(maxTurnAge, period)
	switch {
	case !known || at.Sub(now) > period || now.Sub(at) > 10*period:
		// Hosts hear of a bounded upstream together; their turns must not begin together.
		phase := float64(xxhash.Sum64String(string(t.Self)+" "+string(id))) / math.MaxUint64
		at = now.Add(time.Duration(phase * float64(period)))
	case now.Sub(at) >= usableTime:
		missed := math.Floor(float64(now.Sub(at)-usableTime)/float64(period)) + 1
		at = at.Add(time.Duration(missed) * period)
	}
	if t.nextTurns == nil {
		t.nextTurns = map[member.UpstreamID]time.Time{}
	}
	t.nextTurns[id] = at
	return at
}

// Prune drops the turns at upstreams that aren't bounded any more.
func (t *TurnSchedule) Prune(isBounded func(member.UpstreamID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.nextTurns {
		if !isBounded(id) {
			delete(t.nextTurns, id)
		}
	}
}
