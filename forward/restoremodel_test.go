// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
)

// restoreModel models a store that is restored from backups, and hosts that read, watch and follow
// each other in any order, without time or a network between them.
type restoreModel struct {
	now   time.Time
	store *drillStore
	hosts []*modelHost
	// startedCount counts the upstreams that were ever started; leaving holds those that have
	// announced that they leave, ended those that are gone.
	startedCount   int
	leaving, ended map[member.UpstreamID]bool
	// zoneOut is the newest acknowledged order about the zone.
	zoneOut bool
	// lostEvents are the last changes of keys that a restore has lost and that haven't been written
	// again.
	lostEvents []drillEvent
	restoredAt time.Time
}

// modelHost is one host, with its fleet and what it has known so far.
type modelHost struct {
	fleet     *Fleet
	watchFrom history.Point
	// needsFullRead says that the next call reads everything.
	needsFullRead bool
	isolated      bool
	// storeFailingSince is when the store's calls began to fail; zero while they don't.
	storeFailingSince time.Time
	// knownLeaving are the upstreams that the host has known to leave.
	knownLeaving map[member.UpstreamID]bool
}

func newModelHost() *modelHost {
	return &modelHost{fleet: &Fleet{}, needsFullRead: true, knownLeaving: map[member.UpstreamID]bool{}}
}

func newRestoreModel() *restoreModel {
	m := &restoreModel{now: time.Now(), store: newDrillStore(), leaving: map[member.UpstreamID]bool{}, ended: map[member.UpstreamID]bool{}}
	for range 3 {
		m.startUpstream()
	}
	for range 3 {
		m.hosts = append(m.hosts, newModelHost())
	}
	return m
}

func (m *restoreModel) startUpstream() {
	m.startedCount++
	m.store.listUpstream(plainUpstream(member.UpstreamID(fmt.Sprint("app", m.startedCount))))
}

// livingUpstreams returns the upstreams that may get work.
func (m *restoreModel) livingUpstreams() (ids []member.UpstreamID) {
	for n := range m.startedCount {
		if id := member.UpstreamID(fmt.Sprint("app", n+1)); !m.leaving[id] && !m.ended[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *restoreModel) restore(lostRevisions int) {
	backupRevision := m.store.revision() - min(history.Revision(lostRevisions), m.store.revision())
	for _, e := range slices.Backward(m.store.events) {
		// A change lost by an earlier restore is newer than what the backup still had.
		alreadyLost := slices.ContainsFunc(m.lostEvents, func(old drillEvent) bool { return old.key == e.key })
		if e.revision > backupRevision && e.key != "other" && !alreadyLost {
			m.lostEvents = append(m.lostEvents, e)
		}
	}
	m.store.restore(backupRevision)
	m.restoredAt = m.now
}

// rewriteLost writes what a restore has lost, as the operator and the upstreams do.
func (m *restoreModel) rewriteLost() {
	for _, e := range m.lostEvents {
		m.store.write(e)
	}
	m.lostEvents = nil
}

// supersedeLost makes a change that replaces the lost change of the same key.
func (m *restoreModel) supersedeLost(key string, write func()) {
	m.lostEvents = slices.DeleteFunc(m.lostEvents, func(e drillEvent) bool { return e.key == key })
	write()
}

// pollStore makes a host read everything or take the next update, as a follower does.
func (m *restoreModel) pollStore(h *modelHost) {
	if h.isolated {
		return
	}
	if h.needsFullRead {
		update, _, _ := m.store.changesAfter(0, true)
		h.fleet.ApplyUpdate(m.now, update, true)
		if !h.storeFailingSince.IsZero() {
			h.fleet.ListRegained(m.now, m.now.Sub(h.storeFailingSince))
			h.storeFailingSince = time.Time{}
		}
		h.needsFullRead, h.watchFrom = false, update.Revision
		return
	}
	update, hasHistory, _ := m.store.changesAfter(h.watchFrom.Revision(), false)
	if !hasHistory || !update.Revision.SameEra(h.watchFrom) {
		h.needsFullRead = true
		return
	}
	h.fleet.ApplyUpdate(m.now, update, false)
	h.watchFrom = update.Revision
}

// failStoreCall makes a host's call to the store fail.
func (m *restoreModel) failStoreCall(h *modelHost) {
	h.needsFullRead = true
	h.fleet.ListLost(m.now)
	if h.storeFailingSince.IsZero() {
		h.storeFailingSince = m.now
	}
}

// follow makes a host apply what another has that is newer.
func (m *restoreModel) follow(h, leader *modelHost) {
	if h == leader || h.isolated || leader.isolated || leader.fleet.Revision().Era() < h.fleet.Revision().Era() {
		return
	}
	var r FollowReply
	leader.fleet.fillFollowReply(m.now, h.fleet.Revision(), &r)
	if r.ListRevision.IsZero() {
		return
	}
	h.fleet.ListTrusted()
	h.fleet.ApplyFollowReply(m.now, r)
	h.needsFullRead, h.watchFrom = false, history.Latest(h.watchFrom, h.fleet.Revision())
}

// shareWith makes a host receive another's own observations and orders, as with each share.
func (m *restoreModel) shareWith(h, from *modelHost) {
	if h.isolated || from.isolated {
		return
	}
	h.fleet.ReceiveZoneOrders(m.now, from.fleet.ZoneOrdersSince(history.Point{}, true))
	for _, mark := range from.fleet.LeavingMarks(m.now) {
		if mark.Declared {
			h.fleet.RecordSelfReportedLeaving(m.now, mark.Upstream, mark.Incarnation, false)
		}
	}
}

func (m *restoreModel) takesWork(h *modelHost, id member.UpstreamID) bool {
	return slices.ContainsFunc(h.fleet.Available(m.now, "app"), func(u Upstream) bool { return u.ID == id })
}

func (m *restoreModel) advanceTime(d time.Duration) {
	m.now = m.now.Add(d)
	for _, h := range m.hosts {
		h.fleet.Settle(m.now)
		h.fleet.SettleZoneOrders(m.now)
	}
}

// checkNoSendToLeaving checks that no host sends work to an upstream that it has known to leave.
func (m *restoreModel) checkNoSendToLeaving(t *rapid.T) {
	for n, h := range m.hosts {
		for id := range m.leaving {
			if k := h.fleet.upstreams[id]; k != nil && k.leavingDeclared {
				h.knownLeaving[id] = true
			}
			if h.knownLeaving[id] && m.takesWork(h, id) {
				t.Fatalf("host %d sends work to %s, which it has known to be leaving", n, id)
			}
		}
	}
}

// checkConvergence writes again what was lost, lets every host read it from the store or, in a
// chain, from the host before, and checks that all hosts then agree with the actual state.
func (m *restoreModel) checkConvergence(inChain bool) error {
	m.rewriteLost()
	for range 3 {
		for n, h := range m.hosts {
			h.isolated = false
			if n > 0 && inChain {
				m.follow(h, m.hosts[n-1])
				m.shareWith(h, m.hosts[n-1])
				continue
			}
			m.pollStore(h)
			m.pollStore(h)
		}
		m.advanceTime(max(entryLapseGrace, relistGrace) + time.Second)
	}
	for n, h := range m.hosts {
		for _, id := range m.livingUpstreams() {
			if !m.takesWork(h, id) {
				return errors.New(fmt.Sprint("host ", n, " sends no work to ", id, ", which is alive"))
			}
		}
		for id := range m.leaving {
			if m.takesWork(h, id) {
				return errors.New(fmt.Sprint("host ", n, " sends work to ", id, ", which is leaving"))
			}
		}
		for id := range m.ended {
			if m.takesWork(h, id) {
				return errors.New(fmt.Sprint("host ", n, " sends work to ", id, ", which has ended"))
			}
		}
	}
	m.advanceTime(zoneOrderGrace)
	for n, h := range m.hosts {
		if h.fleet.InService("z2") == m.zoneOut {
			return errors.New(fmt.Sprint("host ", n, " has zone z2 in the wrong state: InService should be ", !m.zoneOut, " by the newest order"))
		}
	}
	return nil
}

// TestHostStaysBehindARestoredStore checks that no host sends work to upstreams that leave, drops
// living ones, or stays out of date.
func TestHostStaysBehindARestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRestoreModel()
		host := func(t *rapid.T) *modelHost { return m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")] }
		t.Repeat(map[string]func(*rapid.T){
			"upstream starts": func(*rapid.T) {
				if m.startedCount < 7 {
					m.startUpstream()
				}
			},
			"upstream leaves": func(t *rapid.T) {
				if ids := m.livingUpstreams(); len(ids) > 1 {
					id := rapid.SampledFrom(ids).Draw(t, "upstream")
					m.leaving[id] = true
					m.supersedeLost("upstream/"+string(id), func() { m.store.listUpstream(leavingUpstream(id)) })
				}
			},
			"upstream ends": func(t *rapid.T) {
				if ids := m.livingUpstreams(); len(ids) > 1 {
					id := rapid.SampledFrom(ids).Draw(t, "upstream")
					m.ended[id] = true
					m.supersedeLost("upstream/"+string(id), func() { m.store.dropUpstream(id) })
				}
			},
			"zone out or in": func(*rapid.T) {
				m.zoneOut = !m.zoneOut
				m.supersedeLost("zone/z2", func() { m.store.orderZone("z2", m.zoneOut) })
			},
			"other write":       func(*rapid.T) { m.store.touch() },
			"restore":           func(t *rapid.T) { m.restore(rapid.IntRange(0, 4).Draw(t, "lost")) },
			"written again":     func(*rapid.T) { m.rewriteLost() },
			"host asks":         func(t *rapid.T) { m.pollStore(host(t)) },
			"host's call fails": func(t *rapid.T) { m.failStoreCall(host(t)) },
			"host follows":      func(t *rapid.T) { m.follow(host(t), host(t)) },
			"host is told":      func(t *rapid.T) { m.shareWith(host(t), host(t)) },
			"host is cut":       func(t *rapid.T) { h := host(t); h.isolated = !h.isolated },
			"host starts": func(t *rapid.T) {
				n := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
				m.hosts[n] = newModelHost()
				m.follow(m.hosts[n], host(t))
			},
			"time passes": func(t *rapid.T) {
				m.advanceTime(time.Duration(rapid.IntRange(1, 60).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"": m.checkNoSendToLeaving,
		})
		if err := m.checkConvergence(rapid.Bool().Draw(t, "in a row")); err != nil {
			t.Fatal(err)
		}
	})
}
