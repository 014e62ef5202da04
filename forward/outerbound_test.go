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

// inForceWithin is how soon a configuration, or an order about a zone, is kept to at every
// host: 2 s, which a store that turns some hosts away may lengthen by 5 s.
const inForceWithin = 7 * time.Second

var errTurnedAway = errors.New("turned away")

// choosyOrigin is an origin that turns a host away while that is among those named.
type choosyOrigin struct {
	*siteOrigin
	turnsAway func() bool
	// silent has it not answer rather than refuse.
	silent bool
}

// For how long calls wait for an answer: those of an adapter's store.
const (
	readWait  = 3 * time.Second
	watchOver = 600 * time.Millisecond
	keepWait  = time.Second
)

func (o choosyOrigin) refuse(ctx context.Context, wait time.Duration) error {
	if o.silent {
		PauseFor(ctx, wait)
	}
	return errTurnedAway
}

func (o choosyOrigin) Read(ctx context.Context, known history.Era) (OriginUpdate, error) {
	if o.turnsAway() {
		return OriginUpdate{}, o.refuse(ctx, readWait)
	}
	return o.siteOrigin.Read(ctx, known)
}

func (o choosyOrigin) Watch(ctx context.Context, after history.Point, wait time.Duration) (OriginUpdate, error) {
	if o.turnsAway() {
		return OriginUpdate{}, o.refuse(ctx, wait+watchOver)
	}
	news, err := o.siteOrigin.Watch(ctx, after, wait)
	if o.turnsAway() {
		// The answer was under way.
		return OriginUpdate{}, o.refuse(ctx, watchOver)
	}
	return news, err
}

func (o choosyOrigin) Keep(ctx context.Context, m quarantine.Mark) error {
	if o.turnsAway() {
		return o.refuse(ctx, keepWait)
	}
	return o.siteOrigin.Keep(ctx, m)
}

// shifted are as many hosts, others of all.
func shifted(all, some []string, by int) []string {
	others := make([]string, len(some))
	for i := range some {
		others[i] = all[(slices.Index(all, some[i])+by)%len(all)]
	}
	return others
}

// TestInForceWhereStoreTurnsHostsAway has every configuration and every order about a zone be
// kept to at each host in time, whichever hosts the store turns away: those hear of them
// from others.
func TestInForceWhereStoreTurnsHostsAway(t *testing.T) {
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
					s.origin.list = []Upstream{upIn("llm1", "z1"), upIn("llm2", "z2")}
					ctx, cancel := context.WithCancel(t.Context())
					turnedAway := map[string]bool{}
					for at, f := range s.hosts {
						s.startBy(ctx, f, choosyOrigin{s.origin, func() bool {
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
						order := out("z1", revision.Revision()+1)
						if n%2 == 1 {
							order = back("z1", revision.Revision()+1)
						}
						s.origin.configure(version, revision)
						s.origin.order(order)
						sent := time.Now()
						for late := true; late && time.Since(sent) <= inForceWithin; {
							time.Sleep(20 * time.Millisecond)
							late = false
							for _, f := range s.hosts {
								late = late || f.versionInForce() < version || f.fleet.InService("z1") == order.Out
							}
						}
						for at, f := range s.hosts {
							if f.versionInForce() < version || f.fleet.InService("z1") == order.Out {
								t.Errorf("%s doesn't keep to change %d after %v", at, n, inForceWithin)
							}
						}
						latest = max(latest, time.Since(sent))
						if n%2 == 1 {
							turn(shifted(all, away, n))
						}
					}
					t.Logf("in force within %v", latest)
					is.True(latest <= inForceWithin)
					cancel()
					synctest.Wait()
				})
			})
		}
	}
}
