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

// restoreModel is a store that is restored from copies and hosts that read, watch and follow each
// other in any order, without time or a network between them.
type restoreModel struct {
	now   time.Time
	store *drillStore
	hosts []*modelHost
	// startedCount counts the upstreams that ever were; leaving are those that have said that they
	// leave, ended those that are gone.
	startedCount   int
	leaving, ended map[member.UpstreamID]bool
	// zoneOut is the newest order that was acknowledged.
	zoneOut bool
	// lostEvents are the last changes of keys that a restore has lostEvents and nobody has made again.
	lostEvents []drillEvent
	restoredAt time.Time
}

// modelHost is one host: what it believes, and what it has believed in its life.
type modelHost struct {
	fleet     *Fleet
	watchFrom history.Point
	// needsFullRead says that all has to be needsFullRead.
	needsFullRead bool
	isolated      bool
	// storeFailingSince is since when the store's calls fail; zero while they don't.
	storeFailingSince time.Time
	// knownLeaving are the upstreams that it has known to leave.
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
	m.store.list(plainUp(member.UpstreamID(fmt.Sprint("app", m.startedCount))))
}

// livingUpstreams are the upstreams that may get work.
func (m *restoreModel) livingUpstreams() (ids []member.UpstreamID) {
	for n := range m.startedCount {
		if id := member.UpstreamID(fmt.Sprint("app", n+1)); !m.leaving[id] && !m.ended[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *restoreModel) restore(lose int) {
	copied := m.store.revision() - min(history.Revision(lose), m.store.revision())
	for _, e := range slices.Backward(m.store.events) {
		// What an earlier restore lost is newer than what the copy still had.
		known := slices.ContainsFunc(m.lostEvents, func(old drillEvent) bool { return old.key == e.key })
		if e.revision > copied && e.key != "other" && !known {
			m.lostEvents = append(m.lostEvents, e)
		}
	}
	m.store.restore(copied)
	m.restoredAt = m.now
}

// rewriteLost has the operator and the upstreams write what a restore has lost.
func (m *restoreModel) rewriteLost() {
	for _, e := range m.lostEvents {
		m.store.write(e)
	}
	m.lostEvents = nil
}

// supersedeLost makes a change that puts an end to what was lost of the same key.
func (m *restoreModel) supersedeLost(key string, write func()) {
	m.lostEvents = slices.DeleteFunc(m.lostEvents, func(e drillEvent) bool { return e.key == key })
	write()
}

// pollStore has a host read everything or take the next news, as a follower does.
func (m *restoreModel) pollStore(h *modelHost) {
	if h.isolated {
		return
	}
	if h.needsFullRead {
		news, _, _ := m.store.newest(0, true)
		h.fleet.ApplyUpdate(m.now, news, true)
		if !h.storeFailingSince.IsZero() {
			h.fleet.ListRegained(m.now, m.now.Sub(h.storeFailingSince))
			h.storeFailingSince = time.Time{}
		}
		h.needsFullRead, h.watchFrom = false, news.Revision
		return
	}
	news, had, _ := m.store.newest(h.watchFrom.Revision(), false)
	if !had || !news.Revision.SameEra(h.watchFrom) {
		h.needsFullRead = true
		return
	}
	h.fleet.ApplyUpdate(m.now, news, false)
	h.watchFrom = news.Revision
}

// failStoreCall has a host's call to the store failStoreCall.
func (m *restoreModel) failStoreCall(h *modelHost) {
	h.needsFullRead = true
	h.fleet.ListLost(m.now)
	if h.storeFailingSince.IsZero() {
		h.storeFailingSince = m.now
	}
}

// follow has a host take what another has that is newer.
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

// shareWith has a host hear another's own words and orders, as with each share.
func (m *restoreModel) shareWith(h, from *modelHost) {
	if h.isolated || from.isolated {
		return
	}
	h.fleet.ReceiveZoneOrders(m.now, from.fleet.ZoneOrdersSince(history.Point{}, true))
	for _, mark := range from.fleet.Marks(m.now) {
		if mark.Said {
			h.fleet.SaidLeaving(m.now, mark.Engine, mark.Life, false)
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

// checkNoSendToLeaving holds what has to be so at each moment.
func (m *restoreModel) checkNoSendToLeaving(t *rapid.T) {
	for n, h := range m.hosts {
		for id := range m.leaving {
			if k := h.fleet.upstreams[id]; k != nil && k.leavingDeclared {
				h.knownLeaving[id] = true
			}
			if h.knownLeaving[id] && m.takesWork(h, id) {
				t.Fatalf("host %d sends to %s, which it has known to leave", n, id)
			}
		}
	}
}

// checkConvergence has everything be written again and heard, of the store or of the host before, and then
// all hosts agree with what is so.
func (m *restoreModel) checkConvergence(inRow bool) error {
	m.rewriteLost()
	for range 3 {
		for n, h := range m.hosts {
			h.isolated = false
			if n > 0 && inRow {
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
				return errors.New(fmt.Sprint("host ", n, " gives ", id, " no work, which lives"))
			}
		}
		for id := range m.leaving {
			if m.takesWork(h, id) {
				return errors.New(fmt.Sprint("host ", n, " sends to ", id, ", which leaves"))
			}
		}
		for id := range m.ended {
			if m.takesWork(h, id) {
				return errors.New(fmt.Sprint("host ", n, " sends to ", id, ", which has ended"))
			}
		}
	}
	m.advanceTime(zoneOrderGrace)
	for n, h := range m.hosts {
		if h.fleet.InService("z2") == m.zoneOut {
			return errors.New(fmt.Sprint("host ", n, " has z2 in service: ", !m.zoneOut, " is so"))
		}
	}
	return nil
}

// TestHostStaysBehindARestoredStore has no host send to what leaves, drop what lives, or stay behind.
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
					m.supersedeLost("upstream/"+string(id), func() { m.store.list(leavingUp(id)) })
				}
			},
			"upstream ends": func(t *rapid.T) {
				if ids := m.livingUpstreams(); len(ids) > 1 {
					id := rapid.SampledFrom(ids).Draw(t, "upstream")
					m.ended[id] = true
					m.supersedeLost("upstream/"+string(id), func() { m.store.drop(id) })
				}
			},
			"zone out or in": func(*rapid.T) {
				m.zoneOut = !m.zoneOut
				m.supersedeLost("zone/z2", func() { m.store.order("z2", m.zoneOut) })
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
