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
	// drillSettleTime is for how long a host has to be undisturbed to be held to a bound.
	drillSettleTime = 3 * time.Second
	// randomDrillDuration is how long things happen on a drill day, in series that overlap.
	randomDrillDuration = 40 * time.Second
)

// randomDrill is a day on which much happens while the store is restored again and again.
type randomDrill struct {
	*drill
	random *rand.Rand
	// startedAt is when the series began.
	startedAt time.Time

	mu sync.Mutex
	// leftAt are when the store took that an upstream leaves or has ended.
	leftAt map[member.UpstreamID]time.Time
	// lastWrites is the newest value of each key, and when it was written.
	lastWrites map[string]drillEvent
	// exemptUntil is until when each host isn't held to bounds.
	exemptUntil map[member.HostID]time.Time
	// storeStableAt is since when the store is undisturbed.
	storeStableAt    time.Time
	upstreamsStarted int
	version          Version
	// knownLeaving are the upstreams that each host has known to leave.
	knownLeaving map[*Forwarder]map[member.UpstreamID]bool
}

// writeWhenAvailable makes a change as soon as the store is there, and remembers it.
func (d *randomDrill) writeWhenAvailable(e drillEvent) {
	for {
		d.store.mu.Lock()
		unavailable := d.store.unavailable
		d.store.mu.Unlock()
		if !unavailable {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.store.write(e)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastWrites[e.key] = e
}

func (d *randomDrill) writeUpstream(u Upstream, gone bool) {
	d.writeWhenAvailable(drillEvent{key: "upstream/" + string(u.ID), upstream: &Change{Upstream: u, Gone: gone}})
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, left := d.leftAt[u.ID]; (u.Leaving || gone) && !left {
		d.leftAt[u.ID] = time.Now()
	}
}

func (d *randomDrill) startUpstream() {
	d.mu.Lock()
	d.upstreamsStarted++
	id := member.UpstreamID(fmt.Sprint("up", d.upstreamsStarted))
	d.mu.Unlock()
	d.writeUpstream(plainUpstream(id), false)
}

// pickLivingUpstream is one of the upstreams that live.
func (d *randomDrill) pickLivingUpstream() (member.UpstreamID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []member.UpstreamID
	for n := range d.upstreamsStarted {
		if id := member.UpstreamID(fmt.Sprint("up", n+1)); d.leftAt[id].IsZero() {
			ids = append(ids, id)
		}
	}
	if len(ids) < 4 {
		return "", false
	}
	return ids[d.random.IntN(len(ids))], true
}

func (d *randomDrill) exemptHosts(duration time.Duration, hosts ...member.HostID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range hosts {
		d.exemptUntil[h] = laterOf(d.exemptUntil[h], time.Now().Add(duration+drillSettleTime))
	}
}

// restoreStore has the store go away and come back without its last changes, and those be
// written again.
func (d *randomDrill) restoreStore() {
	outage := time.Duration(100+d.random.IntN(3000)) * time.Millisecond
	lostTime := time.Duration(d.random.IntN(5000)) * time.Millisecond
	d.store.mu.Lock()
	backupRevision := history.Revision(0)
	for _, e := range d.store.events {
		if time.Since(e.at) >= lostTime {
			backupRevision = e.revision
		}
	}
	d.store.mu.Unlock()
	d.mu.Lock()
	d.storeStableAt = time.Now().Add(outage + drillSettleTime)
	d.mu.Unlock()
	d.store.stopAnswering()
	time.Sleep(outage)
	d.store.restore(backupRevision)
	time.Sleep(time.Duration(d.random.IntN(1500)) * time.Millisecond)
	d.mu.Lock()
	var rewrites []drillEvent
	for _, e := range d.lastWrites {
		rewrites = append(rewrites, e)
	}
	d.mu.Unlock()
	slices.SortFunc(rewrites, func(a, b drillEvent) int { return strings.Compare(a.key, b.key) })
	for _, e := range rewrites {
		d.store.writeUnlessCurrent(e)
	}
}

// checkHosts looks at all hosts: those that are held to bounds now give no work to what left while the
// store was stable, or since it is again, and none ever does to what it knew to leave.
func (d *randomDrill) checkHosts(reported map[string]bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.sortedHosts() {
		host := f.settings.Self.ID
		isBound := !now.Before(d.exemptUntil[host]) && !now.Before(d.storeStableAt)
		for _, u := range f.fleet.Available(f.now(), "app") {
			left, key := d.leftAt[u.ID], string(host)+string(u.ID)
			exposed := now.Sub(laterOf(left, d.storeStableAt))
			late := isBound && !left.IsZero() && exposed > maxLeavingDelay
			if knew := d.knownLeaving[f][u.ID]; (late || knew) && !reported[key] {
				reported[key] = true
				d.addFinding("%s gives work to %s, %v after it left, known before %v", host, u.ID, now.Sub(left), knew)
			}
		}
		d.recordKnownLeaving(f)
	}
}

// recordKnownLeaving remembers which upstreams a host knows to leave. The mutex is held.
func (d *randomDrill) recordKnownLeaving(f *Forwarder) {
	if d.knownLeaving[f] == nil {
		d.knownLeaving[f] = map[member.UpstreamID]bool{}
	}
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	for id, k := range f.fleet.upstreams {
		if k.leavingDeclared {
			d.knownLeaving[f][id] = true
		}
	}
}

// checkConvergence has nothing happen any more, and then all hosts know what is so.
func (d *randomDrill) checkConvergence() {
	time.Sleep(max(entryLapseGrace, relistGrace) + drillSettleTime + 2*time.Second)
	for _, f := range d.sortedHosts() {
		d.mu.Lock()
		for n := range d.upstreamsStarted {
			id := member.UpstreamID(fmt.Sprint("up", n+1))
			if lives := d.leftAt[id].IsZero(); lives != givesWork(id)(f) {
				d.addFinding("%s at the end: %s lives %v", f.settings.Self.ID, id, lives)
			}
		}
		if v := f.versionInForce(); v != d.version {
			d.addFinding("%s at the end: version %d in force, %d is the newest", f.settings.Self.ID, v, d.version)
		}
		d.mu.Unlock()
	}
}

// checkStoreCalls checks how often each host and all together called the store.
func (d *randomDrill) checkStoreCalls(t *testing.T) {
	maxOfHost, maxOfAll := 0, 0
	for from := d.startedAt; from.Before(time.Now()); from = from.Add(time.Second) {
		sum := 0
		for host, n := range d.store.callsBetween(from, from.Add(time.Second)) {
			sum += n
			maxOfHost = max(maxOfHost, n)
			if n > 3*maxHostCallsPerSecond {
				d.addFinding("%s called the store %d times in a second", host, n)
			}
		}
		maxOfAll = max(maxOfAll, sum)
	}
	t.Logf("the most calls in a second: %d of a host, %d of all", maxOfHost, maxOfAll)
	if maxOfAll > maxStoreCallsPerSecond {
		d.addFinding("%d calls of all hosts in a second", maxOfAll)
	}
}

// maxStoreCallsPerSecond is what the store takes from all hosts together.
const maxStoreCallsPerSecond = 2000

// TestRandomDrill has hosts keep to what leaves, and agree in the end, while the store is restored again and again.
func TestRandomDrill(t *testing.T) {
	for _, hosts := range drillSiteSizes(t) {
		t.Run(strconv.Itoa(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				d := &randomDrill{
					drill: newDrill(ctx, 3, hosts/3), random: rand.New(&lockedSource{source: rand.NewPCG(*drillSeed, 0)}),
					leftAt: map[member.UpstreamID]time.Time{}, lastWrites: map[string]drillEvent{}, exemptUntil: map[member.HostID]time.Time{}, version: 1,
					knownLeaving: map[*Forwarder]map[member.UpstreamID]bool{},
				}
				for range 8 {
					d.startUpstream()
				}
				time.Sleep(4 * time.Second)
				d.startedAt = time.Now()
				d.run()
				d.checkConvergence()
				d.checkStoreCalls(t)
				cancel()
				synctest.Wait()
				d.report(t)
			})
		})
	}
}

// run has all series go on beside each other.
func (d *randomDrill) run() {
	until := time.Now().Add(randomDrillDuration)
	var series sync.WaitGroup
	every := func(minPause, spread time.Duration, work func(n int)) {
		series.Go(func() {
			for n := 0; ; n++ {
				time.Sleep(minPause + time.Duration(d.random.Int64N(int64(spread))))
				if time.Now().After(until) {
					return
				}
				work(n)
			}
		})
	}
	hosts := d.sortedHosts()
	pickHost := func() *Forwarder { return hosts[d.random.IntN(len(hosts))] }
	every(5*time.Second, 4*time.Second, func(int) { d.restoreStore() })
	every(300*time.Millisecond, time.Second, func(n int) {
		id, reported := d.pickLivingUpstream()
		if !reported {
			return
		}
		d.startUpstream()
		u := leavingUpstream(id)
		d.writeUpstream(u, n%3 == 0)
	})
	every(500*time.Millisecond, 2*time.Second, func(int) {
		d.mu.Lock()
		d.version++
		c := testConfig(d.version)
		d.mu.Unlock()
		d.writeWhenAvailable(drillEvent{key: "config", config: &c})
	})
	every(time.Second, 3*time.Second, func(int) {
		self := pickHost().settings.Self
		d.exemptHosts(time.Second, self.ID)
		d.restart(self.PeerAddress)
	})
	every(time.Second, 4*time.Second, func(n int) {
		self := pickHost().settings.Self
		outage := time.Duration(500+d.random.IntN(5000)) * time.Millisecond
		d.exemptHosts(outage, self.ID)
		d.withoutStore(true, self.ID)
		if n%2 == 0 {
			d.cutOff(self.PeerAddress)
		}
		time.Sleep(outage)
		d.regain(self.PeerAddress)
		d.withoutStore(false, self.ID)
	})
	every(200*time.Millisecond, 600*time.Millisecond, func(int) { d.store.touch() })
	found := map[string]bool{}
	every(50*time.Millisecond, 50*time.Millisecond, func(int) { d.checkHosts(found) })
	series.Wait()
}

// lockedSource is a source that the series draw from side by side.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

func (l *lockedSource) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.source.Uint64()
}
