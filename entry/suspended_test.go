// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/clock/clocktest"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// onSuspendable plays a test on an entry whose machine can be suspended.
func onSuspendable(t *testing.T, play func(is *is.I, s *fakeSite, e *Entry, m *clocktest.Machine)) {
	t.Helper()
	inSite(t, []script{{events: append(tokens(1, 5), ended(5))}}, oneEngine, func(t *testing.T, s *fakeSite, _ *Entry) {
		m := clocktest.NewMachine(t)
		s.clock = m.Clock()
		// Alone in its zone, it has every duty there.
		e := s.add("e2", "az2")
		s.addEngine("g2", "az2")
		time.Sleep(time.Minute)
		s.engines.taken()
		play(is.New(t), s, e, m)
	})
}

// TestOrdersAcrossSuspension has an entry that was suspended for longer than its lease
// holds give no order any more: another has the lease by now.
func TestOrdersAcrossSuspension(t *testing.T) {
	for _, slept := range clocktest.SuspensionDurations {
		t.Run(slept.String(), func(t *testing.T) {
			onSuspendable(t, func(is *is.I, s *fakeSite, e *Entry, m *clocktest.Machine) {
				s.leases.fail()
				m.Suspend(slept)
				_, err := e.Propose(s.ctx, resource.Change{
					Kind: resource.Models, Name: "m", Spec: json.RawMessage(`{"pool":"desk","version":"2"}`),
				}, nil)
				is.NoErr(err)
				time.Sleep(1500 * time.Millisecond)
				ordered := false
				for _, order := range s.engines.taken() {
					ordered = ordered || order == "g2 2"
				}
				switch {
				case slept >= orderLeaseTTL:
					is.True(!ordered)
				case slept <= time.Second:
					is.True(ordered)
				default:
					// Whether the lease still holds depends on when it was last renewed.
				}
			})
		})
	}
}

// TestClaimAcrossSuspension has a call whose claim took longer than a claim may, because
// the machine was suspended meanwhile, not be sent.
func TestClaimAcrossSuspension(t *testing.T) {
	for _, slept := range clocktest.SuspensionDurations {
		t.Run(slept.String(), func(t *testing.T) {
			onSuspendable(t, func(is *is.I, s *fakeSite, e *Entry, m *clocktest.Machine) {
				s.addService("s2", "az2")
				time.Sleep(5 * time.Second)
				e.claims = sleepyStore{e.claims, m, slept}
				_, failure := e.CallService(s.ctx, ServiceRequest{Account: "counter", Route: "orders", Method: "POST", IdempotencyKey: "k"})
				if slept < claimTimeout {
					is.Equal(failure, nil)
					return
				}
				var f *Failure
				is.True(errors.As(failure, &f))
				is.Equal(f.Code, CodeClaimUnavailable)
				is.Equal(f.RunState, NotRun)
			})
		})
	}
}

// sleepyStore has the machine be suspended before the answer to a write is read.
type sleepyStore struct {
	Store
	m *clocktest.Machine
	d time.Duration
}

func (s sleepyStore) Swap(ctx context.Context, key string, value []byte, version Version) (bool, error) {
	done, err := s.Store.Swap(ctx, key, value, version)
	s.m.Suspend(s.d)
	return done, err
}

// TestZonesAcrossSuspension has what is told of other zones be as old as it is.
func TestZonesAcrossSuspension(t *testing.T) {
	for _, slept := range clocktest.SuspensionDurations {
		t.Run(slept.String(), func(t *testing.T) {
			onSuspendable(t, func(is *is.I, _ *fakeSite, e *Entry, m *clocktest.Machine) {
				heard := func() time.Duration {
					now := e.Now()
					for _, z := range e.ZoneStates(now) {
						if z.Zone == "az1" {
							return now.Sub(z.ReportedAt)
						}
					}
					return 0
				}
				before := heard()
				m.Suspend(slept)
				is.True(heard() >= before+slept)
				e.OnHeartbeat(e.Now(), Heartbeat{From: member.Entry{ID: "e1", Zone: "az1"}, Zones: []ZoneStatus{{Zone: "az1", Revision: 1, Entries: 1}}})
				is.True(heard() >= slept) // it may have waited while the machine was suspended
			})
		})
	}
}
