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

// runOnSuspendableEntry runs a test on an entry whose machine can be suspended.
func runOnSuspendableEntry(t *testing.T, test func(is *is.I, s *fakeSite, e *Entry, m *clocktest.Machine)) {
	t.Helper()
	withSite(t, []script{{events: append(tokenEvents(1, 5), endEvent(5))}}, oneEngine, func(t *testing.T, s *fakeSite, _ *Entry) {
		m := clocktest.NewMachine(t)
		s.clock = m.Clock()
		// As the only entry of its zone, e2 has all duties of the zone.
		e := s.addEntry("e2", "az2")
		s.addEngine("g2", "az2")
		time.Sleep(time.Minute)
		s.engines.takeOrders()
		test(is.New(t), s, e, m)
	})
}

// TestOrdersAcrossSuspension checks that an entry that was suspended for at least the TTL of its
// order lease sends no further order, because another entry may hold the lease by then.
func TestOrdersAcrossSuspension(t *testing.T) {
	for _, slept := range clocktest.SuspensionDurations {
		t.Run(slept.String(), func(t *testing.T) {
			runOnSuspendableEntry(t, func(is *is.I, s *fakeSite, e *Entry, m *clocktest.Machine) {
				s.leases.failRenewals()
				m.Suspend(slept)
				_, err := e.Propose(s.ctx, resource.Change{
					Kind: resource.Models, Name: "m", Spec: json.RawMessage(`{"pool":"desk","version":"2"}`),
				}, nil)
				is.NoErr(err)
				time.Sleep(1500 * time.Millisecond)
				ordered := false
				for _, order := range s.engines.takeOrders() {
					ordered = ordered || order == "g2 2"
				}
				switch {
				case slept >= orderLeaseTTL:
					is.True(!ordered)
				case slept <= time.Second:
					is.True(ordered)
				default:
					// Whether the lease is still valid depends on when it was last renewed.
				}
			})
		})
	}
}

// TestClaimAcrossSuspension checks that a call isn't sent if claiming it took longer than
// claimTimeout because the machine was suspended meanwhile.
func TestClaimAcrossSuspension(t *testing.T) {
	for _, slept := range clocktest.SuspensionDurations {
		t.Run(slept.String(), func(t *testing.T) {
			runOnSuspendableEntry(t, func(is *is.I, s *fakeSite, e *Entry, m *clocktest.Machine) {
				s.addService("s2", "az2")
				time.Sleep(5 * time.Second)
				e.claims = suspendingStore{e.claims, m, slept}
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

// suspendingStore suspends the machine after each write, before the caller reads the answer.
type suspendingStore struct {
	Store
	machine    *clocktest.Machine
	suspension time.Duration
}

func (s suspendingStore) Swap(ctx context.Context, key string, value []byte, version Version) (bool, error) {
	written, err := s.Store.Swap(ctx, key, value, version)
	s.machine.Suspend(s.suspension)
	return written, err
}

// TestZonesAcrossSuspension checks that the age of another zone's report includes the time for
// which the machine was suspended.
func TestZonesAcrossSuspension(t *testing.T) {
	for _, slept := range clocktest.SuspensionDurations {
		t.Run(slept.String(), func(t *testing.T) {
			runOnSuspendableEntry(t, func(is *is.I, _ *fakeSite, e *Entry, m *clocktest.Machine) {
				reportAge := func() time.Duration {
					now := e.Now()
					for _, z := range e.ZoneStates(now) {
						if z.Zone == "az1" {
							return now.Sub(z.ReportedAt)
						}
					}
					return 0
				}
				before := reportAge()
				m.Suspend(slept)
				is.True(reportAge() >= before+slept)
				e.OnHeartbeat(e.Now(), Heartbeat{From: member.Entry{ID: "e1", Zone: "az1"}, Zones: []ZoneStatus{{Zone: "az1", Revision: 1, Entries: 1}}})
				is.True(reportAge() >= slept) // the report may have waited while the machine was suspended
			})
		})
	}
}
