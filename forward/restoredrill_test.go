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

// Bounds of the stated rules.
const (
	// maxLeavingDelay is how soon after the store took an upstream's word that it leaves no
	// host may send to it.
	maxLeavingDelay = 2 * time.Second
	// maxConfigDelay is how soon a configuration is in force.
	maxConfigDelay = 2 * time.Second
	// maxZoneOrderDelay is how soon an order about a zone is kept to.
	maxZoneOrderDelay = 5 * time.Second
	// maxHostCallsPerSecond are the calls of a store that takes 2,000 a second from 300 hosts.
	maxHostCallsPerSecond = 6
)

// drillLostRevisions is how many of the last revisions the copy lacks.
const drillLostRevisions = 3

// runDrill has hosts run for a while, the store go away for 2.5 s, come back from a copy that
// lacks the last revisions, and something happen.
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

// TestUpstreamLeavesAtARevisionGivenOutAgain: hosts that knew a higher revision must hear it.
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

// TestUpstreamLeavesBeforeHostsAskAgain: no watch gets 410 when the revisions have caught up.
func TestUpstreamLeavesBeforeHostsAskAgain(t *testing.T) {
	runDrill(t, 3, 3, nil, func(d *drill) {
		d.store.listUpstream(leavingUpstream("app1"))
		for range 3 * drillLostRevisions {
			d.store.touch()
		}
		d.checkHolds("app1 gets nothing", maxLeavingDelay, 5*time.Second, givesNoWork("app1"))
	})
}

// TestRestoredStoreIsNotPolledInALoop: a watch from a revision that the copy lacks gets 410.
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
							d.addFinding("%s called %d times in a second", host, n)
						}
					}
				}
				t.Logf("%d hosts made %d calls in 10 quiet seconds, %d in the 10 s after the restore, %d of them in one second",
					hosts, quietCalls, totalCalls(d.store.callsBetween(restoredAt, time.Now())), highest)
				if highest > maxStoreCallsPerSecond {
					d.addFinding("%d calls in a second", highest)
				}
			})
		})
	}
}

// drillSiteSizes are the sizes of sites that the flag names.
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

func totalCalls(calls map[member.HostID]int) (n int) {
	for _, hostCalls := range calls {
		n += hostCalls
	}
	return n
}

// TestConfigurationAtARevisionGivenOutAgain: a configuration must come into force at all hosts.
func TestConfigurationAtARevisionGivenOutAgain(t *testing.T) {
	runDrill(t, 3, 3, nil, func(d *drill) {
		time.Sleep(3 * time.Second)
		d.store.configure(2)
		d.checkHolds("version 2 is in force", maxConfigDelay, time.Second, func(f *Forwarder) bool { return f.versionInForce() == 2 })
	})
}

// TestZoneOrderAtARevisionGivenOutAgain: an order about a zone must be kept to by all hosts.
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

// TestLeavingThatTheCopyLost: what has said that it leaves leaves, whatever the copy says.
func TestLeavingThatTheCopyLost(t *testing.T) {
	before := func(d *drill) { d.store.listUpstream(leavingUpstream("app1")) }
	runDrill(t, 3, 3, before, func(d *drill) {
		d.checkHolds("app1 gets nothing", 0, 4*time.Second, givesNoWork("app1"))
		d.store.listUpstream(leavingUpstream("app1"))
		d.checkHolds("app1 gets nothing", 0, 4*time.Second, givesNoWork("app1"))
	})
}

// TestUpstreamThatTheCopyLacks: what lives and isn't listed yet gets work, and stays.
func TestUpstreamThatTheCopyLacks(t *testing.T) {
	before := func(d *drill) { d.store.listUpstream(plainUpstream("app5")) }
	runDrill(t, 3, 3, before, func(d *drill) {
		d.checkHolds("app5 gets work", 0, 2*time.Second, givesWork("app5"))
		d.store.listUpstream(plainUpstream("app5"))
		d.checkHolds("app5 gets work", 0, 8*time.Second, givesWork("app5"))
	})
}

// TestUpstreamThatEndedAndTheCopyHas: it gets nothing, and its entry lapses.
func TestUpstreamThatEndedAndTheCopyHas(t *testing.T) {
	before := func(d *drill) { d.store.dropUpstream("app4") }
	runDrill(t, 3, 3, before, func(d *drill) {
		d.checkHolds("app4 gets nothing", 0, 3600*time.Millisecond, givesNoWork("app4"))
		d.store.dropUpstream("app4")
		d.checkHolds("app4 gets nothing", 0, 8*time.Second, givesNoWork("app4"))
	})
}

// TestZoneOrderThatTheCopyLost: the newest order that was acknowledged binds until it is given again.
func TestZoneOrderThatTheCopyLost(t *testing.T) {
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

// TestConfigurationThatTheCopyLost: the newest that was acknowledged stays in force.
func TestConfigurationThatTheCopyLost(t *testing.T) {
	before := func(d *drill) { d.store.configure(2) }
	runDrill(t, 3, 3, before, func(d *drill) {
		d.checkHolds("version 2 is in force", 0, 4*time.Second, func(f *Forwarder) bool { return f.versionInForce() == 2 })
		d.store.configure(2)
		d.store.configure(3)
		d.checkHolds("version 3 is in force", maxConfigDelay, time.Second, func(f *Forwarder) bool { return f.versionInForce() == 3 })
	})
}

// TestStoreRestoredTwice: the era goes up again before all hosts have seen it.
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

// TestHostBehindSendsThePreviousEra: a host that was cut off over the restore comes back.
func TestHostBehindSendsThePreviousEra(t *testing.T) {
	const isolated = "10.1.0.2:1"
	before := func(d *drill) {
		d.store.orderZone("z2", true)
		time.Sleep(time.Second)
		d.cutOff(isolated)
		d.withoutStore(true, "z1-h02")
	}
	runDrill(t, 3, 3, before, func(d *drill) {
		time.Sleep(time.Second)
		d.store.orderZone("z2", false)
		d.store.listUpstream(leavingUpstream("app1"))
		time.Sleep(3 * time.Second)
		d.regain(isolated)
		time.Sleep(time.Second)
		d.withoutStore(false, "z1-h02")
		d.checkHolds("app1 gets nothing", maxLeavingDelay, 3*time.Second, givesNoWork("app1"))
		d.checkHolds("z2 is in service", 0, 3*time.Second, func(f *Forwarder) bool { return f.fleet.InService("z2") })
	})
}

// TestHostStartsOverARestore: what it takes from a peer and from the store are of two eras.
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

// TestOlderConfigurationTakenForTheNewest: a copy may lack the newest, and a host that knows of it says of no route that it doesn't exist.
func TestOlderConfigurationTakenForTheNewest(t *testing.T) {
	runDrill(t, 3, 3, nil, func(d *drill) {
		restarted := d.restart("10.1.0.1:1")
		restarted.configOffers.record(restarted.now(), 2) // by a host that has ended since
		d.checkHolds("version 1 isn't taken for the newest", restarted.settings.MaxContactAge, 3*time.Second, func(f *Forwarder) bool {
			return f != restarted || f.ContactAge(f.now()) > f.settings.MaxContactAge
		})
		d.store.configure(2)
		d.checkHolds("version 2 is", maxConfigDelay, time.Second, func(f *Forwarder) bool {
			return f.versionInForce() == 2 && f.ContactAge(f.now()) <= f.settings.MaxContactAge
		})
	})
}

// TestDirectoryEntryThatTheCopyLost: hosts on the directory write their entries again, and no others do.
func TestDirectoryEntryThatTheCopyLost(t *testing.T) {
	runDrill(t, 3, 3, nil, func(d *drill) {
		before := map[member.HostID]int32{}
		for host, n := range d.entries {
			before[host] = n.Load()
		}
		time.Sleep(maxLeavingDelay + directoryRewriteWindow + directoryCheckInterval)
		for host, n := range d.entries {
			if wrote, listed := n.Load()-before[host], before[host] > 0; wrote > 1 || (wrote == 1) != listed {
				d.addFinding("%s, listed %v, wrote its entry %d times", host, listed, wrote)
			}
		}
	})
}

// TestHeldRequestThatTheCopyLost: it is kept again, for hosts that start when all have ended.
func TestHeldRequestThatTheCopyLost(t *testing.T) {
	identity := quarantine.RequestIdentity{Caller: "counter", Target: "/llm/x", Body: []byte("b")}
	mark := quarantine.Mark{Request: identity.Fingerprint()}
	for _, id := range []member.UpstreamID{"i-1", "i-2", "i-3"} {
		mark.Crashes = append(mark.Crashes, quarantine.CrashAge{Upstream: quarantine.Upstream{ID: id}})
	}
	before := func(d *drill) {
		f := d.sortedHosts()[4]
		f.receiveCrashes(f.now(), []quarantine.Mark{mark})
	}
	runDrill(t, 3, 3, before, func(d *drill) {
		time.Sleep(3 * time.Second)
		update, err := drillStoreClient{d.store, "", &d.noStoreMu, d.noStore}.Read(d.ctx, 0)
		if err != nil || len(update.HeldRequests) != 1 || update.HeldRequests[0].Request != mark.Request {
			d.addFinding("the store keeps %v, err %v", update.HeldRequests, err)
		}
	})
}

// TestEraFalls: answers of an era before the known one change nothing, and aren't asked for in a loop.
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
				d.addFinding("%s called the store %d times in 5 s", host, n)
			}
		}
		setEra(1)
		d.checkHolds("app2 leaves", maxLeavingDelay+maxRetryDelay, 3*time.Second, givesNoWork("app2"))
	})
}
