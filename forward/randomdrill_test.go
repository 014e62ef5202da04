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
	drillSeed  = flag.Uint64("drill.seed", 1, "seed of the random drill")
	drillSizes = flag.String("drill.sizes", "9,60", "sizes of the sites in drills with a store that is restored, in hosts")
)

const (
	// drillSettleTime is how long a host, or the store, must have been undisturbed before bounds
	// apply to it.
	drillSettleTime = 3 * time.Second
	// randomDrillDuration is how long the series of random events run. The series overlap.
	randomDrillDuration = 40 * time.Second
)

// randomDrill is a drill with random events at the hosts and in the store, during which the store
// is restored several times.
type randomDrill struct {
	*drill
	random *rand.Rand
	// startedAt is when the series of events began.
	startedAt time.Time

	mu sync.Mutex
	// leftAt is when each upstream that is leaving or gone was first written as such.
	leftAt map[member.UpstreamID]time.Time
	// lastWrites is the last write to each key; the store may have lost it.
	lastWrites map[string]drillEvent
	// exemptUntil is until when bounds don't apply to each host.
	exemptUntil map[member.HostID]time.Time
	// storeStableAt is when the store counts as undisturbed again.
	storeStableAt    time.Time
	upstreamsStarted int
	version          Version
	// knownLeaving contains the upstreams that each host has known to be leaving.
	knownLeaving map[*Forwarder]map[member.UpstreamID]bool
}

// writeWhenAvailable waits until the store is available, writes a change, and remembers it.
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

// writeUpstream writes an upstream, or that it is gone, and records when it first was leaving or
// gone.
func (d *randomDrill) writeUpstream(u Upstream, gone bool) {
	d.writeWhenAvailable(drillEvent{key: "upstream/" + string(u.ID), upstream: &Change{Upstream: u, Gone: gone}})
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, left := d.leftAt[u.ID]; (u.Leaving || gone) && !left {
		d.leftAt[u.ID] = time.Now()
	}
}

// startUpstream adds an upstream with a new ID.
func (d *randomDrill) startUpstream() {
	d.mu.Lock()
	d.upstreamsStarted++
	id := member.UpstreamID(fmt.Sprint("up", d.upstreamsStarted))
	d.mu.Unlock()
	d.writeUpstream(plainUpstream(id), false)
}

// pickLivingUpstream returns a random upstream that is neither leaving nor gone, unless fewer
// than four are left.
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

// exemptHosts exempts hosts from bounds for the duration of a disturbance, and for
// drillSettleTime after it.
func (d *randomDrill) exemptHosts(duration time.Duration, hosts ...member.HostID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range hosts {
		d.exemptUntil[h] = laterOf(d.exemptUntil[h], time.Now().Add(duration+drillSettleTime))
	}
}

// restoreStore makes the store unavailable for a while, restores it without its last changes, and
// then writes the lost ones again.
func (d *randomDrill) restoreStore() {
	outage := time.Duration(100+d.random.IntN(3000)) * time.Millisecond
	lostTime := time.Duration(d.random.IntN(5000)) * time.Millisecond
	d.store.mu.Lock()
	backupRevision := history.Revision(0)
	for _, e := range d.store.events {
		if time.Since(e.writtenAt) >= lostTime {
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

// checkHosts checks two rules at all hosts:
//   - a host never gives work to an upstream that it has known to be leaving;
//   - a host to which bounds apply gives no work to an upstream that left more than
//     maxLeavingDelay ago, counted from when the store became stable if that is later.
func (d *randomDrill) checkHosts(reported map[string]bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.sortedHosts() {
		host := f.settings.Self.ID
		isBound := !now.Before(d.exemptUntil[host]) && !now.Before(d.storeStableAt)
		for _, u := range f.fleet.Available(f.now(), "app") {
			left, key := d.leftAt[u.ID], string(host)+string(u.ID)
			sinceLeft := now.Sub(laterOf(left, d.storeStableAt))
			late := isBound && !left.IsZero() && sinceLeft > maxLeavingDelay
			if knew := d.knownLeaving[f][u.ID]; (late || knew) && !reported[key] {
				reported[key] = true
				d.addFinding("host %s gives work to upstream %s, %v after it left; the host knew that it was leaving: %v", host, u.ID, now.Sub(left), knew)
			}
		}
		d.recordKnownLeaving(f)
	}
}

// recordKnownLeaving records which upstreams a host knows to be leaving. The mutex is held.
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

// checkConvergence waits without further events, and then checks that all hosts have the same,
// current state.
func (d *randomDrill) checkConvergence() {
	time.Sleep(max(entryLapseGrace, relistGrace) + drillSettleTime + 2*time.Second)
	for _, f := range d.sortedHosts() {
		d.mu.Lock()
		for n := range d.upstreamsStarted {
			id := member.UpstreamID(fmt.Sprint("up", n+1))
			if lives := d.leftAt[id].IsZero(); lives != givesWork(id)(f) {
				d.addFinding("host %s at the end: it is wrong about upstream %s, which is living: %v", f.settings.Self.ID, id, lives)
			}
		}
		if v := f.versionInForce(); v != d.version {
			d.addFinding("host %s at the end: configuration version %d is in force, expected %d", f.settings.Self.ID, v, d.version)
		}
		d.mu.Unlock()
	}
}

// checkStoreCalls checks how often each host, and all hosts together, called the store in any
// second.
func (d *randomDrill) checkStoreCalls(t *testing.T) {
	maxOfHost, maxOfAll := 0, 0
	for from := d.startedAt; from.Before(time.Now()); from = from.Add(time.Second) {
		sum := 0
		for host, n := range d.store.callsBetween(from, from.Add(time.Second)) {
			sum += n
			maxOfHost = max(maxOfHost, n)
			if n > 3*maxHostCallsPerSecond {
				d.addFinding("host %s called the store %d times in one second, at most %d are allowed", host, n, 3*maxHostCallsPerSecond)
			}
		}
		maxOfAll = max(maxOfAll, sum)
	}
	t.Logf("most calls to the store in one second: %d by one host, %d by all hosts", maxOfHost, maxOfAll)
	if maxOfAll > maxStoreCallsPerSecond {
		d.addFinding("all hosts called the store %d times in one second, at most %d are allowed", maxOfAll, maxStoreCallsPerSecond)
	}
}

// maxStoreCallsPerSecond is how many calls per second the store handles from all hosts together.
const maxStoreCallsPerSecond = 2000

// TestRandomDrill checks that hosts give no work to leaving upstreams, and converge in the end,
// while the store is restored several times.
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

// run runs all series of events concurrently until randomDrillDuration is over.
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
		id, ok := d.pickLivingUpstream()
		if !ok {
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
			d.isolate(self.PeerAddress)
		}
		time.Sleep(outage)
		d.reconnect(self.PeerAddress)
		d.withoutStore(false, self.ID)
	})
	every(200*time.Millisecond, 600*time.Millisecond, func(int) { d.store.touch() })
	reported := map[string]bool{}
	every(50*time.Millisecond, 50*time.Millisecond, func(int) { d.checkHosts(reported) })
	series.Wait()
}

// lockedSource is a random source that is safe for concurrent use by the series.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

func (l *lockedSource) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.source.Uint64()
}
