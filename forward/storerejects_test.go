// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/quarantine"
)

// inForceTimeout bounds the time until a configuration or an order about a zone is in force at every
// host: 2 s, and 5 s more while the store rejects some hosts.
const inForceTimeout = 7 * time.Second

// errHostRejected is the error of a rejected call.
var errHostRejected = errors.New("the store rejects this host")

// rejectingOrigin is an origin as seen by one host. It rejects the host's calls while rejects returns
// true.
type rejectingOrigin struct {
	*siteOrigin
	rejects func() bool
	// hangs makes a rejected call wait for its timeout before it fails.
	hangs bool
}

// How long a rejected call hangs: the timeouts of an adapter's calls to its store.
const (
	readHangTimeout = 3 * time.Second
	watchHangMargin = 600 * time.Millisecond
	keepHangTimeout = time.Second
)

// reject returns the error of a rejected call, after a wait if calls hang.
func (o rejectingOrigin) reject(ctx context.Context, wait time.Duration) error {
	if o.hangs {
		PauseFor(ctx, wait)
	}
	return errHostRejected
}

func (o rejectingOrigin) Read(ctx context.Context, known history.Era) (OriginUpdate, error) {
	if o.rejects() {
		return OriginUpdate{}, o.reject(ctx, readHangTimeout)
	}
	return o.siteOrigin.Read(ctx, known)
}

func (o rejectingOrigin) Watch(ctx context.Context, after history.Point, wait time.Duration) (OriginUpdate, error) {
	if o.rejects() {
		return OriginUpdate{}, o.reject(ctx, wait+watchHangMargin)
	}
	news, err := o.siteOrigin.Watch(ctx, after, wait)
	if o.rejects() {
		// The host was rejected while the watch waited, and the answer is lost.
		return OriginUpdate{}, o.reject(ctx, watchHangMargin)
	}
	return news, err
}

func (o rejectingOrigin) Keep(ctx context.Context, m quarantine.Mark) error {
	if o.rejects() {
		return o.reject(ctx, keepHangTimeout)
	}
	return o.siteOrigin.Keep(ctx, m)
}

// shiftedHosts replaces each host by the one that stands by places later in all, cyclically.
func shiftedHosts(all, some []string, by int) []string {
	result := make([]string, len(some))
	for i := range some {
		result[i] = all[(slices.Index(all, some[i])+by)%len(all)]
	}
	return result
}

// TestChangesInForceWhenStoreRejectsHosts checks that each configuration and each order about a zone is
// in force at every host in time, whichever hosts the store rejects: these receive the changes from
// other hosts.
func TestChangesInForceWhenStoreRejectsHosts(t *testing.T) {
	const zones, hostsPerZone = 3, 3
	address := func(zone, host int) string { return fmt.Sprintf("10.%d.0.%d:1", zone, host) }
	var all, leaders, firstZone []string
	for zone := 1; zone <= zones; zone++ {
		leaders = append(leaders, address(zone, 1))
		for host := 1; host <= hostsPerZone; host++ {
			all = append(all, address(zone, host))
			firstZone = append(firstZone, address(1, host))
		}
	}
	for name, rejectedAtFirst := range map[string][]string{
		"none": nil, "the leader": {address(1, 1)}, "the zones' leaders": leaders, "the first zone": firstZone,
		"all but the last": all[:len(all)-1], "all but a leader": all[1:],
	} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, silent %v", name, silent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := newSite(zones, hostsPerZone, true)
					s.origin.list = []Upstream{upstreamInZone("llm1", "z1"), upstreamInZone("llm2", "z2")}
					ctx, cancel := context.WithCancel(t.Context())
					rejected := map[string]bool{}
					for host, f := range s.hosts {
						s.startWithOrigin(ctx, f, rejectingOrigin{s.origin, func() bool {
							s.mu.Lock()
							defer s.mu.Unlock()
							return rejected[host]
						}, silent})
					}
					time.Sleep(4 * time.Second)
					rejectOnly := func(away []string) {
						s.mu.Lock()
						defer s.mu.Unlock()
						clear(rejected)
						for _, host := range away {
							rejected[host] = true
						}
					}
					rejectOnly(rejectedAtFirst)
					var slowest time.Duration
					for n := range 5 {
						version, revision := Version(n+2), rev(20+2*n)
						order := outOfService("z1", revision.Revision()+1)
						if n%2 == 1 {
							order = backInService("z1", revision.Revision()+1)
						}
						s.origin.configure(version, revision)
						s.origin.orderZones(order)
						published := time.Now()
						for waiting := true; waiting && time.Since(published) <= inForceTimeout; {
							time.Sleep(20 * time.Millisecond)
							waiting = false
							for _, f := range s.hosts {
								waiting = waiting || f.versionInForce() < version || f.fleet.InService("z1") == order.OutOfService
							}
						}
						for host, f := range s.hosts {
							if f.versionInForce() < version || f.fleet.InService("z1") == order.OutOfService {
								t.Errorf("host %s: change %d is not in force after %v", host, n, inForceTimeout)
							}
						}
						slowest = max(slowest, time.Since(published))
						if n%2 == 1 {
							rejectOnly(shiftedHosts(all, rejectedAtFirst, n))
						}
					}
					t.Logf("slowest change in force at every host after %v", slowest)
					is.True(slowest <= inForceTimeout)
					cancel()
					synctest.Wait()
				})
			})
		}
	}
}
