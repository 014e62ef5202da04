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
	// leavingKnownWithin is how soon after the store took an upstream's word that it leaves no
	// host may send to it.
	leavingKnownWithin = 2 * time.Second
	// configInForceWithin is how soon a configuration is in force.
	configInForceWithin = 2 * time.Second
	// zoneOrderWithin is how soon an order about a zone is kept to.
	zoneOrderWithin = 5 * time.Second
	// hostCallsPerSecond are the calls of a store that takes 2,000 a second from 300 hosts.
	hostCallsPerSecond = 6
)

// drillLost is how many of the last revisions the copy lacks.
const drillLost = 3

// playDrill has hosts run for a while, the store go away for 2.5 s, come back from a copy that
// lacks the last revisions, and something happen.
func playDrill(t *testing.T, zones, hostsPerZone int, before, after func(d *drill)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDrill(ctx, zones, hostsPerZone)
		time.Sleep(4 * time.Second)
		copied := d.store.revision()
		if before != nil {
			before(d)
		}
		for d.store.revision() < copied+drillLost {
			d.store.touch()
		}
		time.Sleep(2 * time.Second)
		d.store.leave()
		time.Sleep(2500 * time.Millisecond)
		d.store.restore(copied)
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
			playDrill(t, 3, 3, nil, func(d *drill) {
				time.Sleep(pause)
				d.store.list(leavingUp("app1"))
				d.hold("app1 gets nothing", leavingKnownWithin, 5*time.Second, takesNot("app1"))
			})
		})
	}
}

// TestUpstreamLeavesBeforeHostsAskAgain: no watch gets 410 when the revisions have caught up.
func TestUpstreamLeavesBeforeHostsAskAgain(t *testing.T) {
	playDrill(t, 3, 3, nil, func(d *drill) {
		d.store.list(leavingUp("app1"))
		for range 3 * drillLost {
			d.store.touch()
		}
		d.hold("app1 gets nothing", leavingKnownWithin, 5*time.Second, takesNot("app1"))
	})
}

// TestRestoredStoreIsAskedInALoop: a watch from a revision that the copy lacks gets 410.
func TestRestoredStoreIsAskedInALoop(t *testing.T) {
	for _, hosts := range drillHosts(t) {
		t.Run(strconv.Itoa(hosts), func(t *testing.T) {
			const lasts = 10 * time.Second
			quiet := 0
			before := func(d *drill) {
				from := time.Now()
				time.Sleep(lasts)
				quiet = total(d.store.callsIn(from, time.Now()))
			}
			playDrill(t, 3, hosts/3, before, func(d *drill) {
				back, most := time.Now(), 0
				for time.Since(back) < lasts {
					from := time.Now()
					time.Sleep(time.Second)
					calls := d.store.callsIn(from, time.Now())
					most = max(most, total(calls))
					for host, n := range calls {
						if n > hostCallsPerSecond {
							d.finding("%s called %d times in a second", host, n)
						}
					}
				}
				t.Logf("%d hosts made %d calls in 10 quiet seconds, %d in the 10 s after the restore, %d of them in one second",
					hosts, quiet, total(d.store.callsIn(back, time.Now())), most)
				if most > storeReadsPerSecond {
					d.finding("%d calls in a second", most)
				}
			})
		})
	}
}

// drillHosts are the sizes of sites that the flag names.
func drillHosts(t *testing.T) (hosts []int) {
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

func total(calls map[member.HostID]int) (n int) {
	for _, of := range calls {
		n += of
	}
	return n
}

// TestConfigurationAtARevisionGivenOutAgain: a configuration must come into force at all hosts.
func TestConfigurationAtARevisionGivenOutAgain(t *testing.T) {
	playDrill(t, 3, 3, nil, func(d *drill) {
		time.Sleep(3 * time.Second)
		d.store.configure(2)
		d.hold("version 2 is in force", configInForceWithin, time.Second, func(f *Forwarder) bool { return f.versionInForce() == 2 })
	})
}

// TestZoneOrderAtARevisionGivenOutAgain: an order about a zone must be kept to by all hosts.
func TestZoneOrderAtARevisionGivenOutAgain(t *testing.T) {
	before := func(d *drill) {
		d.store.order("z1", true)
		d.store.order("z1", false)
	}
	playDrill(t, 3, 3, before, func(d *drill) {
		time.Sleep(3 * time.Second)
		d.store.order("z1", true)
		d.hold("z1 is out of service", zoneOrderWithin, 3*time.Second, func(f *Forwarder) bool { return !f.fleet.InService("z1") })
		d.store.order("z1", false)
		d.hold("z1 is back in service", zoneOrderWithin, 3*time.Second, func(f *Forwarder) bool { return f.fleet.InService("z1") })
	})
}

// TestLeavingThatTheCopyLost: what has said that it leaves leaves, whatever the copy says.
func TestLeavingThatTheCopyLost(t *testing.T) {
	before := func(d *drill) { d.store.list(leavingUp("app1")) }
	playDrill(t, 3, 3, before, func(d *drill) {
		d.hold("app1 gets nothing", 0, 4*time.Second, takesNot("app1"))
		d.store.list(leavingUp("app1"))
		d.hold("app1 gets nothing", 0, 4*time.Second, takesNot("app1"))
	})
}

// TestUpstreamThatTheCopyLacks: what lives and isn't listed yet gets work, and stays.
func TestUpstreamThatTheCopyLacks(t *testing.T) {
	before := func(d *drill) { d.store.list(plainUp("app5")) }
	playDrill(t, 3, 3, before, func(d *drill) {
		d.hold("app5 gets work", 0, 2*time.Second, takes("app5"))
		d.store.list(plainUp("app5"))
		d.hold("app5 gets work", 0, 8*time.Second, takes("app5"))
	})
}

// TestUpstreamThatEndedAndTheCopyHas: it gets nothing, and its entry lapses.
func TestUpstreamThatEndedAndTheCopyHas(t *testing.T) {
	before := func(d *drill) { d.store.drop("app4") }
	playDrill(t, 3, 3, before, func(d *drill) {
		d.hold("app4 gets nothing", 0, 3600*time.Millisecond, takesNot("app4"))
		d.store.drop("app4")
		d.hold("app4 gets nothing", 0, 8*time.Second, takesNot("app4"))
	})
}

// TestZoneOrderThatTheCopyLost: the newest order that was acknowledged binds until it is given again.
func TestZoneOrderThatTheCopyLost(t *testing.T) {
	before := func(d *drill) { d.store.order("z1", true) }
	playDrill(t, 3, 3, before, func(d *drill) {
		isOut := func(f *Forwarder) bool { return !f.fleet.InService("z1") }
		d.hold("z1 is out of service", 0, 4*time.Second, isOut)
		d.store.order("z1", true)
		d.hold("z1 is out of service", 0, 4*time.Second, isOut)
		d.store.order("z1", false)
		d.hold("z1 is back in service", zoneOrderWithin, 4*time.Second, func(f *Forwarder) bool { return !isOut(f) })
	})
}

// TestConfigurationThatTheCopyLost: the newest that was acknowledged stays in force.
func TestConfigurationThatTheCopyLost(t *testing.T) {
	before := func(d *drill) { d.store.configure(2) }
	playDrill(t, 3, 3, before, func(d *drill) {
		d.hold("version 2 is in force", 0, 4*time.Second, func(f *Forwarder) bool { return f.versionInForce() == 2 })
		d.store.configure(2)
		d.store.configure(3)
		d.hold("version 3 is in force", configInForceWithin, time.Second, func(f *Forwarder) bool { return f.versionInForce() == 3 })
	})
}

// TestStoreRestoredTwice: the era goes up again before all hosts have seen it.
func TestStoreRestoredTwice(t *testing.T) {
	playDrill(t, 3, 3, nil, func(d *drill) {
		copied := d.store.revision()
		d.store.list(leavingUp("app2"))
		time.Sleep(300 * time.Millisecond)
		d.store.restore(copied)
		d.store.list(leavingUp("app1"))
		d.hold("app1 gets nothing", leavingKnownWithin, 3*time.Second, takesNot("app1"))
		d.store.list(leavingUp("app2"))
		d.hold("app2 gets nothing", leavingKnownWithin, 3*time.Second, takesNot("app2"))
	})
}

// TestHostBehindTellsTheEraBefore: a host that was cut off over the restore comes back.
func TestHostBehindTellsTheEraBefore(t *testing.T) {
	const cut = "10.1.0.2:1"
	before := func(d *drill) {
		d.store.order("z2", true)
		time.Sleep(time.Second)
		d.isolate(cut)
		d.withoutStore(true, "z1-h02")
	}
	playDrill(t, 3, 3, before, func(d *drill) {
		time.Sleep(time.Second)
		d.store.order("z2", false)
		d.store.list(leavingUp("app1"))
		time.Sleep(3 * time.Second)
		d.reconnect(cut)
		time.Sleep(time.Second)
		d.withoutStore(false, "z1-h02")
		d.hold("app1 gets nothing", leavingKnownWithin, 3*time.Second, takesNot("app1"))
		d.hold("z2 is in service", 0, 3*time.Second, func(f *Forwarder) bool { return f.fleet.InService("z2") })
	})
}

// TestHostStartsOverARestore: what it takes from a peer and from the store are of two eras.
func TestHostStartsOverARestore(t *testing.T) {
	before := func(d *drill) {
		d.store.list(leavingUp("app1"))
		d.store.list(plainUp("app5"))
	}
	playDrill(t, 3, 3, before, func(d *drill) {
		d.restart("10.2.0.1:1")
		d.hold("app1 gets nothing", time.Second, 2*time.Second, takesNot("app1"))
		d.store.list(leavingUp("app1"))
		d.store.list(plainUp("app5"))
		d.store.list(leavingUp("app2"))
		d.hold("app2 gets nothing, app5 gets work", leavingKnownWithin, 3*time.Second, func(f *Forwarder) bool {
			return takesNot("app2")(f) && takesNot("app1")(f) && takes("app5")(f)
		})
	})
}

// TestOlderConfigurationTakenForTheNewest: a copy may lack the newest, and a host that knows of it says of no route that it doesn't exist.
func TestOlderConfigurationTakenForTheNewest(t *testing.T) {
	playDrill(t, 3, 3, nil, func(d *drill) {
		fresh := d.restart("10.1.0.1:1")
		fresh.configOffers.record(fresh.now(), 2) // by a host that has ended since
		d.hold("version 1 isn't taken for the newest", fresh.settings.MaxContactAge, 3*time.Second, func(f *Forwarder) bool {
			return f != fresh || f.ContactAge(f.now()) > f.settings.MaxContactAge
		})
		d.store.configure(2)
		d.hold("version 2 is", configInForceWithin, time.Second, func(f *Forwarder) bool {
			return f.versionInForce() == 2 && f.ContactAge(f.now()) <= f.settings.MaxContactAge
		})
	})
}

// TestDirectoryEntryThatTheCopyLost: hosts on the directory write their entries again, and no others do.
func TestDirectoryEntryThatTheCopyLost(t *testing.T) {
	playDrill(t, 3, 3, nil, func(d *drill) {
		before := map[member.HostID]int32{}
		for host, n := range d.directoryWrites {
			before[host] = n.Load()
		}
		time.Sleep(leavingKnownWithin + directoryRewriteWindow + directoryCheckInterval)
		for host, n := range d.directoryWrites {
			if wrote, listed := n.Load()-before[host], before[host] > 0; wrote > 1 || (wrote == 1) != listed {
				d.finding("%s, listed %v, wrote its entry %d times", host, listed, wrote)
			}
		}
	})
}

// TestHeldRequestThatTheCopyLost: it is kept again, for hosts that start when all have ended.
func TestHeldRequestThatTheCopyLost(t *testing.T) {
	asked := quarantine.Asked{Caller: "counter", Target: "/llm/x", Body: []byte("b")}
	mark := quarantine.Mark{Request: asked.Fingerprint()}
	for _, id := range []member.UpstreamID{"i-1", "i-2", "i-3"} {
		mark.Crashes = append(mark.Crashes, quarantine.CrashAge{Upstream: quarantine.Upstream{ID: id}})
	}
	before := func(d *drill) {
		f := d.each()[4]
		f.receivePeerCrashes(f.now(), []quarantine.Mark{mark})
	}
	playDrill(t, 3, 3, before, func(d *drill) {
		time.Sleep(3 * time.Second)
		news, err := drillLink{d.store, "", &d.cutMu, d.noStore}.Read(d.ctx, 0)
		if err != nil || len(news.HeldRequests) != 1 || news.HeldRequests[0].Request != mark.Request {
			d.finding("the store keeps %v, err %v", news.HeldRequests, err)
		}
	})
}

// TestEraFalls: answers of an era before the known one change nothing, and aren't asked for in a loop.
func TestEraFalls(t *testing.T) {
	playDrill(t, 3, 3, nil, func(d *drill) {
		d.store.list(leavingUp("app1"))
		time.Sleep(leavingKnownWithin)
		setEra := func(by int) {
			d.store.mu.Lock()
			defer d.store.mu.Unlock()
			d.store.era += history.Era(by)
			d.store.wake()
		}
		setEra(-1)
		d.store.list(plainUp("app1"))
		d.store.list(leavingUp("app2"))
		from := time.Now()
		d.hold("app1 leaves, app2 takes work", 0, 5*time.Second, func(f *Forwarder) bool { return takesNot("app1")(f) && takes("app2")(f) })
		for host, n := range d.store.callsIn(from, time.Now()) {
			if n > 5*hostCallsPerSecond {
				d.finding("%s called the store %d times in 5 s", host, n)
			}
		}
		setEra(1)
		d.hold("app2 leaves", leavingKnownWithin+maxRetryDelay, 3*time.Second, takesNot("app2"))
	})
}
