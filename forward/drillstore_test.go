// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/quarantine"
)

// drillStore is an origin in virtual time that can be restored from a backup.
type drillStore struct {
	mu           sync.Mutex
	era          history.Era
	lastRevision history.Revision
	// events are all changes of the present era, and those of earlier eras that the last backup
	// contained.
	events      []drillEvent
	unavailable bool
	// changed is closed at the next change and then replaced.
	changed chan struct{}
	calls   []drillCall
}

// drillEvent is one change of a key. At most one of upstream, zone, config and crash is set.
type drillEvent struct {
	key       string
	revision  history.Revision
	upstream  *Change
	zone      *ZoneOrder
	config    *Config
	crash     *quarantine.Mark
	writtenAt time.Time
}

// drillCall records a call by a host.
type drillCall struct {
	host member.HostID
	at   time.Time
}

// newDrillStore returns an empty store in era 1.
func newDrillStore() *drillStore { return &drillStore{era: 1, changed: make(chan struct{})} }

// write stores one change and returns its revision.
func (s *drillStore) write(e drillEvent) history.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRevision++
	e.revision, e.writtenAt = s.lastRevision, time.Now()
	s.events = append(s.events, e)
	s.notifyWatchers()
	return s.lastRevision
}

// writeUnlessCurrent writes a change again unless the newest change of its key has the same
// value.
func (s *drillStore) writeUnlessCurrent(e drillEvent) {
	s.mu.Lock()
	var newest drillEvent
	for _, existing := range s.events {
		if existing.key == e.key {
			newest = existing
		}
	}
	s.mu.Unlock()
	same := newest.upstream == e.upstream && newest.config == e.config && newest.zone == e.zone
	if !same {
		s.write(e)
	}
}

// notifyWatchers wakes all watches. The mutex is held.
func (s *drillStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *drillStore) listUpstream(u Upstream) history.Revision {
	return s.write(drillEvent{key: "upstream/" + string(u.ID), upstream: &Change{Upstream: u}})
}

func (s *drillStore) dropUpstream(id member.UpstreamID) history.Revision {
	return s.write(drillEvent{key: "upstream/" + string(id), upstream: &Change{Upstream: Upstream{ID: id}, Gone: true}})
}

func (s *drillStore) orderZone(zone member.Zone, outOfService bool) history.Revision {
	return s.write(drillEvent{key: "zone/" + string(zone), zone: &ZoneOrder{Zone: zone, OutOfService: outOfService}})
}

func (s *drillStore) configure(v Version) history.Revision {
	c := testConfig(v)
	return s.write(drillEvent{key: "config", config: &c})
}

// touch writes a change that concerns no host, to advance the revision.
func (s *drillStore) touch() history.Revision { return s.write(drillEvent{key: "other"}) }

// revision returns the revision of the last change.
func (s *drillStore) revision() history.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRevision
}

// stopAnswering makes the store unavailable until it is restored.
func (s *drillStore) stopAnswering() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = true
	s.notifyWatchers()
}

// restore makes the store available again with the content of a backup, in a new era.
func (s *drillStore) restore(backupRevision history.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = false
	s.era++
	s.lastRevision = backupRevision
	s.events = slices.DeleteFunc(s.events, func(e drillEvent) bool { return e.revision > backupRevision })
	s.notifyWatchers()
}

// callsBetween counts each host's calls from one time until another.
func (s *drillStore) callsBetween(from, until time.Time) map[member.HostID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := map[member.HostID]int{}
	for _, c := range s.calls {
		if !c.at.Before(from) && c.at.Before(until) {
			calls[c.host]++
		}
	}
	return calls
}

// drillStoreClient is the store as one host reaches it. noStore contains the hosts that can't
// reach it.
type drillStoreClient struct {
	*drillStore
	host      member.HostID
	noStoreMu *sync.Mutex
	noStore   map[member.HostID]bool
}

// recordCall records a call, and reports whether the store answers it.
func (l drillStoreClient) recordCall() bool {
	l.drillStore.mu.Lock()
	defer l.drillStore.mu.Unlock()
	l.calls = append(l.calls, drillCall{l.host, time.Now()})
	l.noStoreMu.Lock()
	defer l.noStoreMu.Unlock()
	return !l.unavailable && !l.noStore[l.host]
}

// changesAfter returns the changes after a revision, or only the newest change of each key for a
// full read. It also reports whether the store has reached that revision, and returns a channel
// that is closed at the next change.
func (s *drillStore) changesAfter(after history.Revision, fullRead bool) (OriginUpdate, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := OriginUpdate{Revision: history.NewPoint(s.era, s.lastRevision)}
	newestOfKey := map[string]history.Revision{}
	for _, e := range s.events {
		newestOfKey[e.key] = e.revision
	}
	for _, e := range s.events {
		if e.revision > after && (!fullRead || newestOfKey[e.key] == e.revision) {
			e.appendTo(&update, s.era, fullRead)
		}
	}
	return update, after <= s.lastRevision, s.changed
}

// appendTo adds an event to an update. A full read leaves out upstreams that are gone, and zones
// that are in service.
func (e drillEvent) appendTo(update *OriginUpdate, era history.Era, fullRead bool) {
	switch {
	case e.upstream != nil && !(fullRead && e.upstream.Gone):
		c := *e.upstream
		c.Revision = history.NewPoint(era, e.revision)
		update.Changes = append(update.Changes, c)
	case e.zone != nil && !(fullRead && !e.zone.OutOfService):
		o := *e.zone
		o.Revision = history.NewPoint(era, e.revision)
		update.ZoneOrders = append(update.ZoneOrders, o)
	case e.config != nil:
		update.Config = e.config
	case e.crash != nil:
		update.HeldRequests = append(update.HeldRequests, *e.crash)
	}
}

func (n *OriginUpdate) isEmpty() bool {
	return len(n.Changes)+len(n.ZoneOrders)+len(n.HeldRequests) == 0 && n.Config == nil
}

// drillStoreLatency is how long the store takes to begin to handle a call.
const drillStoreLatency = 4 * time.Millisecond

func (l drillStoreClient) Read(ctx context.Context, known history.Era) (OriginUpdate, error) {
	PauseFor(ctx, drillStoreLatency)
	if !l.recordCall() {
		return OriginUpdate{}, errConnectionLost
	}
	update, _, _ := l.changesAfter(0, true)
	return update, nil
}

func (l drillStoreClient) Watch(ctx context.Context, after history.Point, wait time.Duration) (OriginUpdate, error) {
	PauseFor(ctx, drillStoreLatency)
	if !l.recordCall() {
		return OriginUpdate{}, errConnectionLost
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		update, hasHistory, changed := l.changesAfter(after.Revision(), false)
		if !hasHistory {
			return OriginUpdate{}, ErrHistoryGone
		}
		if !update.isEmpty() {
			return update, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return update, nil
		case <-ctx.Done():
			return OriginUpdate{}, ctx.Err()
		}
		l.drillStore.mu.Lock()
		unavailable := l.unavailable
		l.drillStore.mu.Unlock()
		if unavailable {
			return OriginUpdate{}, errConnectionLost
		}
	}
}

func (l drillStoreClient) Keep(_ context.Context, m quarantine.Mark) error {
	if !l.recordCall() {
		return errConnectionLost
	}
	for i := range m.Crashes {
		m.Crashes[i].Age = 0
	}
	l.write(drillEvent{key: "crash/" + m.Request.String(), crash: &m})
	return nil
}

// drill is a site of hosts with a store that is restored from a backup.
type drill struct {
	*site
	store     *drillStore
	beganAt   time.Time
	noStoreMu sync.Mutex
	// noStore contains the hosts that can't reach the store. noStoreMu guards it.
	noStore map[member.HostID]bool
	ctx     context.Context
	// stopHost ends the host process at each address.
	stopHost map[string]context.CancelFunc

	findingsMu sync.Mutex
	findings   []string
}

// newDrill starts a site whose store has four upstreams and version 1 of the configuration.
func newDrill(ctx context.Context, zones, hostsPerZone int) *drill {
	d := &drill{site: newSite(zones, hostsPerZone, true), store: newDrillStore(), beganAt: time.Now(), noStore: map[member.HostID]bool{}, ctx: ctx, stopHost: map[string]context.CancelFunc{}}
	for _, id := range []member.UpstreamID{"app1", "app2", "app3", "app4"} {
		d.store.listUpstream(plainUpstream(id))
	}
	d.store.configure(1)
	for _, f := range d.hosts {
		d.startHost(f)
	}
	return d
}

// startHost starts a host's background tasks.
func (d *drill) startHost(f *Forwarder) {
	ctx, cancel := context.WithCancel(d.ctx)
	d.mu.Lock()
	d.stopHost[f.settings.Self.PeerAddress] = cancel
	d.mu.Unlock()
	d.startWithOrigin(ctx, f, drillStoreClient{d.store, f.settings.Self.ID, &d.noStoreMu, d.noStore})
	go f.Run(ctx)
}

// restart ends a host's process at once, and starts a new one without any state.
func (d *drill) restart(address string) *Forwarder {
	d.mu.Lock()
	settings := d.hosts[address].settings
	stop := d.stopHost[address]
	d.mu.Unlock()
	stop()
	settings.FirstStart = false
	restarted := New(settings, &fakeTransport{}, silentJournal{}, silentObserver{})
	d.replaceHost(restarted)
	d.startHost(restarted)
	return restarted
}

// withoutStore makes the store unreachable for hosts, or reachable again.
func (d *drill) withoutStore(unreachable bool, hosts ...member.HostID) {
	d.noStoreMu.Lock()
	defer d.noStoreMu.Unlock()
	for _, h := range hosts {
		d.noStore[h] = unreachable
	}
}

// addFinding records a failure, preceded by the seconds since the drill began.
func (d *drill) addFinding(format string, args ...any) {
	d.findingsMu.Lock()
	defer d.findingsMu.Unlock()
	d.findings = append(d.findings, fmt.Sprintf("%5.2f s ", time.Since(d.beganAt).Seconds())+fmt.Sprintf(format, args...))
}

// report fails the test with the first eight findings, and the number of all if there are more.
func (d *drill) report(t *testing.T) {
	t.Helper()
	for i, finding := range d.findings {
		if i == 8 {
			t.Errorf("%d findings in total, the rest is not shown", len(d.findings))
			break
		}
		t.Error(finding)
	}
}

// sortedHosts returns the hosts, sorted by ID.
func (d *drill) sortedHosts() []*Forwarder {
	d.mu.Lock()
	defer d.mu.Unlock()
	var hosts []*Forwarder
	for _, f := range d.hosts {
		hosts = append(hosts, f)
	}
	slices.SortFunc(hosts, func(a, b *Forwarder) int {
		return strings.Compare(string(a.settings.Self.ID), string(b.settings.Self.ID))
	})
	return hosts
}

// drillCheckInterval is the time between two checks of all hosts.
const drillCheckInterval = 20 * time.Millisecond

// checkHolds waits for the delay, and then checks for the given time that a condition holds at
// every host.
func (d *drill) checkHolds(condition string, delay, duration time.Duration, holds func(f *Forwarder) bool) {
	time.Sleep(delay)
	failing := map[member.HostID]bool{}
	for startedAt := time.Now(); time.Since(startedAt) < duration; time.Sleep(drillCheckInterval) {
		for _, f := range d.sortedHosts() {
			if id := f.settings.Self.ID; !failing[id] && !holds(f) {
				failing[id] = true
				d.addFinding("condition %q does not hold at host %s", condition, id)
			}
		}
	}
}

func plainUpstream(id member.UpstreamID) Upstream {
	return Upstream{ID: id, Service: "app", Address: "10.1.0.1:" + string(id), Zone: "z1", Slots: 6}
}

func leavingUpstream(id member.UpstreamID) Upstream {
	u := plainUpstream(id)
	u.Leaving = true
	return u
}

// givesWork returns a function that reports whether a host gives new work to an upstream.
func givesWork(id member.UpstreamID) func(f *Forwarder) bool {
	return func(f *Forwarder) bool {
		return slices.ContainsFunc(f.fleet.Available(f.now(), "app"), func(u Upstream) bool { return u.ID == id })
	}
}

// givesNoWork returns the negation of givesWork.
func givesNoWork(id member.UpstreamID) func(f *Forwarder) bool {
	return func(f *Forwarder) bool { return !givesWork(id)(f) }
}
