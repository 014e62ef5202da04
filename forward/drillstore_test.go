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

// drillStore is an origin in virtual time that can be restored from an older copy.
type drillStore struct {
	mu  sync.Mutex
	era history.Era
	at  history.Revision
	// events are all changes of the present era, with those that its copy had.
	events []drillEvent
	away   bool
	// changed closes at the next change and is made anew.
	changed chan struct{}
	calls   []drillCall
}

// drillEvent is one change of a key; exactly one of the values is set, unless it is gone.
type drillEvent struct {
	key      string
	revision history.Revision
	upstream *Change
	zone     *ZoneOrder
	config   *Config
	crash    *quarantine.Mark
	at       time.Time
}

// drillCall is one call that a host made.
type drillCall struct {
	host member.HostID
	at   time.Time
}

func newDrillStore() *drillStore { return &drillStore{era: 1, changed: make(chan struct{})} }

// write makes one change, and returns its revision.
func (s *drillStore) write(e drillEvent) history.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	e.revision, e.at = s.at, time.Now()
	s.events = append(s.events, e)
	s.wake()
	return s.at
}

// writeUnlessThere makes a change again unless the store has it.
func (s *drillStore) writeUnlessThere(e drillEvent) {
	s.mu.Lock()
	var newest drillEvent
	for _, there := range s.events {
		if there.key == e.key {
			newest = there
		}
	}
	s.mu.Unlock()
	same := newest.upstream == e.upstream && newest.config == e.config && newest.zone == e.zone
	if !same {
		s.write(e)
	}
}

func (s *drillStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *drillStore) list(u Upstream) history.Revision {
	return s.write(drillEvent{key: "upstream/" + string(u.ID), upstream: &Change{Upstream: u}})
}

func (s *drillStore) drop(id member.UpstreamID) history.Revision {
	return s.write(drillEvent{key: "upstream/" + string(id), upstream: &Change{Upstream: Upstream{ID: id}, Gone: true}})
}

func (s *drillStore) order(zone member.Zone, out bool) history.Revision {
	return s.write(drillEvent{key: "zone/" + string(zone), zone: &ZoneOrder{Zone: zone, OutOfService: out}})
}

func (s *drillStore) configure(v Version) history.Revision {
	c := testConfig(v)
	return s.write(drillEvent{key: "config", config: &c})
}

// touch makes a change that concerns no host.
func (s *drillStore) touch() history.Revision { return s.write(drillEvent{key: "other"}) }

// revision is the store's present one.
func (s *drillStore) revision() history.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at
}

// leave has the store answer nobody until it is restored or returns.
func (s *drillStore) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// restore has the store come back from the copy of a revision.
func (s *drillStore) restore(copied history.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.era++
	s.at = copied
	s.events = slices.DeleteFunc(s.events, func(e drillEvent) bool { return e.revision > copied })
	s.wake()
}

// callsIn counts each host's calls in the second after a time.
func (s *drillStore) callsIn(from, until time.Time) map[member.HostID]int {
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

// drillLink is the store as one host reaches it.
type drillLink struct {
	*drillStore
	host member.HostID
	mu   *sync.Mutex
	cut  map[member.HostID]bool
}

// call notes a call, and reports whether the store answers it.
func (l drillLink) call() bool {
	l.drillStore.mu.Lock()
	defer l.drillStore.mu.Unlock()
	l.calls = append(l.calls, drillCall{l.host, time.Now()})
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.away && !l.cut[l.host]
}

// newest are the events after a revision, the newest of each key if only that is wanted.
func (s *drillStore) newest(after history.Revision, whole bool) (OriginUpdate, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := OriginUpdate{Revision: history.NewPoint(s.era, s.at)}
	last := map[string]history.Revision{}
	for _, e := range s.events {
		last[e.key] = e.revision
	}
	for _, e := range s.events {
		if e.revision > after && (!whole || last[e.key] == e.revision) {
			e.tell(&news, s.era, whole)
		}
	}
	return news, after <= s.at, s.changed
}

// tell puts an event among news; a reading doesn't have what is gone.
func (e drillEvent) tell(news *OriginUpdate, era history.Era, whole bool) {
	switch {
	case e.upstream != nil && !(whole && e.upstream.Gone):
		c := *e.upstream
		c.Revision = history.NewPoint(era, e.revision)
		news.Changes = append(news.Changes, c)
	case e.zone != nil && !(whole && !e.zone.OutOfService):
		o := *e.zone
		o.Revision = history.NewPoint(era, e.revision)
		news.ZoneOrders = append(news.ZoneOrders, o)
	case e.config != nil:
		news.Config = e.config
	case e.crash != nil:
		news.HeldRequests = append(news.HeldRequests, *e.crash)
	}
}

func (n *OriginUpdate) isEmpty() bool {
	return len(n.Changes)+len(n.ZoneOrders)+len(n.HeldRequests) == 0 && n.Config == nil
}

// drillAnswers is how long the store takes for an answer.
const drillAnswers = 4 * time.Millisecond

func (l drillLink) Read(ctx context.Context, known history.Era) (OriginUpdate, error) {
	PauseFor(ctx, drillAnswers)
	if !l.call() {
		return OriginUpdate{}, errConnectionLost
	}
	news, _, _ := l.newest(0, true)
	return news, nil
}

func (l drillLink) Watch(ctx context.Context, after history.Point, wait time.Duration) (OriginUpdate, error) {
	PauseFor(ctx, drillAnswers)
	if !l.call() {
		return OriginUpdate{}, errConnectionLost
	}
	over := time.NewTimer(wait)
	defer over.Stop()
	for {
		news, had, changed := l.newest(after.Revision(), false)
		if !had {
			return OriginUpdate{}, ErrHistoryGone
		}
		if !news.isEmpty() {
			return news, nil
		}
		select {
		case <-changed:
		case <-over.C:
			return news, nil
		case <-ctx.Done():
			return OriginUpdate{}, ctx.Err()
		}
		l.drillStore.mu.Lock()
		away := l.away
		l.drillStore.mu.Unlock()
		if away {
			return OriginUpdate{}, errConnectionLost
		}
	}
}

func (l drillLink) Keep(_ context.Context, m quarantine.Mark) error {
	if !l.call() {
		return errConnectionLost
	}
	for i := range m.Crashes {
		m.Crashes[i].Ago = 0
	}
	l.write(drillEvent{key: "crash/" + m.Request.String(), crash: &m})
	return nil
}

// drill is a site of hosts before a store that is restored.
type drill struct {
	*site
	store *drillStore
	start time.Time
	cutMu sync.Mutex
	// noStore are the hosts that don't reach the store.
	noStore map[member.HostID]bool
	ctx     context.Context
	// ends end the process at each address.
	ends map[string]context.CancelFunc

	found    sync.Mutex
	findings []string
}

func newDrill(ctx context.Context, zones, hostsPerZone int) *drill {
	d := &drill{site: newSite(zones, hostsPerZone, true), store: newDrillStore(), start: time.Now(), noStore: map[member.HostID]bool{}, ctx: ctx, ends: map[string]context.CancelFunc{}}
	for _, id := range []member.UpstreamID{"app1", "app2", "app3", "app4"} {
		d.store.list(plainUp(id))
	}
	d.store.configure(1)
	for _, f := range d.hosts {
		d.startHost(f)
	}
	return d
}

// startHost runs a host's duties.
func (d *drill) startHost(f *Forwarder) {
	ctx, end := context.WithCancel(d.ctx)
	d.mu.Lock()
	d.ends[f.settings.Self.PeerAddress] = end
	d.mu.Unlock()
	d.startWithOrigin(ctx, f, drillLink{d.store, f.settings.Self.ID, &d.cutMu, d.noStore})
	go f.Run(ctx)
}

// restart has a host's process end at once, and a new one start that knows nothing.
func (d *drill) restart(address string) *Forwarder {
	d.mu.Lock()
	settings := d.hosts[address].settings
	end := d.ends[address]
	d.mu.Unlock()
	end()
	settings.FirstStart = false
	fresh := New(settings, &fakeTransport{}, silentJournal{}, silentObserver{})
	d.replaceHost(fresh)
	d.startHost(fresh)
	return fresh
}

// withoutStore has hosts not reach the store, or reach it again.
func (d *drill) withoutStore(cut bool, hosts ...member.HostID) {
	d.cutMu.Lock()
	defer d.cutMu.Unlock()
	for _, h := range hosts {
		d.noStore[h] = cut
	}
}

func (d *drill) finding(format string, args ...any) {
	d.found.Lock()
	defer d.found.Unlock()
	d.findings = append(d.findings, fmt.Sprintf("%5.2f s ", time.Since(d.start).Seconds())+fmt.Sprintf(format, args...))
}

// report fails the test with the first findings.
func (d *drill) report(t *testing.T) {
	t.Helper()
	for i, finding := range d.findings {
		if i == 8 {
			t.Errorf("%d findings in all", len(d.findings))
			break
		}
		t.Error(finding)
	}
}

// each are the hosts, in the order of their names.
func (d *drill) each() []*Forwarder {
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

// drillLook is how often hosts are looked at.
const drillLook = 20 * time.Millisecond

// hold checks all hosts for a while: from a time on, what is said has to hold.
func (d *drill) hold(what string, from, lasts time.Duration, holds func(f *Forwarder) bool) {
	time.Sleep(from)
	failing := map[member.HostID]bool{}
	for began := time.Now(); time.Since(began) < lasts; time.Sleep(drillLook) {
		for _, f := range d.each() {
			if id := f.settings.Self.ID; !failing[id] && !holds(f) {
				failing[id] = true
				d.finding("%s: not at %s", what, id)
			}
		}
	}
}

func plainUp(id member.UpstreamID) Upstream {
	return Upstream{ID: id, Service: "app", Address: "10.1.0.1:" + string(id), Zone: "z1", Slots: 6}
}

func leavingUp(id member.UpstreamID) Upstream {
	u := plainUp(id)
	u.Leaving = true
	return u
}

// takes reports whether a host gives an upstream new work.
func takes(id member.UpstreamID) func(f *Forwarder) bool {
	return func(f *Forwarder) bool {
		return slices.ContainsFunc(f.fleet.Available(f.now(), "app"), func(u Upstream) bool { return u.ID == id })
	}
}

func takesNot(id member.UpstreamID) func(f *Forwarder) bool {
	return func(f *Forwarder) bool { return !takes(id)(f) }
}
