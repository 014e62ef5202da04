// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/notice"
)

const (
	// endCheckInterval is how often a host checks whether a departing engine still accepts
	// connections. A notice is 1.5 to 2.1 s, so it is learned to within a fifteenth.
	endCheckInterval = 100 * time.Millisecond
	// firstEndCheck is when the checks begin after the first sign. Ends before that are learned
	// from the connections that break.
	firstEndCheck = 800 * time.Millisecond
)

// noticeLearner learns, for each service, how long its engines serve on after the first sign that
// they depart. The zero value has learned nothing.
type noticeLearner struct {
	mu     sync.Mutex
	models map[ServiceName]*notice.Model
	// watched holds the incarnations of the departing engines whose end this host waits for.
	watched map[member.UpstreamID]Incarnation
}

// observe records a departure. It reports whether the departure is new.
func (l *noticeLearner) observe(now time.Time, u Upstream, served time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.models == nil {
		l.models = map[ServiceName]*notice.Model{}
	}
	if l.models[u.Service] == nil {
		l.models[u.Service] = &notice.Model{}
	}
	return l.models[u.Service].Observe(now, u.ID, int64(u.Incarnation), served)
}

// expected returns how long an engine is expected to serve on, and from how many departures that
// was learned: drain while these are too few.
func (l *noticeLearner) expected(now time.Time, service ServiceName, drain time.Duration) (time.Duration, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.models[service]
	if m == nil {
		return drain, 0
	}
	if e, known := m.Expected(now, drain); known {
		return e.Notice, e.Departures
	}
	return drain, 0
}

// startWatch reports whether the end of an engine isn't waited for yet, and records that it is.
func (l *noticeLearner) startWatch(u Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation, watched := l.watched[u.ID]; watched && incarnation == u.Incarnation {
		return false
	}
	if l.watched == nil {
		l.watched = map[member.UpstreamID]Incarnation{}
	}
	l.watched[u.ID] = u.Incarnation
	return true
}

func (l *noticeLearner) endWatch(u Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watched[u.ID] == u.Incarnation {
		delete(l.watched, u.ID)
	}
}

// expectedNotice is how long an engine of a service is expected to serve on after the first sign
// that it departs: the learned time where RoomForMoves is enabled, otherwise the drain time.
func (f *Forwarder) expectedNotice(now time.Time, service Service) time.Duration {
	if !f.settings.Placement.RoomForMoves {
		return f.settings.DrainTime
	}
	expected, _ := f.notices.expected(now, service.Name, f.settings.DrainTime)
	return expected
}

// learnNotice waits in the background for the end of a departing engine, unless that is done
// already.
func (f *Forwarder) learnNotice(u Upstream) {
	if !f.settings.Placement.RoomForMoves || !f.notices.startWatch(u) {
		return
	}
	f.tasks.Go("notice", func() {
		defer f.notices.endWatch(u)
		f.watchEnd(u)
	})
}

// watchEnd connects to a departing engine until it refuses, which shows how long it served, or the
// drain time is over. It gives up without an observation if the engine no longer departs, has
// restarted, or can't be reached: a link that is cut looks the same as a machine that is gone.
func (f *Forwarder) watchEnd(u Upstream) {
	served := f.fleet.LeavingFor(f.now(), u.ID)
	PauseFor(context.Background(), firstEndCheck-served)
	for {
		now := f.now()
		leavingFor := f.fleet.LeavingFor(now, u.ID)
		if current, known := f.fleet.Upstream(u.ID); !known || current.Incarnation != u.Incarnation || leavingFor == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
		_, err := f.transport.CheckReachable(ctx, u)
		cancel()
		switch {
		case errors.Is(err, ErrPortClosed):
			f.recordDeparture(now, u, served, "connection refused")
			return
		case err != nil:
			f.journal.HostEvent("end of an engine not observed", "upstream", u.ID, "leaving_for", leavingFor, "err", err)
			return
		case leavingFor >= f.settings.DrainTime:
			f.recordDeparture(now, u, leavingFor, "still serving")
			return
		}
		served = leavingFor
		PauseFor(context.Background(), endCheckInterval)
	}
}

// recordBrokenDeparture records the end of a departing engine that a broken connection showed.
func (f *Forwarder) recordBrokenDeparture(now time.Time, u Upstream, ended bool) {
	if leavingFor := f.fleet.LeavingFor(now, u.ID); ended && leavingFor > 0 && f.settings.Placement.RoomForMoves {
		f.recordDeparture(now, u, leavingFor, "connection broke")
	}
}

func (f *Forwarder) recordDeparture(now time.Time, u Upstream, served time.Duration, sign string) {
	if !f.notices.observe(now, u, served) {
		return
	}
	expected, departures := f.notices.expected(now, u.Service, f.settings.DrainTime)
	f.journal.HostEvent("notice learned", "upstream", u.ID, "service", u.Service, "served", served, "sign", sign, "expected", expected, "departures", departures)
}
