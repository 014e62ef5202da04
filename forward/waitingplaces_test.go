// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/cell"
)

// waitingPlace is where the request of a waitingSite waits.
type waitingPlace struct {
	path string
	hold step
	// fill leaves no room on any engine.
	fill bool
	// zoneQueue enables the queues of zones.
	zoneQueue bool
	// duty returns the host that the request waits at; nil for none. It is near if own is set.
	duty func(f *Forwarder, now time.Time) Peer
	own  bool
	// begin is called once the request is under way.
	begin func(w *waitingSite)
	// fails makes the first upstream fail.
	fails bool
	// isSent says that an upstream has the request by then.
	isSent bool
}

var waitingPlaces = map[string]waitingPlace{
	"a permit of a cold upstream, asked of a peer": {path: "/cold/", hold: atPermit, duty: func(f *Forwarder, now time.Time) Peer {
		return f.peers.responsibleHost(now, "cold1", cell.ID{Zone: "z1"})
	}},
	"a place asked of another zone's host": {path: "/patient/", hold: atOtherZone, fill: true},
	"the host's own queue":                 {path: "/patient/", fill: true},
	"its zone's queue at the host itself":  {path: "/patient/", fill: true, zoneQueue: true, own: true, duty: zoneQueueHost},
	"its zone's queue at a peer":           {path: "/patient/", fill: true, zoneQueue: true, duty: zoneQueueHost},
	"the answer of a call that runs once":  {path: "/order/", hold: atUpstream, isSent: true},
	"a hedged call":                        {path: "/status/", hold: atUpstream, isSent: true, begin: func(*waitingSite) { time.Sleep(100 * time.Millisecond) }},
	"a call's second attempt":              {path: "/status/", hold: atSecond, fails: true, isSent: true},
	"a stream's answer":                    {path: "/llm/", hold: atUpstream, isSent: true},
	"a stream's first event":               {path: "/llm/", hold: atFirstEvent, isSent: true},
	"a stream's next event":                {path: "/llm/", hold: atNextEvent, isSent: true},
	"a stream that is resumed":             {path: "/resumable/", hold: atSecond, fails: true, isSent: true},
	"the turn to move, asked of a peer": {path: "/llm/", hold: atTurn, isSent: true, begin: leaveSource, duty: func(f *Forwarder, now time.Time) Peer {
		u, _ := f.fleet.Upstream("e1")
		return f.peers.arbiter(now, u)
	}},
	"a copy of its memory":        {path: "/llm/", hold: atCopy, isSent: true, begin: leaveSource},
	"the last copy of its memory": {path: "/llm/", hold: atFinalCopy, isSent: true, begin: leaveSource},
	"a reader that takes nothing": {path: "/llm/", hold: atReader, isSent: true},
}

func zoneQueueHost(f *Forwarder, now time.Time) Peer {
	return f.responsibleForAdmission(now, "llm", cell.ID{Zone: "z1"})
}

// leaveSource has the engine of the request leave once its stream has begun.
func leaveSource(w *waitingSite) {
	time.Sleep(300 * time.Millisecond)
	for _, s := range w.near.engines.runStates(w.near.now()) {
		u, _ := w.near.fleet.Upstream(s.Engine)
		u.Leaving = true
		w.change(u, false)
	}
}

// waitingEvent is what happens while a request waits.
type waitingEvent struct {
	happen func(w *waitingSite)
	// stopsIn is when the host ends, counted from the event; zero if it doesn't.
	stopsIn time.Duration
	// mayHang plays it with a request that is never released, too.
	mayHang bool
	// mayFail says that a request that an upstream has may get a failure although it is released in time.
	mayFail bool
}

var waitingEvents = map[string]waitingEvent{
	"nothing": {mayHang: true, happen: func(*waitingSite) {}},
	"a stop":  {mayHang: true, stopsIn: 3 * time.Second, happen: func(w *waitingSite) { w.stop(3 * time.Second) }},
	"two stops": {stopsIn: 3 * time.Second, happen: func(w *waitingSite) {
		w.stop(3 * time.Second)
		time.Sleep(50 * time.Millisecond)
		w.stop(2900 * time.Millisecond)
	}},
	"a reload":               {happen: func(w *waitingSite) { w.near.SetRetryLimit(RetryLimit{}) }},
	"its route is removed":   {happen: func(w *waitingSite) { w.configure(func(c *Config) { c.Routes = nil }) }},
	"its account is removed": {happen: func(w *waitingSite) { w.configure(func(c *Config) { c.Accounts = nil }) }},
	"its service is removed": {mayHang: true, happen: func(w *waitingSite) { w.configure(func(c *Config) { c.Routes, c.Services = nil, nil }) }},
	"its service has no engines": {happen: func(w *waitingSite) {
		w.configure(func(c *Config) {
			for i := range c.Services {
				c.Services[i].Engine = nil
			}
		})
	}},
	"its limits change": {happen: func(w *waitingSite) {
		w.configure(func(c *Config) {
			for i := range c.Services {
				c.Services[i].ColdRate = 0
			}
			for i := range c.Routes {
				c.Routes[i].Timeout, c.Routes[i].Attempts = time.Millisecond, 1
			}
		})
	}},
	"a reload and a removed service in a stop": {stopsIn: 3 * time.Second, happen: func(w *waitingSite) {
		w.stop(3 * time.Second)
		w.near.SetRetryLimit(RetryLimit{})
		w.configure(func(c *Config) { c.Routes, c.Services = nil, nil })
	}},
	"its zone out of service":                   {mayFail: true, happen: func(w *waitingSite) { w.origin.orderZones(outOfService("z1", w.next())) }},
	"all zones out of service":                  {mayFail: true, happen: func(w *waitingSite) { w.origin.orderZones(outOfService("z1", w.next()), outOfService("z2", w.next())) }},
	"its upstreams gone":                        {mayFail: true, happen: func(w *waitingSite) { w.changeAll(func(u *Upstream) bool { return true }) }},
	"its upstreams leave":                       {mayFail: true, happen: func(w *waitingSite) { w.changeAll(func(u *Upstream) bool { u.Leaving = true; return false }) }},
	"its upstreams restarted":                   {mayFail: true, happen: func(w *waitingSite) { w.changeAll(func(u *Upstream) bool { u.Incarnation = 9; return false }) }},
	"its addresses used again":                  {mayFail: true, happen: reuseAddresses},
	"a roll-out that completes":                 {mayFail: true, happen: func(w *waitingSite) { w.completeRollout(true) }},
	"a roll-out to a version without upstreams": {mayFail: true, happen: func(w *waitingSite) { w.completeRollout(false) }},
	"the store away":                            {happen: func(w *waitingSite) { w.origin.unavailable.Store(true) }},
	"the store away and the service removed before": {happen: func(w *waitingSite) {
		w.configure(func(c *Config) { c.Routes, c.Services = nil, nil })
		time.Sleep(10 * time.Millisecond)
		w.origin.unavailable.Store(true)
	}},
	"its peers stop": {happen: func(w *waitingSite) {
		for _, f := range w.peersOfNear() {
			go f.Stop(w.t.Context())
		}
	}},
	"its peers hang": {mayHang: true, happen: func(w *waitingSite) {
		w.freeze(w.otherAddresses(w.near.settings.Self.PeerAddress)...)
	}},
	"its peers are killed": {happen: func(w *waitingSite) {
		w.isolate(w.otherAddresses(w.near.settings.Self.PeerAddress)...)
		close(w.killed)
	}},
	"its peers are killed in a stop": {stopsIn: 3 * time.Second, happen: func(w *waitingSite) {
		w.stop(3 * time.Second)
		w.isolate(w.otherAddresses(w.near.settings.Self.PeerAddress)...)
		close(w.killed)
	}},
	"its host suspended": {mayHang: true, happen: func(w *waitingSite) { w.machines[w.near].Suspend(1500 * time.Millisecond) }, mayFail: true},
}

func reuseAddresses(w *waitingSite) {
	w.changeAll(func(*Upstream) bool { return true })
	for _, u := range w.upstreams() {
		u.ID, u.Service = "new-"+u.ID, "other"
		w.change(u, false)
	}
}
