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

// inForceTimeout is how soon a configuration, or an order about a zone, is kept to at every
// host: 2 s, which a store that turns some hosts away may lengthen by 5 s.
const inForceTimeout = 7 * time.Second

var errHostRejected = errors.New("turned away")

// rejectingOrigin is an origin that turns a host away while that is among those named.
type rejectingOrigin struct {
	*siteOrigin
	rejects func() bool
	// hangs has it not answer rather than refuse.
	hangs bool
}

// For how long calls wait for an answer: those of an adapter's store.
const (
	readHangTimeout = 3 * time.Second
	watchHangMargin = 600 * time.Millisecond
	keepHangTimeout = time.Second
)

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
		// The answer was under way.
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

// shiftedHosts are as many hosts, others of all.
func shiftedHosts(all, some []string, by int) []string {
	others := make([]string, len(some))
	for i := range some {
		others[i] = all[(slices.Index(all, some[i])+by)%len(all)]
	}
	return others
}

// TestChangesInForceWhenStoreRejectsHosts has every configuration and every order about a zone be
// kept to at each host in time, whichever hosts the store turns away: those hear of them
// from others.
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
	for name, away := range map[string][]string{
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
					turnedAway := map[string]bool{}
					for at, f := range s.hosts {
						s.startBy(ctx, f, rejectingOrigin{s.origin, func() bool {
							s.mu.Lock()
							defer s.mu.Unlock()
							return turnedAway[at]
						}, silent})
					}
					time.Sleep(4 * time.Second)
					turn := func(away []string) {
						s.mu.Lock()
						defer s.mu.Unlock()
						clear(turnedAway)
						for _, at := range away {
							turnedAway[at] = true
						}
					}
					turn(away)
					var latest time.Duration
					for n := range 5 {
						version, revision := Version(n+2), rev(20+2*n)
						order := outOfService("z1", revision.Revision()+1)
						if n%2 == 1 {
							order = backInService("z1", revision.Revision()+1)
						}
						s.origin.configure(version, revision)
						s.origin.order(order)
						sent := time.Now()
						for late := true; late && time.Since(sent) <= inForceTimeout; {
							time.Sleep(20 * time.Millisecond)
							late = false
							for _, f := range s.hosts {
								late = late || f.versionInForce() < version || f.fleet.InService("z1") == order.OutOfService
							}
						}
						for at, f := range s.hosts {
							if f.versionInForce() < version || f.fleet.InService("z1") == order.OutOfService {
								t.Errorf("%s doesn't keep to change %d after %v", at, n, inForceTimeout)
							}
						}
						latest = max(latest, time.Since(sent))
						if n%2 == 1 {
							turn(shiftedHosts(all, away, n))
						}
					}
					t.Logf("in force within %v", latest)
					is.True(latest <= inForceTimeout)
					cancel()
					synctest.Wait()
				})
			})
		}
	}
}
