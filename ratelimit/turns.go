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

// turnRateShare is the share of a limit that hosts without contact to the granting host use
// together. They use it in addition to what that host grants; the sum is at most 1.5 times the
// limit, the most that an upstream is expected to bear.
const turnRateShare = 0.5

// maxTurnAge is how long after its start a turn can be used. Turns that never expire would be
// used together when traffic jumps: 66 hosts that share a limit of 27 a second then sent up to
// 49 requests in one second, where 45 are allowed.
const maxTurnAge = 300 * time.Millisecond

// TurnSchedule determines when a host may send to limited upstreams without asking the granting
// host: one request in each of its turns. Turns come as often as the known hosts together may
// use a share of the limit. The zero value is ready for use. A TurnSchedule is safe for
// concurrent use.
type TurnSchedule struct {
	// Self is this host. Each host has turns of its own.
	Self member.HostID

	mu sync.Mutex
	// nextTurns is when the current or next turn at each upstream begins.
	nextTurns map[member.UpstreamID]time.Time
}

// TurnPeriod returns the time between two turns of one host at an upstream with the limit r, if
// that many hosts share it.
func TurnPeriod(r Rate, hosts int) time.Duration {
	return time.Duration(float64(hosts) / (turnRateShare * float64(max(r, MinRate))) * float64(time.Second))
}

// Take uses this host's current turn. If there is none it returns false and the time until the
// next turn.
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

// currentTurn returns when the current turn began or, if there is none, when the next one
// begins.
func (t *TurnSchedule) currentTurn(now time.Time, id member.UpstreamID, period time.Duration) time.Time {
	at, known := t.nextTurns[id]
	usableTime := min(maxTurnAge, period)
	switch {
	case !known || at.Sub(now) > period || now.Sub(at) > 10*period:
		// Hosts learn of a limit at about the same time. The hash keeps their turns from
		// starting together.
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

// Prune removes the turns at upstreams that are no longer limited.
func (t *TurnSchedule) Prune(isLimited func(member.UpstreamID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.nextTurns {
		if !isLimited(id) {
			delete(t.nextTurns, id)
		}
	}
}
