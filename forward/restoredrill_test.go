// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/quarantine"
)

// Bounds that hosts must keep.
const (
	// maxLeavingDelay is the time after which no host may send to an upstream once the store has
	// accepted that it is leaving.
	maxLeavingDelay = 2 * time.Second
	// maxConfigDelay is how soon a written configuration must be in force at all hosts.
	maxConfigDelay = 2 * time.Second
	// maxZoneOrderDelay is how soon all hosts must follow an order about a zone.
	maxZoneOrderDelay = 5 * time.Second
	// maxHostCallsPerSecond is one host's share, rounded down, of the 2,000 calls per second that
	// a store handles from 300 hosts.
	maxHostCallsPerSecond = 6
)

// drillLostRevisions is how many of the last revisions the backup lacks.
const drillLostRevisions = 3

// runDrill starts a site, takes a backup, and calls before. It then makes the store unavailable
// for 2.5 s, restores it from the backup, which lacks the last revisions, and calls after.
func runDrill(t *testing.T, zones, hostsPerZone int, before, after func(d *drill)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDrill(ctx, zones, hostsPerZone)
		time.Sleep(4 * time.Second)
		backupRevision := d.store.revision()
		if before != nil {
			before(d)
		}
		for d.store.revision() < backupRevision+drillLostRevisions {
			d.store.touch()
		}
		time.Sleep(2 * time.Second)
		d.store.stopAnswering()
		time.Sleep(2500 * time.Millisecond)
		d.store.restore(backupRevision)
		after(d)
		cancel()
		synctest.Wait()
		d.report(t)
	})
}

// TestUpstreamLeavesAtARevisionGivenOutAgain checks that hosts learn that an upstream is leaving
// if they knew a higher revision before the restore.
func TestUpstreamLeavesAtARevisionGivenOutAgain(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "three seconds later": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runDrill(t, 3, 3, nil, func(d *drill) {
				time.Sleep(pause)
				d.store.listUpstream(leavingUpstream("app1"))
				d.checkHolds("app1 gets nothing", maxLeavingDelay, 5*time.Second, givesNoWork("app1"))
			})
		})
	}
}

// TestUpstreamLeavesBeforeHostsWatchAgain checks that hosts learn that an upstream is leaving if
// the restored store passes their revision before they watch again. Then no watch fails with
// status 410.
func TestUpstreamLeavesBeforeHostsWatchAgain(t *testing.T) {
	runDrill(t, 3, 3, nil, func(d *drill) {
		d.store.listUpstream(leavingUpstream("app1"))
		for range 3 * drillLostRevisions {
			d.store.touch()
		}
		d.checkHolds("app1 gets nothing", maxLeavingDelay, 5*time.Second, givesNoWork("app1"))
	})
}

// TestRestoredStoreIsNotPolledInALoop checks that hosts don't call a restored store in a loop. A
// watch from a revision that the backup lacks fails with status 410.
func TestRestoredStoreIsNotPolledInALoop(t *testing.T) {
	for _, hosts := range drillSiteSizes(t) {
		t.Run(strconv.Itoa(hosts), func(t *testing.T) {
			const period = 10 * time.Second
			quietCalls := 0
			before := func(d *drill) {
				from := time.Now()
				time.Sleep(period)
				quietCalls = totalCalls(d.store.callsBetween(from, time.Now()))
			}
			runDrill(t, 3, hosts/3, before, func(d *drill) {
				restoredAt, highest := time.Now(), 0
				for time.Since(restoredAt) < period {
					from := time.Now()
					time.Sleep(time.Second)
					calls := d.store.callsBetween(from, time.Now())
					highest = max(highest, totalCalls(calls))
					for host, n := range calls {
						if n > maxHostCallsPerSecond {
							d.addFinding("host %s called the store %d times in one second, at most %d are allowed", host, n, maxHostCallsPerSecond)
						}
					}
				}
				t.Logf("%d hosts made %d calls in 10 s before the outage and %d in the 10 s after the restore, at most %d of them in one second",
					hosts, quietCalls, totalCalls(d.store.callsBetween(restoredAt, time.Now())), highest)
				if highest > maxStoreCallsPerSecond {
					d.addFinding("all hosts called the store %d times in one second, at most %d are allowed", highest, maxStoreCallsPerSecond)
				}
			})
		})
	}
}

// drillSiteSizes returns the numbers of hosts that the flag names.
func drillSiteSizes(t *testing.T) (hosts []int) {
	t.Helper()
	for _, size := range strings.Split(*drillSizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		hosts = append(hosts, n)
	}
	return hosts
}

// totalCalls returns the sum of all hosts' calls.
func totalCalls(calls map[member.HostID]int) (n int) {
	for _, hostCalls := range calls {
		n += hostCalls
	}
	return n
}

// TestConfigurationAtARevisionGivenOutAgain checks that a configuration comes into force at all
// hosts even though they knew its revision before the restore.
func TestConfigurationAtARevisionGivenOutAgain(t *testing.T) {
	runDrill(t, 3, 3, nil, func(d *drill) {
		time.Sleep(3 * time.Second)
		d.store.configure(2)
		d.checkHolds("version 2 is in force", maxConfigDelay, time.Second, func(f *Forwarder) bool { return f.versionInForce() == 2 })
	})
}

// TestZoneOrderAtARevisionGivenOutAgain checks that all hosts follow an order about a zone even
// though they knew its revision before the restore.
func TestZoneOrderAtARevisionGivenOutAgain(t *testing.T) {
	before := func(d *drill) {
		d.store.orderZone("z1", true)
		d.store.orderZone("z1", false)
	}
	runDrill(t, 3, 3, before, func(d *drill) {
		time.Sleep(3 * time.Second)
		d.store.orderZone("z1", true)
		d.checkHolds("z1 is out of service", maxZoneOrderDelay, 3*time.Second, func(f *Forwarder) bool { return !f.fleet.InService("z1") })
		d.store.orderZone("z1", false)
		d.checkHolds("z1 is back in service", maxZoneOrderDelay, 3*time.Second, func(f *Forwarder) bool { return f.fleet.InService("z1") })
	})
}

// TestLeavingThatTheBackupLacks checks that an upstream which announced that it is leaving stays out
// of use, even if the backup lists it as available.
func TestLeavingThatTheBackupLacks(t *testing.T) {
	before := func(d *drill) { d.store.listUpstream(leavingUpstream("app1")) }
	runDrill(t, 3, 3, before, func(d *drill) {
		d.checkHolds("app1 gets nothing", 0, 4*time.Second, givesNoWork("app1"))
		d.store.listUpstream(leavingUpstream("app1"))
		d.checkHolds("app1 gets nothing", 0, 4*time.Second, givesNoWork("app1"))
	})
}

// TestUpstreamThatTheBackupLacks checks that a living upstream which the backup lacks gets work,
// and still does after it is listed again.
func TestUpstreamThatTheBackupLacks(t *testing.T) {
	before := func(d *drill) { d.store.listUpstream(plainUpstream("app5")) }
	runDrill(t, 3, 3, before, func(d *drill) {
		d.checkHolds("app5 gets work", 0, 2*time.Second, givesWork("app5"))
		d.store.listUpstream(plainUpstream("app5"))
		d.checkHolds("app5 gets work", 0, 8*time.Second, givesWork("app5"))
	})
}

// TestEndedUpstreamThatTheBackupHas checks that an upstream which has ended but is in the backup
// gets no work, before and after its entry is dropped again. Hosts let such an entry lapse.
func TestEndedUpstreamThatTheBackupHas(t *testing.T) {
	before := func(d *drill) { d.store.dropUpstream("app4") }
	runDrill(t, 3, 3, before, func(d *drill) {
		d.checkHolds("app4 gets nothing", 0, 3600*time.Millisecond, givesNoWork("app4"))
		d.store.dropUpstream("app4")
		d.checkHolds("app4 gets nothing", 0, 8*time.Second, givesNoWork("app4"))
	})
}

// TestZoneOrderThatTheBackupLacks checks that the newest acknowledged order about a zone stays in
// force although the backup lacks it, until it is given again.
func TestZoneOrderThatTheBackupLacks(t *testing.T) {
	before := func(d *drill) { d.store.orderZone("z1", true) }
	runDrill(t, 3, 3, before, func(d *drill) {
		isOut := func(f *Forwarder) bool { return !f.fleet.InService("z1") }
		d.checkHolds("z1 is out of service", 0, 4*time.Second, isOut)
		d.store.orderZone("z1", true)
		d.checkHolds("z1 is out of service", 0, 4*time.Second, isOut)
		d.store.orderZone("z1", false)
		d.checkHolds("z1 is back in service", maxZoneOrderDelay, 4*time.Second, func(f *Forwarder) bool { return !isOut(f) })
	})
}

// TestConfigurationThatTheBackupLacks checks that the newest acknowledged configuration stays in
// force although the backup lacks it.
func TestConfigurationThatTheBackupLacks(t *testing.T) {
	before := func(d *drill) { d.store.configure(2) }
	runDrill(t, 3, 3, before, func(d *drill) {
		d.checkHolds("version 2 is in force", 0, 4*time.Second, func(f *Forwarder) bool { return f.versionInForce() == 2 })
		d.store.configure(2)
		d.store.configure(3)
		d.checkHolds("version 3 is in force", maxConfigDelay, time.Second, func(f *Forwarder) bool { return f.versionInForce() == 3 })
	})
}

// TestStoreRestoredTwice checks that hosts learn that upstreams are leaving if the store is
// restored a second time before all hosts have seen the era of the first restore.
func TestStoreRestoredTwice(t *testing.T) {
	runDrill(t, 3, 3, nil, func(d *drill) {
		backupRevision := d.store.revision()
		d.store.listUpstream(leavingUpstream("app2"))
		time.Sleep(300 * time.Millisecond)
		d.store.restore(backupRevision)
		d.store.listUpstream(leavingUpstream("app1"))
		d.checkHolds("app1 gets nothing", maxLeavingDelay, 3*time.Second, givesNoWork("app1"))
		d.store.listUpstream(leavingUpstream("app2"))
		d.checkHolds("app2 gets nothing", maxLeavingDelay, 3*time.Second, givesNoWork("app2"))
	})
}

// TestHostBehindSendsThePreviousEra checks that a host which was cut off during the restore, and
// comes back with the state of the previous era, doesn't override the state of the new one.
func TestHostBehindSendsThePreviousEra(t *testing.T) {
	const isolated = "10.1.0.2:1"
	before := func(d *drill) {
		d.store.orderZone("z2", true)
		time.Sleep(time.Second)
		d.isolate(isolated)
		d.withoutStore(true, "z1-h02")
	}
	runDrill(t, 3, 3, before, func(d *drill) {
		time.Sleep(time.Second)
		d.store.orderZone("z2", false)
		d.store.listUpstream(leavingUpstream("app1"))
		time.Sleep(3 * time.Second)
		d.reconnect(isolated)
		time.Sleep(time.Second)
		d.withoutStore(false, "z1-h02")
		d.checkHolds("app1 gets nothing", maxLeavingDelay, 3*time.Second, givesNoWork("app1"))
		d.checkHolds("z2 is in service", 0, 3*time.Second, func(f *Forwarder) bool { return f.fleet.InService("z2") })
	})
}

// TestHostStartsOverARestore checks a host that starts during a restore, and so gets state of the
// previous era from a peer and of the new era from the store.
func TestHostStartsOverARestore(t *testing.T) {
	before := func(d *drill) {
		d.store.listUpstream(leavingUpstream("app1"))
		d.store.listUpstream(plainUpstream("app5"))
	}
	runDrill(t, 3, 3, before, func(d *drill) {
		d.restart("10.2.0.1:1")
		d.checkHolds("app1 gets nothing", time.Second, 2*time.Second, givesNoWork("app1"))
		d.store.listUpstream(leavingUpstream("app1"))
		d.store.listUpstream(plainUpstream("app5"))
		d.store.listUpstream(leavingUpstream("app2"))
		d.checkHolds("app2 gets nothing, app5 gets work", maxLeavingDelay, 3*time.Second, func(f *Forwarder) bool {
			return givesNoWork("app2")(f) && givesNoWork("app1")(f) && givesWork("app5")(f)
		})
	})
}

// TestOlderConfigurationTakenForTheNewest checks a host that knows of a newer configuration than
// the backup has. It must not treat the older one as current, because it would then refuse routes
// that the newer one adds as unknown.
func TestOlderConfigurationTakenForTheNewest(t *testing.T) {
	runDrill(t, 3, 3, nil, func(d *drill) {
		restarted := d.restart("10.1.0.1:1")
		restarted.configOffers.record(restarted.now(), 2) // offered by a host that has ended since
		d.checkHolds("version 1 isn't taken for the newest", restarted.settings.MaxContactAge, 3*time.Second, func(f *Forwarder) bool {
			return f != restarted || f.ContactAge(f.now()) > f.settings.MaxContactAge
		})
		d.store.configure(2)
		d.checkHolds("version 2 is", maxConfigDelay, time.Second, func(f *Forwarder) bool {
			return f.versionInForce() == 2 && f.ContactAge(f.now()) <= f.settings.MaxContactAge
		})
	})
}

// TestDirectoryEntryThatTheBackupLacks checks that after a restore the hosts in the directory write
// their entries again, once, and that no other hosts do.
func TestDirectoryEntryThatTheBackupLacks(t *testing.T) {
	runDrill(t, 3, 3, nil, func(d *drill) {
		before := map[member.HostID]int32{}
		for host, n := range d.directoryWrites {
			before[host] = n.Load()
		}
		time.Sleep(maxLeavingDelay + directoryRewriteWindow + directoryCheckInterval)
		for host, n := range d.directoryWrites {
			if wrote, listed := n.Load()-before[host], before[host] > 0; wrote > 1 || (wrote == 1) != listed {
				d.addFinding("host %s (in the directory before: %v) wrote its entry %d times after the restore, expected once if it was in the directory, and never if not", host, listed, wrote)
			}
		}
	})
}

// TestHeldRequestThatTheBackupLacks checks that a held request which the backup lacks is saved
// again, for hosts that start after all others have ended.
func TestHeldRequestThatTheBackupLacks(t *testing.T) {
	identity := quarantine.RequestIdentity{Caller: "counter", Target: "/llm/x", Body: []byte("b")}
	mark := quarantine.Mark{Request: identity.Fingerprint()}
	for _, id := range []member.UpstreamID{"i-1", "i-2", "i-3"} {
		mark.Crashes = append(mark.Crashes, quarantine.CrashAge{Upstream: quarantine.Upstream{ID: id}})
	}
	before := func(d *drill) {
		f := d.sortedHosts()[4]
		f.receivePeerCrashes(f.now(), []quarantine.Mark{mark})
	}
	runDrill(t, 3, 3, before, func(d *drill) {
		time.Sleep(3 * time.Second)
		update, err := drillStoreClient{d.store, "", &d.noStoreMu, d.noStore}.Read(d.ctx, 0)
		if err != nil || len(update.HeldRequests) != 1 || update.HeldRequests[0].Request != mark.Request {
			d.addFinding("the store has the held requests %v (error %v), expected just the one of request %v", update.HeldRequests, err, mark.Request)
		}
	})
}

// TestEraFalls checks that answers of an era before the known one change nothing, and that hosts
// don't poll the store in a loop because of them.
func TestEraFalls(t *testing.T) {
	runDrill(t, 3, 3, nil, func(d *drill) {
		d.store.listUpstream(leavingUpstream("app1"))
		time.Sleep(maxLeavingDelay)
		setEra := func(by int) {
			d.store.mu.Lock()
			defer d.store.mu.Unlock()
			d.store.era += history.Era(by)
			d.store.notifyWatchers()
		}
		setEra(-1)
		d.store.listUpstream(plainUpstream("app1"))
		d.store.listUpstream(leavingUpstream("app2"))
		from := time.Now()
		d.checkHolds("app1 leaves, app2 takes work", 0, 5*time.Second, func(f *Forwarder) bool { return givesNoWork("app1")(f) && givesWork("app2")(f) })
		for host, n := range d.store.callsBetween(from, time.Now()) {
			if n > 5*maxHostCallsPerSecond {
				d.addFinding("host %s called the store %d times in 5 s, at most %d are allowed", host, n, 5*maxHostCallsPerSecond)
			}
		}
		setEra(1)
		d.checkHolds("app2 leaves", maxLeavingDelay+maxRetryDelay, 3*time.Second, givesNoWork("app2"))
	})
}
