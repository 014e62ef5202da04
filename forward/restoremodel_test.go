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

// drillModel is a store that is restored from copies and hosts that read, watch and follow each
// other in any order, without time or a network between them.
type drillModel struct {
	now   time.Time
	store *drillStore
	hosts []*modelHost
	// started counts the upstreams that ever were; leaving are those that have said that they
	// leave, ended those that are gone.
	started        int
	leaving, ended map[member.UpstreamID]bool
	// zoneOut is the newest order that was acknowledged.
	zoneOut bool
	// lost are the last changes of keys that a restore has lost and nobody has made again.
	lost       []drillEvent
	restoredAt time.Time
}

// modelHost is one host: what it believes, and what it has believed in its life.
type modelHost struct {
	fleet *Fleet
	at    history.Point
	// read says that all has to be read.
	read bool
	cut  bool
	// lostAt is since when the store's calls fail; zero while they don't.
	lostAt time.Time
	// left are the upstreams that it has known to leave.
	left map[member.UpstreamID]bool
}

func newModelHost() *modelHost {
	return &modelHost{fleet: &Fleet{}, read: true, left: map[member.UpstreamID]bool{}}
}

func newDrillModel() *drillModel {
	m := &drillModel{now: time.Now(), store: newDrillStore(), leaving: map[member.UpstreamID]bool{}, ended: map[member.UpstreamID]bool{}}
	for range 3 {
		m.start()
	}
	for range 3 {
		m.hosts = append(m.hosts, newModelHost())
	}
	return m
}

func (m *drillModel) start() {
	m.started++
	m.store.list(plainUp(member.UpstreamID(fmt.Sprint("app", m.started))))
}

// living are the upstreams that may get work.
func (m *drillModel) living() (ids []member.UpstreamID) {
	for n := range m.started {
		if id := member.UpstreamID(fmt.Sprint("app", n+1)); !m.leaving[id] && !m.ended[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *drillModel) restore(lose int) {
	copied := m.store.revision() - min(history.Revision(lose), m.store.revision())
	for _, e := range slices.Backward(m.store.events) {
		// What an earlier restore lost is newer than what the copy still had.
		known := slices.ContainsFunc(m.lost, func(old drillEvent) bool { return old.key == e.key })
		if e.revision > copied && e.key != "other" && !known {
			m.lost = append(m.lost, e)
		}
	}
	m.store.restore(copied)
	m.restoredAt = m.now
}

// writeAgain has the operator and the upstreams write what a restore has lost.
func (m *drillModel) writeAgain() {
	for _, e := range m.lost {
		m.store.write(e)
	}
	m.lost = nil
}

// rewrite makes a change that puts an end to what was lost of the same key.
func (m *drillModel) rewrite(key string, write func()) {
	m.lost = slices.DeleteFunc(m.lost, func(e drillEvent) bool { return e.key == key })
	write()
}

// ask has a host read everything or take the next news, as a follower does.
func (m *drillModel) ask(h *modelHost) {
	if h.cut {
		return
	}
	if h.read {
		news, _, _ := m.store.newest(0, true)
		h.fleet.TakeNews(m.now, news, true)
		if !h.lostAt.IsZero() {
			h.fleet.ListRegained(m.now, m.now.Sub(h.lostAt))
			h.lostAt = time.Time{}
		}
		h.read, h.at = false, news.At
		return
	}
	news, had, _ := m.store.newest(h.at.Revision(), false)
	if !had || !news.At.SameEra(h.at) {
		h.read = true
		return
	}
	h.fleet.TakeNews(m.now, news, false)
	h.at = news.At
}

// fail has a host's call to the store fail.
func (m *drillModel) fail(h *modelHost) {
	h.read = true
	h.fleet.ListLost(m.now)
	if h.lostAt.IsZero() {
		h.lostAt = m.now
	}
}

// follow has a host take what another has that is newer.
func (m *drillModel) follow(h, leader *modelHost) {
	if h == leader || h.cut || leader.cut || leader.fleet.Revision().Era() < h.fleet.Revision().Era() {
		return
	}
	var r FollowReply
	leader.fleet.fillReply(m.now, h.fleet.Revision(), &r)
	if r.List.IsZero() {
		return
	}
	h.fleet.ListTrusted()
	h.fleet.TakeReply(m.now, r)
	h.read, h.at = false, history.Latest(h.at, h.fleet.Revision())
}

// tell has a host hear another's own words and orders, as with each share.
func (m *drillModel) tell(h, from *modelHost) {
	if h.cut || from.cut {
		return
	}
	h.fleet.ReceiveZoneOrders(m.now, from.fleet.ZoneOrdersSince(history.Point{}, true))
	for _, mark := range from.fleet.Marks(m.now) {
		if mark.Said {
			h.fleet.SaidLeaving(m.now, mark.Engine, mark.Life, false)
		}
	}
}

func (m *drillModel) takes(h *modelHost, id member.UpstreamID) bool {
	return slices.ContainsFunc(h.fleet.Available(m.now, "app"), func(u Upstream) bool { return u.ID == id })
}

func (m *drillModel) pass(d time.Duration) {
	m.now = m.now.Add(d)
	for _, h := range m.hosts {
		h.fleet.Settle(m.now)
		h.fleet.SettleZones(m.now)
	}
}

// check holds what has to be so at each moment.
func (m *drillModel) check(t *rapid.T) {
	for n, h := range m.hosts {
		for id := range m.leaving {
			if k := h.fleet.upstreams[id]; k != nil && k.leavingDeclared {
				h.left[id] = true
			}
			if h.left[id] && m.takes(h, id) {
				t.Fatalf("host %d sends to %s, which it has known to leave", n, id)
			}
		}
	}
}

// settled has everything be written again and heard, of the store or of the host before, and then
// all hosts agree with what is so.
func (m *drillModel) settled(inRow bool) error {
	m.writeAgain()
	for range 3 {
		for n, h := range m.hosts {
			h.cut = false
			if n > 0 && inRow {
				m.follow(h, m.hosts[n-1])
				m.tell(h, m.hosts[n-1])
				continue
			}
			m.ask(h)
			m.ask(h)
		}
		m.pass(max(lapseWithin, relistWithin) + time.Second)
	}
	for n, h := range m.hosts {
		for _, id := range m.living() {
			if !m.takes(h, id) {
				return errors.New(fmt.Sprint("host ", n, " gives ", id, " no work, which lives"))
			}
		}
		for id := range m.leaving {
			if m.takes(h, id) {
				return errors.New(fmt.Sprint("host ", n, " sends to ", id, ", which leaves"))
			}
		}
		for id := range m.ended {
			if m.takes(h, id) {
				return errors.New(fmt.Sprint("host ", n, " sends to ", id, ", which has ended"))
			}
		}
	}
	m.pass(reorderWithin)
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
		m := newDrillModel()
		host := func(t *rapid.T) *modelHost { return m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")] }
		t.Repeat(map[string]func(*rapid.T){
			"upstream starts": func(*rapid.T) {
				if m.started < 7 {
					m.start()
				}
			},
			"upstream leaves": func(t *rapid.T) {
				if ids := m.living(); len(ids) > 1 {
					id := rapid.SampledFrom(ids).Draw(t, "upstream")
					m.leaving[id] = true
					m.rewrite("upstream/"+string(id), func() { m.store.list(leavingUp(id)) })
				}
			},
			"upstream ends": func(t *rapid.T) {
				if ids := m.living(); len(ids) > 1 {
					id := rapid.SampledFrom(ids).Draw(t, "upstream")
					m.ended[id] = true
					m.rewrite("upstream/"+string(id), func() { m.store.drop(id) })
				}
			},
			"zone out or in": func(*rapid.T) {
				m.zoneOut = !m.zoneOut
				m.rewrite("zone/z2", func() { m.store.order("z2", m.zoneOut) })
			},
			"other write":       func(*rapid.T) { m.store.touch() },
			"restore":           func(t *rapid.T) { m.restore(rapid.IntRange(0, 4).Draw(t, "lost")) },
			"written again":     func(*rapid.T) { m.writeAgain() },
			"host asks":         func(t *rapid.T) { m.ask(host(t)) },
			"host's call fails": func(t *rapid.T) { m.fail(host(t)) },
			"host follows":      func(t *rapid.T) { m.follow(host(t), host(t)) },
			"host is told":      func(t *rapid.T) { m.tell(host(t), host(t)) },
			"host is cut":       func(t *rapid.T) { h := host(t); h.cut = !h.cut },
			"host starts": func(t *rapid.T) {
				n := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
				m.hosts[n] = newModelHost()
				m.follow(m.hosts[n], host(t))
			},
			"time passes": func(t *rapid.T) {
				m.pass(time.Duration(rapid.IntRange(1, 60).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"": m.check,
		})
		if err := m.settled(rapid.Bool().Draw(t, "in a row")); err != nil {
			t.Fatal(err)
		}
	})
}
