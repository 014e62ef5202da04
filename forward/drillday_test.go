// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
)

var (
	drillSeed  = flag.Uint64("drill.seed", 1, "seed of the day with a store that is restored")
	drillSizes = flag.String("drill.sizes", "9,60", "hosts of the sites before a store that is restored")
)

const (
	// drillContact is for how long a host has to be undisturbed to be held to a bound.
	drillContact = 3 * time.Second
	// drillDayLasts is how long things happen on a drill day, in series that overlap.
	drillDayLasts = 40 * time.Second
)

// drillDay is a day on which much happens while the store is restored again and again.
type drillDay struct {
	*drill
	random *rand.Rand
	// seriesFrom is when the series began.
	seriesFrom time.Time

	mu sync.Mutex
	// leftAt are when the store took that an upstream leaves or has ended.
	leftAt map[member.UpstreamID]time.Time
	// wrote is the newest value of each key, and when it was written.
	wrote map[string]drillEvent
	// disturbed is until when each host isn't held to bounds.
	disturbed map[member.HostID]time.Time
	// storeStable is since when the store is undisturbed.
	storeStable time.Time
	next        int
	version     Version
	// knew are the upstreams that each host has known to leave.
	knew map[*Forwarder]map[member.UpstreamID]bool
}

// write makes a change as soon as the store is there, and remembers it.
func (d *drillDay) write(e drillEvent) {
	for {
		d.store.mu.Lock()
		away := d.store.away
		d.store.mu.Unlock()
		if !away {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.store.write(e)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wrote[e.key] = e
}

func (d *drillDay) upstream(u Upstream, gone bool) {
	d.write(drillEvent{key: "upstream/" + string(u.ID), upstream: &Change{Upstream: u, Gone: gone}})
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, left := d.leftAt[u.ID]; (u.Leaving || gone) && !left {
		d.leftAt[u.ID] = time.Now()
	}
}

func (d *drillDay) start() {
	d.mu.Lock()
	d.next++
	id := member.UpstreamID(fmt.Sprint("up", d.next))
	d.mu.Unlock()
	d.upstream(plainUp(id), false)
}

// pick is one of the upstreams that live.
func (d *drillDay) pick() (member.UpstreamID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []member.UpstreamID
	for n := range d.next {
		if id := member.UpstreamID(fmt.Sprint("up", n+1)); d.leftAt[id].IsZero() {
			ids = append(ids, id)
		}
	}
	if len(ids) < 4 {
		return "", false
	}
	return ids[d.random.IntN(len(ids))], true
}

func (d *drillDay) disturb(lasts time.Duration, hosts ...member.HostID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range hosts {
		d.disturbed[h] = laterOf(d.disturbed[h], time.Now().Add(lasts+drillContact))
	}
}

// restoreStore has the store go away and come back without its last changes, and those be
// written again.
func (d *drillDay) restoreStore() {
	away := time.Duration(100+d.random.IntN(3000)) * time.Millisecond
	lost := time.Duration(d.random.IntN(5000)) * time.Millisecond
	d.store.mu.Lock()
	copied := history.Revision(0)
	for _, e := range d.store.events {
		if time.Since(e.at) >= lost {
			copied = e.revision
		}
	}
	d.store.mu.Unlock()
	d.mu.Lock()
	d.storeStable = time.Now().Add(away + drillContact)
	d.mu.Unlock()
	d.store.leave()
	time.Sleep(away)
	d.store.restore(copied)
	time.Sleep(time.Duration(d.random.IntN(1500)) * time.Millisecond)
	d.mu.Lock()
	var again []drillEvent
	for _, e := range d.wrote {
		again = append(again, e)
	}
	d.mu.Unlock()
	slices.SortFunc(again, func(a, b drillEvent) int { return strings.Compare(a.key, b.key) })
	for _, e := range again {
		d.store.writeUnlessThere(e)
	}
}

// judge looks at all hosts: those that are held to bounds now give no work to what left while the
// store was stable, or since it is again, and none ever does to what it knew to leave.
func (d *drillDay) judge(found map[string]bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.each() {
		host := f.settings.Self.ID
		bound := !now.Before(d.disturbed[host]) && !now.Before(d.storeStable)
		for _, u := range f.fleet.Available(f.now(), "app") {
			left, key := d.leftAt[u.ID], string(host)+string(u.ID)
			since := now.Sub(laterOf(left, d.storeStable))
			late := bound && !left.IsZero() && since > leavingKnownWithin
			if knew := d.knew[f][u.ID]; (late || knew) && !found[key] {
				found[key] = true
				d.finding("%s gives work to %s, %v after it left, known before %v", host, u.ID, now.Sub(left), knew)
			}
		}
		d.note(f)
	}
}

// note remembers which upstreams a host knows to leave. The mutex is held.
func (d *drillDay) note(f *Forwarder) {
	if d.knew[f] == nil {
		d.knew[f] = map[member.UpstreamID]bool{}
	}
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	for id, k := range f.fleet.upstreams {
		if k.leavingDeclared {
			d.knew[f][id] = true
		}
	}
}

// settle has nothing happen any more, and then all hosts know what is so.
func (d *drillDay) settle() {
	time.Sleep(max(entryLapseGrace, relistGrace) + drillContact + 2*time.Second)
	for _, f := range d.each() {
		d.mu.Lock()
		for n := range d.next {
			id := member.UpstreamID(fmt.Sprint("up", n+1))
			if lives := d.leftAt[id].IsZero(); lives != takes(id)(f) {
				d.finding("%s at the end: %s lives %v", f.settings.Self.ID, id, lives)
			}
		}
		if v := f.versionInForce(); v != d.version {
			d.finding("%s at the end: version %d in force, %d is the newest", f.settings.Self.ID, v, d.version)
		}
		d.mu.Unlock()
	}
}

// calls checks how often each host and all together called the store.
func (d *drillDay) calls(t *testing.T) {
	most, all := 0, 0
	for from := d.seriesFrom; from.Before(time.Now()); from = from.Add(time.Second) {
		sum := 0
		for host, n := range d.store.callsIn(from, from.Add(time.Second)) {
			sum += n
			most = max(most, n)
			if n > 3*hostCallsPerSecond {
				d.finding("%s called the store %d times in a second", host, n)
			}
		}
		all = max(all, sum)
	}
	t.Logf("the most calls in a second: %d of a host, %d of all", most, all)
	if all > storeReadsPerSecond {
		d.finding("%d calls of all hosts in a second", all)
	}
}

// storeReadsPerSecond is what the store takes from all hosts together.
const storeReadsPerSecond = 2000

// TestDrillDay has hosts keep to what leaves, and agree in the end, while the store is restored again and again.
func TestDrillDay(t *testing.T) {
	for _, hosts := range drillHosts(t) {
		t.Run(strconv.Itoa(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				d := &drillDay{
					drill: newDrill(ctx, 3, hosts/3), random: rand.New(&lockedRandom{source: rand.NewPCG(*drillSeed, 0)}),
					leftAt: map[member.UpstreamID]time.Time{}, wrote: map[string]drillEvent{}, disturbed: map[member.HostID]time.Time{}, version: 1,
					knew: map[*Forwarder]map[member.UpstreamID]bool{},
				}
				for range 8 {
					d.start()
				}
				time.Sleep(4 * time.Second)
				d.seriesFrom = time.Now()
				d.play()
				d.settle()
				d.calls(t)
				cancel()
				synctest.Wait()
				d.report(t)
			})
		})
	}
}

// play has all series go on beside each other.
func (d *drillDay) play() {
	until := time.Now().Add(drillDayLasts)
	var under sync.WaitGroup
	every := func(least, spread time.Duration, work func(n int)) {
		under.Go(func() {
			for n := 0; ; n++ {
				time.Sleep(least + time.Duration(d.random.Int64N(int64(spread))))
				if time.Now().After(until) {
					return
				}
				work(n)
			}
		})
	}
	hosts := d.each()
	pickHost := func() *Forwarder { return hosts[d.random.IntN(len(hosts))] }
	every(5*time.Second, 4*time.Second, func(int) { d.restoreStore() })
	every(300*time.Millisecond, time.Second, func(n int) {
		id, found := d.pick()
		if !found {
			return
		}
		d.start()
		u := leavingUp(id)
		d.upstream(u, n%3 == 0)
	})
	every(500*time.Millisecond, 2*time.Second, func(int) {
		d.mu.Lock()
		d.version++
		c := testConfig(d.version)
		d.mu.Unlock()
		d.write(drillEvent{key: "config", config: &c})
	})
	every(time.Second, 3*time.Second, func(int) {
		self := pickHost().settings.Self
		d.disturb(time.Second, self.ID)
		d.restart(self.PeerAddress)
	})
	every(time.Second, 4*time.Second, func(n int) {
		self := pickHost().settings.Self
		lasts := time.Duration(500+d.random.IntN(5000)) * time.Millisecond
		d.disturb(lasts, self.ID)
		d.withoutStore(true, self.ID)
		if n%2 == 0 {
			d.isolate(self.PeerAddress)
		}
		time.Sleep(lasts)
		d.reconnect(self.PeerAddress)
		d.withoutStore(false, self.ID)
	})
	every(200*time.Millisecond, 600*time.Millisecond, func(int) { d.store.touch() })
	found := map[string]bool{}
	every(50*time.Millisecond, 50*time.Millisecond, func(int) { d.judge(found) })
	under.Wait()
}

// lockedRandom is a source that the series draw from side by side.
type lockedRandom struct {
	mu     sync.Mutex
	source rand.Source
}

func (l *lockedRandom) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.source.Uint64()
}
